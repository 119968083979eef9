//! What the keeper of an upstream does with requests.

use std::time::Duration;

use super::keeper::{RunningRequest, UpstreamKeeper, WaitingRequest};
use super::ledger::{LedgerEntry, TicketState};
use super::message::{
    CallerReply, ForwardedRequest, KeeperMessage, RequestOutput, TriedUpstream, UpstreamReply,
};
use super::router::RequestRouter;
use super::snapshot::KeptUpstream;
use super::ticket::RequestTicket;
use crate::identity::UpstreamId;

impl RequestRouter {
    pub(super) fn keep(
        &mut self,
        mut forwarded: ForwardedRequest,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        if forwarded.request.ticket.is_some() && !forwarded.request.idempotent {
            return self.keep_ticket(forwarded, now, out);
        }
        if forwarded.candidates.is_empty() {
            return;
        }
        let upstream = forwarded.candidates.remove(0);
        if let Some(until) = self.taken.get(&forwarded.request.id)
            && *until > now
        {
            self.counters.duplicates += 1;
            return;
        }
        if !self.may_take(upstream) {
            return self.pass_on(forwarded, upstream, u32::MAX, now, out);
        }
        let keeper = self.keeper_for(upstream);
        let load = keeper.load();
        if !keeper.has_room() && !forwarded.settle {
            return self.pass_on(forwarded, upstream, load, now, out);
        }
        self.take_on(upstream, forwarded, None, now, out);
    }

    /// Runs a ticketed request here, once, or says truthfully why not.
    pub(super) fn keep_ticket(
        &mut self,
        forwarded: ForwardedRequest,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        let Some(ticket) = self.read_ticket(&forwarded.request) else {
            self.counters.bad_tickets += 1;
            return self.end_without_run(&forwarded, CallerReply::Invalid, out);
        };
        if ticket.keeper != self.options.me {
            // The message was meant for another run of this host.
            self.counters.unknown += 1;
            return self.end_without_run(&forwarded, CallerReply::Unknown, out);
        }
        if ticket.expires() > now + self.options.ticket_life * 2 {
            self.counters.bad_tickets += 1;
            return self.end_without_run(&forwarded, CallerReply::Invalid, out);
        }
        match self.ledger.use_ticket(&ticket, now) {
            LedgerEntry::Fresh => self.run_ticket(&ticket, forwarded, now, out),
            LedgerEntry::Used(TicketState::Running) => {
                self.counters.duplicates += 1;
                // A caller that asks after its deadline has not heard the last word.
                if forwarded.request.patience.is_zero() {
                    self.answer(&forwarded.request, CallerReply::Unknown, out);
                }
            }
            LedgerEntry::Used(TicketState::Ended(reply)) => {
                self.counters.duplicates += 1;
                self.end_without_run(&forwarded, reply, out);
            }
            LedgerEntry::Refused => {
                let reply = self.refusal(&forwarded.request);
                self.end_without_run(&forwarded, reply, out);
            }
            LedgerEntry::Expired => {
                self.counters.unknown += 1;
                self.end_without_run(&forwarded, CallerReply::Unknown, out);
            }
        }
    }

    pub(super) fn run_ticket(
        &mut self,
        ticket: &RequestTicket,
        forwarded: ForwardedRequest,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        let upstream = self.upstream_for(ticket, &forwarded);
        match upstream {
            Some(upstream) => self.take_on(upstream, forwarded, Some(ticket.nonce), now, out),
            None => self.refuse_ticket(ticket.nonce, &forwarded, out),
        }
    }

    /// Returns the upstream of a ticket, or another one that this host keeps for the service.
    pub(super) fn upstream_for(
        &self,
        ticket: &RequestTicket,
        forwarded: &ForwardedRequest,
    ) -> Option<UpstreamId> {
        let service = self.snapshot.services.get(&forwarded.request.service)?;
        let usable = || {
            let kept = service.upstreams.iter().filter(|kept| kept.takes_new);
            kept.filter(|kept| kept.keeper == self.options.me)
        };
        let meant =
            |kept: &&KeptUpstream| RequestTicket::tag_of(kept.upstream) == ticket.upstream_tag;
        // Any upstream of this host will do; the one that the ticket names wins a tie.
        let load =
            |kept: &KeptUpstream| self.keepers.get(&kept.upstream).map_or(0, UpstreamKeeper::load);
        let best = usable().min_by_key(|kept| (load(kept), !meant(kept)));
        best.map(|kept| kept.upstream)
    }

    pub(super) fn may_take(&self, upstream: UpstreamId) -> bool {
        let kept = self.snapshot.upstream(upstream);
        kept.is_some_and(|kept| kept.takes_new && kept.keeper == self.options.me) && !self.leaving
    }

    pub(super) fn keeper_for(&mut self, upstream: UpstreamId) -> &mut UpstreamKeeper {
        let slots = self.snapshot.upstream(upstream).map_or(1, |kept| kept.slots);
        let options = self.options.keeper;
        self.keepers.entry(upstream).or_insert_with(|| UpstreamKeeper::new(slots, options))
    }

    /// Offers a request to the next candidate, or lets it wait where the load is least.
    pub(super) fn pass_on(
        &mut self,
        mut forwarded: ForwardedRequest,
        upstream: UpstreamId,
        load: u32,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        self.counters.passed_on += 1;
        forwarded.tried.push(TriedUpstream { upstream, load });
        if !forwarded.candidates.is_empty() {
            let next = forwarded.candidates.remove(0);
            return self.send_to_keeper(next, forwarded, now, out);
        }
        let best = forwarded.tried.iter().filter(|tried| tried.load < u32::MAX);
        let Some(best) = best.min_by_key(|tried| tried.load).copied() else {
            return self.refuse(&forwarded, upstream, now, out);
        };
        if forwarded.settle {
            return self.refuse(&forwarded, upstream, now, out);
        }
        forwarded.settle = true;
        forwarded.tried.clear();
        self.send_to_keeper(best.upstream, forwarded, now, out);
    }

    pub(super) fn take_on(
        &mut self,
        upstream: UpstreamId,
        forwarded: ForwardedRequest,
        nonce: Option<u64>,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        let deadline = now + forwarded.request.patience;
        self.taken.insert(forwarded.request.id.clone(), deadline);
        let waiting = WaitingRequest { forwarded, nonce, deadline, since: now };
        if let Err(refused) = self.keeper_for(upstream).enqueue(waiting) {
            self.taken.remove(&refused.forwarded.request.id);
            return self.give_back(*refused, upstream, now, out);
        }
        self.dispatch_next(upstream, now, out);
    }

    pub(super) fn dispatch_next(
        &mut self,
        upstream: UpstreamId,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        let Some(kept) = self.snapshot.upstream(upstream).copied() else {
            return;
        };
        if !kept.takes_new {
            return;
        }
        while let Some(waiting) =
            self.keepers.get_mut(&upstream).and_then(UpstreamKeeper::take_next)
        {
            let exchange = self.next_exchange;
            self.next_exchange = self.next_exchange.wrapping_add(1);
            self.counters.dispatched += 1;
            out.push(RequestOutput::Dispatch {
                upstream,
                address: kept.address,
                exchange,
                patience: waiting.deadline.saturating_sub(now),
                content: waiting.forwarded.request.content.clone(),
            });
            let running = RunningRequest { waiting, dispatched: now, abandoned: false };
            self.keeper_for(upstream).running.insert(exchange, running);
        }
    }

    /// Takes in the reply of an upstream.
    pub(super) fn finish(
        &mut self,
        upstream: UpstreamId,
        exchange: u64,
        reply: UpstreamReply,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        let running = self.keepers.get_mut(&upstream).and_then(|k| k.running.remove(&exchange));
        let Some(running) = running else {
            self.counters.stray_answers += 1;
            return;
        };
        let keeper = self.keeper_for(upstream);
        match reply {
            UpstreamReply::Content(content) => {
                keeper.limit.succeed(now.saturating_sub(running.dispatched));
                self.deliver(&running, upstream, content, out);
            }
            UpstreamReply::Shed => {
                keeper.limit.collapse();
                if !running.abandoned {
                    self.give_back(running.waiting, upstream, now, out);
                }
            }
        }
        self.dispatch_next(upstream, now, out);
    }

    pub(super) fn deliver(
        &mut self,
        running: &RunningRequest,
        upstream: UpstreamId,
        content: Vec<u8>,
        out: &mut Vec<RequestOutput>,
    ) {
        let reply = CallerReply::Content(content);
        if let Some(nonce) = running.waiting.nonce {
            self.ledger.end_ticket(nonce, reply.clone());
        }
        if running.abandoned {
            return;
        }
        self.counters.answered += 1;
        let forwarded = &running.waiting.forwarded;
        // The request may come again if its answer is lost on the way.
        self.taken.remove(&forwarded.request.id);
        self.answer(&forwarded.request, reply, out);
        self.send_done(forwarded, Some(upstream), out);
    }

    /// Hands back a request that has not run here.
    pub(super) fn give_back(
        &mut self,
        waiting: WaitingRequest,
        upstream: UpstreamId,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        self.taken.remove(&waiting.forwarded.request.id);
        match waiting.nonce {
            Some(nonce) => self.refuse_ticket(nonce, &waiting.forwarded, out),
            None => self.refuse(&waiting.forwarded, upstream, now, out),
        }
    }

    pub(super) fn refuse_ticket(
        &mut self,
        nonce: u64,
        forwarded: &ForwardedRequest,
        out: &mut Vec<RequestOutput>,
    ) {
        let reply = self.refusal(&forwarded.request);
        // The ticket is spent: a copy of the request that arrives later must not run either.
        self.ledger.end_ticket(nonce, reply.clone());
        self.end_without_run(forwarded, reply, out);
    }

    pub(super) fn refuse(
        &mut self,
        forwarded: &ForwardedRequest,
        upstream: UpstreamId,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        let id = forwarded.request.id.clone();
        if forwarded.origin == self.options.me.host {
            return self.retry_elsewhere(&id, upstream, now, out);
        }
        let load = TriedUpstream { upstream, load: self.load_of(upstream) };
        self.send_to_origin(forwarded, KeeperMessage::Refused { id, load }, out);
    }

    /// Hands back what waits for an upstream that this host keeps no more.
    pub(super) fn return_unkept(
        &mut self,
        upstream: UpstreamId,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        let kept = self.snapshot.upstream(upstream).copied();
        let mine = kept.is_some_and(|kept| kept.keeper == self.options.me && kept.takes_new);
        if mine && !self.leaving {
            return;
        }
        let Some(keeper) = self.keepers.get_mut(&upstream) else {
            return;
        };
        let waiting = keeper.take_waiting();
        let idle = keeper.is_idle();
        for waiting in waiting {
            self.give_back(waiting, upstream, now, out);
        }
        if idle {
            self.keepers.remove(&upstream);
        }
    }
}
