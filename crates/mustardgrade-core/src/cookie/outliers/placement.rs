//! Selection of upstreams for new flows beside ejected ones.

use super::super::picker::{PickCandidate, PickOutcome, UpstreamPicker};
use crate::cookie::admission::AdmissionDecision;
use crate::cookie::explain::DecisionRule;

impl UpstreamPicker<'_> {
    /// Returns whether the upstream at `index` is left out of the selection. Cold limits and
    /// suspicion decide by themselves.
    pub(in crate::cookie) fn is_left_out(&self, index: usize, is_served: bool) -> bool {
        is_served && self.outliers.is_ejected(index)
    }

    /// Selects among `candidates`, of which some are ejected.
    ///
    /// Ejected ones take part if no other one is usable. They also do if all others are full: one
    /// that fails a part of its requests serves more than a refusal does.
    pub(in crate::cookie) fn pick_beside_ejected(
        &mut self,
        candidates: &mut [PickCandidate],
        fingerprint: u64,
        priority: u32,
    ) -> PickOutcome {
        let is_refused = self.admission == AdmissionDecision::Refuse;
        if let Some(index) = self.probation_candidate(candidates).filter(|_| !is_refused) {
            self.outliers.record_probation(index, self.now);
            return self.picked(index, DecisionRule::Probation);
        }
        if candidates.iter().any(PickCandidate::is_healthy) {
            let outcome = self.pick_among(candidates, fingerprint, priority);
            if outcome != PickOutcome::NoRoom || is_refused {
                return outcome;
            }
        }
        candidates.iter_mut().for_each(|candidate| candidate.is_ejected = false);
        self.pick_among(candidates, fingerprint, priority)
    }

    /// Returns an ejected upstream whose probation is due for an opening. One of another data
    /// centre gets none while this one has a usable upstream, as usual.
    fn probation_candidate(&self, candidates: &[PickCandidate]) -> Option<usize> {
        let has_local = candidates
            .iter()
            .any(|other| other.is_local && !other.is_suspected && !other.is_ejected);
        let is_due = |candidate: &&PickCandidate| {
            candidate.is_ejected
                && (candidate.is_local || !has_local)
                && self.outliers.is_probation_due(candidate.index, self.now)
        };
        candidates.iter().find(is_due).map(|candidate| candidate.index)
    }
}
