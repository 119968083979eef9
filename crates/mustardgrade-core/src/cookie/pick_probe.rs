//! Probes of suspected upstreams by new flows.

use super::picker::{PickCandidate, UpstreamPicker};

impl UpstreamPicker<'_> {
    /// Returns a suspected upstream that is due for a probe, and records the probe.
    pub(super) fn probe_candidate(&mut self, candidates: &[PickCandidate]) -> Option<usize> {
        let is_due = |candidate: &&PickCandidate| candidate.is_probe_due && !candidate.is_cold;
        let probed = candidates.iter().find(is_due)?.index;
        // Suspected upstreams of another data centre most likely became unreachable together, so
        // one probe counts for all of them.
        let (is_local, data_centre) = (self.view(probed).is_local, self.view(probed).data_centre);
        for index in candidates.iter().map(|candidate| candidate.index) {
            let shares_failure = !is_local && self.view(index).data_centre == data_centre;
            if index == probed
                || (shares_failure && self.trackers[index].is_suspected(self.detection))
            {
                self.trackers[index].record_probe(self.now);
            }
        }
        Some(probed)
    }
}
