//! The digest that hosts send each other as a heartbeat.

use std::net::Ipv4Addr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::identity::{DataCentreId, HostIncarnation};

/// `HostState` is the step of a host's life.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host has started and fetches what it needs.
    #[display("joining")]
    Joining,
    /// The host routes and may own buckets.
    #[display("serving")]
    Serving,
    /// The host still routes, but hands over what it owns.
    #[display("leaving")]
    Leaving,
    /// The host has handed over and stops; its last digest says so.
    #[display("stopped")]
    Stopped,
}

/// `HostDigest` is the heartbeat of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostDigest {
    /// The sender and its run.
    pub sender: HostIncarnation,
    /// Number of the digest within the run.
    pub sequence: u64,
    /// Step of the sender's life.
    pub state: HostState,
    /// Where the sender stands.
    pub data_centre: DataCentreId,
    /// Address of the sender.
    pub address: Ipv4Addr,
    /// Rules revision in force on the sender.
    pub rules_revision: u64,
    /// Placement generation in force on the sender.
    pub generation: u64,
    /// Highest generation for which the sender holds all settled exceptions.
    pub settled_generation: u64,
    /// Hash of the sender's view of the hosts and their states.
    pub view_hash: u64,
}
