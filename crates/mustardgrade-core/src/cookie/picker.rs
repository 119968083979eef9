//! Upstream selection for new flows.

use std::time::Duration;

use super::load::PeerLoads;
use super::snapshot::{CookieRoute, CookieSnapshot, UpstreamView};
use super::tracker::{FailureDetectionOptions, UpstreamTracker};
use crate::identity::{ServiceId, rendezvous_score};

/// Load of an upstream with as many requests in flight as it has slots.
const LOAD_UNIT: u64 = 1_024;

/// Load from which upstreams of other data centres are considered; below it, a short queue costs
/// less than the distance.
const SPILL_LOAD: u64 = LOAD_UNIT * 7 / 4;

/// Granularity of load while a slot is free; upstreams within one step are ordered by hash.
const LOAD_GRANULARITY: u64 = LOAD_UNIT / 2;

/// Open flows that an upstream may have without extra cost, in percent of its share of all open
/// flows by slots.
const OPEN_FLOWS_ALLOWANCE_PERCENT: u64 = 120;

/// Cost of each open flow beyond that allowance on an upstream with one slot, inversely
/// proportional to the slots; low, since most open flows are idle.
const EXCESS_FLOW_COST: u64 = 128;

/// Extra cost of an upstream in another data centre, where a flow breaks if the network between the
/// data centres fails.
const REMOTE_COST: u64 = 768;

/// New flows per second that all hosts together may assign to a cold upstream in addition to its
/// configured rate.
const COLD_EXTRA_FLOWS_PER_SEC: f64 = 1.0;

/// Load below which new flows of any priority are admitted; a request then waits for little more
/// than one other per slot.
const ADMIT_ALL_LOAD: u64 = LOAD_UNIT * 9 / 4;

/// Load from which no new flow of the lowest priority is admitted, since its request would miss the
/// latency objective.
const REFUSE_ALL_LOAD: u64 = LOAD_UNIT * 7 / 2;

/// Amount by which both limits rise per priority step, so that the least urgent flows are refused
/// first.
const PRIORITY_LOAD_STEP: u64 = LOAD_UNIT / 4;

/// Least urgent priority; larger priority values are treated as this one.
const LOWEST_PRIORITY: u32 = 3;

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
}

/// `PickBuffers` are buffers that are reused for each selection, so that none allocates.
#[derive(Debug, Default)]
pub(super) struct PickBuffers {
    /// Indices of the upstreams that accept new flows.
    candidates: Vec<usize>,
    /// The candidates that are neither cold nor suspected, each with its tracker merged with the
    /// other hosts' reports.
    healthy: Vec<(usize, UpstreamTracker)>,
}

/// `UpstreamPicker` selects upstreams from a snapshot by load, health and locality.
pub(super) struct UpstreamPicker<'a> {
    pub(super) snapshot: &'a CookieSnapshot,
    pub(super) trackers: &'a mut [UpstreamTracker],
    pub(super) peers: &'a PeerLoads,
    pub(super) detection: &'a FailureDetectionOptions,
    pub(super) buffers: &'a mut PickBuffers,
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
        // All warm upstreams are suspected, but one of them may be alive nevertheless.
        let warm = candidates.iter().copied().filter(|index| !self.view(*index).is_cold(self.now));
        match warm.max_by_key(|index| rendezvous_score(fingerprint, self.view(*index).tag)) {
            Some(index) => PickOutcome::Picked(PickedUpstream {
                all_suspected: true,
                ..self.picked(index, false)
            }),
            None => PickOutcome::NoUpstream,
        }
    }

    /// Returns whether the selected upstream can take another flow of `priority`.
    ///
    /// Between the two limits the share of admitted flows, which are selected by hash, falls
    /// linearly with the load. Hosts learn of each other's load with a delay, so with a single
    /// threshold they would all admit and then all refuse at the same time.
    fn admits(&self, index: usize, priority: u32, fingerprint: u64) -> bool {
        let load = u64::from(self.merged_tracker(index).in_flight()) * LOAD_UNIT
            / u64::from(self.view(index).slots);
        let priority_margin =
            u64::from(LOWEST_PRIORITY - priority.min(LOWEST_PRIORITY)) * PRIORITY_LOAD_STEP;
        let (admit_all, refuse_all) =
            (ADMIT_ALL_LOAD + priority_margin, REFUSE_ALL_LOAD + priority_margin);
        let hash_offset = (fingerprint >> 32) % (refuse_all - admit_all);
        load < admit_all || (load < refuse_all && load + hash_offset < refuse_all)
    }

    fn view(&self, index: usize) -> &UpstreamView {
        &self.snapshot.upstreams[index]
    }

    fn picked(&self, index: usize, cold: bool) -> PickedUpstream {
        PickedUpstream { index, cold, spilled: !self.view(index).is_local, all_suspected: false }
    }

    /// Returns a suspected upstream that is due for a probe, and records the probe.
    fn probe_candidate(&mut self, candidates: &[usize]) -> Option<usize> {
        let probed = candidates.iter().copied().find(|index| {
            let tracker = self.merged_tracker(*index);
            tracker.is_suspected(self.detection)
                && tracker.is_probe_due(self.detection, self.now)
                && !self.view(*index).is_cold(self.now)
        })?;
        // Suspected upstreams of another data centre most likely became unreachable together, so
        // one probe counts for all of them.
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

    /// Returns the warm, unsuspected upstream with the lowest cost for a new flow.
    ///
    /// Upstreams of this data centre are preferred while any of them has capacity. Upstreams of
    /// similar load are ordered by hash; otherwise a crashed upstream, which has nothing in flight,
    /// would look best and attract all new flows.
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
                (open_flows * own_slots * OPEN_FLOWS_ALLOWANCE_PERCENT / 100).checked_div(slots);
            let excess_flows =
                u64::from(tracker.open_flows).saturating_sub(expected_open.unwrap_or_default() + 1);
            let rounded_load =
                if load < LOAD_UNIT { load / LOAD_GRANULARITY * LOAD_GRANULARITY } else { load };
            let cost = rounded_load + excess_flows * EXCESS_FLOW_COST / own_slots;
            let distance_cost = if view.is_local { 0 } else { REMOTE_COST };
            let score = rendezvous_score(fingerprint, view.tag);
            (is_slow, !is_preferred, cost + distance_cost, std::cmp::Reverse(score))
        });
        choice.map(|(index, _)| *index)
    }

    /// Returns the tracker of an upstream, including the other hosts' reports.
    fn merged_tracker(&self, index: usize) -> UpstreamTracker {
        let tracker = self.trackers[index];
        tracker.merged_with_peers(self.peers.get(tracker.cookie))
    }

    /// Returns a cold upstream whose fleet-wide rate limit allows this host another flow now.
    fn pick_cold(&mut self, candidates: &[usize], fingerprint: u64) -> Option<usize> {
        if self.snapshot.fleet_hosts == 0 {
            return None;
        }
        let cold = candidates.iter().copied().filter(|index| self.view(*index).is_cold(self.now));
        let index = cold
            .filter(|index| self.now >= self.trackers[*index].next_cold_flow_at)
            .max_by_key(|index| rendezvous_score(fingerprint, self.view(*index).tag))?;
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
