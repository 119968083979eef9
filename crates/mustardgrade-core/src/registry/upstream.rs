//! Registrations that upstreams write to the platform's store.

use std::net::SocketAddrV4;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::identity::{DataCentreId, ServiceId};

/// `RegisteredState` is the state that an upstream registers for itself.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RegisteredState {
    /// The upstream accepts new flows.
    #[display("ready")]
    Ready,
    /// The upstream keeps its open flows but must not receive new ones.
    #[display("draining")]
    Draining,
}

/// `UpstreamRegistration` is the registration of one run of an upstream.
#[derive(Debug, Display, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{name} {address} {state}")]
#[serde(deny_unknown_fields)]
pub struct UpstreamRegistration {
    /// Configured name, which may stay the same across restarts.
    pub name: String,
    /// Number that identifies the upstream in packets.
    pub tag: u64,
    /// Start time of this run, in milliseconds since the Unix epoch by the upstream's clock.
    pub incarnation: u64,
    /// The service that the upstream provides.
    pub service: ServiceId,
    /// Address and port on which the upstream receives packets.
    pub address: SocketAddrV4,
    /// The data centre in which the upstream is located.
    pub data_centre: DataCentreId,
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: u16,
    /// Whether the upstream accepts new flows.
    pub state: RegisteredState,
    /// Remaining time during which the upstream is cold, counted from the registration.
    pub cold_remaining: Duration,
}

impl UpstreamRegistration {
    /// Returns whether the upstream accepts new flows by its own state.
    #[must_use]
    pub fn accepts_flows(&self) -> bool {
        self.state == RegisteredState::Ready
    }
}
