//! Heartbeat digests that hosts exchange.

use std::net::Ipv4Addr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::identity::{DataCentreId, HostIncarnation};

/// `HostState` is the lifecycle state of a host.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host has started and fetches its configuration, exceptions and flow records.
    #[display("joining")]
    Joining,
    /// The host routes traffic and may own buckets.
    #[display("serving")]
    Serving,
    /// The host still routes traffic while it hands over the buckets that it owns.
    #[display("leaving")]
    Leaving,
    /// The host has completed its handover and exits; its last digest reports this state.
    #[display("stopped")]
    Stopped,
}

/// `HostDigest` is the heartbeat message of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostDigest {
    /// Host that sent the digest, and its current run.
    pub sender: HostIncarnation,
    /// Sequence number of the digest within the run.
    pub sequence: u64,
    /// Lifecycle state of the sender.
    pub state: HostState,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Address of the sender.
    pub address: Ipv4Addr,
    /// Rules revision in force on the sender.
    pub rules_revision: u64,
    /// Placement generation in force on the sender.
    pub generation: u64,
    /// Highest placement generation for which the sender holds all settled exceptions.
    pub settled_generation: u64,
    /// Hash of the live hosts and their states as seen by the sender.
    pub view_hash: u64,
}
