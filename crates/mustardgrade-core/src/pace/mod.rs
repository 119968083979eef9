//! Slow start of upstreams that have started or recovered.
//!
//! [`UpstreamPace`] is a limit that starts low, rises with answers in time and falls with late or
//! missing ones. The request path applies it to the requests in flight of an upstream. The cookie
//! path applies it, by [`PaceTable`], to each host's own share of an upstream's new flows.

mod paced_upstream;
mod pacing;
mod table;
mod upstream_pace;

pub use paced_upstream::{FULL_SHARE, PaceObservation, PaceShare, PacedView};
pub use pacing::{Pacing, RampCause, UpstreamPhase};
pub use table::{PaceCounters, PaceTable, RampChange};
pub use upstream_pace::{PaceOptions, PaceState, PaceStep, UpstreamPace};

#[cfg(test)]
mod tests;
