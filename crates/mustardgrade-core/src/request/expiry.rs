//! What happens to requests as time passes.

use std::time::Duration;

use super::keeper::{RunningRequest, WaitingRequest};
use super::message::{CallerReply, RequestOutput};
use super::router::{ABANDONED_HOLD, RequestRouter, SILENT_FACTOR};
use crate::identity::UpstreamId;

impl RequestRouter {
    pub(super) fn tick(&mut self, now: Duration, out: &mut Vec<RequestOutput>) {
        let upstreams: Vec<UpstreamId> = self.keepers.keys().copied().collect();
        for upstream in upstreams {
            self.expire(upstream, now, out);
            self.return_unkept(upstream, now, out);
            self.dispatch_next(upstream, now, out);
        }
        self.taken.retain(|_, until| *until > now);
        self.speak_for_silent_keepers(now, out);
    }

    /// Ends requests whose callers have given up.
    pub(super) fn expire(
        &mut self,
        upstream: UpstreamId,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        let Some(keeper) = self.keepers.get_mut(&upstream) else {
            return;
        };
        let expired = keeper.take_expired(now);
        let mut overdue = Vec::new();
        for (exchange, running) in &mut keeper.running {
            if !running.abandoned && running.waiting.deadline <= now {
                running.abandoned = true;
                overdue.push((*exchange, running.waiting.clone()));
            }
        }
        keeper.running.retain(|_, running| now < running.waiting.deadline + ABANDONED_HOLD);
        for _ in &overdue {
            keeper.limit.miss();
        }
        for waiting in expired {
            self.end_expired(&waiting, out);
        }
        self.return_unanswered(upstream, now, out);
        let address = self.snapshot.upstream(upstream).map(|kept| kept.address);
        for (exchange, waiting) in overdue {
            if let Some(address) = address {
                out.push(RequestOutput::Cancel { upstream, address, exchange });
            }
            self.end_overdue(&waiting, now, out);
        }
    }

    /// Hands back idempotent requests that an upstream should have answered long ago, while there
    /// is time to try another one.
    pub(super) fn return_unanswered(
        &mut self,
        upstream: UpstreamId,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        let Some(keeper) = self.keepers.get_mut(&upstream) else { return };
        let Some(usual) = keeper.limit.usual() else { return };
        let silent = |running: &RunningRequest| {
            let idempotent = running.waiting.nonce.is_none();
            idempotent && !running.abandoned && now > running.dispatched + usual * SILENT_FACTOR
        };
        let mut returned = Vec::new();
        for running in keeper.running.values_mut().filter(|running| silent(running)) {
            running.abandoned = true;
            returned.push(running.waiting.clone());
        }
        for waiting in returned {
            self.give_back(waiting, upstream, now, out);
        }
    }

    pub(super) fn end_expired(&mut self, waiting: &WaitingRequest, out: &mut Vec<RequestOutput>) {
        match waiting.nonce {
            Some(nonce) => self.refuse_ticket(nonce, &waiting.forwarded, out),
            None => {
                let reply = self.refusal(&waiting.forwarded.request);
                self.end_without_run(&waiting.forwarded, reply, out);
            }
        }
    }

    pub(super) fn end_overdue(
        &mut self,
        waiting: &WaitingRequest,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        self.counters.unknown += 1;
        // The ledger keeps the ticket as running: an answer may still come and is remembered.
        let request = &waiting.forwarded.request;
        self.taken.remove(&request.id);
        self.answer_last(request, CallerReply::Unknown, now, out);
        self.send_done(&waiting.forwarded, None, out);
    }
}
