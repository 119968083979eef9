//! What upstreams say of themselves.

use std::net::SocketAddrV4;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::identity::{DataCentreId, ServiceId};

/// `RegisteredState` is the state that an upstream reports.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RegisteredState {
    /// It takes new flows.
    #[display("ready")]
    Ready,
    /// It keeps its flows and shall get no new ones.
    #[display("draining")]
    Draining,
}

/// `UpstreamRegistration` is what one run of an upstream says of itself.
#[derive(Debug, Display, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{name} {address} {state}")]
#[serde(deny_unknown_fields)]
pub struct UpstreamRegistration {
    /// Configured name; it may stay the same over restarts.
    pub name: String,
    /// Number by which packets name the upstream.
    pub tag: u64,
    /// Start of this run, in milliseconds since the epoch by the upstream's clock.
    pub incarnation: u64,
    /// The service that it runs.
    pub service: ServiceId,
    /// Where it receives packets.
    pub address: SocketAddrV4,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// Whether it takes new flows.
    pub state: RegisteredState,
    /// Time that it stays cold, from the moment of the report.
    pub cold_remaining: Duration,
}
