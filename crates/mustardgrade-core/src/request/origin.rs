//! Origin role: handles requests from callers and forwards them to dispatchers.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::message::{
    CallerReply, CallerRequest, ForwardedRequest, RequestId, RequestOutput, RequestPeerMessage,
    UpstreamLoad,
};
use super::router::{
    MAX_ATTEMPTS, MAX_RETRY_CREDIT, PendingRequest, REPORTED_LOAD_TTL, RETRY_CREDIT_COST,
    RepeatedReply, ReportedLoad, RequestRouter, ticket_binding,
};
use super::snapshot::RequestService;
use super::ticket::RequestTicket;
use crate::identity::{HostIncarnation, UpstreamId, rendezvous_score};

impl RequestRouter {
    pub(super) fn record_reported_load(&mut self, report: Option<UpstreamLoad>, now: Duration) {
        if let Some(UpstreamLoad { upstream, load_permille }) = report {
            self.reported_loads.insert(upstream, ReportedLoad { load_permille, reported_at: now });
        }
    }

    /// Returns the last reported load of an upstream, or 0 without a report within
    /// [`REPORTED_LOAD_TTL`].
    pub(super) fn reported_load_permille(&self, upstream: UpstreamId, now: Duration) -> u32 {
        match self.reported_loads.get(&upstream) {
            Some(report) if now < report.reported_at + REPORTED_LOAD_TTL => report.load_permille,
            Some(_) | None => 0,
        }
    }

    pub(super) fn handle_caller_request(
        &mut self,
        request: CallerRequest,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        self.counters.received += 1;
        self.retry_credit =
            (self.retry_credit + self.options.retry_budget_percent).min(MAX_RETRY_CREDIT);
        let snapshot = Arc::clone(&self.snapshot);
        let Some(service) = snapshot.services.get(&request.service_address) else {
            // Before the rules are loaded, this host cannot know whether a ticketed request has
            // run. It sends no reply, and a retransmission by the caller may reach another host.
            let reply = match (snapshot.services.is_empty(), request.ticket.is_some()) {
                (true, true) => return,
                (true, false) => self.refusal_reply(&request),
                (false, _) => CallerReply::InvalidRequest,
            };
            return self.reply_to_caller(&request, reply, outputs);
        };
        if self.pending_requests.contains_key(&request.id) && request.ticket.is_none() {
            self.counters.duplicate_requests += 1;
            return;
        }
        match (request.idempotent, request.ticket.is_some()) {
            (true, _) => self.forward_idempotent(service, request, now, outputs),
            (false, false) => self.issue_ticket(service, &request, now, outputs),
            (false, true) => self.forward_ticketed(service, request, now, outputs),
        }
    }

    pub(super) fn forward_idempotent(
        &mut self,
        service: &RequestService,
        request: CallerRequest,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let candidates = self.pick_candidates(service, &request.id, &[], now);
        let Some(first) = candidates.first().copied() else {
            let reply = self.refusal_reply(&request);
            return self.reply_to_caller(&request, reply, outputs);
        };
        let forwarded = ForwardedRequest {
            origin: self.options.local_incarnation.host,
            service_id: service.id,
            candidates: candidates[1..].to_vec(),
            tried: Vec::new(),
            must_queue: candidates.len() == 1,
            request,
        };
        self.track_pending(&forwarded, &candidates, now);
        self.send_to_dispatcher(first, forwarded, now, outputs);
    }

    /// Picks candidate upstreams by rendezvous hashing of the request, the least loaded first.
    ///
    /// The hash sends a retransmitted request to the dispatchers that know it, whichever host is
    /// its origin.
    pub(super) fn pick_candidates(
        &self,
        service: &RequestService,
        id: &RequestId,
        excluded: &[UpstreamId],
        now: Duration,
    ) -> Vec<UpstreamId> {
        let key = xxh3_64(&id.token)
            ^ u64::from(u32::from(*id.caller.ip())) << 16
            ^ u64::from(id.caller.port());
        let usable = service
            .upstreams
            .iter()
            .filter(|candidate| candidate.accepts_new_requests && !excluded.contains(&candidate.id))
            .map(|candidate| candidate.id);
        let mut order: Vec<UpstreamId> = usable.collect();
        order.sort_by_key(|upstream| (rendezvous_score(key, upstream.0), *upstream));
        order.truncate(self.options.max_candidates);
        order.sort_by_key(|upstream| self.reported_load_permille(*upstream, now));
        order
    }

    /// Replies to a non-idempotent request without a ticket with a challenge that carries one, or
    /// refuses it if its deadline has passed.
    pub(super) fn issue_ticket(
        &mut self,
        service: &RequestService,
        request: &CallerRequest,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        if request.timeout.is_zero() {
            // A challenge is no final reply, and its ticket could not be used in time.
            let reply = self.refusal_reply(request);
            return self.reply_to_caller(request, reply, outputs);
        }
        let Some(upstream) = self.pick_candidates(service, &request.id, &[], now).first().copied()
        else {
            let reply = self.refusal_reply(request);
            return self.reply_to_caller(request, reply, outputs);
        };
        let Some(chosen) = self.snapshot.upstream(upstream) else {
            return;
        };
        let ticket = RequestTicket {
            dispatcher: chosen.dispatcher,
            upstream_tag: RequestTicket::tag_for_upstream(upstream),
            nonce: self.rng.next_u64(),
            expires_at_secs: (now + self.options.ticket_ttl).as_secs() as u32,
        };
        let bytes = ticket.encode(&self.options.ticket_key, &ticket_binding(request));
        self.counters.tickets_issued += 1;
        self.reply_to_caller(request, CallerReply::Challenge(bytes), outputs);
    }

    /// Forwards a ticketed request to the only incarnation that may execute it.
    pub(super) fn forward_ticketed(
        &mut self,
        service: &RequestService,
        request: CallerRequest,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let Some(ticket) = self.decode_ticket(&request) else {
            self.counters.invalid_tickets += 1;
            return self.reply_to_caller(&request, CallerReply::InvalidRequest, outputs);
        };
        let dispatcher = ticket.dispatcher;
        let current = self.snapshot.live_incarnation(dispatcher.host);
        if current.is_some_and(|current| current.incarnation > dispatcher.incarnation) {
            // The earlier incarnation may have executed the request before it ended. Of a later one
            // this host has not heard yet; the dispatcher itself knows which of the two it is.
            self.counters.unknown_outcomes += 1;
            return self.reply_to_caller(&request, CallerReply::OutcomeUnknown, outputs);
        }
        let forwarded = ForwardedRequest {
            origin: self.options.local_incarnation.host,
            service_id: service.id,
            candidates: Vec::new(),
            tried: Vec::new(),
            must_queue: true,
            request,
        };
        self.track_pending(&forwarded, &[], now);
        if dispatcher == self.options.local_incarnation {
            return self.accept_forwarded(forwarded, now, outputs);
        }
        let Some(address) = self.snapshot.host_address(dispatcher.host) else {
            return self.handle_unreachable_dispatcher(&forwarded.request, outputs);
        };
        let message = RequestPeerMessage::Forward(forwarded);
        outputs.push(RequestOutput::SendToPeer { peer: dispatcher, address, message });
    }

    /// Replies that the outcome is unknown if the caller's deadline has passed. Before it, a
    /// retransmission may reach the dispatcher by way of another host.
    fn handle_unreachable_dispatcher(
        &mut self,
        request: &CallerRequest,
        outputs: &mut Vec<RequestOutput>,
    ) {
        if !request.timeout.is_zero() {
            return;
        }
        self.pending_requests.remove(&request.id);
        self.counters.unknown_outcomes += 1;
        self.reply_to_caller(request, CallerReply::OutcomeUnknown, outputs);
    }

    /// Tracks a request until its dispatcher reports; a retransmission does not extend its deadline.
    pub(super) fn track_pending(
        &mut self,
        forwarded: &ForwardedRequest,
        candidates: &[UpstreamId],
        now: Duration,
    ) {
        let forwarded = forwarded.clone();
        let id = forwarded.request.id.clone();
        let stated_deadline = now + forwarded.request.timeout;
        let tracked = self.pending_requests.get(&id);
        let deadline =
            tracked.map_or(stated_deadline, |pending| pending.deadline.min(stated_deadline));
        let dispatchers =
            candidates.iter().filter_map(|upstream| self.snapshot.upstream(*upstream));
        let dispatchers = dispatchers.map(|upstream| upstream.dispatcher).collect();
        self.pending_requests
            .insert(id, PendingRequest { forwarded, deadline, attempts: 1, dispatchers });
    }

    /// Retries an idempotent request at upstreams other than `upstream`, within the retry budget;
    /// replies with a refusal if that is not possible.
    pub(super) fn retry_elsewhere(
        &mut self,
        id: &RequestId,
        upstream: UpstreamId,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let Some(mut pending) = self.pending_requests.remove(id) else {
            return;
        };
        let request = pending.forwarded.request.clone();
        let snapshot = Arc::clone(&self.snapshot);
        let service = snapshot.services.get(&request.service_address);
        let may_retry = request.idempotent
            && pending.attempts < MAX_ATTEMPTS
            && self.retry_credit >= RETRY_CREDIT_COST
            && now < pending.deadline;
        let candidates = match service {
            Some(service) if may_retry => {
                self.pick_candidates(service, &request.id, &[upstream], now)
            }
            _ => Vec::new(),
        };
        let Some(first) = candidates.first().copied() else {
            let reply = self.refusal_reply(&request);
            return self.reply_to_caller(&request, reply, outputs);
        };
        self.retry_credit -= RETRY_CREDIT_COST;
        self.counters.retried += 1;
        pending.attempts += 1;
        let mut forwarded = pending.forwarded.clone();
        forwarded.candidates = candidates[1..].to_vec();
        forwarded.tried.clear();
        forwarded.must_queue = candidates.len() == 1;
        forwarded.request.timeout = pending.deadline.saturating_sub(now);
        self.pending_requests.insert(id.clone(), pending);
        self.send_to_dispatcher(first, forwarded, now, outputs);
    }

    /// Replies that the outcome is unknown to requests whose dispatchers have not reported in time,
    /// then runs the retries and repeated replies that are due.
    pub(super) fn reply_for_silent_dispatchers(
        &mut self,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let grace = self.options.dispatcher_reply_grace;
        let is_overdue = |pending: &PendingRequest| pending.deadline + grace <= now;
        let mut overdue_ids: Vec<RequestId> = self
            .pending_requests
            .iter()
            .filter(|(_, pending)| is_overdue(pending))
            .map(|(id, _)| id.clone())
            .collect();
        overdue_ids.sort_unstable();
        for id in overdue_ids {
            let Some(pending) = self.pending_requests.remove(&id) else {
                continue;
            };
            self.counters.unknown_outcomes += 1;
            self.reply_and_repeat(
                &pending.forwarded.request,
                CallerReply::OutcomeUnknown,
                now,
                outputs,
            );
        }
        self.retry_at_live_dispatchers(now, outputs);
        self.send_due_repeats(now, outputs);
    }

    /// Retries idempotent requests if a dispatcher among their candidates is no longer live.
    pub(super) fn retry_at_live_dispatchers(
        &mut self,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let is_lost = |dispatcher: &HostIncarnation| {
            self.snapshot.live_incarnation(dispatcher.host) != Some(*dispatcher)
        };
        let should_retry = |pending: &PendingRequest| {
            pending.forwarded.request.idempotent
                && pending.attempts == 1
                && now < pending.deadline
                && pending.dispatchers.iter().any(is_lost)
        };
        let mut ids: Vec<RequestId> = self
            .pending_requests
            .iter()
            .filter(|(_, pending)| should_retry(pending))
            .map(|(id, _)| id.clone())
            .collect();
        ids.sort_unstable();
        for id in ids.into_iter().take((self.retry_credit / RETRY_CREDIT_COST) as usize) {
            // The id 0 stands for no upstream, so all of them remain candidates.
            self.retry_elsewhere(&id, UpstreamId(0), now, outputs);
        }
    }

    pub(super) fn send_due_repeats(&mut self, now: Duration, outputs: &mut Vec<RequestOutput>) {
        let (due, later) = std::mem::take(&mut self.scheduled_repeats)
            .into_iter()
            .partition(|repeat| repeat.send_at <= now);
        self.scheduled_repeats = later;
        let due: Vec<RepeatedReply> = due;
        for RepeatedReply { id, service_address, reply, .. } in due {
            outputs.push(RequestOutput::ReplyToCaller { id, service_address, reply });
        }
    }
}
