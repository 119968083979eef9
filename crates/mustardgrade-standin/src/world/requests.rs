//! Simulated requests: their callers, the request routers of the hosts, and the upstreams' replies.

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

use super::Simulation;
use super::event::SimulationEvent;
use super::flows::LOAD_START_TIME;
use super::request_upstreams::{Acceptance, SimulatedUpstream};

/// Time between two ticks of a host's request router.
pub(super) const REQUEST_ROUTER_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Initial delay of a caller's retransmissions, which doubles with each one (RFC 7252, section
/// 4.2).
const INITIAL_RETRANSMIT_DELAY: Duration = Duration::from_millis(500);

/// Time between two retransmissions after the deadline of a request.
const POST_DEADLINE_RETRANSMIT_INTERVAL: Duration = Duration::from_millis(200);

/// Time after the deadline of a request for which its caller still waits for the final reply.
const FINAL_REPLY_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Unix time at the start of the simulation.
const UNIX_TIME_AT_START: Duration = Duration::from_secs(1_700_000_000);

/// Upper limit, exclusive, of the clock offset of a host.
const MAX_CLOCK_OFFSET_MS: u64 = 3_000;

/// `CallerOutcome` is the outcome of a request as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallerOutcome {
    Answered,
    NotRun,
    Busy,
    Unknown,
    Invalid,
    /// The caller received no final reply in time.
    NoReply,
}

/// `SimulatedRequest` is a request as its caller sees it, with its executions at upstreams.
#[derive(Debug)]
pub(super) struct SimulatedRequest {
    service: usize,
    is_non_idempotent: bool,
    started_at: Duration,
    /// Ticket from the reply to a transmission without one.
    ticket: Option<Vec<u8>>,
    message_id: u32,
    /// Transmissions under the current message ID.
    transmission_count: u32,
    pub(super) outcome: Option<CallerOutcome>,
    /// Number of times that an upstream accepted the request.
    pub(super) execution_count: u32,
    pub(super) first_accepted_at: Option<Duration>,
    /// Time at which the request first reached a host.
    first_received_at: Option<Duration>,
    answered_at: Option<Duration>,
    /// Service time of the last execution.
    service_time: Duration,
}

/// `RequestTracker` holds all requests of the run and the upstreams that execute them.
#[derive(Debug, Default)]
pub(super) struct RequestTracker {
    pub(super) requests: Vec<SimulatedRequest>,
    pub(super) request_upstreams: BTreeMap<UpstreamId, SimulatedUpstream>,
    /// Answers that belong to another request than the one that they were sent for.
    pub(super) mismatched_answers: u64,
    /// Requests that hosts had in flight or queued as dispatchers when they were killed.
    pub(super) in_flight_on_killed_hosts: u64,
}

impl RequestTracker {
    /// Returns the time from the first receipt of a request by a host to its first acceptance by an
    /// upstream.
    pub(super) fn queueing_delay(request: &SimulatedRequest) -> Option<Duration> {
        Some(request.first_accepted_at?.saturating_sub(request.first_received_at?))
    }

    /// Returns the time from the start of a request to its answer, less the service time.
    pub(super) fn added_latency(request: &SimulatedRequest) -> Option<Duration> {
        Some(request.answered_at?.saturating_sub(request.started_at + request.service_time))
    }
}

/// Creates the request router of a host.
pub(super) fn new_request_router(
    local_incarnation: HostIncarnation,
    data_centre: DataCentreId,
    seed: u64,
) -> RequestRouter {
    let key = TicketKey::derive(b"the secret of a virtual fleet");
    RequestRouter::new(RequestOptions {
        seed,
        ..RequestOptions::new(local_incarnation, data_centre, key)
    })
}

impl Simulation {
    /// Draws the clock offset of a host.
    pub(super) fn draw_clock_offset(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(0..MAX_CLOCK_OFFSET_MS))
    }

    fn unix_time(&self, host: usize) -> Duration {
        UNIX_TIME_AT_START + self.now + self.hosts[host].clock_offset
    }

    pub(super) fn has_requests(&self) -> bool {
        self.scenario.request_load.requests_per_sec > 0.0
    }

    /// Schedules the first request if the scenario has a request load; each one schedules the next.
    pub(super) fn schedule_first_request(&mut self) {
        if self.has_requests() {
            self.event_queue.push(LOAD_START_TIME, SimulationEvent::StartRequest);
        }
    }

    /// Installs a new snapshot in the request router of a host, built from its rules and its view
    /// of the members.
    pub(super) fn refresh_request_snapshot(&mut self, host: usize) {
        let controller = &self.hosts[host].controller;
        let Some(rules) = controller.rules() else { return };
        let own_digest = controller.digest();
        let digests: Vec<&HostDigest> = controller
            .members()
            .live_members()
            .map(|member| &member.digest)
            .chain([&own_digest])
            .collect();
        let snapshot = build_request_snapshot(&rules.rule_set, &digests);
        self.hosts[host].request_router.install(Arc::new(snapshot));
    }

    pub(super) fn tick_request_router(&mut self, host: usize, run_id: u32) {
        if !self.is_running(host, run_id) {
            return;
        }
        self.event_queue.push(
            self.now + REQUEST_ROUTER_TICK_INTERVAL,
            SimulationEvent::RequestRouterTick { host, run_id },
        );
        self.handle_request_input(host, RequestInput::Tick);
    }

    /// Starts a new request and schedules the next arrival of a Poisson process.
    pub(super) fn generate_request(&mut self) {
        let load = self.scenario.request_load;
        let arrival_gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / load.requests_per_sec;
        self.event_queue
            .push(self.now + Duration::from_secs_f64(arrival_gap), SimulationEvent::StartRequest);
        // No request starts too late to get its final reply before the end of the run.
        if self.now + load.caller_timeout + FINAL_REPLY_GRACE_PERIOD * 2 > self.scenario.duration {
            return;
        }
        let services: Vec<usize> = (0..self.rules.services.len())
            .filter(|index| self.rules.services[*index].class == ServiceClass::Request)
            .collect();
        let number = self.request_tracker.requests.len() as u32;
        self.request_tracker.requests.push(SimulatedRequest {
            service: services[self.rng.random_range(0..services.len())],
            is_non_idempotent: self.rng.random_bool(load.non_idempotent_ratio),
            started_at: self.now,
            ticket: None,
            message_id: 0,
            transmission_count: 0,
            outcome: None,
            execution_count: 0,
            first_accepted_at: None,
            first_received_at: None,
            answered_at: None,
            service_time: Duration::ZERO,
        });
        let at = self.now + load.caller_timeout + FINAL_REPLY_GRACE_PERIOD;
        self.event_queue.push(at, SimulationEvent::CallerTimeout { request: number });
        self.transmit_request(number);
    }

    /// Retransmits a request unless it has a final reply or has changed its message ID.
    pub(super) fn retransmit_request(&mut self, request: u32, message_id: u32) {
        let pending = &self.request_tracker.requests[request as usize];
        if pending.outcome.is_none() && pending.message_id == message_id {
            self.transmit_request(request);
        }
    }

    /// Transmits a request and schedules its next retransmission.
    fn transmit_request(&mut self, number: u32) {
        let caller_timeout = self.scenario.request_load.caller_timeout;
        let pending = &self.request_tracker.requests[number as usize];
        let deadline = pending.started_at + caller_timeout;
        let message_id = pending.message_id;
        if self.now >= deadline + FINAL_REPLY_GRACE_PERIOD {
            return;
        }
        // A caller also retransmits at the deadline, since the final reply may have been lost.
        let next_transmission = match self.now < deadline {
            true => (self.now
                + INITIAL_RETRANSMIT_DELAY * 2_u32.pow(pending.transmission_count.min(4)))
            .min(deadline),
            false => self.now + POST_DEADLINE_RETRANSMIT_INTERVAL,
        };
        self.event_queue.push(
            next_transmission,
            SimulationEvent::RetransmitRequest { request: number, message_id },
        );
        self.request_tracker.requests[number as usize].transmission_count += 1;
        let pending = &self.request_tracker.requests[number as usize];
        let request = CallerRequest {
            id: RequestId {
                caller: caller_address(number),
                message_id: message_id as u16,
                token: number.to_be_bytes().to_vec(),
            },
            service_address: self.rules.services[pending.service].address,
            idempotent: !pending.is_non_idempotent,
            ticket: pending.ticket.clone(),
            timeout: deadline.saturating_sub(self.now),
            encoded_request: number.to_be_bytes().to_vec(),
        };
        for delay in self.draw_delivery_delays() {
            let Some(host) = self.draw_request_host() else { continue };
            let run_id = self.hosts[host].run_id;
            let input = Box::new(RequestInput::Caller(request.clone()));
            self.event_queue.push(
                self.now + delay,
                SimulationEvent::RequestRouterInput { host, run_id, input },
            );
        }
    }

    /// Selects a random host among those that the fabric may send requests to.
    fn draw_request_host(&mut self) -> Option<usize> {
        self.draw_host(|simulation, host| {
            host.in_rotation
                && !simulation.counters.out_of_service_since.contains_key(&host.data_centre)
        })
    }

    pub(super) fn deliver_request_input(&mut self, host: usize, run_id: u32, input: RequestInput) {
        if !self.is_running(host, run_id) {
            return;
        }
        if let RequestInput::Caller(request) = &input {
            let number = request_number(&request.id) as usize;
            self.request_tracker.requests[number].first_received_at.get_or_insert(self.now);
        }
        self.handle_request_input(host, input);
    }

    fn handle_request_input(&mut self, host: usize, input: RequestInput) {
        let now = self.unix_time(host);
        let mut outputs = Vec::new();
        self.hosts[host].request_router.handle(input, now, &mut outputs);
        for output in outputs {
            log::trace!(at:? = self.now, host, output:? = output; "request router output");
            self.perform_request_output(host, output);
        }
    }

    fn perform_request_output(&mut self, host: usize, output: RequestOutput) {
        match output {
            RequestOutput::ReplyToCaller { id, reply, .. } => {
                let number = request_number(&id);
                let message_id = u32::from(id.message_id);
                for delay in self.draw_delivery_delays() {
                    let at = self.now + delay;
                    let reply = Box::new(reply.clone());
                    let event =
                        SimulationEvent::CallerReplyReceived { request: number, message_id, reply };
                    self.event_queue.push(at, event);
                }
            }
            RequestOutput::Dispatch { upstream, exchange_id, encoded_request, .. } => {
                for delay in self.draw_delivery_delays() {
                    let encoded_request = encoded_request.clone();
                    let event = SimulationEvent::UpstreamRequestReceived {
                        upstream,
                        exchange_id,
                        host,
                        encoded_request,
                    };
                    self.event_queue.push(self.now + delay, event);
                }
            }
            RequestOutput::Cancel { upstream, exchange_id, .. } => {
                if let Some(simulated_upstream) =
                    self.request_tracker.request_upstreams.get_mut(&upstream)
                {
                    simulated_upstream.cancel(exchange_id);
                }
            }
            RequestOutput::SendToPeer { address, message, .. } => {
                self.send_request_peer_message(host, address, message);
            }
        }
    }

    fn send_request_peer_message(
        &mut self,
        host: usize,
        address: Ipv4Addr,
        message: RequestPeerMessage,
    ) {
        let Some(peer) = self.host_at(address) else { return };
        if !self.hosts_can_communicate(host, peer) {
            return;
        }
        let run_id = self.hosts[peer].run_id;
        for delay in self.draw_delivery_delays() {
            let input = Box::new(RequestInput::Peer(message.clone()));
            self.event_queue.push(
                self.now + delay,
                SimulationEvent::RequestRouterInput { host: peer, run_id, input },
            );
        }
    }

    /// Handles the arrival of a request at an upstream.
    pub(super) fn receive_at_upstream(
        &mut self,
        upstream: UpstreamId,
        exchange_id: u64,
        host: usize,
        encoded_request: Vec<u8>,
    ) {
        let mean_service_time = self.scenario.request_load.mean_service_time;
        let service_time = mean_service_time.mul_f64(self.rng.random_range(0.5..1.5));
        let Some(simulated_upstream) = self.request_tracker.request_upstreams.get_mut(&upstream)
        else {
            return;
        };
        let service_time = match simulated_upstream.accept(exchange_id, service_time) {
            Acceptance::Accepted(service_time) => service_time,
            Acceptance::Shed => {
                return self.reply_to_dispatcher(host, upstream, exchange_id, UpstreamReply::Shed);
            }
            Acceptance::Duplicate => return,
        };
        let number = decode_request_number(&encoded_request) as usize;
        let request = &mut self.request_tracker.requests[number];
        request.execution_count += 1;
        request.first_accepted_at.get_or_insert(self.now);
        request.service_time = service_time;
        let event = SimulationEvent::UpstreamRequestCompleted {
            upstream,
            exchange_id,
            host,
            encoded_request,
        };
        self.event_queue.push(self.now + service_time, event);
    }

    /// Completes a request at an upstream, which replies unless the request has been cancelled.
    pub(super) fn complete_at_upstream(
        &mut self,
        upstream: UpstreamId,
        exchange_id: u64,
        host: usize,
        encoded_request: Vec<u8>,
    ) {
        let Some(simulated_upstream) = self.request_tracker.request_upstreams.get_mut(&upstream)
        else {
            return;
        };
        if simulated_upstream.finish(exchange_id) {
            self.reply_to_dispatcher(
                host,
                upstream,
                exchange_id,
                UpstreamReply::Response(encoded_request),
            );
        }
    }

    fn reply_to_dispatcher(
        &mut self,
        host: usize,
        upstream: UpstreamId,
        exchange_id: u64,
        reply: UpstreamReply,
    ) {
        let run_id = self.hosts[host].run_id;
        for delay in self.draw_delivery_delays() {
            let input =
                Box::new(RequestInput::Upstream { upstream, exchange_id, reply: reply.clone() });
            self.event_queue.push(
                self.now + delay,
                SimulationEvent::RequestRouterInput { host, run_id, input },
            );
        }
    }

    /// Returns the numbers of requests whose callers were told that they did not run, although an
    /// upstream executed them.
    pub(super) fn false_refusals(&self) -> Vec<usize> {
        let is_falsely_refused = |request: &&SimulatedRequest| {
            request.outcome == Some(CallerOutcome::NotRun) && request.execution_count > 0
        };
        let requests = self.request_tracker.requests.iter().enumerate();
        requests
            .filter(|(_, request)| is_falsely_refused(request))
            .map(|(number, _)| number)
            .collect()
    }

    /// Handles the arrival of a reply at its caller.
    pub(super) fn handle_caller_reply(
        &mut self,
        request: u32,
        message_id: u32,
        reply: CallerReply,
    ) {
        let now = self.now;
        let pending = &mut self.request_tracker.requests[request as usize];
        if pending.outcome.is_some() || pending.message_id != message_id {
            return;
        }
        let outcome = match reply {
            CallerReply::Challenge(ticket) => {
                pending.ticket = Some(ticket);
                pending.message_id += 1;
                pending.transmission_count = 0;
                return self.transmit_request(request);
            }
            CallerReply::Response(encoded_request) => {
                if decode_request_number(&encoded_request) != request {
                    self.request_tracker.mismatched_answers += 1;
                }
                self.request_tracker.requests[request as usize].answered_at = Some(now);
                CallerOutcome::Answered
            }
            CallerReply::NotRun { .. } => CallerOutcome::NotRun,
            CallerReply::Busy { .. } => CallerOutcome::Busy,
            CallerReply::OutcomeUnknown => CallerOutcome::Unknown,
            CallerReply::InvalidRequest => CallerOutcome::Invalid,
        };
        self.request_tracker.requests[request as usize].outcome = Some(outcome);
    }

    /// Ends a caller's wait for the final reply.
    pub(super) fn expire_request(&mut self, request: u32) {
        self.request_tracker.requests[request as usize]
            .outcome
            .get_or_insert(CallerOutcome::NoReply);
    }

    /// Returns the number of requests, idempotent or not, that a host has in flight or queued as a
    /// dispatcher.
    pub(super) fn count_in_flight(&self, host: usize) -> u64 {
        let queues = self.hosts[host].request_router.upstream_queues().values();
        queues.map(|queue| (queue.in_flight.len() + queue.waiting_count()) as u64).sum()
    }
}

impl SimulatedRequest {
    /// Returns whether the request must not be executed more than once.
    pub(super) fn is_non_idempotent(&self) -> bool {
        self.is_non_idempotent
    }

    /// Returns the time at which the caller started the request.
    pub(super) fn started_at(&self) -> Duration {
        self.started_at
    }
}

/// Returns the address of the caller of a request; each request has a caller of its own.
fn caller_address(number: u32) -> SocketAddrV4 {
    SocketAddrV4::new(
        Ipv4Addr::from(0x6480_0000 + number / 50_000),
        10_000 + (number % 50_000) as u16,
    )
}

fn request_number(id: &RequestId) -> u32 {
    decode_request_number(&id.token)
}

/// Decodes the request number from the first four bytes of a token or payload.
fn decode_request_number(bytes: &[u8]) -> u32 {
    bytes.iter().take(4).fold(0, |value, byte| (value << 8) | u32::from(*byte))
}
