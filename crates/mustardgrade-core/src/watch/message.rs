//! Messages between hosts about the registry.

use std::net::Ipv4Addr;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::cookie::{FlowHolder, LoadReport};
use crate::identity::DataCentreId;
use crate::registry::{RegistryChange, StorePosition};

/// `FleetMemberState` is the life-cycle state of a host.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetMemberState {
    /// The host has no manifest yet and cannot route.
    #[display("starting")]
    Starting,
    /// The host serves traffic.
    #[display("ready")]
    Ready,
    /// The host is about to stop.
    #[display("leaving")]
    Leaving,
}

/// `FleetMemberSummary` describes a host in a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetMemberSummary {
    /// Address of the host, by which it is identified.
    pub address: Ipv4Addr,
    /// The data centre in which the host is located.
    pub data_centre: DataCentreId,
    /// Number of the host's run, which differs after a restart.
    pub incarnation: u64,
    /// CPU share of the host in thousandths of a core; hosts with a larger one watch first.
    pub cpu_millicores: u16,
    /// Life-cycle state of the host.
    pub state: FleetMemberState,
    /// Whether the host watches the store.
    pub watching: bool,
    /// Milliseconds since any host last heard from it.
    pub heard_ago_ms: u32,
}

/// `FleetDigest` is a heartbeat with the sender's revision and a sample of the other hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetDigest {
    /// Summary of the sender itself, which counts as heard just now.
    pub sender: FleetMemberSummary,
    /// Position up to which the sender has applied every change.
    pub position: StorePosition,
    /// Version of the sender's manifest; 0 if it has none.
    pub manifest_version: u64,
    /// Milliseconds since that position was last confirmed to be the newest, if it was.
    pub confirmation_age_ms: Option<u32>,
    /// Whether the receiver should answer with a digest of its own.
    pub wants_reply: bool,
    /// Summaries of some other live hosts.
    pub members: Vec<FleetMemberSummary>,
}

/// `ChangeBatch` holds the registry changes between two positions of one epoch, or all entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBatch {
    /// Position after which the changes begin; the origin if the batch holds all entries.
    pub after: StorePosition,
    /// Position up to which the changes are complete.
    pub through: StorePosition,
    /// Changed entries, each with its latest value.
    pub changes: Vec<RegistryChange>,
}

impl ChangeBatch {
    /// Returns whether the batch holds all entries.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.after.is_origin()
    }
}

/// `FleetMessage` is the content of a datagram between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetMessage {
    /// A digest without changes.
    Digest(FleetDigest),
    /// A digest with changes that were just applied.
    Changes(FleetDigest, ChangeBatch),
    /// The load report of the host at an address.
    Load(Ipv4Addr, LoadReport),
    /// The upstreams that hold some flows, which a host has observed.
    Holders(Vec<FlowHolder>),
}

impl FleetMessage {
    /// Returns the digest of the message; load reports and holders have none.
    #[must_use]
    pub fn digest(&self) -> Option<&FleetDigest> {
        match self {
            Self::Digest(digest) | Self::Changes(digest, _) => Some(digest),
            Self::Load(..) | Self::Holders(_) => None,
        }
    }
}

/// Converts a duration to whole milliseconds, saturating at `u32::MAX`.
pub(super) fn saturating_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
