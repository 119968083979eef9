//! Requests in flight and their answers, as observed on the flows of callers.

use std::time::Duration;

use super::ASSUMED_ANSWER_DELAY;
use super::answer_time::SampleKind;
use super::request_queue::QueuedRequest;
use crate::cookie::observed_flows::ObservedFlow;
use crate::cookie::router::{CookieRouter, FabricKind};
use crate::flow::{FlowKey, FlowPacket};

impl CookieRouter {
    /// Counts a request that is being forwarded as in flight, until it is answered or its upstream
    /// has worked it off by the modelled queue.
    pub(in crate::cookie) fn count_request(
        &mut self,
        index: usize,
        flow: &mut ObservedFlow,
        key: FlowKey,
        now: Duration,
    ) {
        flow.request_sent_at = Some(now);
        flow.is_counted_in_flight = true;
        let mut delay = ASSUMED_ANSWER_DELAY;
        if self.load_model.is_modelled(index) {
            let in_flight = self.merged_in_flight(index);
            let slots = self.snapshot.upstreams[index].slots;
            flow.was_queued = in_flight >= u32::from(slots);
            delay = self.load_model.work_off_time(index, key.service, in_flight, slots);
        }
        self.trackers[index].pending_requests += 1;
        let request = QueuedRequest { counted_until: now + delay, sent_at: now, key };
        match delay == ASSUMED_ANSWER_DELAY {
            true => self.request_queue.push_fixed(request),
            false => self.request_queue.push_modelled(request),
        }
    }

    /// Stops counting requests as in flight that their upstreams have worked off by the modelled
    /// queue, since callers may acknowledge a short answer only with their next request.
    pub(in crate::cookie) fn expire_pending_requests(&mut self, now: Duration) {
        while let Some(QueuedRequest { key, sent_at, .. }) = self.request_queue.pop_due(now) {
            let Some(flow) = self.flows.get_mut(&key) else { continue };
            if flow.request_sent_at != Some(sent_at) || !flow.is_counted_in_flight {
                continue;
            }
            flow.is_counted_in_flight = false;
            if let Some(index) = self.snapshot.upstream_index(flow.cookie) {
                self.trackers[index].pending_requests =
                    self.trackers[index].pending_requests.saturating_sub(1);
            }
        }
    }

    /// Returns whether the acknowledgement of an answer shows how long the answer took.
    ///
    /// A packet that ends the flow may follow a refusal or a time-out of the caller, and the
    /// acknowledgement of a repeated request may be that of either transmission. A packet that has
    /// waited at this host shows nothing.
    pub(in crate::cookie) fn shows_answer_time(
        &self,
        flow: &ObservedFlow,
        segment: &FlowPacket,
        now: Duration,
    ) -> bool {
        let is_refusal = segment.closes_flow() || flow.refusal_assumed_at.is_some();
        let is_late = self.has_stalled || self.is_delayed(now);
        !is_refusal && !flow.is_counted_unanswered && !is_late
    }

    /// Records the answer time that an acknowledgement shows.
    pub(in crate::cookie) fn record_speed_sample(
        &mut self,
        index: usize,
        flow: &ObservedFlow,
        segment: &FlowPacket,
        sent_at: Duration,
        now: Duration,
    ) {
        if !self.load_model.is_modelled(index) || !self.shows_answer_time(flow, segment, now) {
            return;
        }
        // Of a flow whose packets pass any host, this one may have missed the acknowledgement.
        let is_exact = segment.payload_length == 0 && self.options.fabric == FabricKind::Hash;
        let kind = if is_exact { SampleKind::Exact } else { SampleKind::Bound };
        let latency = now.saturating_sub(sent_at);
        let route = segment.key.service;
        self.load_model.record_answer(index, route, kind, latency, flow.was_queued);
    }
}
