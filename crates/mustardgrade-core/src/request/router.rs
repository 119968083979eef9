//! The request router of one host.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::counters::RequestCounters;
use super::message::{
    CallerReply, CallerRequest, ForwardedRequest, RequestId, RequestInput, RequestOutput,
    RequestPeerMessage, UpstreamLoad,
};
use super::replay_cache::ReplayCache;
use super::snapshot::RequestSnapshot;
use super::ticket::{RequestTicket, TicketKey};
use super::upstream_queue::{UpstreamQueue, UpstreamQueueOptions};
use crate::identity::{DataCentreId, HostIncarnation, UpstreamId};

/// `RequestOptions` holds the settings of a [`RequestRouter`].
#[derive(Debug, Clone)]
pub struct RequestOptions {
    /// This run of this host.
    pub local_incarnation: HostIncarnation,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Key that tickets are authenticated with.
    pub ticket_key: TicketKey,
    /// Life of a ticket.
    pub ticket_ttl: Duration,
    /// Used tickets that are remembered at most.
    pub replay_cache_capacity: usize,
    /// Upstreams that a request is offered to before it waits.
    pub max_candidates: usize,
    /// Settings of the keepers.
    pub upstream_queue: UpstreamQueueOptions,
    /// Time after the deadline at which the origin speaks for a silent keeper.
    pub dispatcher_reply_grace: Duration,
    /// Shortest time that a refused caller is told to wait.
    pub min_retry_after: Duration,
    /// Retries for each hundred requests.
    pub retry_budget_percent: u32,
    /// Seed of tickets and choices.
    pub seed: u64,
}

impl RequestOptions {
    /// Creates the default settings of a host.
    #[must_use]
    pub fn new(
        local_incarnation: HostIncarnation,
        data_centre: DataCentreId,
        ticket_key: TicketKey,
    ) -> Self {
        Self {
            local_incarnation,
            data_centre,
            ticket_key,
            ticket_ttl: Duration::from_secs(60),
            replay_cache_capacity: 65_536,
            max_candidates: 3,
            upstream_queue: UpstreamQueueOptions::default(),
            dispatcher_reply_grace: Duration::from_millis(400),
            min_retry_after: Duration::from_secs(1),
            retry_budget_percent: 10,
            seed: 0,
        }
    }
}

/// `PendingRequest` is a request that this host received and another host decides on.
#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    pub(super) forwarded: ForwardedRequest,
    pub(super) deadline: Duration,
    pub(super) attempts: u8,
    pub(super) dispatchers: Vec<HostIncarnation>,
}

/// `ReportedLoad` is the load of an upstream as its keeper told it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportedLoad {
    pub(super) load_permille: u32,
    pub(super) reported_at: Duration,
}

/// `RepeatedReply` is a reply that is sent once more, since its caller will not ask again.
#[derive(Debug)]
pub(super) struct RepeatedReply {
    pub(super) send_at: Duration,
    pub(super) id: RequestId,
    pub(super) service_address: SocketAddrV4,
    pub(super) reply: CallerReply,
}

/// `RequestRouter` decides what happens to each request.
///
/// It performs no I/O. Times are durations since the Unix epoch, since tickets carry an expiry.
#[derive(Debug)]
pub struct RequestRouter {
    pub(super) options: RequestOptions,
    pub(super) snapshot: Arc<RequestSnapshot>,
    pub(super) upstream_queues: BTreeMap<UpstreamId, UpstreamQueue>,
    pub(super) replay_cache: ReplayCache,
    pub(super) pending_requests: HashMap<RequestId, PendingRequest>,
    pub(super) accepted_until: HashMap<RequestId, Duration>,
    pub(super) reported_loads: HashMap<UpstreamId, ReportedLoad>,
    pub(super) scheduled_repeats: Vec<RepeatedReply>,
    pub(super) next_exchange_id: u64,
    pub(super) retry_credit: u32,
    pub(super) rng: ChaCha8Rng,
    pub(super) is_leaving: bool,
    pub(super) counters: RequestCounters,
}

/// Retry credit that one retry costs; each request earns [`RequestOptions::retry_budget_percent`].
pub(super) const RETRY_CREDIT_COST: u32 = 100;

/// Most retry credit that is saved up; more would let a burst of failures double the load.
pub(super) const MAX_RETRY_CREDIT: u32 = 10 * RETRY_CREDIT_COST;

/// Time for which an unanswered exchange still holds its slot after the deadline; shorter, and an
/// upstream that is only slow would be given more than its limit.
pub(super) const ABANDONED_SLOT_HOLD: Duration = Duration::from_secs(2);

/// Life of what a keeper told of an upstream's load.
pub(super) const REPORTED_LOAD_TTL: Duration = Duration::from_millis(500);

/// Time after which a last word is sent once more.
pub(super) const REPLY_REPEAT_DELAY: Duration = Duration::from_millis(200);

/// Times the usual service time after which an idempotent request is tried elsewhere; slow answers
/// come sooner.
pub(super) const RETRY_LATENCY_FACTOR: u32 = 6;

/// Tries of one request at different keepers.
pub(super) const MAX_ATTEMPTS: u8 = 3;

impl RequestRouter {
    /// Creates the router of a host.
    #[must_use]
    pub fn new(options: RequestOptions) -> Self {
        Self {
            snapshot: Arc::new(RequestSnapshot::default()),
            upstream_queues: BTreeMap::new(),
            replay_cache: ReplayCache::new(options.replay_cache_capacity),
            pending_requests: HashMap::new(),
            accepted_until: HashMap::new(),
            reported_loads: HashMap::new(),
            scheduled_repeats: Vec::new(),
            next_exchange_id: options.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15),
            retry_credit: MAX_RETRY_CREDIT,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            is_leaving: false,
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
    pub fn upstream_queues(&self) -> &BTreeMap<UpstreamId, UpstreamQueue> {
        &self.upstream_queues
    }

    /// Tells whether nothing that this host keeps runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.upstream_queues.values().all(UpstreamQueue::is_idle)
    }

    // Commands.

    /// Puts a snapshot in force.
    pub fn install(&mut self, snapshot: Arc<RequestSnapshot>) {
        for upstream in snapshot.services.values().flat_map(|service| &service.upstreams) {
            if let Some(queue) = self.upstream_queues.get_mut(&upstream.id) {
                queue.set_slots(upstream.slots);
            }
        }
        self.snapshot = snapshot;
    }

    /// Takes in one event and appends what must be done to `out`.
    pub fn handle(&mut self, input: RequestInput, now: Duration, out: &mut Vec<RequestOutput>) {
        match input {
            RequestInput::Caller(request) => self.handle_caller_request(request, now, out),
            RequestInput::Peer(RequestPeerMessage::Forward(forwarded)) => {
                self.accept_forwarded(forwarded, now, out)
            }
            RequestInput::Peer(RequestPeerMessage::Done { id, load }) => {
                self.pending_requests.remove(&id);
                self.record_reported_load(load, now);
            }
            RequestInput::Peer(RequestPeerMessage::Refused { id, load }) => {
                self.record_reported_load(Some(load), now);
                self.retry_elsewhere(&id, load.upstream, now, out);
            }
            RequestInput::Upstream { upstream, exchange_id, reply } => {
                self.handle_upstream_reply(upstream, exchange_id, reply, now, out);
            }
            RequestInput::Tick => self.tick(now, out),
            RequestInput::Leave => self.leave(now, out),
        }
    }

    pub(super) fn decode_ticket(&self, request: &CallerRequest) -> Option<RequestTicket> {
        let bytes = request.ticket.as_deref()?;
        let binding = ticket_binding(request);
        RequestTicket::decode(bytes, &self.options.ticket_key, &binding).ok()
    }

    pub(super) fn send_to_dispatcher(
        &mut self,
        upstream: UpstreamId,
        mut forwarded: ForwardedRequest,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        let Some(target) = self.snapshot.upstream(upstream).copied() else {
            return self.return_to_origin(&forwarded, upstream, now, out);
        };
        forwarded.candidates.insert(0, upstream);
        if target.dispatcher == self.options.local_incarnation {
            return self.accept_forwarded(forwarded, now, out);
        }
        let message = RequestPeerMessage::Forward(forwarded);
        let address = target.dispatcher_address;
        out.push(RequestOutput::SendToPeer { peer: target.dispatcher, address, message });
    }

    pub(super) fn complete_without_dispatch(
        &mut self,
        forwarded: &ForwardedRequest,
        reply: CallerReply,
        out: &mut Vec<RequestOutput>,
    ) {
        self.accepted_until.remove(&forwarded.request.id);
        self.reply_to_caller(&forwarded.request, reply, out);
        self.report_done(forwarded, None, out);
    }

    pub(super) fn local_load_permille(&self, upstream: UpstreamId) -> u32 {
        self.upstream_queues.get(&upstream).map_or(0, UpstreamQueue::load_permille)
    }

    pub(super) fn report_done(
        &mut self,
        forwarded: &ForwardedRequest,
        upstream: Option<UpstreamId>,
        out: &mut Vec<RequestOutput>,
    ) {
        let id = forwarded.request.id.clone();
        if forwarded.origin == self.options.local_incarnation.host {
            self.pending_requests.remove(&id);
            return;
        }
        let load = upstream.map(|upstream| UpstreamLoad {
            upstream,
            load_permille: self.local_load_permille(upstream),
        });
        self.send_to_origin(forwarded, RequestPeerMessage::Done { id, load }, out);
    }

    pub(super) fn send_to_origin(
        &self,
        forwarded: &ForwardedRequest,
        message: RequestPeerMessage,
        out: &mut Vec<RequestOutput>,
    ) {
        if let Some((peer, address)) = self.snapshot.live_hosts.get(&forwarded.origin).copied() {
            out.push(RequestOutput::SendToPeer { peer, address, message });
        }
    }

    pub(super) fn leave(&mut self, now: Duration, out: &mut Vec<RequestOutput>) {
        self.is_leaving = true;
        self.tick(now, out);
    }

    // Replies.

    /// Refuses a request: "not run" is only said where this host can know it.
    pub(super) fn refusal_reply(&mut self, request: &CallerRequest) -> CallerReply {
        match request.idempotent {
            true => CallerReply::Busy { retry_after: self.draw_retry_after() },
            false => CallerReply::NotRun { retry_after: self.draw_retry_after() },
        }
    }

    pub(super) fn draw_retry_after(&mut self) -> Duration {
        self.counters.refused += 1;
        // Refused callers come back at different times, or they would all meet again.
        let jitter = self.rng.random_range(0.0..1.0);
        self.options.min_retry_after.mul_f64(1.0 + jitter)
    }

    /// Answers a caller that will not ask again, and once more later.
    pub(super) fn reply_and_repeat(
        &mut self,
        request: &CallerRequest,
        reply: CallerReply,
        now: Duration,
        out: &mut Vec<RequestOutput>,
    ) {
        let send_at = now + REPLY_REPEAT_DELAY;
        let (id, service_address) = (request.id.clone(), request.service_address);
        self.scheduled_repeats.push(RepeatedReply {
            send_at,
            id,
            service_address,
            reply: reply.clone(),
        });
        self.reply_to_caller(request, reply, out);
    }

    pub(super) fn reply_to_caller(
        &mut self,
        request: &CallerRequest,
        reply: CallerReply,
        out: &mut Vec<RequestOutput>,
    ) {
        let id = request.id.clone();
        out.push(RequestOutput::ReplyToCaller {
            id,
            service_address: request.service_address,
            reply,
        });
    }
}

/// Returns the bytes that tie a ticket to its caller and service.
pub(super) fn ticket_binding(request: &CallerRequest) -> Vec<u8> {
    let mut binding = Vec::with_capacity(10);
    binding.extend_from_slice(&request.id.caller.ip().octets());
    binding.extend_from_slice(&request.service_address.ip().octets());
    binding.extend_from_slice(&request.service_address.port().to_be_bytes());
    binding
}
