//! Time-driven processing: deadlines, retries of slow requests and repeated replies.

use std::time::Duration;

use super::message::{CallerReply, RequestOutput};
use super::router::{ABANDONED_SLOT_HOLD, RETRY_LATENCY_FACTOR, RequestRouter};
use super::upstream_queue::{AcceptedRequest, InFlightRequest};
use crate::identity::UpstreamId;

impl RequestRouter {
    /// Runs the periodic processing of all queues and pending requests.
    pub(super) fn tick(&mut self, now: Duration, outputs: &mut Vec<RequestOutput>) {
        let upstreams: Vec<UpstreamId> = self.upstream_queues.keys().copied().collect();
        for upstream in upstreams {
            self.expire_requests(upstream, now, outputs);
            self.return_reassigned(upstream, now, outputs);
            self.dispatch_waiting(upstream, now, outputs);
        }
        self.accepted_until.retain(|_, deadline| *deadline > now);
        self.reply_for_silent_dispatchers(now, outputs);
    }

    /// Refuses waiting requests that can no longer be served in time, and ends in-flight requests
    /// past their deadlines.
    pub(super) fn expire_requests(
        &mut self,
        upstream: UpstreamId,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let Some(queue) = self.upstream_queues.get_mut(&upstream) else {
            return;
        };
        let unserviceable = queue.take_unserviceable(now);
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
        for accepted in unserviceable {
            self.refuse_unserviceable(&accepted, outputs);
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
