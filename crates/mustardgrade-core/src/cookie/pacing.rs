//! Slow start of upstreams, as far as it concerns flows that are routed by cookie.

use std::time::Duration;

use super::admission::AdmissionDecision;
use super::load_limit::REFUSE_ALL_LOAD;
use super::packet::FlowEvent;
use super::pick_cold::COLD_EXTRA_FLOWS_PER_SEC;
use super::picker::{LOAD_UNIT, PickCandidate, SPILL_LOAD, UpstreamPicker};
use super::router::CookieRouter;
use crate::flow::FlowPacket;
use crate::pace::{FULL_SHARE, PaceObservation, PaceShare, PacedView, RampChange, UpstreamPhase};

/// Mean load of the steady upstreams from which ramping ones get more than their limit: with half
/// of all slots in use, some upstreams already have no free one.
const NEEDED_FROM_LOAD: u64 = LOAD_UNIT / 2;

impl UpstreamPicker<'_> {
    /// Records the phases of the candidates, and marks those whose limit allows no flow now.
    pub(super) fn apply_pace(&mut self, candidates: &mut [PickCandidate]) {
        if !self.pace.is_adaptive() {
            return;
        }
        for candidate in candidates.iter() {
            self.pace.observe_phase(candidate.index, phase(candidate), self.now);
        }
        // An opening that is refused brings no upstream any load.
        if !self.pace.has_ramping() || self.admission == AdmissionDecision::Refuse {
            return;
        }
        let healthy = || candidates.iter().filter(|candidate| candidate.is_healthy());
        let total_slots: u64 = healthy().map(|candidate| candidate.slots).sum();
        let local = healthy().filter(|candidate| candidate.is_local);
        let local_slots: u64 = local.map(|candidate| candidate.slots).sum();
        let needed_share = self.needed_share(candidates);
        let mut is_any_limited = false;
        for candidate in candidates.iter_mut() {
            if !candidate.is_healthy() || !self.pace.is_ramping(candidate.index) {
                continue;
            }
            // Flows go to other data centres only while there is no capacity in this one.
            let (total_slots, hosts) = match candidate.is_local {
                true => (local_slots, self.snapshot.local_hosts),
                false => (total_slots, self.snapshot.fleet_hosts),
            };
            let hosts = u32::try_from(hosts).unwrap_or(u32::MAX).max(1);
            let min_interval = self.detection.probe_interval.saturating_mul(hosts);
            let own_slots = candidate.slots;
            // An upstream with a queue gets no flow beyond its limit.
            let has_queue = candidate.load >= SPILL_LOAD || candidate.is_slow;
            let min_limit = if has_queue { 0 } else { needed_share };
            let share = PaceShare { own_slots, total_slots, min_limit, min_interval };
            let is_owed = self.pace.credit(candidate.index, share, self.now);
            let is_first_choice = candidate.is_local || local_slots == 0;
            candidate.is_owed_flow = is_owed && is_first_choice && !has_queue;
            candidate.is_limited = !is_owed;
            is_any_limited |= candidate.is_limited;
            // Hosts that saved up what an upstream could not take would send it all at once later.
            if is_owed && !candidate.is_owed_flow {
                self.pace.forfeit(candidate.index, self.now);
            }
        }
        if is_any_limited {
            self.pace.count_limited();
        }
    }

    /// Returns the share that ramping upstreams get at least. It grows to the full one as the load
    /// of the others comes close to their slots.
    fn needed_share(&self, candidates: &[PickCandidate]) -> u32 {
        let is_steady = |candidate: &&PickCandidate| {
            candidate.is_healthy() && !self.pace.is_ramping(candidate.index)
        };
        let sums = candidates.iter().filter(is_steady).fold((0, 0), |(load, slots), candidate| {
            (load + candidate.load * candidate.slots, slots + candidate.slots)
        });
        let mean_load = sums.0.checked_div(sums.1).unwrap_or(LOAD_UNIT);
        let excess = mean_load.saturating_sub(NEEDED_FROM_LOAD);
        let share = excess * u64::from(FULL_SHARE) / (LOAD_UNIT - NEEDED_FROM_LOAD);
        share.min(u64::from(FULL_SHARE)) as u32
    }

    /// Returns a cold upstream to try although a warm one is left, so that its pace is known when
    /// it turns warm.
    pub(super) fn trial_candidate(
        &mut self,
        candidates: &[PickCandidate],
        fingerprint: u64,
    ) -> Option<usize> {
        if !self.pace.is_adaptive() || self.snapshot.fleet_hosts == 0 {
            return None;
        }
        // Without a healthy upstream, cold ones are selected at their full rate.
        if !candidates.iter().any(PickCandidate::is_healthy) {
            return None;
        }
        let phase = (fingerprint % 1_024) as f64 / 1_024.0;
        for candidate in candidates {
            let index = candidate.index;
            let is_open = candidate.is_cold && !candidate.is_suspected;
            if !is_open || self.now < self.trackers[index].next_cold_flow_at {
                continue;
            }
            let rate = self.snapshot.upstreams[index].cold_rate + COLD_EXTRA_FLOWS_PER_SEC;
            if self.pace.is_trial_due(index, rate, phase, self.now) {
                let interval = self.snapshot.fleet_hosts as f64 / rate;
                self.trackers[index].next_cold_flow_at =
                    self.now + Duration::from_secs_f64(interval);
                return Some(index);
            }
        }
        None
    }

    /// Returns a ramping upstream that has got fewer flows than its limit allows.
    ///
    /// It gets its share whatever its load is beside that of the others, as long as no requests
    /// wait there: the share does not depend on late reports, by which hosts would move together.
    pub(super) fn owed_candidate<'c>(
        &self,
        candidates: &'c [PickCandidate],
        fingerprint: u64,
    ) -> Option<&'c PickCandidate> {
        let owed = candidates.iter().filter(|candidate| candidate.is_owed_flow);
        owed.max_by_key(|candidate| self.score(candidate.index, fingerprint))
    }

    /// Returns the ramping upstream that takes a flow beyond its limit, since `best`, the best of
    /// the others, is as good as full.
    ///
    /// The share of flows that it takes grows with the load of the others. Hosts learn late of what
    /// the others have added, and would all move at the same time if it did not.
    pub(super) fn relief_candidate<'c>(
        &self,
        candidates: &'c [PickCandidate],
        best: Option<&PickCandidate>,
        fingerprint: u64,
        priority: u32,
    ) -> Option<&'c PickCandidate> {
        if !self.pace.has_ramping() {
            return None;
        }
        let threshold = SPILL_LOAD + (fingerprint >> 16) % (REFUSE_ALL_LOAD - SPILL_LOAD);
        if best.is_some_and(|best| best.load < threshold) {
            return None;
        }
        let relief = self.least_cost(candidates, fingerprint, priority, true)?;
        best.is_none_or(|best| relief.load < best.load).then_some(relief)
    }
}

fn phase(candidate: &PickCandidate) -> UpstreamPhase {
    match (candidate.is_cold, candidate.is_suspected) {
        (_, true) => UpstreamPhase::Suspected,
        (true, false) => UpstreamPhase::Cold,
        (false, false) => UpstreamPhase::Serving,
    }
}

impl CookieRouter {
    /// Passes the upstreams of the installed snapshot to the slow start.
    pub(super) fn install_paces(&mut self) {
        let views = self.snapshot.upstreams.iter().map(|view| PacedView {
            cookie: view.cookie,
            service: view.service,
            cold_until: view.cold_until,
        });
        self.pace.install(views, self.snapshot.fleet_hosts);
    }

    /// Raises the limits of ramping upstreams when due, and reports begins and ends of ramps.
    pub(super) fn advance_paces(&mut self, now: Duration) {
        if !self.pace.is_advance_due(now) {
            return;
        }
        let (snapshot, trackers, peers) = (&self.snapshot, &self.trackers, &self.peer_loads);
        self.pace.advance(now, |index| {
            let (view, tracker) = (&snapshot.upstreams[index], &trackers[index]);
            let in_flight = u64::from(tracker.merged_with_peers(peers[index]).in_flight());
            PaceObservation {
                accepts_flows: view.accepts_flows(now),
                has_queue: in_flight * LOAD_UNIT / u64::from(view.slots) >= SPILL_LOAD,
                last_alive: peers[index].last_alive,
                hosts: if view.is_local { snapshot.local_hosts } else { snapshot.fleet_hosts },
            }
        });
        self.counters.pace = *self.pace.counters();
        self.events.extend(self.pace.drain_changes().map(|change| match change {
            RampChange::Begun(cookie, cause) => FlowEvent::RampBegun { cookie, cause },
            RampChange::Ended(cookie, duration, phase) => {
                FlowEvent::RampEnded { cookie, duration, phase }
            }
        }));
    }

    /// Records the answer to a request that was forwarded at `sent_at` as in time or late, by the
    /// latency objective of its route.
    pub(super) fn record_pace_answer(
        &mut self,
        index: usize,
        segment: &FlowPacket,
        sent_at: Duration,
        now: Duration,
    ) {
        if !self.pace.awaits_evidence(index) || self.is_delayed(now) {
            return;
        }
        let Some(route) = self.snapshot.routes.get(&segment.key.service) else { return };
        let is_in_time = now.saturating_sub(sent_at) <= route.config.latency_objective;
        // The next request acknowledges an answer that may have come in time long before.
        if is_in_time || segment.payload_length == 0 {
            self.pace.record_answer(index, is_in_time, now);
        }
    }
}
