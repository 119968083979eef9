//! Estimate of how many slots of the local data centre's upstreams are in use, as seen by one host.

use std::time::Duration;

use super::router::CookieRouter;

/// Utilisation of the slots from which a data centre counts as saturated and its hosts exchange
/// load reports.
const SATURATED_UTILISATION: f64 = 1.1;

/// Utilisation from which the estimate quickly follows a significant rise, as after a power loss.
const BURST_UTILISATION: f64 = 2.0;

/// Standard deviations above a host's baseline load up to which a rise counts as random.
const BURST_DEVIATIONS: f64 = 3.0;

/// Weight of a new sample in the baseline load of a host.
const BASELINE_GAIN: f64 = 0.02;

/// Weight of a new sample in the utilisation during a burst.
const BURST_GAIN: f64 = 0.6;

/// Weight of a new sample in the utilisation; low, since one host's share of the load is noisy.
const UTILISATION_GAIN: f64 = 0.1;

/// Maximum ratio of total load to a host's own load, per host in its data centre.
const MAX_LOAD_RATIO_PER_HOST: f64 = 4.0;

/// `LoadEstimator` keeps moving averages of a host's own load and of the total load, to estimate
/// the total from the own load while no reports are available.
///
/// A slower average of the own load serves as the baseline for the detection of bursts.
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

    /// Adds a sample to the baseline; returns whether the sample is significantly above it.
    fn update_baseline(&mut self, own: f64) -> bool {
        let max_expected = self.baseline + BURST_DEVIATIONS * self.baseline.sqrt() + 1.0;
        self.baseline += (own - self.baseline) * BASELINE_GAIN;
        own > max_expected
    }

    /// Returns the ratio of total load to the host's own load; `hosts` while it is unknown.
    fn total_to_own_ratio(&self, hosts: f64) -> f64 {
        match self.own_average > 0.0 {
            true => {
                (self.total_average / self.own_average).clamp(1.0, hosts * MAX_LOAD_RATIO_PER_HOST)
            }
            false => hosts,
        }
    }
}

impl CookieRouter {
    /// Returns whether the estimated utilisation of this data centre has reached
    /// [`SATURATED_UTILISATION`].
    pub(super) fn is_saturated(&self) -> bool {
        self.utilisation >= SATURATED_UTILISATION
    }

    /// Returns the estimated ratio of the load of all hosts of this data centre to that of this
    /// host.
    pub(super) fn total_to_own_ratio(&self) -> f64 {
        self.load_estimator.total_to_own_ratio(self.snapshot.local_hosts.max(1) as f64)
    }

    /// Updates the utilisation estimate of this data centre, by its most utilised service.
    ///
    /// While hosts exchange reports, the total load is known. At other times it is extrapolated
    /// from the host's own load by the last known ratio.
    pub(super) fn update_utilisation(&mut self, now: Duration) {
        let hosts = self.snapshot.local_hosts.max(1) as f64;
        let complete_reports = self.peers.complete_reports();
        // If only some hosts send their reports to this one, they are taken as a sample of all
        // hosts.
        let sample_scale = (hosts / (complete_reports + 1) as f64).max(1.0);
        // Integer sums do not depend on the iteration order of the services.
        let (mut max_utilisation, mut own_sum, mut known_sum) = (0.0, 0_u32, 0_u32);
        for (service, indices) in &self.snapshot.upstreams_by_service {
            let (own, peers, slots) = self.local_load(indices, now);
            let unmodelled_ratio = self.load_model.unmodelled_ratio(*service);
            let total = match complete_reports {
                0 => f64::from(own) * self.load_estimator.total_to_own_ratio(hosts),
                _ => f64::from(own + peers) * sample_scale,
            };
            own_sum += own;
            known_sum += own + peers;
            let utilisation = total * unmodelled_ratio / f64::from(slots.max(1));
            max_utilisation = f64::max(max_utilisation, utilisation);
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

    /// Returns the requests in flight at a service's upstreams in this data centre, those of this
    /// host and those of the other hosts, and the number of slots of these upstreams.
    fn local_load(&self, indices: &[usize], now: Duration) -> (u32, u32, u32) {
        let local = indices.iter().copied().filter(|index| {
            let view = &self.snapshot.upstreams[*index];
            view.is_local && view.accepts_flows(now) && !view.is_cold(now)
        });
        local.fold((0, 0, 0), |(own, peers, slots), index| {
            let tracker = &self.trackers[index];
            let by_peers = self.peer_loads[index].in_flight;
            let upstream_slots = u32::from(self.snapshot.upstreams[index].slots);
            (own + tracker.in_flight(), peers + by_peers, slots + upstream_slots)
        })
    }
}
