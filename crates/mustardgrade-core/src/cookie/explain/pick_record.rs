//! Record of one selection of an upstream.

use super::rule::DecisionRule;
use crate::cookie::admission::AdmissionDecision;
use crate::cookie::picker::{PickCandidate, PickOutcome};
use crate::identity::ServiceId;

/// `PickRecord` is one selection among the upstreams of a service, with what it was based on.
#[derive(Debug, Clone)]
pub(in crate::cookie) struct PickRecord {
    pub(in crate::cookie) service: ServiceId,
    pub(in crate::cookie) admission: AdmissionDecision,
    pub(in crate::cookie) outcome: PickOutcome,
    pub(in crate::cookie) candidates: Vec<PickCandidate>,
}

impl PickRecord {
    /// Returns the index of the selected upstream, if there is one.
    pub(super) fn picked_index(&self) -> Option<usize> {
        match self.outcome {
            PickOutcome::Picked(picked) => Some(picked.index),
            PickOutcome::NoRoom | PickOutcome::NoUpstream => None,
        }
    }

    /// Returns the rule that decided the selection.
    pub(super) fn rule(&self) -> DecisionRule {
        match (self.outcome, self.admission) {
            (PickOutcome::Picked(picked), _) => picked.rule,
            (PickOutcome::NoRoom, AdmissionDecision::Refuse) => DecisionRule::Admission,
            (PickOutcome::NoRoom, _) => DecisionRule::LoadLimit,
            (PickOutcome::NoUpstream, _) if self.candidates.is_empty() => DecisionRule::NoUpstream,
            // A warm candidate would have been selected, suspected or not.
            (PickOutcome::NoUpstream, _) => DecisionRule::ColdLimit,
        }
    }
}
