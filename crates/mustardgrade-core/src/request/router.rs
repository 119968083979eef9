//! The request router of one host.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::counters::RequestCounters;
use super::keeper::{KeeperOptions, UpstreamKeeper};
use super::ledger::TicketLedger;
use super::message::{
    CallerReply, CallerRequest, ForwardedRequest, KeeperMessage, RequestId, RequestInput,
    RequestOutput, TriedUpstream,
};
use super::snapshot::RequestSnapshot;
use super::ticket::{RequestTicket, TicketKey};
use crate::identity::{DataCentreId, HostIncarnation, UpstreamId};

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
pub(super) struct PendingRequest {
    pub(super) forwarded: ForwardedRequest,
    pub(super) deadline: Duration,
    pub(super) tries: u8,
    pub(super) keepers: Vec<HostIncarnation>,
}

/// `KnownLoad` is the load of an upstream as its keeper told it.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownLoad {
    pub(super) load: u32,
    pub(super) at: Duration,
}

/// `LastWord` is a reply that is sent once more, since its caller will not ask again.
#[derive(Debug)]
pub(super) struct LastWord {
    pub(super) at: Duration,
    pub(super) id: RequestId,
    pub(super) service: SocketAddrV4,
    pub(super) reply: CallerReply,
}

/// `RequestRouter` decides what happens to each request.
///
/// It performs no I/O. Times are durations since the Unix epoch, since tickets carry an expiry.
#[derive(Debug)]
pub struct RequestRouter {
    pub(super) options: RequestOptions,
    pub(super) snapshot: Arc<RequestSnapshot>,
    pub(super) keepers: BTreeMap<UpstreamId, UpstreamKeeper>,
    pub(super) ledger: TicketLedger,
    pub(super) pending: HashMap<RequestId, PendingRequest>,
    pub(super) taken: HashMap<RequestId, Duration>,
    pub(super) loads: HashMap<UpstreamId, KnownLoad>,
    pub(super) last_words: Vec<LastWord>,
    pub(super) next_exchange: u64,
    pub(super) retry_credit: u32,
    pub(super) random: ChaCha8Rng,
    pub(super) leaving: bool,
    pub(super) counters: RequestCounters,
}

/// Retry credit that one retry costs; each request earns [`RequestOptions::retry_percent`].
pub(super) const RETRY_COST: u32 = 100;

/// Most retry credit that is saved up; more would let a burst of failures double the load.
pub(super) const MAX_RETRY_CREDIT: u32 = 10 * RETRY_COST;

/// Time for which an unanswered exchange still holds its slot after the deadline; shorter, and an
/// upstream that is only slow would be given more than its limit.
pub(super) const ABANDONED_HOLD: Duration = Duration::from_secs(2);

/// Life of what a keeper told of an upstream's load.
pub(super) const LOAD_LIFE: Duration = Duration::from_millis(500);

/// Time after which a last word is sent once more.
pub(super) const LAST_WORD_AGAIN: Duration = Duration::from_millis(200);

/// Times the usual service time after which an idempotent request is tried elsewhere; slow answers
/// come sooner.
pub(super) const SILENT_FACTOR: u32 = 6;

/// Tries of one request at different keepers.
pub(super) const MAX_TRIES: u8 = 3;

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

    pub(super) fn read_ticket(&self, request: &CallerRequest) -> Option<RequestTicket> {
        let bytes = request.ticket.as_deref()?;
        let binding = ticket_binding(request);
        RequestTicket::decode(bytes, &self.options.ticket_key, &binding).ok()
    }

    pub(super) fn send_to_keeper(
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

    pub(super) fn end_without_run(
        &mut self,
        forwarded: &ForwardedRequest,
        reply: CallerReply,
        out: &mut Vec<RequestOutput>,
    ) {
        self.taken.remove(&forwarded.request.id);
        self.answer(&forwarded.request, reply, out);
        self.send_done(forwarded, None, out);
    }

    pub(super) fn load_of(&self, upstream: UpstreamId) -> u32 {
        self.keepers.get(&upstream).map_or(0, UpstreamKeeper::load)
    }

    pub(super) fn send_done(
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

    pub(super) fn send_to_origin(
        &self,
        forwarded: &ForwardedRequest,
        message: KeeperMessage,
        out: &mut Vec<RequestOutput>,
    ) {
        if let Some((to, address)) = self.snapshot.hosts.get(&forwarded.origin).copied() {
            out.push(RequestOutput::Send { to, address, message });
        }
    }

    pub(super) fn leave(&mut self, now: Duration, out: &mut Vec<RequestOutput>) {
        self.leaving = true;
        self.tick(now, out);
    }

    // Replies.

    /// Refuses a request: "not run" is only said where this host can know it.
    pub(super) fn refusal(&mut self, request: &CallerRequest) -> CallerReply {
        match request.idempotent {
            true => CallerReply::Busy { retry_after: self.draw_retry_after() },
            false => CallerReply::NotRun { retry_after: self.draw_retry_after() },
        }
    }

    pub(super) fn draw_retry_after(&mut self) -> Duration {
        self.counters.refused += 1;
        // Refused callers come back at different times, or they would all meet again.
        let jitter = self.random.random_range(0.0..1.0);
        self.options.retry_after.mul_f64(1.0 + jitter)
    }

    /// Answers a caller that will not ask again, and once more later.
    pub(super) fn answer_last(
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

    pub(super) fn answer(
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
pub(super) fn ticket_binding(request: &CallerRequest) -> Vec<u8> {
    let mut binding = Vec::with_capacity(10);
    binding.extend_from_slice(&request.id.caller.ip().octets());
    binding.extend_from_slice(&request.service.ip().octets());
    binding.extend_from_slice(&request.service.port().to_be_bytes());
    binding
}
