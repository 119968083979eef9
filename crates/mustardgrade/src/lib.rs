//! Mustardgrade, a layer-4 load balancer that runs on many small entry hosts.
//!
//! This crate re-exports the public interface of the project. [`host::EntryHost`] is an entry host
//! that can be embedded in another program; [`core`] contains the routing and control logic, which
//! performs no I/O, and [`wire`] the network protocols.

pub use mustardgrade_core as core;
pub use mustardgrade_node::{host, metrics, settings, store};
pub use mustardgrade_wire as wire;
