//! Outcomes of requests, as observed on the flows of callers.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use super::detector::{RefreshInput, WatchedRequest};
use super::evidence::RequestOutcome;
use super::pool::OutcomeEntry;
use super::request_watch::{IDLE_DELAY, RequestWatch, WatchStage, silence_limit};
use crate::cookie::observed_flows::{HolderEvidence, ObservedFlow};
use crate::cookie::router::{CookieRouter, FabricKind};
use crate::flow::FlowPacket;

/// Time after which the outcome of a request that is still pending is given up.
const MAX_WATCH_TIME: Duration = Duration::from_secs(20);

impl CookieRouter {
    /// Begins to observe the outcome of a request whose first packet is being forwarded.
    ///
    /// Only a flow that this host has observed from its opening counts, behind a fabric that sends
    /// all of its packets here.
    pub(in crate::cookie) fn watch_request(
        &mut self,
        index: usize,
        flow: &mut ObservedFlow,
        segment: &FlowPacket,
        now: Duration,
    ) {
        flow.watch = None;
        let is_certain = self.options.fabric == FabricKind::Hash
            && flow.opening_latency.is_some()
            && flow.holder_evidence == HolderEvidence::Acceptance
            && !self.has_stalled
            && !self.is_delayed(now);
        if !is_certain || !self.outliers.observes(index) {
            return;
        }
        self.outliers.watched.push(WatchedRequest { key: segment.key, sent_at: now });
        flow.watch = Some(RequestWatch {
            sent_at: now,
            base_acknowledgement: flow.last_acknowledgement,
            was_queued: flow.was_queued,
            stage: WatchStage::Pending,
        });
    }

    /// Notes what a packet shows of the outcome of the flow's last request. `is_answered` tells
    /// that it acknowledges new bytes.
    pub(in crate::cookie) fn observe_outcome(
        &mut self,
        index: usize,
        flow: &mut ObservedFlow,
        segment: &FlowPacket,
        is_answered: bool,
        now: Duration,
    ) {
        let Some(mut watch) = flow.watch else { return };
        let route = segment.key.service;
        match watch.stage {
            WatchStage::Pending if is_answered => {
                if self.has_stalled || self.is_delayed(now) {
                    flow.watch = None;
                    return;
                }
                let is_prompt = segment.payload_length == 0 && !segment.closes_flow();
                let not_before = self.received_after.clamp(watch.sent_at, now);
                watch.stage = WatchStage::Answered { at: now, not_before, is_prompt };
                flow.watch = Some(watch);
            }
            WatchStage::Failed { period } if is_answered => {
                self.outliers.retract(index, route, period, now);
                flow.watch = None;
                return;
            }
            WatchStage::Pending | WatchStage::Answered { .. } | WatchStage::Failed { .. } => {}
        }
        let payload_end = segment.sequence.wrapping_add(u32::from(segment.payload_length));
        let has_new_data = payload_end.wrapping_sub(flow.next_sequence) as i32 > 0;
        let is_settled = match watch.stage {
            WatchStage::Answered { .. } => has_new_data || segment.closes_flow(),
            WatchStage::Pending => segment.closes_flow(),
            WatchStage::Failed { .. } => false,
        };
        if is_settled {
            self.settle_outcome(index, flow, segment, has_new_data, now);
        }
    }

    /// Records the outcome of the flow's last request, if it is certain, at the next request
    /// (`is_used_again`) or at the end of the flow.
    fn settle_outcome(
        &mut self,
        index: usize,
        flow: &mut ObservedFlow,
        segment: &FlowPacket,
        is_used_again: bool,
        now: Duration,
    ) {
        let Some(watch) = flow.watch else { return };
        let route = segment.key.service;
        if watch.stage == WatchStage::Pending {
            // A caller that ends the flow earlier may have given up for a reason of its own.
            let is_failure = self.is_silent(index, &watch, route, now);
            if is_failure && !self.is_delayed(now) && !self.has_stalled {
                self.record_unanswered_request(index, route, now);
            }
        } else {
            self.record_answer_outcome(index, flow, route, is_used_again, now);
        }
        flow.watch = None;
    }

    /// Returns whether a request has been without an answer for far longer than is usual, in which
    /// no packet can have been missed.
    fn is_silent(
        &self,
        index: usize,
        watch: &RequestWatch,
        route: SocketAddrV4,
        now: Duration,
    ) -> bool {
        let answer_time = self.load_model.route_answer_time(index, route);
        let Some(answer_time) = answer_time.filter(|_| self.load_model.is_fresh(now)) else {
            return false;
        };
        let expected_wait = self.upstream_load(index, now).expected_wait;
        now.saturating_sub(watch.sent_at) >= silence_limit(answer_time, expected_wait)
            && !self.outliers.is_disturbed_since(watch.sent_at)
    }

    fn record_unanswered_request(
        &mut self,
        index: usize,
        route: SocketAddrV4,
        now: Duration,
    ) -> Option<u32> {
        self.outliers.counters.unanswered_requests += 1;
        self.outliers.record(index, route, RequestOutcome::Failed, now)
    }

    /// Records an answered request, and what its answer shows of the route.
    fn record_answer_outcome(
        &mut self,
        index: usize,
        flow: &ObservedFlow,
        route: SocketAddrV4,
        is_used_again: bool,
        now: Duration,
    ) {
        let Some(watch) = flow.watch else { return };
        let answer_time = self.load_model.route_answer_time(index, route).unwrap_or_default();
        let opening_latency = flow.opening_latency.unwrap_or_default();
        let answer = watch.answer(flow.last_acknowledgement, opening_latency, answer_time);
        let Some(answer) = answer else { return };
        let Some(baseline) = self.outliers.baseline_mut(index, route) else { return };
        let is_short = baseline.is_short(answer.size) && !is_used_again;
        if is_short && answer.may_be_refusal {
            return;
        }
        baseline.learn_answer(answer.size, answer.is_prompt);
        self.outliers.counters.short_answers += u64::from(is_short);
        let outcome = match (is_short, answer.is_slow) {
            (true, _) => RequestOutcome::Failed,
            (false, true) => RequestOutcome::AnsweredSlowly,
            (false, false) => RequestOutcome::Answered,
        };
        self.outliers.record(index, route, outcome, now);
    }

    /// Settles the outcomes of requests that are due without a further packet.
    fn settle_requests(&mut self, now: Duration) {
        let mut watched = std::mem::take(&mut self.outliers.watched);
        watched.retain(|request| self.is_watched_on(request, now));
        self.outliers.watched = watched;
    }

    /// Settles one request if it is due; returns whether its outcome is still open.
    fn is_watched_on(&mut self, request: &WatchedRequest, now: Duration) -> bool {
        let Some(mut flow) = self.flows.get(&request.key).copied() else { return false };
        let Some(mut watch) = flow.watch.filter(|watch| watch.sent_at == request.sent_at) else {
            return false;
        };
        let Some(index) = self.snapshot.running_index(flow.cookie) else { return false };
        let route = request.key.service;
        match watch.stage {
            WatchStage::Failed { .. } => return false,
            WatchStage::Answered { at, .. } => {
                if now.saturating_sub(at) < IDLE_DELAY {
                    return true;
                }
                self.record_answer_outcome(index, &flow, route, false, now);
                flow.watch = None;
            }
            WatchStage::Pending => {
                let baseline = self.outliers.baseline_mut(index, route);
                let is_prompt = baseline.is_some_and(|baseline| baseline.is_prompt());
                if !is_prompt || !self.is_silent(index, &watch, route, now) {
                    return now.saturating_sub(watch.sent_at) < MAX_WATCH_TIME;
                }
                let period = self.record_unanswered_request(index, route, now);
                flow.watch = period.map(|period| {
                    watch.stage = WatchStage::Failed { period };
                    watch
                });
            }
        }
        if let Some(entry) = self.flows.get_mut(&request.key) {
            entry.watch = flow.watch;
        }
        false
    }

    /// Settles outcomes, compares the upstreams, and returns the outcomes for the load report.
    pub(in crate::cookie) fn update_outliers(&mut self, now: Duration) -> Vec<OutcomeEntry> {
        if self.has_stalled || self.is_delayed(now) {
            self.outliers.note_disturbance(now);
        }
        self.settle_requests(now);
        let (snapshot, peers) = (Arc::clone(&self.snapshot), Arc::clone(&self.peers));
        let (trackers, peer_loads) = (&self.trackers, &self.peer_loads);
        let detection = &self.options.failure_detection;
        let is_usable = |index: usize| {
            let view = &snapshot.upstreams[index];
            let merged = trackers[index].merged_with_peers(peer_loads[index]);
            view.accepts_flows(now) && !view.is_cold(now) && !merged.is_suspected(detection)
        };
        let input = RefreshInput { pooled: peers.outcomes(), is_usable: &is_usable, now };
        let mut events = Vec::new();
        self.outliers.refresh(&input, &mut events);
        self.events.append(&mut events);
        self.counters.outliers = self.outliers.counters;
        self.outliers.report(peers.outcomes(), now)
    }
}
