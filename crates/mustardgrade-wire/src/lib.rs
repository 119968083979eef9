//! Encoders and decoders of the network protocols that mustardgrade uses; none performs I/O.
//!
//! [`gue`] encapsulates IP packets in UDP, [`inner`] parses and builds the encapsulated packets,
//! [`coap`] handles CoAP requests and responses, and [`peer`] authenticates the frames that hosts
//! exchange.

pub mod coap;
pub mod gue;
pub mod inner;
pub mod peer;
