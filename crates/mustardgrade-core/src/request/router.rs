//! Request router of one host: options, state and the functions that both roles share.

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
    /// Identity of the local host in its current run.
    pub local_incarnation: HostIncarnation,
    /// Data centre of the local host.
    pub data_centre: DataCentreId,
    /// Key that tickets are authenticated with.
    pub ticket_key: TicketKey,
    /// Time from the issue of a ticket to its expiry.
    pub ticket_ttl: Duration,
    /// Maximum number of used tickets that are recorded.
    pub replay_cache_capacity: usize,
    /// Maximum number of upstreams that a request is offered to before it is queued at one.
    pub max_candidates: usize,
    /// Settings of the queues of upstreams that the local host dispatches to.
    pub upstream_queue: UpstreamQueueOptions,
    /// Time after a request's deadline at which the origin replies to the caller itself if the
    /// dispatcher has not reported.
    pub dispatcher_reply_grace: Duration,
    /// Minimum time after which a refused caller may retry; up to the same time is added as jitter.
    pub min_retry_after: Duration,
    /// Retries that are allowed per hundred requests from callers.
    pub retry_budget_percent: u32,
    /// Seed of ticket nonces, retry jitter and the first exchange identifier.
    pub seed: u64,
}

impl RequestOptions {
    /// Creates the default settings, with seed 0.
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

/// `PendingRequest` is a request that the local host is the origin of and has forwarded to a
/// dispatcher, which may be the local host itself.
#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    pub(super) forwarded: ForwardedRequest,
    pub(super) deadline: Duration,
    pub(super) attempts: u8,
    pub(super) dispatchers: Vec<HostIncarnation>,
}

/// `ReportedLoad` is the last load of an upstream that its dispatcher reported.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportedLoad {
    pub(super) load_permille: u32,
    pub(super) reported_at: Duration,
}

/// `RepeatedReply` is a final reply to be sent a second time, since a caller past its deadline may
/// not retransmit the request if the first copy of the reply is lost.
#[derive(Debug)]
pub(super) struct RepeatedReply {
    pub(super) send_at: Duration,
    pub(super) id: RequestId,
    pub(super) service_address: SocketAddrV4,
    pub(super) reply: CallerReply,
}

/// `RequestRouter` routes requests, both as the origin and as the dispatcher.
///
/// It performs no I/O. Times are durations since the Unix epoch, because tickets that other hosts
/// issued carry an absolute expiry.
#[derive(Debug)]
pub struct RequestRouter {
    pub(super) options: RequestOptions,
    pub(super) snapshot: Arc<RequestSnapshot>,
    pub(super) upstream_queues: BTreeMap<UpstreamId, UpstreamQueue>,
    pub(super) replay_cache: ReplayCache,
    pub(super) pending_requests: HashMap<RequestId, PendingRequest>,
    /// Deadlines of the requests that this host accepted as a dispatcher, to detect repeated ones.
    pub(super) accepted_until: HashMap<RequestId, Duration>,
    pub(super) reported_loads: HashMap<UpstreamId, ReportedLoad>,
    pub(super) scheduled_repeats: Vec<RepeatedReply>,
    pub(super) next_exchange_id: u64,
    pub(super) retry_credit: u32,
    pub(super) rng: ChaCha8Rng,
    pub(super) is_leaving: bool,
    /// Time of the last input; ticks keep it close to the current time unless the host stalls.
    pub(super) last_input_at: Option<Duration>,
    /// Time at which the last stall of this host ended.
    pub(super) resumed_at: Duration,
    /// Whether the last tick left in-flight requests alone, since their answers may have waited.
    pub(super) expiry_deferred: bool,
    pub(super) counters: RequestCounters,
}

/// Retry credit that one retry costs; each request from a caller earns
/// [`RequestOptions::retry_budget_percent`].
pub(super) const RETRY_CREDIT_COST: u32 = 100;

/// Upper bound of the saved retry credit; with a higher one, a burst of failures could double the
/// load.
pub(super) const MAX_RETRY_CREDIT: u32 = 10 * RETRY_CREDIT_COST;

/// Time after the deadline for which an unanswered request still holds its slot; with a shorter
/// one, an upstream that is merely slow would receive more requests than its limit.
pub(super) const ABANDONED_SLOT_HOLD: Duration = Duration::from_secs(2);

/// Time for which the reported load of an upstream is used.
pub(super) const REPORTED_LOAD_TTL: Duration = Duration::from_millis(500);

/// Delay between a final reply and its repetition.
pub(super) const REPLY_REPEAT_DELAY: Duration = Duration::from_millis(200);

/// Time without any input, ticks among them, after which this host has stalled: it has heard late, and
/// what it has not heard says nothing of an upstream.
pub(super) const STALL_THRESHOLD: Duration = Duration::from_millis(30);

/// Time after a stall for which answers may still wait in the receive queue; one tick interval.
pub(super) const STALL_DRAIN_TIME: Duration = Duration::from_millis(10);

/// Multiple of the baseline service time after which an unanswered idempotent request is retried
/// elsewhere; responses that are merely slow arrive earlier.
pub(super) const RETRY_LATENCY_FACTOR: u32 = 6;

/// Maximum number of attempts for one request, each with its own set of candidate upstreams.
pub(super) const MAX_ATTEMPTS: u8 = 3;

impl RequestRouter {
    /// Creates a router with an empty snapshot: until one is installed, no service is known.
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
            last_input_at: None,
            resumed_at: Duration::ZERO,
            expiry_deferred: false,
            counters: RequestCounters::default(),
            options,
        }
    }

    /// Returns the totals since the router was created.
    #[must_use]
    pub fn counters(&self) -> &RequestCounters {
        &self.counters
    }

    /// Returns the queues of the upstreams that the local host dispatches to.
    #[must_use]
    pub fn upstream_queues(&self) -> &BTreeMap<UpstreamId, UpstreamQueue> {
        &self.upstream_queues
    }

    /// Returns whether no request is in flight or waiting at the local dispatcher.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.upstream_queues.values().all(UpstreamQueue::is_idle)
    }

    /// Replaces the snapshot and updates the slots of existing queues.
    pub fn install(&mut self, snapshot: Arc<RequestSnapshot>) {
        for upstream in snapshot.services.values().flat_map(|service| &service.upstreams) {
            if let Some(queue) = self.upstream_queues.get_mut(&upstream.id) {
                queue.set_slots(upstream.slots);
            }
        }
        self.snapshot = snapshot;
    }

    /// Processes one input and appends the resulting actions to `outputs`.
    pub fn handle(&mut self, input: RequestInput, now: Duration, outputs: &mut Vec<RequestOutput>) {
        self.detect_stall(now);
        match input {
            RequestInput::Caller(request) => self.handle_caller_request(request, now, outputs),
            RequestInput::Peer(RequestPeerMessage::Forward(forwarded)) => {
                self.accept_forwarded(forwarded, now, outputs)
            }
            RequestInput::Peer(RequestPeerMessage::Done { id, load }) => {
                self.pending_requests.remove(&id);
                self.record_reported_load(load, now);
            }
            RequestInput::Peer(RequestPeerMessage::Refused { id, load }) => {
                self.record_reported_load(Some(load), now);
                self.retry_elsewhere(&id, load.upstream, now, outputs);
            }
            RequestInput::Upstream { upstream, exchange_id, reply } => {
                self.handle_upstream_reply(upstream, exchange_id, reply, now, outputs);
            }
            RequestInput::Tick => self.tick(now, outputs),
            RequestInput::Leave => self.leave(now, outputs),
        }
    }

    /// Decodes the ticket of a request; returns `None` if it has none or it fails verification.
    pub(super) fn decode_ticket(&self, request: &CallerRequest) -> Option<RequestTicket> {
        let bytes = request.ticket.as_deref()?;
        let binding = ticket_binding(request);
        RequestTicket::decode(bytes, &self.options.ticket_key, &binding).ok()
    }

    /// Sends a request to the dispatcher of `upstream`, which may be the local host.
    pub(super) fn send_to_dispatcher(
        &mut self,
        upstream: UpstreamId,
        mut forwarded: ForwardedRequest,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let Some(target) = self.snapshot.upstream(upstream).copied() else {
            return self.return_to_origin(&forwarded, upstream, now, outputs);
        };
        forwarded.candidates.insert(0, upstream);
        if target.dispatcher == self.options.local_incarnation {
            return self.accept_forwarded(forwarded, now, outputs);
        }
        let message = RequestPeerMessage::Forward(forwarded);
        let address = target.dispatcher_address;
        outputs.push(RequestOutput::SendToPeer { peer: target.dispatcher, address, message });
    }

    /// Sends a final reply without dispatching the request, and reports the request as done.
    pub(super) fn complete_without_dispatch(
        &mut self,
        forwarded: &ForwardedRequest,
        reply: CallerReply,
        outputs: &mut Vec<RequestOutput>,
    ) {
        self.accepted_until.remove(&forwarded.request.id);
        self.reply_to_caller(&forwarded.request, reply, outputs);
        self.report_done(forwarded, None, outputs);
    }

    pub(super) fn local_load_permille(&self, upstream: UpstreamId) -> u32 {
        self.upstream_queues.get(&upstream).map_or(0, UpstreamQueue::load_permille)
    }

    /// Tells the origin that the final reply has been sent to the caller.
    pub(super) fn report_done(
        &mut self,
        forwarded: &ForwardedRequest,
        upstream: Option<UpstreamId>,
        outputs: &mut Vec<RequestOutput>,
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
        self.send_to_origin(forwarded, RequestPeerMessage::Done { id, load }, outputs);
    }

    pub(super) fn send_to_origin(
        &self,
        forwarded: &ForwardedRequest,
        message: RequestPeerMessage,
        outputs: &mut Vec<RequestOutput>,
    ) {
        if let Some((peer, address)) = self.snapshot.live_hosts.get(&forwarded.origin).copied() {
            outputs.push(RequestOutput::SendToPeer { peer, address, message });
        }
    }

    pub(super) fn leave(&mut self, now: Duration, outputs: &mut Vec<RequestOutput>) {
        self.is_leaving = true;
        self.tick(now, outputs);
    }

    /// Returns the refusal for a request: busy if it is idempotent, since another host may have
    /// executed an earlier attempt. "Not run" is only sent where this host can know it.
    pub(super) fn refusal_reply(&mut self, request: &CallerRequest) -> CallerReply {
        match request.idempotent {
            true => CallerReply::Busy { retry_after: self.draw_retry_after() },
            false => CallerReply::NotRun { retry_after: self.draw_retry_after() },
        }
    }

    /// Counts a refusal and returns the time after which its caller may retry.
    pub(super) fn draw_retry_after(&mut self) -> Duration {
        self.counters.refused += 1;
        // Jitter keeps callers that were refused together from retrying at the same time.
        let jitter = self.rng.random_range(0.0..1.0);
        self.options.min_retry_after.mul_f64(1.0 + jitter)
    }

    /// Sends a final reply now and again after [`REPLY_REPEAT_DELAY`], for callers that may no
    /// longer retransmit.
    pub(super) fn reply_and_repeat(
        &mut self,
        request: &CallerRequest,
        reply: CallerReply,
        now: Duration,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let send_at = now + REPLY_REPEAT_DELAY;
        let (id, service_address) = (request.id.clone(), request.service_address);
        self.scheduled_repeats.push(RepeatedReply {
            send_at,
            id,
            service_address,
            reply: reply.clone(),
        });
        self.reply_to_caller(request, reply, outputs);
    }

    pub(super) fn reply_to_caller(
        &mut self,
        request: &CallerRequest,
        reply: CallerReply,
        outputs: &mut Vec<RequestOutput>,
    ) {
        let id = request.id.clone();
        outputs.push(RequestOutput::ReplyToCaller {
            id,
            service_address: request.service_address,
            reply,
        });
    }
}

/// Returns the bytes that bind a ticket to the caller's address and the service's address and port.
pub(super) fn ticket_binding(request: &CallerRequest) -> Vec<u8> {
    let mut binding = Vec::with_capacity(10);
    binding.extend_from_slice(&request.id.caller.ip().octets());
    binding.extend_from_slice(&request.service_address.ip().octets());
    binding.extend_from_slice(&request.service_address.port().to_be_bytes());
    binding
}
