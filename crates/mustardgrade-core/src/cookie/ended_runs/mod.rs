//! Open flows of upstreams that have provably ended: they are reset, so that their callers can go
//! on elsewhere.
//!
//! The registry gives the proof ([`EndedRun`](crate::registry::EndedRun)); [`EndedRuns`] decides
//! when it is in force on this host, and [`CookieRouter`](super::CookieRouter) asks it.

mod idle_flows;
mod proof;
mod registry;
mod router;
mod state;

pub use proof::{EndedUpstream, WithdrawalCause};
pub(super) use registry::{ended_upstreams, former_runs};
pub(super) use state::EndedRuns;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// `EndedUpstreamAction` is what becomes of the open flows of an upstream that has provably ended.
#[derive(Debug, Display, FromStr, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndedUpstreamAction {
    /// They are reset.
    #[default]
    #[display("reset")]
    Reset,
    /// Their packets are forwarded to its former address.
    #[display("forward")]
    Forward,
}
