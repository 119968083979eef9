//! The choice of an upstream for a new flow.

use std::time::Duration;

use super::load::PeerLoads;
use super::snapshot::{CookieRoute, CookieSnapshot, UpstreamView};
use super::track::{TrackOptions, UpstreamTrack};
use crate::identity::{ServiceId, rendezvous_score};

/// Cost of an upstream whose slots are all in use.
const LOAD_UNIT: u64 = 1_024;

/// Load from which on another data centre is looked at; a short queue costs less than the way.
const FULL_LOAD: u64 = LOAD_UNIT * 7 / 4;

/// Differences of load below this one are left to the hash while a slot is free.
const LOAD_STEP: u64 = LOAD_UNIT / 2;

/// Open flows that an upstream may have, in percent of its share by slots, before they count.
const OPEN_SLACK_PERCENT: u64 = 120;

/// Cost of an open flow beyond that, divided by the slots: most open flows are idle.
const OPEN_COST: u64 = 128;

/// Cost of another data centre: a flow there breaks when the data centres are cut off.
const REMOTE_COST: u64 = 768;

/// New flows a second that all hosts together send to one cold upstream beyond its stated rate.
const COLD_ALLOWANCE: f64 = 1.0;

/// Load up to which every new flow is taken, whatever its priority: its request waits for little
/// more than one other at each slot.
const TAKE_LOAD: u64 = LOAD_UNIT * 9 / 4;

/// Load from which on no new flow is taken; what waits longer is late.
const REFUSE_LOAD: u64 = LOAD_UNIT * 7 / 2;

/// Load that a step of priority is worth: the least urgent is refused first.
const PRIORITY_LOAD: u64 = LOAD_UNIT / 4;

/// Least urgent priority that is told apart.
const LEAST_PRIORITY: u32 = 3;

/// `PickOutcome` is what becomes of a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PickOutcome {
    /// It goes to an upstream.
    Picked(PickedUpstream),
    /// Every upstream has so much to do that the flow's request would be late and delay others.
    Full,
    /// No upstream takes new flows.
    Nothing,
}

/// `PickedUpstream` is the upstream chosen for a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PickedUpstream {
    /// Position in the snapshot.
    pub(super) at: usize,
    /// Whether it is cold.
    pub(super) cold: bool,
    /// Whether it stands in another data centre.
    pub(super) spilled: bool,
    /// Whether every upstream that takes flows is suspected.
    pub(super) stranded: bool,
}

/// `PickScratch` is memory that one choice after the other uses, so that none allocates.
#[derive(Debug, Default)]
pub(super) struct PickScratch {
    /// Positions of the upstreams that take new flows.
    candidates: Vec<usize>,
    /// The warm, unsuspected ones of them with what all hosts have inferred.
    sound: Vec<(usize, UpstreamTrack)>,
}

/// `UpstreamPicker` chooses among the upstreams of a snapshot.
pub(super) struct UpstreamPicker<'a> {
    pub(super) snapshot: &'a CookieSnapshot,
    pub(super) tracks: &'a mut [UpstreamTrack],
    pub(super) peers: &'a PeerLoads,
    pub(super) options: &'a TrackOptions,
    pub(super) scratch: &'a mut PickScratch,
    pub(super) now: Duration,
}

impl UpstreamPicker<'_> {
    /// Chooses the service of a new flow by the weights of the route.
    pub(super) fn service(route: &CookieRoute, fingerprint: u64) -> Option<ServiceId> {
        let total: u64 = route.plan.backends.iter().map(|b| u64::from(b.weight)).sum();
        let mut drawn = fingerprint.checked_rem(total)?;
        for backend in &route.plan.backends {
            let weight = u64::from(backend.weight);
            if drawn < weight {
                return Some(backend.service);
            }
            drawn -= weight;
        }
        None
    }

    /// Chooses an upstream of `service`, other than `avoid`, for a flow of some priority.
    pub(super) fn pick(
        &mut self,
        service: ServiceId,
        fingerprint: u64,
        priority: u32,
        avoid: Option<usize>,
    ) -> PickOutcome {
        let Some(positions) = self.snapshot.by_service.get(&service) else {
            return PickOutcome::Nothing;
        };
        let mut candidates = std::mem::take(&mut self.scratch.candidates);
        let usable =
            |at: &usize| Some(*at) != avoid && self.snapshot.upstreams[*at].takes_flows(self.now);
        candidates.clear();
        candidates.extend(positions.iter().copied().filter(usable));
        let outcome = self.pick_among(&candidates, fingerprint, priority);
        self.scratch.candidates = candidates;
        outcome
    }

    fn pick_among(&mut self, candidates: &[usize], fingerprint: u64, priority: u32) -> PickOutcome {
        if let Some(at) = self.trial(candidates) {
            return PickOutcome::Picked(self.picked(at, false));
        }
        if let Some(at) = self.cheapest(candidates, fingerprint) {
            return match self.takes(at, priority, fingerprint) {
                true => PickOutcome::Picked(self.picked(at, false)),
                false => PickOutcome::Full,
            };
        }
        if let Some(at) = self.cold(candidates, fingerprint) {
            return PickOutcome::Picked(self.picked(at, true));
        }
        // Every warm upstream is suspected: one of them may live all the same.
        let warm = candidates.iter().copied().filter(|at| !self.view(*at).is_cold(self.now));
        match warm.max_by_key(|at| rendezvous_score(fingerprint, self.view(*at).tag)) {
            Some(at) => {
                PickOutcome::Picked(PickedUpstream { stranded: true, ..self.picked(at, false) })
            }
            None => PickOutcome::Nothing,
        }
    }

    /// Tells whether the best upstream still takes a flow of `priority`.
    ///
    /// Between the two bounds flows are taken by lot, fewer the more there is to do: hosts hear of
    /// each other's work a moment late, and would else all take and all refuse together.
    fn takes(&self, at: usize, priority: u32, fingerprint: u64) -> bool {
        let load = u64::from(self.track(at).work()) * LOAD_UNIT / u64::from(self.view(at).slots);
        let urgent = u64::from(LEAST_PRIORITY - priority.min(LEAST_PRIORITY)) * PRIORITY_LOAD;
        let (take, refuse) = (TAKE_LOAD + urgent, REFUSE_LOAD + urgent);
        let lot = (fingerprint >> 32) % (refuse - take);
        load < take || (load < refuse && load + lot < refuse)
    }

    fn view(&self, at: usize) -> &UpstreamView {
        &self.snapshot.upstreams[at]
    }

    fn picked(&self, at: usize, cold: bool) -> PickedUpstream {
        PickedUpstream { at, cold, spilled: !self.view(at).local, stranded: false }
    }

    /// Returns a suspected upstream that is due to be tried.
    fn trial(&mut self, candidates: &[usize]) -> Option<usize> {
        let due = candidates.iter().copied().find(|at| {
            let track = self.track(*at);
            track.is_suspected(self.options)
                && track.may_try(self.options, self.now)
                && !self.view(*at).is_cold(self.now)
        })?;
        // Suspected upstreams of another data centre are most likely cut off together.
        let (local, data_centre) = (self.view(due).local, self.view(due).data_centre);
        for at in candidates.iter().copied() {
            let together = !local && self.view(at).data_centre == data_centre;
            if at == due || (together && self.tracks[at].is_suspected(self.options)) {
                self.tracks[at].note_trial(self.now);
            }
        }
        Some(due)
    }

    /// Returns a warm, unsuspected upstream that a new flow hardly waits at.
    ///
    /// Upstreams of this data centre come first while any of them has room. Those that differ little
    /// are taken by hash: an upstream that has ended draws no work, and must not look best for it.
    fn cheapest(&mut self, candidates: &[usize], fingerprint: u64) -> Option<usize> {
        let mut sound = std::mem::take(&mut self.scratch.sound);
        let tracked = candidates.iter().map(|at| (*at, self.track(*at)));
        sound.clear();
        sound.extend(tracked.filter(|(at, track)| {
            !self.view(*at).is_cold(self.now) && !track.is_suspected(self.options)
        }));
        let choice = self.cheapest_of(&sound, fingerprint);
        self.scratch.sound = sound;
        choice
    }

    fn cheapest_of(&self, sound: &[(usize, UpstreamTrack)], fingerprint: u64) -> Option<usize> {
        let open: u64 = sound.iter().map(|(_, track)| u64::from(track.open)).sum();
        let slots: u64 = sound.iter().map(|(at, _)| u64::from(self.view(*at).slots)).sum();
        let choice = sound.iter().min_by_key(|(at, track)| {
            let view = self.view(*at);
            let own = u64::from(view.slots);
            let waiting = u64::from(track.work()) * LOAD_UNIT / own;
            let doubtful = track.is_doubtful(self.options, self.now);
            let local = view.local && waiting < FULL_LOAD;
            let usual = (open * own * OPEN_SLACK_PERCENT / 100).checked_div(slots);
            let excess = u64::from(track.open).saturating_sub(usual.unwrap_or_default() + 1);
            let load = if waiting < LOAD_UNIT { waiting / LOAD_STEP * LOAD_STEP } else { waiting };
            let cost = load + excess * OPEN_COST / own;
            let distance = if view.local { 0 } else { REMOTE_COST };
            let score = rendezvous_score(fingerprint, view.tag);
            (doubtful, !local, cost + distance, std::cmp::Reverse(score))
        });
        choice.map(|(at, _)| *at)
    }

    /// Returns what all hosts together have inferred of an upstream.
    fn track(&self, at: usize) -> UpstreamTrack {
        let track = self.tracks[at];
        track.with_peers(self.peers.get(track.cookie))
    }

    /// Returns a cold upstream whose shared budget allows this host one more flow now.
    fn cold(&mut self, candidates: &[usize], fingerprint: u64) -> Option<usize> {
        if self.snapshot.hosts == 0 {
            return None;
        }
        let cold = candidates.iter().copied().filter(|at| self.view(*at).is_cold(self.now));
        let at = cold
            .filter(|at| self.now >= self.tracks[*at].next_cold)
            .max_by_key(|at| rendezvous_score(fingerprint, self.view(*at).tag))?;
        let rate = (self.view(at).cold_rate + COLD_ALLOWANCE) / self.snapshot.hosts as f64;
        let interval = Duration::from_secs_f64(1.0 / rate);
        let first = self.tracks[at].next_cold.is_zero();
        // The first flow waits for a random part of the interval, so that hosts spread out.
        let share = if first { (fingerprint % 1_024) as f64 / 1_024.0 } else { 1.0 };
        self.tracks[at].next_cold = self.now + interval.mul_f64(share);
        (!first).then_some(at)
    }
}
