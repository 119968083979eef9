//! Paces of all upstreams of a host that places flows by cookie.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::paced_upstream::{
    FULL_SHARE, PaceObservation, PaceShare, PacedUpstream, PacedView, RISE_INTERVAL,
    ServiceEvidence,
};
use super::pacing::{Pacing, RampCause, UpstreamPhase};
use super::upstream_pace::PaceState;
use crate::cookie::FlowCookie;
use crate::identity::rendezvous_score;

/// Answers in time for each rise and upstream, summed over all hosts.
const ANSWERS_PER_RISE: usize = 2;

/// Rise intervals after which the limit rises at a host that has sent the upstream nothing, and so
/// cannot tell its pace. The answers to the other hosts decide meanwhile.
const UNTRIED_INTERVALS: u32 = 8;

/// Answers in time for each late one from which the limit rises.
const MIN_IN_TIME_PER_LATE: usize = 4;

/// Interval at which limits are raised.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the first snapshot within which upstreams that appear are taken for running ones that
/// this host has not read of before.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Credit that one new flow costs. With each new flow of the host, a ramping upstream gains this,
/// times its part of the slots, times its limit as a part of the full share.
const FLOW_CREDIT: u64 = 1_000_000;

/// Number of intervals of the fleet-wide cold limit between two trials of a cold upstream while
/// warm ones are left. Up to that many groups of hosts that do not hear each other, each of which
/// counts only its own hosts, stay within the limit together.
const TRIAL_INTERVALS: u32 = 4;

/// `PaceCounters` are the monotonic counters of a [`PaceTable`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PaceCounters {
    /// Ramps that have begun.
    pub ramps_begun: u64,
    /// Ramps that have ended, also since the upstream failed or left.
    pub ramps_ended: u64,
    /// New flows for which a ramping upstream was left out, since its limit was reached.
    pub openings_limited: u64,
}

/// `RampChange` is the begin or the end of the ramp of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RampChange {
    /// The ramp has begun.
    Begun(FlowCookie, RampCause),
    /// The ramp has ended after this time, in this phase of the upstream.
    Ended(FlowCookie, Duration, UpstreamPhase),
}

/// `PaceTable` limits the new flows of this host to each upstream that has started or recovered.
#[derive(Debug, Clone, Default)]
pub struct PaceTable {
    pacing: Pacing,
    entries: Vec<PacedUpstream>,
    /// Phases of the entries, apart from them since each new flow compares all of them.
    phases: Vec<Option<UpstreamPhase>>,
    evidence: Vec<ServiceEvidence>,
    changes: Vec<RampChange>,
    counters: PaceCounters,
    ramping: usize,
    loaded_at: Option<Duration>,
    next_advance_at: Duration,
    /// Largest number of hosts in the fleet that this host has known of.
    peak_fleet_hosts: usize,
}

impl PaceTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(pacing: Pacing) -> Self {
        Self { pacing, ..Self::default() }
    }

    /// Returns whether the table limits anything.
    #[must_use]
    pub fn is_adaptive(&self) -> bool {
        self.pacing == Pacing::Adaptive
    }

    /// Returns the counters since the table was created.
    #[must_use]
    pub fn counters(&self) -> &PaceCounters {
        &self.counters
    }

    /// Removes and returns the begins and ends of ramps since the last call.
    pub fn drain_changes(&mut self) -> std::vec::Drain<'_, RampChange> {
        self.changes.drain(..)
    }

    /// Installs the upstreams of a snapshot; those that the table has already keep their pace.
    pub fn install(&mut self, views: impl Iterator<Item = PacedView>, fleet_hosts: usize) {
        if !self.is_adaptive() {
            return;
        }
        self.peak_fleet_hosts = self.peak_fleet_hosts.max(fleet_hosts);
        // The first snapshots after a start list upstreams that have been running for long.
        let is_settled =
            self.loaded_at.is_some_and(|at| self.next_advance_at >= at + SETTLING_TIME);
        let mut previous: HashMap<FlowCookie, PacedUpstream> =
            self.entries.drain(..).map(|entry| (entry.view.cookie, entry)).collect();
        self.entries.extend(views.map(|view| match previous.remove(&view.cookie) {
            Some(entry) => PacedUpstream { view, ..entry },
            None => PacedUpstream::new(view, is_settled),
        }));
        self.phases.clear();
        self.phases.extend(self.entries.iter().map(|entry| entry.phase));
        self.changes.reserve(self.entries.len() * 2);
        let lost = previous.values().filter(|entry| entry.is_ramping()).count();
        self.ramping -= lost;
        self.counters.ramps_ended += lost as u64;
    }

    /// Records the phase in which an upstream is seen, which may begin or end its ramp.
    pub fn observe_phase(&mut self, index: usize, phase: UpstreamPhase, now: Duration) {
        if self.phases.get(index).is_none_or(|known| *known == Some(phase)) {
            return;
        }
        self.phases[index] = Some(phase);
        let entry = &mut self.entries[index];
        let previous = entry.phase.replace(phase);
        if phase == UpstreamPhase::Cold {
            // Each cold phase begins at a random time of this host; otherwise all hosts would try
            // the upstream at once.
            entry.next_trial_at = None;
        }
        if phase != UpstreamPhase::Serving {
            entry.pace.restart(now);
            return self.end_ramp(index, phase, now);
        }
        let cause = match previous {
            None => entry.first_cause(now),
            Some(UpstreamPhase::Cold) => Some(RampCause::Started),
            Some(UpstreamPhase::Suspected) => Some(RampCause::Recovered),
            Some(UpstreamPhase::Away) => Some(RampCause::Returned),
            Some(UpstreamPhase::Serving) => None,
        };
        let Some(cause) = cause else { return };
        match cause {
            // The answers of the cold upstream show its pace.
            RampCause::Started if previous.is_some() => {}
            RampCause::Started | RampCause::Returned => entry.pace.restart(now),
            RampCause::Recovered => {
                entry.pace.restart(now);
                // It has answered a probe.
                entry.pace.record_in_time();
            }
        }
        entry.ramp_began_at = Some(now);
        // The credits begin at random, so that the first flows of the hosts do not come together.
        let seed = now.as_nanos() as u64;
        entry.credit = rendezvous_score(u64::from(entry.view.cookie.0), seed) % FLOW_CREDIT;
        entry.last_owed_at = now;
        entry.is_tried = false;
        self.ramping += 1;
        self.counters.ramps_begun += 1;
        let change = RampChange::Begun(entry.view.cookie, cause);
        self.note_change(change);
    }

    /// Returns whether any upstream is ramping.
    #[must_use]
    pub fn has_ramping(&self) -> bool {
        self.ramping > 0
    }

    /// Returns the limit of an upstream, in thousandths of its share by slots.
    #[must_use]
    pub fn limit(&self, index: usize) -> u32 {
        self.entries.get(index).map_or(FULL_SHARE, |entry| entry.pace.limit().min(FULL_SHARE))
    }

    /// Returns whether an upstream is ramping.
    #[must_use]
    pub fn is_ramping(&self, index: usize) -> bool {
        self.entries.get(index).is_some_and(PacedUpstream::is_ramping)
    }

    /// Credits a ramping upstream with its share of a new flow; returns whether it may get the
    /// flow.
    pub fn credit(&mut self, index: usize, share: PaceShare, now: Duration) -> bool {
        let Some(entry) = self.entries.get_mut(index) else { return true };
        let limit = u64::from(entry.pace.limit().min(FULL_SHARE).max(share.min_limit));
        let flow_credit = limit * (FLOW_CREDIT / u64::from(FULL_SHARE));
        let credit = share.own_slots * flow_credit / share.total_slots.max(1);
        // At most two flows may follow each other at once.
        entry.credit = (entry.credit + credit).min(FLOW_CREDIT * 2);
        entry.credit >= FLOW_CREDIT || now.saturating_sub(entry.last_owed_at) >= share.min_interval
    }

    /// Takes back the credit for a flow that a ramping upstream cannot take.
    pub fn forfeit(&mut self, index: usize, now: Duration) {
        if let Some(entry) = self.entries.get_mut(index) {
            entry.credit = entry.credit.saturating_sub(FLOW_CREDIT);
            entry.last_owed_at = now;
        }
    }

    /// Counts a new flow for which a ramping upstream was left out.
    pub fn count_limited(&mut self) {
        self.counters.openings_limited += 1;
    }

    /// Records that this host adds a flow at an upstream.
    pub fn record_opening(&mut self, index: usize, now: Duration) {
        let Some(entry) = self.entries.get_mut(index) else { return };
        entry.credit = entry.credit.saturating_sub(FLOW_CREDIT);
        entry.last_owed_at = now;
        entry.is_tried = true;
    }

    /// Returns whether the answers of an upstream count: it is ramping or cold.
    #[must_use]
    pub fn awaits_evidence(&self, index: usize) -> bool {
        let entry = self.entries.get(index);
        entry.is_some_and(|entry| entry.pace.state() == PaceState::Ramping)
    }

    /// Records an answer of an upstream.
    pub fn record_answer(&mut self, index: usize, is_in_time: bool, now: Duration) {
        let Some(entry) = self.entries.get_mut(index) else { return };
        match is_in_time {
            true => entry.pace.record_in_time(),
            false => entry.pace.record_late(now),
        }
    }

    /// Records a flow that an upstream has left unanswered.
    pub fn record_missing(&mut self, index: usize, now: Duration) {
        let Some(entry) = self.entries.get_mut(index) else { return };
        if entry.pace.state() == PaceState::Ramping {
            entry.pace.record_missing(now);
        }
    }

    /// Returns whether this host may try a cold upstream now, although warm ones are left. The
    /// fleet may send it `rate` flows per second.
    ///
    /// The first trial waits for the fraction `phase` of the interval, to spread the hosts out.
    pub fn is_trial_due(&mut self, index: usize, rate: f64, phase: f64, now: Duration) -> bool {
        let hosts = self.peak_fleet_hosts as f64;
        let Some(entry) = self.entries.get_mut(index) else { return false };
        let interval = Duration::from_secs_f64(f64::from(TRIAL_INTERVALS) * hosts / rate);
        let next_trial_at =
            *entry.next_trial_at.get_or_insert_with(|| now + interval.mul_f64(phase));
        let is_due = now >= next_trial_at;
        if is_due {
            entry.next_trial_at = Some(now + interval);
        }
        is_due
    }

    /// Returns whether limits are to be raised now.
    #[must_use]
    pub fn is_advance_due(&self, now: Duration) -> bool {
        self.is_adaptive() && now >= self.next_advance_at
    }

    /// Raises the limits of the ramping upstreams whose answers allow it, and notes upstreams that
    /// accept no flows. `observe` returns what is known of an upstream besides its answers here.
    pub fn advance(&mut self, now: Duration, observe: impl Fn(usize) -> PaceObservation) {
        self.next_advance_at = now + ADVANCE_INTERVAL;
        if !self.entries.is_empty() {
            self.loaded_at.get_or_insert(now);
        }
        for index in 0..self.entries.len() {
            if !observe(index).accepts_flows {
                self.observe_phase(index, UpstreamPhase::Away, now);
            }
        }
        if self.ramping == 0 {
            return;
        }
        self.sum_evidence(&observe);
        for index in 0..self.entries.len() {
            let observation = observe(index);
            if self.may_rise(index, &observation, now) {
                let entry = &mut self.entries[index];
                entry.pace.rise(now);
                entry.is_tried = false;
                if entry.pace.state() == PaceState::Steady {
                    self.end_ramp(index, UpstreamPhase::Serving, now);
                }
            }
        }
    }

    /// Sums the answers of the ramping upstreams by service.
    fn sum_evidence(&mut self, observe: &impl Fn(usize) -> PaceObservation) {
        self.evidence.clear();
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if !entry.is_ramping() {
                continue;
            }
            // An answer to any other host counts as one, however many hosts report it.
            if entry.pace.in_time() == 0 && observe(index).last_alive > entry.pace.changed_at() {
                entry.pace.record_in_time();
            }
            let service = entry.view.service;
            let known = self.evidence.iter().position(|sum| sum.service == service);
            let position = known.unwrap_or(self.evidence.len());
            if known.is_none() {
                self.evidence.push(ServiceEvidence { service, upstreams: 0, in_time: 0, late: 0 });
            }
            let sum = &mut self.evidence[position];
            sum.upstreams += 1;
            sum.in_time += usize::from(entry.pace.in_time());
            sum.late += usize::from(entry.pace.late());
        }
    }

    /// Returns whether the limit of a ramping upstream rises now: by its own answers, or by those
    /// of the others that ramp with it if it has shown nothing, since one host sees few of them.
    fn may_rise(&self, index: usize, observation: &PaceObservation, now: Duration) -> bool {
        let entry = &self.entries[index];
        if !entry.is_ramping() || observation.has_queue || !entry.pace.is_interval_over(now) {
            return false;
        }
        let needed = |upstreams: usize| ANSWERS_PER_RISE * upstreams / observation.hosts.max(1);
        let (in_time, late) = (usize::from(entry.pace.in_time()), usize::from(entry.pace.late()));
        if in_time + late > 0 {
            return in_time >= needed(1).max(1) && is_mostly_in_time(in_time, late);
        }
        let untried_for = now.saturating_sub(entry.pace.changed_at());
        if !entry.is_tried && untried_for >= RISE_INTERVAL * UNTRIED_INTERVALS {
            return true;
        }
        let group = self.evidence.iter().find(|sum| sum.service == entry.view.service);
        group.is_some_and(|sum| {
            sum.in_time >= needed(sum.upstreams).max(1) && is_mostly_in_time(sum.in_time, sum.late)
        })
    }

    fn end_ramp(&mut self, index: usize, phase: UpstreamPhase, now: Duration) {
        let entry = &mut self.entries[index];
        let Some(began_at) = entry.ramp_began_at.take() else { return };
        self.ramping -= 1;
        self.counters.ramps_ended += 1;
        let duration = now.saturating_sub(began_at);
        let change = RampChange::Ended(entry.view.cookie, duration, phase);
        self.note_change(change);
    }

    /// Notes a change for the log, unless more of them wait than can be logged anyway.
    fn note_change(&mut self, change: RampChange) {
        if self.changes.len() < self.changes.capacity() {
            self.changes.push(change);
        }
    }
}

/// Returns whether late answers are as few as slow requests cause in normal operation.
fn is_mostly_in_time(in_time: usize, late: usize) -> bool {
    late * MIN_IN_TIME_PER_LATE <= in_time
}
