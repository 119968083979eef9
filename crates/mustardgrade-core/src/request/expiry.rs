//! Time-driven processing: deadlines, retries of slow requests and repeated replies.

use std::time::Duration;

use super::message::{CallerReply, RequestOutput};
use super::router::{
    ABANDONED_SLOT_HOLD, RETRY_LATENCY_FACTOR, RequestRouter, STALL_DRAIN_TIME, STALL_THRESHOLD,
};
use super::upstream_queue::{AcceptedRequest, InFlightRequest};
use crate::identity::UpstreamId;

impl RequestRouter {
    /// Notes when a stall of this host ends.
    pub(super) fn detect_stall(&mut self, now: Duration) {
        let elapsed = self.last_input_at.map_or(Duration::ZERO, |last| now.saturating_sub(last));
        if elapsed > STALL_THRESHOLD {
            self.resumed_at = now;
        }
        self.last_input_at = Some(now);
    }

    /// Returns whether answers to in-flight requests may still wait in the receive queue. Only one
    /// tick in succession is left out for them, so that a host that stalls all the time ends requests too.
    fn defer_expiry(&mut self, now: Duration) -> bool {
        let is_draining = now < self.resumed_at + STALL_DRAIN_TIME;
        self.expiry_deferred = is_draining && !self.expiry_deferred;
        self.expiry_deferred
    }

    /// Runs the periodic processing of all queues and pending requests.
    pub(super) fn tick(&mut self, now: Duration, outputs: &mut Vec<RequestOutput>) {
        let upstreams: Vec<UpstreamId> = self.upstream_queues.keys().copied().collect();
        let expiry_deferred = self.defer_expiry(now);
        for upstream in upstreams {
            self.refuse_late_waiting(upstream, now, outputs);
            if !expiry_deferred {
                self.expire_in_flight(upstream, now, outputs);
            }
            self.return_reassigned(upstream, now, outputs);
            self.dispatch_waiting(upstream, now, outputs);
        }
        self.accepted_until.retain(|_, deadline| *deadline > now);
        if !expiry_deferred {
            self.reply_for_silent_dispatchers(now, outputs);
        }
    }

    /// Refuses waiting requests that can no longer be served in time.
    fn refuse_late_waiting(
        &mut self,
        upstream: UpstreamId,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let Some(queue) = self.upstream_queues.get_mut(&upstream) else { return };
        for accepted in queue.take_unserviceable(now) {
            self.refuse_unserviceable(&accepted, outputs);
        }
    }

    /// Ends in-flight requests past their deadlines, and returns slow idempotent ones.
    fn expire_in_flight(
        &mut self,
        upstream: UpstreamId,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let Some(queue) = self.upstream_queues.get_mut(&upstream) else {
            return;
        };
        let mut overdue = Vec::new();
        for (exchange_id, in_flight) in &mut queue.in_flight {
            if !in_flight.abandoned && in_flight.accepted.deadline <= now {
                in_flight.abandoned = true;
                overdue.push((*exchange_id, in_flight.accepted.clone()));
            }
        }
        queue
            .in_flight
            .retain(|_, in_flight| now < in_flight.accepted.deadline + ABANDONED_SLOT_HOLD);
        for _ in &overdue {
            queue.limit.record_timeout();
        }
        self.return_slow_idempotent(upstream, now, outputs);
        let address = self.snapshot.upstream(upstream).map(|upstream| upstream.address);
        for (exchange_id, accepted) in overdue {
            if let Some(address) = address {
                outputs.push(RequestOutput::Cancel { upstream, address, exchange_id });
            }
            self.complete_overdue(&accepted, now, outputs);
        }
    }

    /// Returns idempotent requests that wait for a response much longer than the baseline service
    /// time to their origins, which can still retry them at another upstream.
    pub(super) fn return_slow_idempotent(
        &mut self,
        upstream: UpstreamId,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let Some(queue) = self.upstream_queues.get_mut(&upstream) else { return };
        let Some(baseline) = queue.limit.baseline_service_time() else { return };
        let is_slow_idempotent = |in_flight: &InFlightRequest| {
            let idempotent = in_flight.accepted.ticket_nonce.is_none();
            idempotent
                && !in_flight.abandoned
                && now > in_flight.dispatched_at + baseline * RETRY_LATENCY_FACTOR
        };
        let mut returned = Vec::new();
        for in_flight in
            queue.in_flight.values_mut().filter(|in_flight| is_slow_idempotent(in_flight))
        {
            in_flight.abandoned = true;
            returned.push(in_flight.accepted.clone());
        }
        for accepted in returned {
            self.reject_accepted(accepted, upstream, now, outputs);
        }
    }

    /// Refuses a waiting request that cannot be answered before its deadline.
    pub(super) fn refuse_unserviceable(
        &mut self,
        accepted: &AcceptedRequest,
        outputs: &mut Vec<RequestOutput>,
    ) {
        match accepted.ticket_nonce {
            Some(nonce) => self.refuse_ticket(nonce, &accepted.forwarded, outputs),
            None => {
                let reply = self.refusal_reply(&accepted.forwarded.request);
                self.complete_without_dispatch(&accepted.forwarded, reply, outputs);
            }
        }
    }

    /// Reports an unknown outcome for an in-flight request past its deadline.
    pub(super) fn complete_overdue(
        &mut self,
        accepted: &AcceptedRequest,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        self.counters.unknown_outcomes += 1;
        // The replay cache keeps the ticket as running, since a response may still arrive and is
        // then recorded.
        let request = &accepted.forwarded.request;
        self.accepted_until.remove(&request.id);
        self.reply_and_repeat(request, CallerReply::OutcomeUnknown, now, outputs);
        self.report_done(&accepted.forwarded, None, outputs);
    }
}
