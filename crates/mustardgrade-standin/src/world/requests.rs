//! The requests of a world: callers, and the request routers of its hosts.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use mustardgrade_core::identity::{DataCentreId, HostIncarnation, UpstreamId};
use mustardgrade_core::membership::HostDigest;
use mustardgrade_core::request::{
    CallerReply, CallerRequest, RequestId, RequestInput, RequestOptions, RequestOutput,
    RequestPeerMessage, RequestRouter, TicketKey, UpstreamReply, build_request_snapshot,
};
use mustardgrade_core::rule::ServiceClass;
use rand::RngExt;

use super::World;
use super::event::WorldEvent;
use super::flows::OPENING_STARTS;
use super::servers::{Acceptance, VirtualServer};

/// Time between two looks of a router at its deadlines.
pub(super) const REQUEST_TICK: Duration = Duration::from_millis(20);

/// Time after which a caller first sends an unanswered request again; it doubles each time
/// (RFC 7252, section 4.2).
const RETRANSMIT: Duration = Duration::from_millis(500);

/// Time between two askings after the deadline.
const LAST_ASKS: Duration = Duration::from_millis(200);

/// Time after its deadline by which a caller must have a final word.
const FINAL_WORD: Duration = Duration::from_secs(1);

/// Wall time at the start of a world.
const EPOCH: Duration = Duration::from_secs(1_700_000_000);

/// Largest difference of a host's clock from the others'.
const MAX_SKEW_MS: u64 = 3_000;

/// `FinalWord` is what a caller was told in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FinalWord {
    Answered,
    NotRun,
    Busy,
    Unknown,
    Invalid,
    Silent,
}

/// `VirtualRequest` is one request of a caller.
#[derive(Debug)]
pub(super) struct VirtualRequest {
    service: usize,
    once: bool,
    started: Duration,
    ticket: Option<Vec<u8>>,
    message: u32,
    tries: u32,
    pub(super) word: Option<FinalWord>,
    pub(super) runs: u32,
    pub(super) first_dispatch: Option<Duration>,
    first_receipt: Option<Duration>,
    answered_at: Option<Duration>,
    served: Duration,
}

/// `RequestBook` is all requests of a world and the servers that run them.
#[derive(Debug, Default)]
pub(super) struct RequestBook {
    pub(super) requests: Vec<VirtualRequest>,
    pub(super) servers: BTreeMap<UpstreamId, VirtualServer>,
    pub(super) crossed: u64,
    pub(super) killed_in_flight: u64,
}

impl RequestBook {
    /// Returns the time that a request waited at hosts before an upstream got it.
    pub(super) fn wait_of(request: &VirtualRequest) -> Option<Duration> {
        Some(request.first_dispatch?.saturating_sub(request.first_receipt?))
    }

    /// Returns the time from a request's start to its answer, without its service.
    pub(super) fn added_delay_of(request: &VirtualRequest) -> Option<Duration> {
        Some(request.answered_at?.saturating_sub(request.started + request.served))
    }
}

/// Creates the request router of a host.
pub(super) fn new_router(
    me: HostIncarnation,
    data_centre: DataCentreId,
    seed: u64,
) -> RequestRouter {
    let key = TicketKey::derive(b"the secret of a virtual fleet");
    RequestRouter::new(RequestOptions { seed, ..RequestOptions::new(me, data_centre, key) })
}

impl World {
    /// Draws the difference of a host's clock from the others'.
    pub(super) fn draw_skew(&mut self) -> Duration {
        Duration::from_millis(self.random.random_range(0..MAX_SKEW_MS))
    }

    fn unix_time(&self, host: usize) -> Duration {
        EPOCH + self.now + self.hosts[host].skew
    }

    pub(super) fn has_requests(&self) -> bool {
        self.scenario.request_load.requests_per_sec > 0.0
    }

    /// Starts the request load.
    pub(super) fn start_requests(&mut self) {
        if self.has_requests() {
            self.queue.push(OPENING_STARTS, WorldEvent::StartRequest);
        }
    }

    /// Builds the request snapshot of a host from its view.
    pub(super) fn refresh_requests(&mut self, host: usize) {
        let controller = &self.hosts[host].controller;
        let Some(rules) = controller.rules() else { return };
        let own = controller.digest();
        let digests: Vec<&HostDigest> = controller
            .members()
            .live_members()
            .map(|member| &member.digest)
            .chain([&own])
            .collect();
        let snapshot = build_request_snapshot(&rules.rule_set, &digests);
        self.hosts[host].requests.install(Arc::new(snapshot));
    }

    pub(super) fn tick_requests(&mut self, host: usize, run: u32) {
        if !self.is_running(host, run) {
            return;
        }
        self.queue.push(self.now + REQUEST_TICK, WorldEvent::RequestTick { host, run });
        self.decide_request(host, RequestInput::Tick);
    }

    /// A caller starts a request.
    pub(super) fn start_request(&mut self) {
        let load = self.scenario.request_load;
        let gap = -self.random.random_range(f64::EPSILON..1.0).ln() / load.requests_per_sec;
        self.queue.push(self.now + Duration::from_secs_f64(gap), WorldEvent::StartRequest);
        // The last requests must have time for a final word.
        if self.now + load.caller_timeout + FINAL_WORD * 2 > self.scenario.duration {
            return;
        }
        let services: Vec<usize> = (0..self.rules.services.len())
            .filter(|at| self.rules.services[*at].class == ServiceClass::Request)
            .collect();
        let number = self.book.requests.len() as u32;
        self.book.requests.push(VirtualRequest {
            service: services[self.random.random_range(0..services.len())],
            once: self.random.random_bool(load.non_idempotent_ratio),
            started: self.now,
            ticket: None,
            message: 0,
            tries: 0,
            word: None,
            runs: 0,
            first_dispatch: None,
            first_receipt: None,
            answered_at: None,
            served: Duration::ZERO,
        });
        let at = self.now + load.caller_timeout + FINAL_WORD;
        self.queue.push(at, WorldEvent::RequestOverdue { request: number });
        self.send_request(number);
    }

    /// Sends a request, now and again until it has its final word.
    pub(super) fn resend_request(&mut self, request: u32, message: u32) {
        let open = &self.book.requests[request as usize];
        if open.word.is_none() && open.message == message {
            self.send_request(request);
        }
    }

    fn send_request(&mut self, number: u32) {
        let patience = self.scenario.request_load.caller_timeout;
        let open = &self.book.requests[number as usize];
        let deadline = open.started + patience;
        let message = open.message;
        if self.now >= deadline + FINAL_WORD {
            return;
        }
        // A caller asks again when its deadline comes, since the last word may have been lost.
        let again = match self.now < deadline {
            true => (self.now + RETRANSMIT * 2_u32.pow(open.tries.min(4))).min(deadline),
            false => self.now + LAST_ASKS,
        };
        self.queue.push(again, WorldEvent::ResendRequest { request: number, message });
        self.book.requests[number as usize].tries += 1;
        let open = &self.book.requests[number as usize];
        let request = CallerRequest {
            id: RequestId {
                caller: caller_of(number),
                message_id: message as u16,
                token: number.to_be_bytes().to_vec(),
            },
            service_address: self.rules.services[open.service].address,
            idempotent: !open.once,
            ticket: open.ticket.clone(),
            timeout: deadline.saturating_sub(self.now),
            encoded_request: number.to_be_bytes().to_vec(),
        };
        for delay in self.draw_arrivals() {
            let Some(host) = self.pick_any_host() else { continue };
            let run = self.hosts[host].run;
            let input = Box::new(RequestInput::Caller(request.clone()));
            self.queue.push(self.now + delay, WorldEvent::Request { host, run, input });
        }
    }

    /// Returns the random host that the fabric hands a request to.
    fn pick_any_host(&mut self) -> Option<usize> {
        self.draw_host(|world, host| {
            host.in_fabric && !world.tally.out_since.contains_key(&host.data_centre)
        })
    }

    pub(super) fn deliver_request(&mut self, host: usize, run: u32, input: RequestInput) {
        if !self.is_running(host, run) {
            return;
        }
        if let RequestInput::Caller(request) = &input {
            let number = number_of(&request.id) as usize;
            self.book.requests[number].first_receipt.get_or_insert(self.now);
        }
        self.decide_request(host, input);
    }

    fn decide_request(&mut self, host: usize, input: RequestInput) {
        let now = self.unix_time(host);
        let mut outputs = Vec::new();
        self.hosts[host].requests.handle(input, now, &mut outputs);
        for output in outputs {
            log::trace!(at:? = self.now, host, output:? = output; "request output");
            self.carry_out_request(host, output);
        }
    }

    fn carry_out_request(&mut self, host: usize, output: RequestOutput) {
        match output {
            RequestOutput::ReplyToCaller { id, reply, .. } => {
                let number = number_of(&id);
                let message = u32::from(id.message_id);
                for delay in self.draw_arrivals() {
                    let at = self.now + delay;
                    let reply = Box::new(reply.clone());
                    let event = WorldEvent::Reply { request: number, message, reply };
                    self.queue.push(at, event);
                }
            }
            RequestOutput::Dispatch { upstream, exchange_id, encoded_request, .. } => {
                for delay in self.draw_arrivals() {
                    let content = encoded_request.clone();
                    let event =
                        WorldEvent::Serve { upstream, exchange: exchange_id, host, content };
                    self.queue.push(self.now + delay, event);
                }
            }
            RequestOutput::Cancel { upstream, exchange_id, .. } => {
                if let Some(server) = self.book.servers.get_mut(&upstream) {
                    server.cancel(exchange_id);
                }
            }
            RequestOutput::SendToPeer { address, message, .. } => {
                self.send_keeper_message(host, address, message);
            }
        }
    }

    fn send_keeper_message(&mut self, host: usize, address: Ipv4Addr, message: RequestPeerMessage) {
        let Some(peer) = self.host_at(address) else { return };
        if !self.hosts_connect(host, peer) {
            return;
        }
        let run = self.hosts[peer].run;
        for delay in self.draw_arrivals() {
            let input = Box::new(RequestInput::Peer(message.clone()));
            self.queue.push(self.now + delay, WorldEvent::Request { host: peer, run, input });
        }
    }

    /// A request arrives at an upstream.
    pub(super) fn serve_request(
        &mut self,
        upstream: UpstreamId,
        exchange: u64,
        host: usize,
        content: Vec<u8>,
    ) {
        let mean = self.scenario.request_load.mean_service_time;
        let took = mean.mul_f64(self.random.random_range(0.5..1.5));
        let Some(server) = self.book.servers.get_mut(&upstream) else { return };
        let took = match server.accept(exchange, took) {
            Acceptance::Taken(took) => took,
            Acceptance::Shed => {
                return self.reply_to_keeper(host, upstream, exchange, UpstreamReply::Shed);
            }
            Acceptance::Ignored => return,
        };
        let number = number_in(&content) as usize;
        let request = &mut self.book.requests[number];
        request.runs += 1;
        request.first_dispatch.get_or_insert(self.now);
        request.served = took;
        let event = WorldEvent::Served { upstream, exchange, host, content };
        self.queue.push(self.now + took, event);
    }

    /// An upstream has finished a request.
    pub(super) fn finish_service(
        &mut self,
        upstream: UpstreamId,
        exchange: u64,
        host: usize,
        content: Vec<u8>,
    ) {
        let Some(server) = self.book.servers.get_mut(&upstream) else { return };
        if server.finish(exchange) {
            self.reply_to_keeper(host, upstream, exchange, UpstreamReply::Response(content));
        }
    }

    fn reply_to_keeper(
        &mut self,
        host: usize,
        upstream: UpstreamId,
        exchange: u64,
        reply: UpstreamReply,
    ) {
        let run = self.hosts[host].run;
        for delay in self.draw_arrivals() {
            let input = Box::new(RequestInput::Upstream {
                upstream,
                exchange_id: exchange,
                reply: reply.clone(),
            });
            self.queue.push(self.now + delay, WorldEvent::Request { host, run, input });
        }
    }

    /// Returns the requests that were refused as not run although they ran.
    pub(super) fn false_refusals(&self) -> Vec<usize> {
        let is_false =
            |request: &&VirtualRequest| request.word == Some(FinalWord::NotRun) && request.runs > 0;
        let requests = self.book.requests.iter().enumerate();
        requests.filter(|(_, request)| is_false(request)).map(|(number, _)| number).collect()
    }

    /// A reply arrives at its caller.
    pub(super) fn take_reply(&mut self, request: u32, message: u32, reply: CallerReply) {
        let now = self.now;
        let open = &mut self.book.requests[request as usize];
        if open.word.is_some() || open.message != message {
            return;
        }
        let word = match reply {
            CallerReply::Challenge(ticket) => {
                open.ticket = Some(ticket);
                open.message += 1;
                open.tries = 0;
                return self.send_request(request);
            }
            CallerReply::Response(content) => {
                if number_in(&content) != request {
                    self.book.crossed += 1;
                }
                self.book.requests[request as usize].answered_at = Some(now);
                FinalWord::Answered
            }
            CallerReply::NotRun { .. } => FinalWord::NotRun,
            CallerReply::Busy { .. } => FinalWord::Busy,
            CallerReply::OutcomeUnknown => FinalWord::Unknown,
            CallerReply::InvalidRequest => FinalWord::Invalid,
        };
        self.book.requests[request as usize].word = Some(word);
    }

    /// A caller has waited long enough for a final word.
    pub(super) fn end_request(&mut self, request: u32) {
        self.book.requests[request as usize].word.get_or_insert(FinalWord::Silent);
    }

    /// Returns the non-idempotent and other requests that a host keeps in service or waiting.
    pub(super) fn count_in_flight(&self, host: usize) -> u64 {
        let keepers = self.hosts[host].requests.upstream_queues().values();
        keepers.map(|keeper| (keeper.in_flight.len() + keeper.waiting_count()) as u64).sum()
    }
}

impl VirtualRequest {
    /// Tells whether the request may run once only.
    pub(super) fn is_once(&self) -> bool {
        self.once
    }

    /// Returns when the caller started the request.
    pub(super) fn started(&self) -> Duration {
        self.started
    }
}

/// Returns the address of a request's caller; each request comes from a caller of its own.
fn caller_of(number: u32) -> SocketAddrV4 {
    SocketAddrV4::new(
        Ipv4Addr::from(0x6480_0000 + number / 50_000),
        10_000 + (number % 50_000) as u16,
    )
}

fn number_of(id: &RequestId) -> u32 {
    number_in(&id.token)
}

fn number_in(bytes: &[u8]) -> u32 {
    bytes.iter().take(4).fold(0, |sum, byte| (sum << 8) | u32::from(*byte))
}
