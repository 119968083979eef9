//! Setting of the slow start, phases of an upstream, and causes of a ramp.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// `Pacing` is the setting that selects how an upstream that has started or recovered is loaded.
#[derive(Debug, Display, FromStr, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Pacing {
    /// New flows at full rate as soon as the upstream is warm and not suspected.
    #[default]
    #[display("fixed")]
    Fixed,
    /// New flows at a share that rises with answers in time.
    #[display("adaptive")]
    Adaptive,
}

/// `UpstreamPhase` is what an upstream can be used for, as a host sees it.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamPhase {
    /// It accepts no new flows: draining, evacuated or no longer registered.
    #[display("away")]
    Away,
    /// It is cold.
    #[display("cold")]
    Cold,
    /// It is suspected of having failed.
    #[display("suspected")]
    Suspected,
    /// It is warm and not suspected.
    #[display("serving")]
    Serving,
}

/// `RampCause` is why the ramp of an upstream has begun.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RampCause {
    /// The upstream has registered, or has turned warm.
    #[display("started")]
    Started,
    /// It has answered after having been suspected, alone or with its data centre.
    #[display("recovered")]
    Recovered,
    /// It accepts new flows again.
    #[display("returned")]
    Returned,
}
