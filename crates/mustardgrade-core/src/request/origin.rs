//! What the host does that received a request.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::message::{
    CallerReply, CallerRequest, ForwardedRequest, KeeperMessage, RequestId, RequestOutput,
    TriedUpstream,
};
use super::router::{
    KnownLoad, LOAD_LIFE, LastWord, MAX_RETRY_CREDIT, MAX_TRIES, PendingRequest, RETRY_COST,
    RequestRouter, ticket_binding,
};
use super::snapshot::RequestService;
use super::ticket::RequestTicket;
use crate::identity::{HostIncarnation, UpstreamId, rendezvous_score};

impl RequestRouter {
    pub(super) fn note_load(&mut self, told: Option<TriedUpstream>, now: Duration) {
        if let Some(TriedUpstream { upstream, load }) = told {
            self.loads.insert(upstream, KnownLoad { load, at: now });
        }
    }

    /// Returns what is known of an upstream's load; what is old counts as nothing.
    pub(super) fn known_load(&self, upstream: UpstreamId, now: Duration) -> u32 {
        match self.loads.get(&upstream) {
            Some(known) if now < known.at + LOAD_LIFE => known.load,
            Some(_) | None => 0,
        }
    }

    pub(super) fn receive(
        &mut self,
        request: CallerRequest,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        self.counters.received += 1;
        self.retry_credit = (self.retry_credit + self.options.retry_percent).min(MAX_RETRY_CREDIT);
        let snapshot = Arc::clone(&self.snapshot);
        let Some(service) = snapshot.services.get(&request.service) else {
            // A host that has no rules yet knows nothing of a ticket's request, which may have run.
            // Its caller asks another host.
            let reply = match (snapshot.services.is_empty(), request.ticket.is_some()) {
                (true, true) => return,
                (true, false) => self.refusal(&request),
                (false, _) => CallerReply::Invalid,
            };
            return self.answer(&request, reply, out);
        };
        if self.pending.contains_key(&request.id) && request.ticket.is_none() {
            self.counters.duplicates += 1;
            return;
        }
        match (request.idempotent, request.ticket.is_some()) {
            (true, _) => self.forward_idempotent(service, request, now, out),
            (false, false) => self.challenge(service, &request, now, out),
            (false, true) => self.forward_ticket(service, request, now, out),
        }
    }

    pub(super) fn forward_idempotent(
        &mut self,
        service: &RequestService,
        request: CallerRequest,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        let candidates = self.pick_candidates(service, &request.id, &[], now);
        let Some(first) = candidates.first().copied() else {
            let reply = self.refusal(&request);
            return self.answer(&request, reply, out);
        };
        let forwarded = ForwardedRequest {
            origin: self.options.me.host,
            service: service.service,
            candidates: candidates[1..].to_vec(),
            tried: Vec::new(),
            settle: candidates.len() == 1,
            request,
        };
        self.note_pending(&forwarded, &candidates, now);
        self.send_to_keeper(first, forwarded, now, out);
    }

    /// Picks a few upstreams by the request's hash, the least loaded first.
    ///
    /// A request that its caller sends again thus meets the keepers that know it, whichever host
    /// receives it.
    pub(super) fn pick_candidates(
        &self,
        service: &RequestService,
        id: &RequestId,
        except: &[UpstreamId],
        now: Duration,
    ) -> Vec<UpstreamId> {
        let key = xxh3_64(&id.token)
            ^ u64::from(u32::from(*id.caller.ip())) << 16
            ^ u64::from(id.caller.port());
        let usable = service
            .upstreams
            .iter()
            .filter(|kept| kept.takes_new && !except.contains(&kept.upstream))
            .map(|kept| kept.upstream);
        let mut order: Vec<UpstreamId> = usable.collect();
        order.sort_by_key(|upstream| (rendezvous_score(key, upstream.0), *upstream));
        order.truncate(self.options.candidates);
        order.sort_by_key(|upstream| self.known_load(*upstream, now));
        order
    }

    pub(super) fn challenge(
        &mut self,
        service: &RequestService,
        request: &CallerRequest,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        let Some(upstream) = self.pick_candidates(service, &request.id, &[], now).first().copied()
        else {
            let reply = self.refusal(request);
            return self.answer(request, reply, out);
        };
        let Some(kept) = self.snapshot.upstream(upstream) else {
            return;
        };
        let ticket = RequestTicket {
            keeper: kept.keeper,
            upstream_tag: RequestTicket::tag_of(upstream),
            nonce: self.random.next_u64(),
            expires_secs: (now + self.options.ticket_life).as_secs() as u32,
        };
        let bytes = ticket.encode(&self.options.ticket_key, &ticket_binding(request));
        self.counters.challenges += 1;
        self.answer(request, CallerReply::Challenge(bytes), out);
    }

    pub(super) fn forward_ticket(
        &mut self,
        service: &RequestService,
        request: CallerRequest,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        let Some(ticket) = self.read_ticket(&request) else {
            self.counters.bad_tickets += 1;
            return self.answer(&request, CallerReply::Invalid, out);
        };
        let keeper = ticket.keeper;
        let live = self.snapshot.incarnation(keeper.host);
        if live.is_some_and(|live| live != keeper) {
            // The incarnation may have run the request before it went.
            self.counters.unknown += 1;
            return self.answer(&request, CallerReply::Unknown, out);
        }
        let forwarded = ForwardedRequest {
            origin: self.options.me.host,
            service: service.service,
            candidates: Vec::new(),
            tried: Vec::new(),
            settle: true,
            request,
        };
        self.note_pending(&forwarded, &[], now);
        if keeper == self.options.me {
            return self.keep(forwarded, now, out);
        }
        let Some(address) = self.snapshot.address(keeper.host) else {
            return;
        };
        let message = KeeperMessage::Forward(forwarded);
        out.push(RequestOutput::Send { to: keeper, address, message });
    }

    pub(super) fn note_pending(
        &mut self,
        forwarded: &ForwardedRequest,
        candidates: &[UpstreamId],
        now: Duration,
    ) {
        let deadline = now + forwarded.request.patience;
        let forwarded = forwarded.clone();
        let id = forwarded.request.id.clone();
        let keepers = candidates.iter().filter_map(|upstream| self.snapshot.upstream(*upstream));
        let keepers = keepers.map(|kept| kept.keeper).collect();
        self.pending.insert(id, PendingRequest { forwarded, deadline, tries: 1, keepers });
    }

    /// Tries a refused request at other upstreams, within the retry budget.
    pub(super) fn retry_elsewhere(
        &mut self,
        id: &RequestId,
        upstream: UpstreamId,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        let Some(mut pending) = self.pending.remove(id) else {
            return;
        };
        let request = pending.forwarded.request.clone();
        let snapshot = Arc::clone(&self.snapshot);
        let service = snapshot.services.get(&request.service);
        let may_retry = request.idempotent
            && pending.tries < MAX_TRIES
            && self.retry_credit >= RETRY_COST
            && now < pending.deadline;
        let candidates = match service {
            Some(service) if may_retry => {
                self.pick_candidates(service, &request.id, &[upstream], now)
            }
            _ => Vec::new(),
        };
        let Some(first) = candidates.first().copied() else {
            let reply = self.refusal(&request);
            return self.answer(&request, reply, out);
        };
        self.retry_credit -= RETRY_COST;
        self.counters.retried += 1;
        pending.tries += 1;
        let mut forwarded = pending.forwarded.clone();
        forwarded.candidates = candidates[1..].to_vec();
        forwarded.tried.clear();
        forwarded.settle = candidates.len() == 1;
        forwarded.request.patience = pending.deadline.saturating_sub(now);
        self.pending.insert(id.clone(), pending);
        self.send_to_keeper(first, forwarded, now, out);
    }

    /// Tells callers the truth about requests whose keepers stay silent.
    pub(super) fn speak_for_silent_keepers(&mut self, now: Duration, out: &mut Vec<RequestOutput>) {
        let grace = self.options.origin_grace;
        let late = |pending: &PendingRequest| pending.deadline + grace <= now;
        let mut silent: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| late(pending))
            .map(|(id, _)| id.clone())
            .collect();
        silent.sort_unstable();
        for id in silent {
            let Some(pending) = self.pending.remove(&id) else {
                continue;
            };
            self.counters.unknown += 1;
            self.answer_last(&pending.forwarded.request, CallerReply::Unknown, now, out);
        }
        self.retry_lost_keepers(now, out);
        self.repeat_last_words(now, out);
    }

    /// Tries idempotent requests elsewhere whose keepers are gone.
    pub(super) fn retry_lost_keepers(&mut self, now: Duration, out: &mut Vec<RequestOutput>) {
        let is_gone =
            |keeper: &HostIncarnation| self.snapshot.incarnation(keeper.host) != Some(*keeper);
        let is_lost = |pending: &PendingRequest| {
            pending.forwarded.request.idempotent
                && pending.tries == 1
                && now < pending.deadline
                && pending.keepers.iter().any(is_gone)
        };
        let mut ids: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, pending)| is_lost(pending))
            .map(|(id, _)| id.clone())
            .collect();
        ids.sort_unstable();
        for id in ids.into_iter().take((self.retry_credit / RETRY_COST) as usize) {
            self.retry_elsewhere(&id, UpstreamId(0), now, out);
        }
    }

    pub(super) fn repeat_last_words(&mut self, now: Duration, out: &mut Vec<RequestOutput>) {
        let (due, later) =
            std::mem::take(&mut self.last_words).into_iter().partition(|word| word.at <= now);
        self.last_words = later;
        let due: Vec<LastWord> = due;
        for LastWord { id, service, reply, .. } in due {
            out.push(RequestOutput::Answer { id, service, reply });
        }
    }
}
