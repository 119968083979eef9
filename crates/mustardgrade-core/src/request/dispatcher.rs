//! Dispatcher role: accepts forwarded requests and sends them to the upstreams.

use std::time::Duration;

use super::message::{
    CallerReply, ForwardedRequest, RequestOutput, RequestPeerMessage, UpstreamLoad, UpstreamReply,
};
use super::replay_cache::{TicketCheck, TicketState};
use super::router::RequestRouter;
use super::snapshot::RequestUpstream;
use super::ticket::RequestTicket;
use super::upstream_queue::{AcceptedRequest, InFlightRequest, UpstreamQueue};
use crate::identity::UpstreamId;

impl RequestRouter {
    /// Accepts a forwarded request for its first candidate, or offers it to the next one.
    pub(super) fn accept_forwarded(
        &mut self,
        mut forwarded: ForwardedRequest,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        if forwarded.request.ticket.is_some() && !forwarded.request.idempotent {
            return self.accept_ticketed(forwarded, now, outputs);
        }
        if forwarded.candidates.is_empty() {
            return;
        }
        let upstream = forwarded.candidates.remove(0);
        if let Some(deadline) = self.accepted_until.get(&forwarded.request.id)
            && *deadline > now
        {
            self.counters.duplicate_requests += 1;
            return;
        }
        if !self.accepts_requests_for(upstream) {
            return self.reroute(forwarded, upstream, u32::MAX, now, outputs);
        }
        let queue = self.queue_for(upstream);
        let load_permille = queue.load_permille();
        if !queue.can_dispatch_now() && !forwarded.must_queue {
            return self.reroute(forwarded, upstream, load_permille, now, outputs);
        }
        self.enqueue_accepted(upstream, forwarded, None, now, outputs);
    }

    /// Accepts a ticketed request if its ticket is valid and unused; otherwise replies with the
    /// recorded outcome or the reason for the refusal.
    pub(super) fn accept_ticketed(
        &mut self,
        forwarded: ForwardedRequest,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let Some(ticket) = self.decode_ticket(&forwarded.request) else {
            self.counters.invalid_tickets += 1;
            return self.complete_without_dispatch(
                &forwarded,
                CallerReply::InvalidRequest,
                outputs,
            );
        };
        if ticket.dispatcher != self.options.local_incarnation {
            // The message was meant for another incarnation of this host, which may have executed
            // the request.
            self.counters.unknown_outcomes += 1;
            return self.complete_without_dispatch(
                &forwarded,
                CallerReply::OutcomeUnknown,
                outputs,
            );
        }
        if ticket.expires_at() > now + self.options.ticket_ttl * 2 {
            self.counters.invalid_tickets += 1;
            return self.complete_without_dispatch(
                &forwarded,
                CallerReply::InvalidRequest,
                outputs,
            );
        }
        match self.replay_cache.check_and_mark_used(&ticket, now) {
            TicketCheck::Fresh => self.enqueue_ticketed(&ticket, forwarded, now, outputs),
            TicketCheck::Used(TicketState::Running) => {
                self.counters.duplicate_requests += 1;
                // A caller that repeats the request after its deadline has missed the final reply.
                if forwarded.request.timeout.is_zero() {
                    self.reply_to_caller(&forwarded.request, CallerReply::OutcomeUnknown, outputs);
                }
            }
            TicketCheck::Used(TicketState::Ended(reply)) => {
                self.counters.duplicate_requests += 1;
                self.complete_without_dispatch(&forwarded, reply, outputs);
            }
            TicketCheck::Refused => {
                let reply = self.refusal_reply(&forwarded.request);
                self.complete_without_dispatch(&forwarded, reply, outputs);
            }
            TicketCheck::Expired => {
                self.counters.unknown_outcomes += 1;
                self.complete_without_dispatch(&forwarded, CallerReply::OutcomeUnknown, outputs);
            }
        }
    }

    pub(super) fn enqueue_ticketed(
        &mut self,
        ticket: &RequestTicket,
        forwarded: ForwardedRequest,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let upstream = self.choose_ticket_upstream(ticket, &forwarded);
        match upstream {
            Some(upstream) => {
                self.enqueue_accepted(upstream, forwarded, Some(ticket.nonce), now, outputs)
            }
            None => self.refuse_ticket(ticket.nonce, &forwarded, outputs),
        }
    }

    /// Returns the least loaded upstream of the service among those that this host dispatches to.
    pub(super) fn choose_ticket_upstream(
        &self,
        ticket: &RequestTicket,
        forwarded: &ForwardedRequest,
    ) -> Option<UpstreamId> {
        let service = self.snapshot.services.get(&forwarded.request.service_address)?;
        let usable = || {
            let upstreams = service.upstreams.iter().filter(|target| target.accepts_new_requests);
            upstreams.filter(|target| target.dispatcher == self.options.local_incarnation)
        };
        let is_named = |target: &&RequestUpstream| {
            RequestTicket::tag_for_upstream(target.id) == ticket.upstream_tag
        };
        // A ticket is bound to the host, not to the upstream: the upstream that it names is only
        // preferred among equally loaded ones.
        let load = |target: &RequestUpstream| {
            self.upstream_queues.get(&target.id).map_or(0, UpstreamQueue::load_permille)
        };
        let least_loaded = usable().min_by_key(|target| (load(target), !is_named(target)));
        least_loaded.map(|target| target.id)
    }

    /// Returns whether this host dispatches new requests to an upstream.
    pub(super) fn accepts_requests_for(&self, upstream: UpstreamId) -> bool {
        let target = self.snapshot.upstream(upstream);
        target.is_some_and(|target| {
            target.accepts_new_requests && target.dispatcher == self.options.local_incarnation
        }) && !self.is_leaving
    }

    /// Returns the queue of an upstream, which is created if there is none.
    pub(super) fn queue_for(&mut self, upstream: UpstreamId) -> &mut UpstreamQueue {
        let slots = self.snapshot.upstream(upstream).map_or(1, |target| target.slots);
        let options = self.options.upstream_queue;
        self.upstream_queues.entry(upstream).or_insert_with(|| UpstreamQueue::new(slots, options))
    }

    /// Offers a request that `upstream` did not accept to the next candidate.
    ///
    /// After the last one, the request is queued at the least loaded of the upstreams that it was
    /// offered to. A load of `u32::MAX` excludes an upstream.
    pub(super) fn reroute(
        &mut self,
        mut forwarded: ForwardedRequest,
        upstream: UpstreamId,
        load_permille: u32,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        self.counters.rerouted += 1;
        forwarded.tried.push(UpstreamLoad { upstream, load_permille });
        if !forwarded.candidates.is_empty() {
            let next = forwarded.candidates.remove(0);
            return self.send_to_dispatcher(next, forwarded, now, outputs);
        }
        let eligible = forwarded.tried.iter().filter(|tried| tried.load_permille < u32::MAX);
        let Some(least_loaded) = eligible.min_by_key(|tried| tried.load_permille).copied() else {
            return self.return_to_origin(&forwarded, upstream, now, outputs);
        };
        if forwarded.must_queue {
            return self.return_to_origin(&forwarded, upstream, now, outputs);
        }
        forwarded.must_queue = true;
        forwarded.tried.clear();
        self.send_to_dispatcher(least_loaded.upstream, forwarded, now, outputs);
    }

    pub(super) fn enqueue_accepted(
        &mut self,
        upstream: UpstreamId,
        forwarded: ForwardedRequest,
        ticket_nonce: Option<u64>,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let deadline = now + forwarded.request.timeout;
        self.accepted_until.insert(forwarded.request.id.clone(), deadline);
        let accepted = AcceptedRequest { forwarded, ticket_nonce, deadline, accepted_at: now };
        if let Err(rejected) = self.queue_for(upstream).enqueue(accepted) {
            self.accepted_until.remove(&rejected.forwarded.request.id);
            return self.reject_accepted(*rejected, upstream, now, outputs);
        }
        self.dispatch_waiting(upstream, now, outputs);
    }

    /// Sends waiting requests to an upstream while its limit allows.
    pub(super) fn dispatch_waiting(
        &mut self,
        upstream: UpstreamId,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let Some(target) = self.snapshot.upstream(upstream).copied() else {
            return;
        };
        if !target.accepts_new_requests {
            return;
        }
        while let Some(accepted) =
            self.upstream_queues.get_mut(&upstream).and_then(UpstreamQueue::pop_next)
        {
            let exchange_id = self.next_exchange_id;
            self.next_exchange_id = self.next_exchange_id.wrapping_add(1);
            self.counters.dispatched += 1;
            outputs.push(RequestOutput::Dispatch {
                upstream,
                address: target.address,
                exchange_id,
                timeout: accepted.deadline.saturating_sub(now),
                encoded_request: accepted.forwarded.request.encoded_request.clone(),
            });
            let in_flight = InFlightRequest { accepted, dispatched_at: now, abandoned: false };
            self.queue_for(upstream).in_flight.insert(exchange_id, in_flight);
        }
    }

    /// Matches the reply of an upstream to its in-flight request and completes or returns the
    /// request.
    pub(super) fn handle_upstream_reply(
        &mut self,
        upstream: UpstreamId,
        exchange_id: u64,
        reply: UpstreamReply,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let in_flight = self
            .upstream_queues
            .get_mut(&upstream)
            .and_then(|queue| queue.in_flight.remove(&exchange_id));
        let Some(in_flight) = in_flight else {
            self.counters.unmatched_responses += 1;
            return;
        };
        let has_stalled = in_flight.dispatched_at < self.resumed_at;
        let queue = self.queue_for(upstream);
        match reply {
            UpstreamReply::Response(response) => {
                match has_stalled {
                    true => queue.limit.record_untimed_response(),
                    false => {
                        queue.limit.record_response(now.saturating_sub(in_flight.dispatched_at))
                    }
                }
                self.deliver_response(&in_flight, upstream, response, outputs);
            }
            UpstreamReply::Shed => {
                queue.limit.reset();
                if !in_flight.abandoned {
                    self.reject_accepted(in_flight.accepted, upstream, now, outputs);
                }
            }
        }
        self.dispatch_waiting(upstream, now, outputs);
    }

    /// Records the response for a ticket and, unless the request was abandoned, sends it to the
    /// caller.
    pub(super) fn deliver_response(
        &mut self,
        in_flight: &InFlightRequest,
        upstream: UpstreamId,
        response: Vec<u8>,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let reply = CallerReply::Response(response);
        if let Some(nonce) = in_flight.accepted.ticket_nonce {
            self.replay_cache.record_reply(nonce, reply.clone());
        }
        if in_flight.abandoned {
            return;
        }
        self.counters.answered += 1;
        let forwarded = &in_flight.accepted.forwarded;
        // If the reply is lost, a retransmission of the request must not be dropped as a duplicate.
        self.accepted_until.remove(&forwarded.request.id);
        self.reply_to_caller(&forwarded.request, reply, outputs);
        self.report_done(forwarded, Some(upstream), outputs);
    }

    /// Gives up an accepted request: a ticketed one is refused for good, an idempotent one goes
    /// back to its origin.
    pub(super) fn reject_accepted(
        &mut self,
        accepted: AcceptedRequest,
        upstream: UpstreamId,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        self.accepted_until.remove(&accepted.forwarded.request.id);
        match accepted.ticket_nonce {
            Some(nonce) => self.refuse_ticket(nonce, &accepted.forwarded, outputs),
            None => self.return_to_origin(&accepted.forwarded, upstream, now, outputs),
        }
    }

    pub(super) fn refuse_ticket(
        &mut self,
        nonce: u64,
        forwarded: &ForwardedRequest,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let reply = self.refusal_reply(&forwarded.request);
        // The ticket stays used: a copy of the request that arrives later must not be executed.
        self.replay_cache.record_reply(nonce, reply.clone());
        self.complete_without_dispatch(forwarded, reply, outputs);
    }

    /// Gives a request back to its origin, which may retry it at upstreams other than `upstream`.
    pub(super) fn return_to_origin(
        &mut self,
        forwarded: &ForwardedRequest,
        upstream: UpstreamId,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let id = forwarded.request.id.clone();
        if forwarded.origin == self.options.local_incarnation.host {
            return self.retry_elsewhere(&id, upstream, now, outputs);
        }
        let load = UpstreamLoad { upstream, load_permille: self.local_load_permille(upstream) };
        self.send_to_origin(forwarded, RequestPeerMessage::Refused { id, load }, outputs);
    }

    /// Gives up the waiting requests of an upstream that this host no longer dispatches new
    /// requests to, and removes its queue once it is idle.
    pub(super) fn return_reassigned(
        &mut self,
        upstream: UpstreamId,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let target = self.snapshot.upstream(upstream).copied();
        let is_local = target.is_some_and(|target| {
            target.dispatcher == self.options.local_incarnation && target.accepts_new_requests
        });
        if is_local && !self.is_leaving {
            return;
        }
        let Some(queue) = self.upstream_queues.get_mut(&upstream) else {
            return;
        };
        let waiting = queue.take_all_waiting();
        let was_idle = queue.is_idle();
        for accepted in waiting {
            self.reject_accepted(accepted, upstream, now, outputs);
        }
        if was_idle {
            self.upstream_queues.remove(&upstream);
        }
    }
}
