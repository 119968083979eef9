//! How much of the room at a data centre's upstreams is in use, seen from one host.

use std::time::Duration;

use super::router::CookieRouter;

/// Share of the slots in use from which on hosts tell each other their load.
const SATURATED_UTILISATION: f64 = 1.1;

/// Use of the slots that is followed at once, as after a power loss, if no chance explains it.
const BURST_UTILISATION: f64 = 2.0;

/// Deviations from the usual work of a host that chance explains.
const BURST_DEVIATIONS: f64 = 3.0;

/// Weight of the newest look at the usual work of a host.
const BASELINE_GAIN: f64 = 0.02;

/// Weight of the newest look at the pressure in a rush.
const BURST_GAIN: f64 = 0.6;

/// Weight of the newest look at the pressure; one host's share of the work is a noisy sample.
const UTILISATION_GAIN: f64 = 0.1;

/// Most that all hosts are taken to have in hand for each unit of a host's own work, by the number of
/// hosts in its data centre.
const MAX_FACTOR_PER_HOST: f64 = 4.0;

/// `LoadEstimator` remembers the work that a host usually has in hand, and which part of all that is.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LoadEstimator {
    own_average: f64,
    total_average: f64,
    baseline: f64,
}

impl LoadEstimator {
    fn record_sample(&mut self, own: f64, total: f64) {
        self.own_average += (own - self.own_average) * UTILISATION_GAIN;
        self.total_average += (total - self.total_average) * UTILISATION_GAIN;
    }

    /// Takes in the work in hand now; returns whether it is more than chance explains.
    fn update_baseline(&mut self, own: f64) -> bool {
        let max_expected = self.baseline + BURST_DEVIATIONS * self.baseline.sqrt() + 1.0;
        self.baseline += (own - self.baseline) * BASELINE_GAIN;
        own > max_expected
    }

    /// Returns the work of all hosts for each unit of the host's own; `hosts` while that is unknown.
    fn extrapolation_factor(&self, hosts: f64) -> f64 {
        match self.own_average > 0.0 {
            true => (self.total_average / self.own_average).clamp(1.0, hosts * MAX_FACTOR_PER_HOST),
            false => hosts,
        }
    }
}

impl CookieRouter {
    /// Tells whether the upstreams of this data centre have little room left.
    pub(super) fn is_saturated(&self) -> bool {
        self.utilisation >= SATURATED_UTILISATION
    }

    /// Follows how much of the room in this data centre is in use.
    ///
    /// What all hosts have in hand is known while they share reports. At other times the host's own
    /// work stands for it, multiplied by what it was last seen to be a part of.
    pub(super) fn update_utilisation(&mut self, now: Duration) {
        let hosts = self.snapshot.local_hosts.max(1) as f64;
        let complete_reports = self.peers.complete_reports();
        // With more hosts than send reports here, those that do are a sample.
        let sample_scale = (hosts / (complete_reports + 1) as f64).max(1.0);
        // Sums of whole numbers are the same in whatever order the services come.
        let (mut max_utilisation, mut own_sum, mut known_sum) = (0.0, 0_u32, 0_u32);
        for indices in self.snapshot.upstreams_by_service.values() {
            let (own, peers, slots) = self.local_load(indices, now);
            let total = match complete_reports {
                0 => f64::from(own) * self.load_estimator.extrapolation_factor(hosts),
                _ => f64::from(own + peers) * sample_scale,
            };
            own_sum += own;
            known_sum += own + peers;
            max_utilisation = f64::max(max_utilisation, total / f64::from(slots.max(1)));
        }
        if complete_reports > 0 {
            self.load_estimator
                .record_sample(f64::from(own_sum), f64::from(known_sum) * sample_scale);
        }
        let is_burst = self.load_estimator.update_baseline(f64::from(own_sum))
            && max_utilisation >= BURST_UTILISATION;
        let gain = if is_burst { BURST_GAIN } else { UTILISATION_GAIN };
        self.utilisation += (max_utilisation - self.utilisation) * gain;
    }

    /// Returns the work in hand at a service's upstreams in this data centre, that of this host and
    /// that of the others, and the slots there.
    fn local_load(&self, indices: &[usize], now: Duration) -> (u32, u32, u32) {
        let local = indices.iter().copied().filter(|index| {
            let view = &self.snapshot.upstreams[*index];
            view.is_local && view.accepts_flows(now) && !view.is_cold(now)
        });
        local.fold((0, 0, 0), |(own, peers, slots), index| {
            let tracker = &self.trackers[index];
            let by_peers = self.peers.get(tracker.cookie).in_flight;
            let upstream_slots = u32::from(self.snapshot.upstreams[index].slots);
            (own + tracker.in_flight(), peers + by_peers, slots + upstream_slots)
        })
    }
}
