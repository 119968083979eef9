//! State of one upstream in a [`PaceTable`](super::PaceTable).

use std::time::Duration;

use super::pacing::{RampCause, UpstreamPhase};
use super::upstream_pace::{PaceOptions, PaceStep, UpstreamPace};
use crate::cookie::FlowCookie;
use crate::identity::ServiceId;

/// Limit that stands for the upstream's share by slots of the host's new flows. Each host adds its
/// part of what its own callers open, so the sum does not depend on how many hosts add.
pub const FULL_SHARE: u32 = 1_000;

/// Limit at which the ramp starts.
const START_SHARE: u32 = FULL_SHARE / 4;

/// Limit that is reached one step after the full share, when reports show the load at that share.
const END_LIMIT: u32 = FULL_SHARE * 2;

/// Minimum time between two rises: until hosts have heard of the load that the last one has
/// brought, which takes them up to 350 ms.
pub(super) const RISE_INTERVAL: Duration = Duration::from_millis(350);

/// Time after the end of a cold start within which an upstream is taken for newly started.
const COLD_END_WINDOW: Duration = Duration::from_secs(10);

/// `PacedView` is what the table needs of an upstream in the routing snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacedView {
    /// Cookie of the upstream.
    pub cookie: FlowCookie,
    /// Service that it provides.
    pub service: ServiceId,
    /// Time until which it is cold.
    pub cold_until: Duration,
}

/// `PaceShare` is what decides on the part of a host's new flows that a ramping upstream gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceShare {
    /// Slots of the upstream.
    pub own_slots: u64,
    /// Slots of all upstreams at which the host places the flows.
    pub total_slots: u64,
    /// Limit that the load needs at least, in thousandths of the share by slots.
    pub min_limit: u32,
    /// Interval at which the host may add a flow in any case.
    pub min_interval: Duration,
}

/// `PaceObservation` is what is known of an upstream besides its answers to this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceObservation {
    /// Whether it accepts new flows.
    pub accepts_flows: bool,
    /// Whether requests wait there; its limit does not rise meanwhile.
    pub has_queue: bool,
    /// When it last answered another host.
    pub last_alive: Duration,
    /// Number of hosts that add flows at it.
    pub hosts: usize,
}

/// `PacedUpstream` is the pace of one upstream at this host.
#[derive(Debug, Clone, Copy)]
pub(super) struct PacedUpstream {
    pub(super) view: PacedView,
    /// Phase in which the upstream was last seen; `None` if it has not been yet.
    pub(super) phase: Option<UpstreamPhase>,
    /// Whether the upstream has appeared after this host knew the others.
    pub(super) is_new: bool,
    pub(super) pace: UpstreamPace,
    /// Begin of the present ramp; `None` if there is none.
    pub(super) ramp_began_at: Option<Duration>,
    /// Share of a new flow that the upstream is owed, in [`FLOW_CREDIT`].
    pub(super) credit: u64,
    /// When this host last added a flow, or its share last came to one.
    pub(super) last_owed_at: Duration,
    /// Whether it has added one since the limit last changed.
    pub(super) is_tried: bool,
    /// Earliest time of the next trial while the upstream is cold.
    pub(super) next_trial_at: Option<Duration>,
}

impl PacedUpstream {
    pub(super) fn new(view: PacedView, is_new: bool) -> Self {
        let options = PaceOptions {
            start: START_SHARE,
            step: PaceStep::Double,
            tolerated_missing: 0,
            rise_interval: RISE_INTERVAL,
        };
        Self {
            view,
            phase: None,
            is_new,
            pace: UpstreamPace::steady(END_LIMIT, options),
            ramp_began_at: None,
            credit: 0,
            last_owed_at: Duration::ZERO,
            is_tried: false,
            next_trial_at: None,
        }
    }

    pub(super) fn is_ramping(&self) -> bool {
        self.ramp_began_at.is_some()
    }

    pub(super) fn first_cause(&self, now: Duration) -> Option<RampCause> {
        let cold_until = self.view.cold_until;
        let was_cold = !cold_until.is_zero() && now < cold_until.saturating_add(COLD_END_WINDOW);
        (self.is_new || was_cold).then_some(RampCause::Started)
    }
}

/// `ServiceEvidence` sums what the ramping upstreams of a service have shown to this host.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceEvidence {
    pub(super) service: ServiceId,
    pub(super) upstreams: usize,
    pub(super) in_time: usize,
    pub(super) late: usize,
}
