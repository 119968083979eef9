//! What hosts tell each other about the registry.

use std::net::Ipv4Addr;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::cookie::LoadReport;
use crate::identity::DataCentreId;
use crate::registry::RegistryChange;

/// `FleetMemberState` is the step of a host's life.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetMemberState {
    /// It does not know routes and upstreams yet.
    #[display("starting")]
    Starting,
    /// It serves.
    #[display("ready")]
    Ready,
    /// It is about to stop.
    #[display("leaving")]
    Leaving,
}

/// `FleetMemberSummary` names a host that the sender of a digest has heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetMemberSummary {
    /// Its address.
    pub address: Ipv4Addr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Number of its run.
    pub incarnation: u64,
    /// Its strength, by which duties are given.
    pub cpu_millicores: u16,
    /// The step of its life.
    pub state: FleetMemberState,
    /// Whether it watches the store.
    pub watching: bool,
    /// Milliseconds since it was last heard, by any host.
    pub heard_ago_ms: u32,
}

/// `FleetDigest` is a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetDigest {
    /// The sender; it was heard just now.
    pub sender: FleetMemberSummary,
    /// Revision up to which the sender knows every change.
    pub revision: u64,
    /// Milliseconds since that revision was the newest, if the sender knows.
    pub confirmation_age_ms: Option<u32>,
    /// Whether the sender asks for a digest in return.
    pub wants_reply: bool,
    /// Some other hosts.
    pub members: Vec<FleetMemberSummary>,
}

/// `ChangeBatch` holds the changes after one revision up to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBatch {
    /// Revision after which the changes begin; 0 if they hold everything.
    pub after_revision: u64,
    /// Revision up to which they are complete.
    pub through_revision: u64,
    /// The changes.
    pub changes: Vec<RegistryChange>,
}

/// `FleetMessage` is what one datagram between hosts carries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetMessage {
    /// A heartbeat.
    Digest(FleetDigest),
    /// A few changes, passed on as they happen.
    Changes(FleetDigest, ChangeBatch),
    /// What the host at an address has inferred of upstreams.
    Load(Ipv4Addr, LoadReport),
}

impl FleetMessage {
    /// Returns the digest that the message holds.
    #[must_use]
    pub fn digest(&self) -> Option<&FleetDigest> {
        match self {
            Self::Digest(digest) | Self::Changes(digest, _) => Some(digest),
            Self::Load(..) => None,
        }
    }
}

/// Converts a duration to the milliseconds of a message; longer ones are cut.
pub(super) fn saturating_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
