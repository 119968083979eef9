//! Mustardgrade: a layer-4 load balancer for many small entry hosts.
//!
//! This crate re-exports the parts of the project. [`host::EntryHost`] is the embeddable host;
//! [`core`] holds the decisions, free of I/O.

pub use mustardgrade_core as core;
pub use mustardgrade_node::{host, metrics, settings, store};
pub use mustardgrade_wire as wire;
