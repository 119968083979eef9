//! Rate of new flows to cold upstreams.

use std::time::Duration;

use super::picker::{PickCandidate, UpstreamPicker};

/// New flows per second that all hosts together may assign to a cold upstream in addition to its
/// configured rate.
pub(super) const COLD_EXTRA_FLOWS_PER_SEC: f64 = 1.0;

impl UpstreamPicker<'_> {
    /// Returns a cold upstream whose fleet-wide rate limit allows this host another flow now.
    pub(super) fn pick_cold(
        &mut self,
        candidates: &[PickCandidate],
        fingerprint: u64,
    ) -> Option<usize> {
        if self.snapshot.fleet_hosts == 0 {
            return None;
        }
        let cold = candidates.iter().filter(|candidate| candidate.is_cold);
        let index = cold
            .map(|candidate| candidate.index)
            .filter(|index| self.now >= self.trackers[*index].next_cold_flow_at)
            .max_by_key(|index| self.score(*index, fingerprint))?;
        let rate = (self.view(index).cold_rate + COLD_EXTRA_FLOWS_PER_SEC)
            / self.snapshot.fleet_hosts as f64;
        let interval = Duration::from_secs_f64(1.0 / rate);
        let is_first_flow = self.trackers[index].next_cold_flow_at.is_zero();
        // The first flow waits for a random fraction of the interval, to spread the hosts out.
        let interval_fraction =
            if is_first_flow { (fingerprint % 1_024) as f64 / 1_024.0 } else { 1.0 };
        self.trackers[index].next_cold_flow_at = self.now + interval.mul_f64(interval_fraction);
        (!is_first_flow).then_some(index)
    }
}
