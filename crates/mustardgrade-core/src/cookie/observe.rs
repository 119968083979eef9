//! Inference of upstream load and liveness from the packets that callers send.

use std::time::Duration;

use super::flow_cookie::FlowCookie;
use super::load::{LoadEntry, LoadReport, MAX_REPORT_ENTRIES};
use super::observed_flows::{FlowStage, HolderEvidence, ObservedFlow};
use super::packet::{AnswerStage, CookiePacket, FlowEvent};
use super::router::{CookieRouter, FabricKind};
use super::tracker::UpstreamTracker;
use super::upstream_load::ASSUMED_ANSWER_DELAY;
use crate::flow::FlowPacket;

/// Minimum age of a pending request from which a retransmission of its payload makes the flow count
/// as unanswered.
const MIN_RETRANSMISSION_AGE: Duration = Duration::from_millis(150);

/// Time for which an upstream without requests in flight is still reported after it was last alive.
pub(super) const ALIVE_REPORT_WINDOW: Duration = Duration::from_secs(1);

/// Time for which a new flow that found only suspected upstreams is reported.
const ALL_SUSPECTED_TTL: Duration = Duration::from_millis(300);

impl CookieRouter {
    /// Updates the flow table and the upstream's tracker from a packet of an open flow.
    pub(super) fn observe_segment(
        &mut self,
        index: usize,
        packet: &CookiePacket,
        cookie: FlowCookie,
        now: Duration,
    ) {
        let segment = &packet.segment;
        let known = self.flows.get(&segment.key).copied();
        // After a delay, the flow may have been opened through another host.
        let accepted = known.filter(|flow| flow.is_accepted_by(segment) && !self.is_delayed(now));
        if let Some(opening) = &accepted {
            self.note_acceptance(opening, segment, cookie);
        }
        let is_acceptance = accepted.is_some();
        let known = known.filter(|flow| flow.cookie == cookie);
        let observed =
            known.or_else(|| self.insert_midstream(index, segment, cookie, is_acceptance, now));
        let Some(mut flow) = observed else { return };
        if is_acceptance {
            flow.holder_evidence = HolderEvidence::Acceptance;
        }
        let is_answered = flow.stage == FlowStage::Opening
            || segment.acknowledgement.wrapping_sub(flow.last_acknowledgement) as i32 > 0;
        let latest_arrival = self.latest_arrival(index, &flow, segment);
        if flow.stage == FlowStage::Opening {
            self.observe_opened(index, &mut flow, segment, now);
        }
        if is_answered || segment.payload_length > 0 {
            self.retract_refusal(index, &mut flow, segment, now);
        }
        if is_answered {
            self.observe_answer(index, &mut flow, segment, latest_arrival, now);
        }
        self.observe_outcome(index, &mut flow, segment, is_answered, now);
        if segment.payload_length > 0 {
            self.observe_payload(index, &mut flow, segment, now);
        }
        flow.last_seen = now;
        if let Some(entry) = self.flows.get_mut(&segment.key) {
            *entry = flow;
        }
    }

    /// Creates the entry of an open flow whose opening this host has not forwarded to the upstream
    /// of its packets; returns `None` if the flow table is full.
    fn insert_midstream(
        &mut self,
        index: usize,
        segment: &FlowPacket,
        cookie: FlowCookie,
        is_acceptance: bool,
        now: Duration,
    ) -> Option<ObservedFlow> {
        self.remove_flow(&segment.key);
        let flow = ObservedFlow::midstream(cookie, segment, now);
        if !self.flows.insert(segment.key, flow) {
            return None;
        }
        if segment.payload_length > 0 && !segment.closes_flow() {
            // Another host has received the packets so far, so the fabric moves flows.
            self.outliers.note_disturbance(now);
        }
        self.trackers[index].open_flows += 1;
        let is_prompt = is_acceptance || self.options.fabric == FabricKind::Any;
        if is_prompt && segment.is_pure_acknowledgement() {
            // Callers send a pure acknowledgement as soon as they receive something, so the upstream
            // was alive when it was sent.
            self.record_alive(index, self.assumed_arrival(now));
        }
        Some(flow)
    }

    /// Updates a flow whose opening was forwarded from the caller's first packet after it.
    fn observe_opened(
        &mut self,
        index: usize,
        flow: &mut ObservedFlow,
        segment: &FlowPacket,
        now: Duration,
    ) {
        flow.stage = FlowStage::Open;
        flow.opening_latency = Some(now.saturating_sub(flow.opened_at));
        self.push_answered(segment, AnswerStage::Opening, flow.opened_at, now);
        let tracker = &mut self.trackers[index];
        if std::mem::take(&mut flow.is_counted_in_flight) {
            tracker.pending_openings = tracker.pending_openings.saturating_sub(1);
        }
        tracker.open_flows += 1;
    }

    /// Updates a flow whose caller acknowledges new bytes, or the opening. `latest_arrival` is the
    /// latest time at which they may have arrived if no request awaits an answer.
    fn observe_answer(
        &mut self,
        index: usize,
        flow: &mut ObservedFlow,
        segment: &FlowPacket,
        latest_arrival: Duration,
        now: Duration,
    ) {
        flow.last_acknowledgement = segment.acknowledgement;
        let answered_at = flow.request_sent_at.unwrap_or(flow.opened_at);
        let mut alive_at = self.assumed_arrival(now).max(answered_at);
        if let Some(sent_at) = flow.request_sent_at.take() {
            if segment.payload_length > 0 {
                // The answer may have arrived long before this request, which acknowledges it.
                alive_at = alive_at.min(sent_at + ASSUMED_ANSWER_DELAY);
            }
            flow.holder_evidence = flow.holder_evidence.max(HolderEvidence::Answer);
            self.push_answered(segment, AnswerStage::Request, sent_at, now);
            self.record_pace_answer(index, segment, sent_at, now);
            // The evidence of a refusal decides whether the times below count, so it comes first.
            self.record_refusal_evidence(index, flow, segment, sent_at, now);
            self.record_admission_work(index, flow, segment, sent_at, now);
            self.record_speed_sample(index, flow, segment, sent_at, now);
            let counted_in_flight = u32::from(std::mem::take(&mut flow.is_counted_in_flight));
            self.trackers[index].pending_requests =
                self.trackers[index].pending_requests.saturating_sub(counted_in_flight);
        } else {
            alive_at = alive_at.min(latest_arrival);
        }
        flow.is_counted_unanswered = false;
        self.record_alive(index, alive_at);
    }

    pub(super) fn observe_payload(
        &mut self,
        index: usize,
        flow: &mut ObservedFlow,
        segment: &FlowPacket,
        now: Duration,
    ) {
        let payload_end = segment.sequence.wrapping_add(u32::from(segment.payload_length));
        let has_new_data = payload_end.wrapping_sub(flow.next_sequence) as i32 > 0;
        if has_new_data {
            flow.next_sequence = payload_end;
            let is_first = flow.holder_evidence == HolderEvidence::Acceptance
                && flow.last_data_sent_at.is_zero();
            flow.last_data_sent_at = now;
            // The caller could go on, so the upstream has acknowledged what came before.
            flow.is_counted_unanswered = false;
            if flow.request_sent_at.is_none() {
                self.count_admission_request(index, segment, is_first);
                self.count_request(index, flow, segment.key, now);
                self.watch_request(index, flow, segment, now);
            }
            return;
        }
        let is_of_another_host = (segment.sequence.wrapping_sub(flow.first_sequence) as i32) < 0;
        if flow.request_sent_at.is_none() || is_of_another_host {
            return;
        }
        // A caller that could send more data since its request began was acknowledged meanwhile.
        let sent_at = flow.last_data_sent_at;
        // The retransmission may have waited at this host together with the request.
        let min_age = self.received_after.saturating_sub(sent_at);
        if !flow.is_counted_unanswered && min_age >= MIN_RETRANSMISSION_AGE {
            flow.is_counted_unanswered = true;
            self.record_unanswered(index, sent_at, now);
        }
    }

    fn push_answered(
        &mut self,
        segment: &FlowPacket,
        stage: AnswerStage,
        sent_at: Duration,
        now: Duration,
    ) {
        let latency = now.saturating_sub(sent_at);
        self.events.push(FlowEvent::Answered { key: segment.key, stage, latency });
    }

    /// Returns the time that counts as the arrival of a packet that is routed now: the earliest
    /// possible one if the packet may have been delayed at this host.
    fn assumed_arrival(&self, now: Duration) -> Duration {
        if self.is_delayed(now) { self.received_after } else { now }
    }

    pub(super) fn record_alive(&mut self, index: usize, alive_at: Duration) {
        let tracker = &mut self.trackers[index];
        let was_suspected = tracker.is_suspected(&self.options.failure_detection);
        tracker.record_alive(alive_at);
        if was_suspected && !tracker.is_suspected(&self.options.failure_detection) {
            self.events.push(FlowEvent::Recovered { cookie: tracker.cookie });
        }
    }

    pub(super) fn record_unanswered(&mut self, index: usize, sent_at: Duration, now: Duration) {
        self.pace.record_missing(index, now);
        let (tracker, options) = (&mut self.trackers[index], &self.options.failure_detection);
        if tracker.record_unanswered(sent_at, options) {
            self.counters.suspicions_raised += 1;
            self.events.push(FlowEvent::Suspected {
                cookie: tracker.cookie,
                unanswered_flows: tracker.unanswered_flows,
                silence: now.saturating_sub(tracker.last_alive),
            });
        }
    }

    /// Returns the load report for the other hosts and updates reachability and utilisation.
    #[must_use]
    pub fn load_report(&mut self, now: Duration) -> LoadReport {
        self.update_reachability(now);
        self.advance_paces(now);
        self.update_utilisation(now);
        self.update_spillover(now);
        self.update_admission(now);
        self.refresh_load_model(now);
        self.update_ended_runs(now);
        let outcomes = self.update_outliers(now);
        for (view, tracker) in self.snapshot.upstreams.iter().zip(&mut self.trackers) {
            tracker.reported_in_flight = tracker.in_flight();
            if !view.is_cold(now) {
                // If it turns cold again, the hosts spread their first flows out anew.
                tracker.next_cold_flow_at = Duration::ZERO;
            }
        }
        let has_unanswered = |tracker: &&UpstreamTracker| tracker.unanswered_since().is_some();
        let is_reportable = |tracker: &&UpstreamTracker| {
            tracker.in_flight() > 0
                || (!tracker.last_alive.is_zero()
                    && now.saturating_sub(tracker.last_alive) < ALIVE_REPORT_WINDOW)
        };
        // Upstreams with unanswered flows come first. If the others exceed the maximum number of
        // entries, successive reports rotate through them.
        let with_unanswered = self.trackers.iter().filter(has_unanswered);
        let healthy =
            |tracker: &&UpstreamTracker| is_reportable(tracker) && !has_unanswered(tracker);
        let (before, after) = self.trackers.split_at(self.report_cursor.min(self.trackers.len()));
        let healthy = after.iter().filter(healthy).chain(before.iter().filter(healthy));
        let entries: Vec<LoadEntry> = with_unanswered
            .chain(healthy)
            .take(MAX_REPORT_ENTRIES)
            .map(|tracker| load_entry(tracker, now))
            .collect();
        self.report_cursor = match entries.len() < MAX_REPORT_ENTRIES {
            true => 0,
            false => (self.report_cursor + MAX_REPORT_ENTRIES) % self.trackers.len().max(1),
        };
        LoadReport {
            saturated: self.is_saturated(),
            complete: true,
            all_suspected: self
                .all_suspected_at
                .is_some_and(|picked_at| now.saturating_sub(picked_at) < ALL_SUSPECTED_TTL),
            speeds: self.load_model.report(&entries),
            entries,
            outcomes,
            holders: self.holder_announcements.next_message(),
        }
    }
}

fn load_entry(tracker: &UpstreamTracker, now: Duration) -> LoadEntry {
    let age = |since| saturate_u16(now.saturating_sub(since).as_millis() as u32);
    let unanswered_since = tracker.unanswered_since();
    LoadEntry {
        cookie: tracker.cookie,
        in_flight: saturate_u16(tracker.in_flight()),
        unanswered_flows: saturate_u16(tracker.unanswered_flows),
        unanswered_age_ms: unanswered_since.map_or(u16::MAX, age),
        alive_age_ms: if tracker.last_alive.is_zero() { u16::MAX } else { age(tracker.last_alive) },
    }
}

fn saturate_u16(value: u32) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}
