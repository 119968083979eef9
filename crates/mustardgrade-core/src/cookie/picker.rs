//! Upstream selection for new flows.

use std::time::Duration;

use super::admission::AdmissionDecision;
use super::explain::{DecisionRule, PickRecord};
use super::load::PeerLoad;
use super::load_limit::admits;
use super::outliers::OutlierDetector;
use super::snapshot::{CookieRoute, CookieSnapshot};
use super::tracker::{FailureDetectionOptions, UpstreamTracker};
use super::upstream_load::{LoadModel, RATIO_UNIT};
use super::upstream_view::UpstreamView;
use crate::identity::{ServiceId, rendezvous_score};
use crate::pace::PaceTable;

/// Load of an upstream with as many requests in flight as it has slots.
pub(super) const LOAD_UNIT: u64 = RATIO_UNIT;

/// Load from which upstreams of other data centres are considered; below it, a short queue costs
/// less than the distance.
pub(super) const SPILL_LOAD: u64 = LOAD_UNIT * 7 / 4;

/// `PickOutcome` is the result of selecting an upstream for a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PickOutcome {
    /// An upstream was selected.
    Picked(PickedUpstream),
    /// All upstreams are overloaded: the flow's request would be late and delay others.
    NoRoom,
    /// No upstream accepts new flows.
    NoUpstream,
}

/// `PickedUpstream` is the upstream selected for a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PickedUpstream {
    /// Index in the snapshot.
    pub(super) index: usize,
    /// Whether the upstream is cold.
    pub(super) cold: bool,
    /// Whether the upstream is in another data centre.
    pub(super) spilled: bool,
    /// Whether all upstreams that accept flows are suspected.
    pub(super) all_suspected: bool,
    /// Rule that decided.
    pub(super) rule: DecisionRule,
}

/// `PickCandidate` is an upstream that accepts new flows, with what the selection reads of its view
/// and of its tracker merged with the other hosts' reports.
#[derive(Debug, Clone, Copy)]
pub(super) struct PickCandidate {
    /// Index in the snapshot.
    pub(super) index: usize,
    /// Requests in flight, in [`LOAD_UNIT`] for each slot, corrected by the upstream's speed.
    pub(super) load: u64,
    /// Open flows that this host has observed.
    pub(super) open_flows: u64,
    pub(super) slots: u64,
    /// Slots in proportion to the upstream's speed, by which open flows are shared.
    pub(super) capacity: u64,
    pub(super) is_local: bool,
    pub(super) is_cold: bool,
    pub(super) is_suspected: bool,
    /// Whether it is left out since it fails a part of its requests.
    pub(super) is_ejected: bool,
    /// Whether this host has seen the upstream fail and is due to probe it.
    pub(super) is_probe_due: bool,
    /// Whether an opening has been pending for longer than in normal operation.
    pub(super) is_slow: bool,
    /// Whether its slow start allows it no flow now.
    pub(super) is_limited: bool,
    /// Whether its slow start owes it this flow.
    pub(super) is_owed_flow: bool,
}

impl PickCandidate {
    #[inline]
    pub(super) fn is_healthy(&self) -> bool {
        !self.is_cold && !self.is_suspected && !self.is_ejected
    }

    /// Returns what takes precedence over the cost: an upstream with a slow opening comes last, one
    /// of this data centre with capacity comes first.
    #[inline]
    pub(super) fn rank(&self) -> (bool, bool) {
        (self.is_slow, !(self.is_local && self.load < SPILL_LOAD))
    }
}

/// `PickBuffers` are buffers that are reused for each selection, so that none allocates.
#[derive(Debug, Default)]
pub(super) struct PickBuffers {
    candidates: Vec<PickCandidate>,
    /// Selections to be explained; `None` while packets are routed, which then costs nothing.
    pub(super) records: Option<Vec<PickRecord>>,
}

impl PickBuffers {
    /// Returns buffers that record each selection.
    pub(super) fn recording() -> Self {
        Self { candidates: Vec::new(), records: Some(Vec::new()) }
    }
}

/// `UpstreamPicker` selects upstreams from a snapshot by load, health and locality.
pub(super) struct UpstreamPicker<'a> {
    pub(super) snapshot: &'a CookieSnapshot,
    pub(super) trackers: &'a mut [UpstreamTracker],
    /// Load that the other hosts report, for each upstream of the snapshot.
    pub(super) peers: &'a [PeerLoad],
    pub(super) load_model: &'a LoadModel,
    pub(super) detection: &'a FailureDetectionOptions,
    pub(super) pace: &'a mut PaceTable,
    pub(super) outliers: &'a mut OutlierDetector,
    pub(super) buffers: &'a mut PickBuffers,
    /// What admission control has decided on the opening.
    pub(super) admission: AdmissionDecision,
    pub(super) now: Duration,
}

impl UpstreamPicker<'_> {
    /// Selects the service of a new flow by the backend weights of the route.
    pub(super) fn pick_service(route: &CookieRoute, fingerprint: u64) -> Option<ServiceId> {
        let total: u64 =
            route.config.backends.iter().map(|backend| u64::from(backend.weight)).sum();
        let mut remaining = fingerprint.checked_rem(total)?;
        for backend in &route.config.backends {
            let weight = u64::from(backend.weight);
            if remaining < weight {
                return Some(backend.service);
            }
            remaining -= weight;
        }
        None
    }

    /// Selects an upstream of `service`, other than `exclude`, for a flow of the given priority.
    pub(super) fn pick(
        &mut self,
        service: ServiceId,
        fingerprint: u64,
        priority: u32,
        exclude: Option<usize>,
    ) -> PickOutcome {
        let indices = self.snapshot.upstreams_by_service.get(&service);
        let indices = indices.map_or(&[][..], Vec::as_slice);
        let mut candidates = std::mem::take(&mut self.buffers.candidates);
        let is_usable =
            |index: &usize| Some(*index) != exclude && self.view(*index).accepts_flows(self.now);
        let usable = indices.iter().copied().filter(is_usable);
        candidates.clear();
        candidates.extend(usable.map(|index| self.candidate(index)));
        self.apply_pace(&mut candidates);
        let outcome = match candidates.iter().any(|candidate| candidate.is_ejected) {
            true => self.pick_beside_ejected(&mut candidates, fingerprint, priority),
            false => self.pick_among(&candidates, fingerprint, priority),
        };
        if let PickOutcome::Picked(picked) = outcome {
            self.pace.record_opening(picked.index, self.now);
        }
        if let Some(records) = &mut self.buffers.records {
            let (admission, candidates) = (self.admission, candidates.clone());
            records.push(PickRecord { service, admission, outcome, candidates });
        }
        self.buffers.candidates = candidates;
        outcome
    }

    fn candidate(&self, index: usize) -> PickCandidate {
        let view = self.view(index);
        let tracker = self.trackers[index].merged_with_peers(self.peers[index]);
        let slots = u64::from(view.slots);
        let is_suspected = tracker.is_suspected(self.detection);
        let is_cold = view.is_cold(self.now);
        PickCandidate {
            index,
            load: self.load_model.load_per_slot(index, tracker.in_flight(), slots),
            open_flows: u64::from(tracker.open_flows),
            slots,
            capacity: self.load_model.capacity(index, slots),
            is_local: view.is_local,
            is_cold,
            is_suspected,
            is_ejected: self.is_left_out(index, !is_cold && !is_suspected),
            is_probe_due: is_suspected
                && self.trackers[index].is_probe_due(
                    self.detection,
                    self.snapshot.local_hosts,
                    self.now,
                ),
            is_slow: tracker.has_slow_opening(self.detection, self.now),
            is_limited: false,
            is_owed_flow: false,
        }
    }

    pub(super) fn pick_among(
        &mut self,
        candidates: &[PickCandidate],
        fingerprint: u64,
        priority: u32,
    ) -> PickOutcome {
        if let Some(index) = self.probe_candidate(candidates) {
            return self.picked(index, DecisionRule::Probe);
        }
        if self.admission != AdmissionDecision::Refuse {
            if let Some(index) = self.trial_candidate(candidates, fingerprint) {
                return self.picked(index, DecisionRule::ColdTrial);
            }
            if let Some(candidate) = self.owed_candidate(candidates, fingerprint) {
                return self.picked(candidate.index, DecisionRule::SlowStart);
            }
        }
        let best = self.least_cost(candidates, fingerprint, priority, false);
        let relief = self.relief_candidate(candidates, best, fingerprint, priority);
        let relief = relief.map(|candidate| (candidate, DecisionRule::SlowStartRelief));
        let best = best.map(|candidate| (candidate, DecisionRule::LeastCost));
        if let Some((candidate, rule)) = relief.or(best) {
            let is_admitted = match self.admission {
                AdmissionDecision::ByLoad => admits(candidate.load, priority, fingerprint),
                AdmissionDecision::Admit => true,
                AdmissionDecision::Refuse => false,
            };
            return match is_admitted {
                true => self.picked(candidate.index, rule),
                false => PickOutcome::NoRoom,
            };
        }
        if let Some(index) = self.pick_cold(candidates, fingerprint) {
            return self.picked(index, DecisionRule::ColdRate);
        }
        // All warm upstreams are suspected, but one of them may be alive nevertheless.
        let warm = candidates.iter().filter(|candidate| !candidate.is_cold);
        let score = |candidate: &&PickCandidate| self.score(candidate.index, fingerprint);
        match warm.max_by_key(score) {
            Some(candidate) => self.picked(candidate.index, DecisionRule::AllSuspected),
            None => PickOutcome::NoUpstream,
        }
    }

    #[inline]
    pub(super) fn view(&self, index: usize) -> &UpstreamView {
        &self.snapshot.upstreams[index]
    }

    pub(super) fn picked(&self, index: usize, rule: DecisionRule) -> PickOutcome {
        PickOutcome::Picked(PickedUpstream {
            index,
            cold: matches!(rule, DecisionRule::ColdTrial | DecisionRule::ColdRate),
            spilled: !self.view(index).is_local,
            all_suspected: rule == DecisionRule::AllSuspected,
            rule,
        })
    }

    #[inline]
    pub(super) fn score(&self, index: usize, fingerprint: u64) -> u64 {
        rendezvous_score(fingerprint, self.view(index).tag)
    }
}
