//! The request router of one host.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::counters::RequestCounters;
use super::keeper::{KeeperOptions, RunningRequest, UpstreamKeeper, WaitingRequest};
use super::ledger::{LedgerEntry, TicketLedger, TicketState};
use super::message::{
    CallerReply, CallerRequest, ForwardedRequest, KeeperMessage, RequestId, RequestInput,
    RequestOutput, TriedUpstream, UpstreamReply,
};
use super::snapshot::{KeptUpstream, RequestService, RequestSnapshot};
use super::ticket::{RequestTicket, TicketKey};
use crate::identity::{DataCentreId, HostIncarnation, UpstreamId, rendezvous_score};

/// `RequestOptions` holds the settings of a [`RequestRouter`].
#[derive(Debug, Clone)]
pub struct RequestOptions {
    /// This run of this host.
    pub me: HostIncarnation,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Key that tickets are authenticated with.
    pub ticket_key: TicketKey,
    /// Life of a ticket.
    pub ticket_life: Duration,
    /// Used tickets that are remembered at most.
    pub ledger_capacity: usize,
    /// Upstreams that a request is offered to before it waits.
    pub candidates: usize,
    /// Settings of the keepers.
    pub keeper: KeeperOptions,
    /// Time after the deadline at which the origin speaks for a silent keeper.
    pub origin_grace: Duration,
    /// Shortest time that a refused caller is told to wait.
    pub retry_after: Duration,
    /// Retries for each hundred requests.
    pub retry_percent: u32,
    /// Seed of tickets and choices.
    pub seed: u64,
}

impl RequestOptions {
    /// Creates the default settings of a host.
    #[must_use]
    pub fn new(me: HostIncarnation, data_centre: DataCentreId, ticket_key: TicketKey) -> Self {
        Self {
            me,
            data_centre,
            ticket_key,
            ticket_life: Duration::from_secs(60),
            ledger_capacity: 65_536,
            candidates: 3,
            keeper: KeeperOptions::default(),
            origin_grace: Duration::from_millis(400),
            retry_after: Duration::from_secs(1),
            retry_percent: 10,
            seed: 0,
        }
    }
}

/// `PendingRequest` is a request that this host received and another host decides on.
#[derive(Debug, Clone)]
struct PendingRequest {
    forwarded: ForwardedRequest,
    deadline: Duration,
    tries: u8,
    keepers: Vec<HostIncarnation>,
}

/// `KnownLoad` is the load of an upstream as its keeper told it.
#[derive(Debug, Clone, Copy)]
struct KnownLoad {
    load: u32,
    at: Duration,
}

/// `LastWord` is a reply that is sent once more, since its caller will not ask again.
#[derive(Debug)]
struct LastWord {
    at: Duration,
    id: RequestId,
    service: SocketAddrV4,
    reply: CallerReply,
}

/// `RequestRouter` decides what happens to each request.
///
/// It performs no I/O. Times are durations since the Unix epoch, since tickets carry an expiry.
#[derive(Debug)]
pub struct RequestRouter {
    options: RequestOptions,
    snapshot: Arc<RequestSnapshot>,
    keepers: BTreeMap<UpstreamId, UpstreamKeeper>,
    ledger: TicketLedger,
    pending: HashMap<RequestId, PendingRequest>,
    taken: HashMap<RequestId, Duration>,
    loads: HashMap<UpstreamId, KnownLoad>,
    last_words: Vec<LastWord>,
    next_exchange: u64,
    retry_credit: u32,
    random: ChaCha8Rng,
    leaving: bool,
    counters: RequestCounters,
}

/// Retry credit that one retry costs; each request earns [`RequestOptions::retry_percent`].
const RETRY_COST: u32 = 100;

/// Most retry credit that is saved up; more would let a burst of failures double the load.
const MAX_RETRY_CREDIT: u32 = 10 * RETRY_COST;

/// Time for which an unanswered exchange still holds its slot after the deadline; shorter, and an
/// upstream that is only slow would be given more than its limit.
const ABANDONED_HOLD: Duration = Duration::from_secs(2);

/// Life of what a keeper told of an upstream's load.
const LOAD_LIFE: Duration = Duration::from_millis(500);

/// Time after which a last word is sent once more.
const LAST_WORD_AGAIN: Duration = Duration::from_millis(200);

/// Times the usual service time after which an idempotent request is tried elsewhere; slow answers
/// come sooner.
const SILENT_FACTOR: u32 = 6;

/// Tries of one request at different keepers.
const MAX_TRIES: u8 = 3;

impl RequestRouter {
    /// Creates the router of a host.
    #[must_use]
    pub fn new(options: RequestOptions) -> Self {
        Self {
            snapshot: Arc::new(RequestSnapshot::default()),
            keepers: BTreeMap::new(),
            ledger: TicketLedger::new(options.ledger_capacity),
            pending: HashMap::new(),
            taken: HashMap::new(),
            loads: HashMap::new(),
            last_words: Vec::new(),
            next_exchange: options.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15),
            retry_credit: MAX_RETRY_CREDIT,
            random: ChaCha8Rng::seed_from_u64(options.seed),
            leaving: false,
            counters: RequestCounters::default(),
            options,
        }
    }

    // Queries.

    /// Returns what the router has counted.
    #[must_use]
    pub fn counters(&self) -> &RequestCounters {
        &self.counters
    }

    /// Returns the keepers of this host, by upstream.
    #[must_use]
    pub fn keepers(&self) -> &BTreeMap<UpstreamId, UpstreamKeeper> {
        &self.keepers
    }

    /// Tells whether nothing that this host keeps runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.keepers.values().all(UpstreamKeeper::is_idle)
    }

    // Commands.

    /// Puts a snapshot in force.
    pub fn install(&mut self, snapshot: Arc<RequestSnapshot>) {
        for kept in snapshot.services.values().flat_map(|service| &service.upstreams) {
            if let Some(keeper) = self.keepers.get_mut(&kept.upstream) {
                keeper.set_slots(kept.slots);
            }
        }
        self.snapshot = snapshot;
    }

    /// Takes in one event and appends what must be done to `out`.
    pub fn handle(&mut self, input: RequestInput, now: Duration, out: &mut Vec<RequestOutput>) {
        match input {
            RequestInput::Caller(request) => self.receive(request, now, out),
            RequestInput::Peer(KeeperMessage::Forward(forwarded)) => self.keep(forwarded, now, out),
            RequestInput::Peer(KeeperMessage::Done { id, load }) => {
                self.pending.remove(&id);
                self.note_load(load, now);
            }
            RequestInput::Peer(KeeperMessage::Refused { id, load }) => {
                self.note_load(Some(load), now);
                self.retry_elsewhere(&id, load.upstream, now, out);
            }
            RequestInput::Upstream { upstream, exchange, reply } => {
                self.finish(upstream, exchange, reply, now, out);
            }
            RequestInput::Tick => self.tick(now, out),
            RequestInput::Leave => self.leave(now, out),
        }
    }

    // The receiving host.

    fn note_load(&mut self, told: Option<TriedUpstream>, now: Duration) {
        if let Some(TriedUpstream { upstream, load }) = told {
            self.loads.insert(upstream, KnownLoad { load, at: now });
        }
    }

    /// Returns what is known of an upstream's load; what is old counts as nothing.
    fn known_load(&self, upstream: UpstreamId, now: Duration) -> u32 {
        match self.loads.get(&upstream) {
            Some(known) if now < known.at + LOAD_LIFE => known.load,
            Some(_) | None => 0,
        }
    }

    fn receive(&mut self, request: CallerRequest, now: Duration, out: &mut Vec<RequestOutput>) {
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

    fn forward_idempotent(
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
    fn pick_candidates(
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

    fn challenge(
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

    fn forward_ticket(
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

    fn read_ticket(&self, request: &CallerRequest) -> Option<RequestTicket> {
        let bytes = request.ticket.as_deref()?;
        let binding = ticket_binding(request);
        RequestTicket::decode(bytes, &self.options.ticket_key, &binding).ok()
    }

    fn note_pending(
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

    fn send_to_keeper(
        &mut self,
        upstream: UpstreamId,
        mut forwarded: ForwardedRequest,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        let Some(kept) = self.snapshot.upstream(upstream).copied() else {
            return self.refuse(&forwarded, upstream, now, out);
        };
        forwarded.candidates.insert(0, upstream);
        if kept.keeper == self.options.me {
            return self.keep(forwarded, now, out);
        }
        let message = KeeperMessage::Forward(forwarded);
        let address = kept.keeper_address;
        out.push(RequestOutput::Send { to: kept.keeper, address, message });
    }

    /// Tries a refused request at other upstreams, within the retry budget.
    fn retry_elsewhere(
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

    // The keeper.

    fn keep(
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
    fn keep_ticket(
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

    fn run_ticket(
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
    fn upstream_for(
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

    fn may_take(&self, upstream: UpstreamId) -> bool {
        let kept = self.snapshot.upstream(upstream);
        kept.is_some_and(|kept| kept.takes_new && kept.keeper == self.options.me) && !self.leaving
    }

    fn keeper_for(&mut self, upstream: UpstreamId) -> &mut UpstreamKeeper {
        let slots = self.snapshot.upstream(upstream).map_or(1, |kept| kept.slots);
        let options = self.options.keeper;
        self.keepers.entry(upstream).or_insert_with(|| UpstreamKeeper::new(slots, options))
    }

    /// Offers a request to the next candidate, or lets it wait where the load is least.
    fn pass_on(
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

    fn take_on(
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

    fn dispatch_next(&mut self, upstream: UpstreamId, now: Duration, out: &mut Vec<RequestOutput>) {
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
    fn finish(
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

    fn deliver(
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
    fn give_back(
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

    fn refuse_ticket(
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

    fn refuse(
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

    fn end_without_run(
        &mut self,
        forwarded: &ForwardedRequest,
        reply: CallerReply,
        out: &mut Vec<RequestOutput>,
    ) {
        self.taken.remove(&forwarded.request.id);
        self.answer(&forwarded.request, reply, out);
        self.send_done(forwarded, None, out);
    }

    fn load_of(&self, upstream: UpstreamId) -> u32 {
        self.keepers.get(&upstream).map_or(0, UpstreamKeeper::load)
    }

    fn send_done(
        &mut self,
        forwarded: &ForwardedRequest,
        upstream: Option<UpstreamId>,
        out: &mut Vec<RequestOutput>,
    ) {
        let id = forwarded.request.id.clone();
        if forwarded.origin == self.options.me.host {
            self.pending.remove(&id);
            return;
        }
        let load =
            upstream.map(|upstream| TriedUpstream { upstream, load: self.load_of(upstream) });
        self.send_to_origin(forwarded, KeeperMessage::Done { id, load }, out);
    }

    fn send_to_origin(
        &self,
        forwarded: &ForwardedRequest,
        message: KeeperMessage,
        out: &mut Vec<RequestOutput>,
    ) {
        if let Some((to, address)) = self.snapshot.hosts.get(&forwarded.origin).copied() {
            out.push(RequestOutput::Send { to, address, message });
        }
    }

    // Time.

    fn tick(&mut self, now: Duration, out: &mut Vec<RequestOutput>) {
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
    fn expire(&mut self, upstream: UpstreamId, now: Duration, out: &mut Vec<RequestOutput>) {
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
    fn return_unanswered(
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

    fn end_expired(&mut self, waiting: &WaitingRequest, out: &mut Vec<RequestOutput>) {
        match waiting.nonce {
            Some(nonce) => self.refuse_ticket(nonce, &waiting.forwarded, out),
            None => {
                let reply = self.refusal(&waiting.forwarded.request);
                self.end_without_run(&waiting.forwarded, reply, out);
            }
        }
    }

    fn end_overdue(
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

    /// Hands back what waits for an upstream that this host keeps no more.
    fn return_unkept(&mut self, upstream: UpstreamId, now: Duration, out: &mut Vec<RequestOutput>) {
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

    /// Tells callers the truth about requests whose keepers stay silent.
    fn speak_for_silent_keepers(&mut self, now: Duration, out: &mut Vec<RequestOutput>) {
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
    fn retry_lost_keepers(&mut self, now: Duration, out: &mut Vec<RequestOutput>) {
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

    fn repeat_last_words(&mut self, now: Duration, out: &mut Vec<RequestOutput>) {
        let (due, later) =
            std::mem::take(&mut self.last_words).into_iter().partition(|word| word.at <= now);
        self.last_words = later;
        let due: Vec<LastWord> = due;
        for LastWord { id, service, reply, .. } in due {
            out.push(RequestOutput::Answer { id, service, reply });
        }
    }

    fn leave(&mut self, now: Duration, out: &mut Vec<RequestOutput>) {
        self.leaving = true;
        self.tick(now, out);
    }

    // Replies.

    /// Refuses a request: "not run" is only said where this host can know it.
    fn refusal(&mut self, request: &CallerRequest) -> CallerReply {
        match request.idempotent {
            true => CallerReply::Busy { retry_after: self.draw_retry_after() },
            false => CallerReply::NotRun { retry_after: self.draw_retry_after() },
        }
    }

    fn draw_retry_after(&mut self) -> Duration {
        self.counters.refused += 1;
        // Refused callers come back at different times, or they would all meet again.
        let jitter = self.random.random_range(0.0..1.0);
        self.options.retry_after.mul_f64(1.0 + jitter)
    }

    /// Answers a caller that will not ask again, and once more later.
    fn answer_last(
        &mut self,
        request: &CallerRequest,
        reply: CallerReply,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        let at = now + LAST_WORD_AGAIN;
        let (id, service) = (request.id.clone(), request.service);
        self.last_words.push(LastWord { at, id, service, reply: reply.clone() });
        self.answer(request, reply, out);
    }

    fn answer(
        &mut self,
        request: &CallerRequest,
        reply: CallerReply,
        out: &mut Vec<RequestOutput>,
    ) {
        let id = request.id.clone();
        out.push(RequestOutput::Answer { id, service: request.service, reply });
    }
}

/// Returns the bytes that tie a ticket to its caller and service.
fn ticket_binding(request: &CallerRequest) -> Vec<u8> {
    let mut binding = Vec::with_capacity(10);
    binding.extend_from_slice(&request.id.caller.ip().octets());
    binding.extend_from_slice(&request.service.ip().octets());
    binding.extend_from_slice(&request.service.port().to_be_bytes());
    binding
}
