//! The entry host: sockets, threads and actors around the decision core.
//!
//! A host runs one control thread, one thread for requests, and one or more threads for flows.
//! Traffic threads read snapshots that the control thread publishes and never wait for it.

pub mod calls;
pub mod clock;
pub mod control;
pub mod cookie_host;
pub mod host;
pub mod logging;
pub mod metrics;
pub mod requests;
pub mod settings;
pub mod store;
pub mod traffic;
