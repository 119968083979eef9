//! State of one service that is a backend of a route with several.

use std::time::Duration;

use super::allowance::{MoveAllowance, REPORT_DELAY};
use super::evidence::{RefusalEvidence, fraction_of};

/// Weight of a new sample in the load; one host's view is noisy.
const LOAD_GAIN: f64 = 0.3;

/// Requests in flight per slot from which a service counts as overloaded: every slot is in use, so
/// that another request waits.
const OVERLOAD: f64 = 1.0;

/// Requests in flight per slot below which it no longer does; lower than [`OVERLOAD`], so that the
/// state does not flap.
const OVERLOAD_END: f64 = 0.7;

/// Growth per second of the share of moved openings, for each unit of the share of requests that
/// are refused or have to wait.
const SHARE_GROWTH_PER_SEC: f64 = 3.0;

/// Maximum share of moved openings; the others show whether the service has recovered.
const MAX_SHARE: f64 = 0.9;

/// Share of moved openings below which it ends.
const MIN_SHARE: f64 = 0.01;

/// Time constant with which the share falls once the load is clearly below that of the refusals.
const RELIEVED_DECAY: Duration = Duration::from_millis(500);

/// Time constant with which the share falls while the load is still near that of the refusals.
const LOADED_DECAY: Duration = Duration::from_secs(10);

/// Fraction of the load at which a service has refused requests below which it has room again.
const RELIEVED_LOAD_FRACTION: f64 = 0.8;

/// Time for which the load at which a service refused requests is remembered; its upstreams or
/// their requests may be others later.
const REFUSAL_LOAD_RETENTION: Duration = Duration::from_secs(30);

/// Fraction of the spare capacity that all hosts together use within one [`REPORT_DELAY`]. Below
/// one, the placement approaches the limit without exceeding it.
const SPARE_FRACTION_PER_DELAY: f64 = 0.5;

/// Minimum of the requests in flight that an opening is assumed to add.
const MIN_FLOW_LOAD: f64 = 0.1;

/// `LoadSample` is a host's estimate of the load of a service at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LoadSample {
    /// Requests in flight from all hosts.
    pub(super) in_flight: f64,
    /// Slots of the upstreams that are warm, accept flows and are not suspected.
    pub(super) slots: u32,
    /// Requests in flight for each open flow of this host, if it has any.
    pub(super) flow_load: Option<f64>,
    /// Ratio of the requests of all hosts to those of this host.
    pub(super) total_to_own: f64,
    /// Requests in flight that are certain, other than by chance in the share that this host sees.
    pub(super) certain_in_flight: f64,
    /// Whether the requests in flight are modelled by measured answer times; otherwise they may
    /// overstate the load several times.
    pub(super) is_measured: bool,
}

/// `ServiceState` is what a host knows of the load and the refusals of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceState {
    pub(super) evidence: RefusalEvidence,
    /// Requests in flight per slot; `None` without usable upstreams.
    pub(super) load: Option<f64>,
    /// Requests in flight per slot that are certain.
    certain_load: f64,
    /// Whether more requests are in flight than its upstreams have slots.
    pub(super) is_overloaded: bool,
    slots: f64,
    flow_load: f64,
    total_to_own: f64,
    /// Load at which its upstreams last refused requests, and when.
    refusal_load: Option<(f64, Duration)>,
    /// Share of its openings that go to another backend.
    pub(super) share: f64,
    /// Openings that this host may move to the service.
    pub(super) allowance: MoveAllowance,
}

impl ServiceState {
    /// Takes in a new load estimate and the refusals since the last one.
    pub(super) fn update_load(&mut self, sample: &LoadSample, elapsed: Duration, now: Duration) {
        self.slots = f64::from(sample.slots);
        self.total_to_own = sample.total_to_own.max(1.0);
        let flow_load = sample.flow_load.unwrap_or(1.0).clamp(MIN_FLOW_LOAD, 1.0);
        self.flow_load += (flow_load - self.flow_load) * LOAD_GAIN;
        self.load = (sample.slots > 0).then(|| {
            let latest = sample.in_flight / self.slots;
            self.load.map_or(latest, |load| load + (latest - load) * LOAD_GAIN)
        });
        let limit = if self.is_overloaded { OVERLOAD_END } else { OVERLOAD };
        let certain_load = sample.certain_in_flight / self.slots.max(1.0);
        self.certain_load += (certain_load - self.certain_load) * LOAD_GAIN;
        self.is_overloaded = sample.is_measured && sample.slots > 0 && self.certain_load >= limit;
        self.refusal_load =
            self.refusal_load.filter(|(_, at)| now.saturating_sub(*at) < REFUSAL_LOAD_RETENTION);
        if let (Some(load), true) = (self.load, self.evidence.has_new_refusals()) {
            let highest = self.refusal_load.map_or(load, |(mark, _)| mark.max(load));
            self.refusal_load = Some((highest, now));
        }
        self.evidence.decay(elapsed);
    }

    /// Returns the load at which the service refuses requests, or its present one if that is
    /// higher.
    pub(super) fn capacity_mark(&self) -> Option<f64> {
        self.load.map(|load| self.refusal_load.map_or(load, |(mark, _)| mark.max(load)))
    }

    /// Updates the share of openings that leave the service.
    pub(super) fn update_share(&mut self, other_has_room: bool, elapsed: Duration) {
        if self.lacks_capacity() && other_has_room {
            let excess = self.evidence.excess().max(self.waiting_share());
            let growth = SHARE_GROWTH_PER_SEC * excess * elapsed.as_secs_f64();
            self.share = (self.share + growth).min(MAX_SHARE);
        } else if !self.is_overloaded && self.evidence.is_relieved() {
            let decay = if self.has_room_again() { RELIEVED_DECAY } else { LOADED_DECAY };
            self.share *= 1.0 - fraction_of(elapsed, decay);
        }
        if self.share < MIN_SHARE && !self.lacks_capacity() {
            self.share = 0.0;
        }
    }

    fn lacks_capacity(&self) -> bool {
        self.is_overloaded || self.evidence.is_refusing()
    }

    /// Returns the share of the requests in flight that wait for a slot.
    fn waiting_share(&self) -> f64 {
        let load = self.load.filter(|load| self.is_overloaded && *load > OVERLOAD);
        load.map_or(0.0, |load| 1.0 - OVERLOAD / load)
    }

    fn has_room_again(&self) -> bool {
        match (self.load, self.refusal_load) {
            (Some(load), Some((mark, _))) => load <= mark * RELIEVED_LOAD_FRACTION,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// Renews the number of openings that this host may move to the service, so that all hosts
    /// together stay below `load_limit`; `draw` decides on fractions, see [`MoveAllowance::renew`].
    pub(super) fn update_allowance(&mut self, load_limit: f64, elapsed: Duration, draw: f64) {
        let own_limit = self
            .refusal_load
            .map_or(load_limit, |(mark, _)| load_limit.min(mark * RELIEVED_LOAD_FRACTION));
        let spare_load = self.load.map_or(0.0, |load| (own_limit - load).max(0.0));
        if spare_load == 0.0 || self.share > 0.0 || self.evidence.is_refusing() {
            return self.allowance.withdraw();
        }
        let flow_load = self.flow_load.max(MIN_FLOW_LOAD);
        let own_spare_flows = spare_load * self.slots / flow_load / self.total_to_own;
        let renewed = SPARE_FRACTION_PER_DELAY * fraction_of(elapsed, REPORT_DELAY);
        self.allowance.renew(own_spare_flows * renewed, draw);
    }
}
