//! The choice of an upstream for a new flow.

use std::time::Duration;

use super::load::PeerLoads;
use super::snapshot::{CookieRoute, CookieSnapshot, UpstreamView};
use super::tracker::{FailureDetectionOptions, UpstreamTracker};
use crate::identity::{ServiceId, rendezvous_score};

/// Cost of an upstream whose slots are all in use.
const LOAD_UNIT: u64 = 1_024;

/// Load from which on another data centre is looked at; a short queue costs less than the way.
const SPILL_LOAD: u64 = LOAD_UNIT * 7 / 4;

/// Differences of load below this one are left to the hash while a slot is free.
const LOAD_BUCKET: u64 = LOAD_UNIT / 2;

/// Open flows that an upstream may have, in percent of its share by slots, before they count.
const OPEN_FLOWS_SLACK_PERCENT: u64 = 120;

/// Cost of an open flow beyond that, divided by the slots: most open flows are idle.
const EXCESS_FLOW_COST: u64 = 128;

/// Cost of another data centre: a flow there breaks when the data centres are cut off.
const REMOTE_COST: u64 = 768;

/// New flows a second that all hosts together send to one cold upstream beyond its stated rate.
const COLD_EXTRA_RATE: f64 = 1.0;

/// Load up to which every new flow is taken, whatever its priority: its request waits for little
/// more than one other at each slot.
const ADMIT_ALL_LOAD: u64 = LOAD_UNIT * 9 / 4;

/// Load from which on no new flow is taken; what waits longer is late.
const REFUSE_ALL_LOAD: u64 = LOAD_UNIT * 7 / 2;

/// Load that a step of priority is worth: the least urgent is refused first.
const PRIORITY_LOAD_STEP: u64 = LOAD_UNIT / 4;

/// Least urgent priority that is told apart.
const LOWEST_PRIORITY: u32 = 3;

/// `PickOutcome` is what becomes of a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PickOutcome {
    /// It goes to an upstream.
    Picked(PickedUpstream),
    /// Every upstream has so much to do that the flow's request would be late and delay others.
    NoRoom,
    /// No upstream takes new flows.
    NoUpstream,
}

/// `PickedUpstream` is the upstream chosen for a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PickedUpstream {
    /// Position in the snapshot.
    pub(super) index: usize,
    /// Whether it is cold.
    pub(super) cold: bool,
    /// Whether it stands in another data centre.
    pub(super) spilled: bool,
    /// Whether every upstream that takes flows is suspected.
    pub(super) all_suspected: bool,
}

/// `PickBuffers` is memory that one choice after the other uses, so that none allocates.
#[derive(Debug, Default)]
pub(super) struct PickBuffers {
    /// Positions of the upstreams that take new flows.
    candidates: Vec<usize>,
    /// The warm, unsuspected ones of them with what all hosts have inferred.
    healthy: Vec<(usize, UpstreamTracker)>,
}

/// `UpstreamPicker` chooses among the upstreams of a snapshot.
pub(super) struct UpstreamPicker<'a> {
    pub(super) snapshot: &'a CookieSnapshot,
    pub(super) trackers: &'a mut [UpstreamTracker],
    pub(super) peers: &'a PeerLoads,
    pub(super) detection: &'a FailureDetectionOptions,
    pub(super) buffers: &'a mut PickBuffers,
    pub(super) now: Duration,
}

impl UpstreamPicker<'_> {
    /// Chooses the service of a new flow by the weights of the route.
    pub(super) fn pick_service(route: &CookieRoute, fingerprint: u64) -> Option<ServiceId> {
        let total: u64 = route.plan.backends.iter().map(|b| u64::from(b.weight)).sum();
        let mut remaining = fingerprint.checked_rem(total)?;
        for backend in &route.plan.backends {
            let weight = u64::from(backend.weight);
            if remaining < weight {
                return Some(backend.service);
            }
            remaining -= weight;
        }
        None
    }

    /// Chooses an upstream of `service`, other than `avoid`, for a flow of some priority.
    pub(super) fn pick(
        &mut self,
        service: ServiceId,
        fingerprint: u64,
        priority: u32,
        exclude: Option<usize>,
    ) -> PickOutcome {
        let Some(indices) = self.snapshot.upstreams_by_service.get(&service) else {
            return PickOutcome::NoUpstream;
        };
        let mut candidates = std::mem::take(&mut self.buffers.candidates);
        let is_usable = |index: &usize| {
            Some(*index) != exclude && self.snapshot.upstreams[*index].accepts_flows(self.now)
        };
        candidates.clear();
        candidates.extend(indices.iter().copied().filter(is_usable));
        let outcome = self.pick_among(&candidates, fingerprint, priority);
        self.buffers.candidates = candidates;
        outcome
    }

    fn pick_among(&mut self, candidates: &[usize], fingerprint: u64, priority: u32) -> PickOutcome {
        if let Some(index) = self.probe_candidate(candidates) {
            return PickOutcome::Picked(self.picked(index, false));
        }
        if let Some(index) = self.pick_healthy(candidates, fingerprint) {
            return match self.admits(index, priority, fingerprint) {
                true => PickOutcome::Picked(self.picked(index, false)),
                false => PickOutcome::NoRoom,
            };
        }
        if let Some(index) = self.pick_cold(candidates, fingerprint) {
            return PickOutcome::Picked(self.picked(index, true));
        }
        // Every warm upstream is suspected: one of them may live all the same.
        let warm = candidates.iter().copied().filter(|index| !self.view(*index).is_cold(self.now));
        match warm.max_by_key(|index| rendezvous_score(fingerprint, self.view(*index).tag)) {
            Some(index) => PickOutcome::Picked(PickedUpstream {
                all_suspected: true,
                ..self.picked(index, false)
            }),
            None => PickOutcome::NoUpstream,
        }
    }

    /// Tells whether the best upstream still takes a flow of `priority`.
    ///
    /// Between the two bounds flows are taken by lot, fewer the more there is to do: hosts hear of
    /// each other's work a moment late, and would else all take and all refuse together.
    fn admits(&self, index: usize, priority: u32, fingerprint: u64) -> bool {
        let load = u64::from(self.merged_tracker(index).in_flight()) * LOAD_UNIT
            / u64::from(self.view(index).slots);
        let priority_margin =
            u64::from(LOWEST_PRIORITY - priority.min(LOWEST_PRIORITY)) * PRIORITY_LOAD_STEP;
        let (admit_all, refuse_all) =
            (ADMIT_ALL_LOAD + priority_margin, REFUSE_ALL_LOAD + priority_margin);
        let random_offset = (fingerprint >> 32) % (refuse_all - admit_all);
        load < admit_all || (load < refuse_all && load + random_offset < refuse_all)
    }

    fn view(&self, index: usize) -> &UpstreamView {
        &self.snapshot.upstreams[index]
    }

    fn picked(&self, index: usize, cold: bool) -> PickedUpstream {
        PickedUpstream { index, cold, spilled: !self.view(index).is_local, all_suspected: false }
    }

    /// Returns a suspected upstream that is due to be tried.
    fn probe_candidate(&mut self, candidates: &[usize]) -> Option<usize> {
        let probed = candidates.iter().copied().find(|index| {
            let tracker = self.merged_tracker(*index);
            tracker.is_suspected(self.detection)
                && tracker.is_probe_due(self.detection, self.now)
                && !self.view(*index).is_cold(self.now)
        })?;
        // Suspected upstreams of another data centre are most likely cut off together.
        let (is_local, data_centre) = (self.view(probed).is_local, self.view(probed).data_centre);
        for index in candidates.iter().copied() {
            let shares_failure = !is_local && self.view(index).data_centre == data_centre;
            if index == probed
                || (shares_failure && self.trackers[index].is_suspected(self.detection))
            {
                self.trackers[index].record_probe(self.now);
            }
        }
        Some(probed)
    }

    /// Returns a warm, unsuspected upstream that a new flow hardly waits at.
    ///
    /// Upstreams of this data centre come first while any of them has room. Those that differ little
    /// are taken by hash: an upstream that has ended draws no work, and must not look best for it.
    fn pick_healthy(&mut self, candidates: &[usize], fingerprint: u64) -> Option<usize> {
        let mut healthy = std::mem::take(&mut self.buffers.healthy);
        let tracked = candidates.iter().map(|index| (*index, self.merged_tracker(*index)));
        healthy.clear();
        healthy.extend(tracked.filter(|(index, tracker)| {
            !self.view(*index).is_cold(self.now) && !tracker.is_suspected(self.detection)
        }));
        let choice = self.least_cost(&healthy, fingerprint);
        self.buffers.healthy = healthy;
        choice
    }

    fn least_cost(&self, healthy: &[(usize, UpstreamTracker)], fingerprint: u64) -> Option<usize> {
        let open_flows: u64 =
            healthy.iter().map(|(_, tracker)| u64::from(tracker.open_flows)).sum();
        let slots: u64 = healthy.iter().map(|(index, _)| u64::from(self.view(*index).slots)).sum();
        let choice = healthy.iter().min_by_key(|(index, tracker)| {
            let view = self.view(*index);
            let own_slots = u64::from(view.slots);
            let load = u64::from(tracker.in_flight()) * LOAD_UNIT / own_slots;
            let is_slow = tracker.has_slow_opening(self.detection, self.now);
            let is_preferred = view.is_local && load < SPILL_LOAD;
            let expected_open =
                (open_flows * own_slots * OPEN_FLOWS_SLACK_PERCENT / 100).checked_div(slots);
            let excess_flows =
                u64::from(tracker.open_flows).saturating_sub(expected_open.unwrap_or_default() + 1);
            let rounded_load =
                if load < LOAD_UNIT { load / LOAD_BUCKET * LOAD_BUCKET } else { load };
            let cost = rounded_load + excess_flows * EXCESS_FLOW_COST / own_slots;
            let distance_cost = if view.is_local { 0 } else { REMOTE_COST };
            let score = rendezvous_score(fingerprint, view.tag);
            (is_slow, !is_preferred, cost + distance_cost, std::cmp::Reverse(score))
        });
        choice.map(|(index, _)| *index)
    }

    /// Returns what all hosts together have inferred of an upstream.
    fn merged_tracker(&self, index: usize) -> UpstreamTracker {
        let tracker = self.trackers[index];
        tracker.merged_with_peers(self.peers.get(tracker.cookie))
    }

    /// Returns a cold upstream whose shared budget allows this host one more flow now.
    fn pick_cold(&mut self, candidates: &[usize], fingerprint: u64) -> Option<usize> {
        if self.snapshot.fleet_hosts == 0 {
            return None;
        }
        let cold = candidates.iter().copied().filter(|index| self.view(*index).is_cold(self.now));
        let index = cold
            .filter(|index| self.now >= self.trackers[*index].next_cold_flow_at)
            .max_by_key(|index| rendezvous_score(fingerprint, self.view(*index).tag))?;
        let rate =
            (self.view(index).cold_rate + COLD_EXTRA_RATE) / self.snapshot.fleet_hosts as f64;
        let interval = Duration::from_secs_f64(1.0 / rate);
        let is_first_flow = self.trackers[index].next_cold_flow_at.is_zero();
        // The first flow waits for a random part of the interval, so that hosts spread out.
        let interval_fraction =
            if is_first_flow { (fingerprint % 1_024) as f64 / 1_024.0 } else { 1.0 };
        self.trackers[index].next_cold_flow_at = self.now + interval.mul_f64(interval_fraction);
        (!is_first_flow).then_some(index)
    }
}
