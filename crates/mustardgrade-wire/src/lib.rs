//! Codecs at the edges of mustardgrade's processes.
//!
//! [`gue`] carries IP packets in UDP, [`inner`] reads and builds those IP packets, [`coap`] reads
//! and builds requests, and [`peer`] seals what hosts send each other. None of them performs I/O.

pub mod coap;
pub mod gue;
pub mod inner;
pub mod peer;
