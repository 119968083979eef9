//! Callers: they open flows, send requests, retransmit unanswered packets, and retry requests on
//! new flows.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use mustardgrade_core::cookie::{CookiePacket, FlowCookie, ResetCause};
use mustardgrade_core::flow::{FlowKey, FlowPacket, SegmentFlags};
use rand::RngExt;

use super::FleetSimulation;
use super::event::{CallerEvent, FleetEvent, FlowId};
use super::hosts::ONE_WAY_DELAY;
use super::measured_requests::MeasuredRequest;

/// Delay before the first retransmission; it doubles with each further one, up to 16-fold.
const INITIAL_RETRANSMIT_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of retries of a request, each on a new flow.
const MAX_REQUEST_RETRIES: u32 = 2;

/// Payload of a request in bytes, by which sequence numbers advance.
const REQUEST_BYTES: u16 = 100;

/// Payload of an answer in bytes, by which acknowledgement numbers advance.
const ANSWER_BYTES: u32 = 1_000;

/// Time after a disturbance of an upstream in which a reset does not count as a broken flow.
const DISTURBANCE_GRACE_PERIOD: Duration = Duration::from_secs(5);

/// Service port of routes whose requests may be retried.
pub(super) const IDEMPOTENT_PORT: u16 = 443;

/// Service port of routes whose requests must run at most once.
pub(super) const AT_MOST_ONCE_PORT: u16 = 8_080;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FlowState {
    Closed,
    Opening,
    Open,
}

/// `SimulatedCaller` is a caller with its current flow and request.
#[derive(Debug, Clone)]
pub(super) struct SimulatedCaller {
    pub(super) service: usize,
    keeps_flow_open: bool,
    idempotent: bool,
    flow_number: u32,
    flow_state: FlowState,
    cookie: FlowCookie,
    /// The upstream that accepted the flow, and its incarnation.
    upstream: Option<(usize, u64)>,
    /// Start of the request in progress, earlier attempts included.
    request_started_at: Option<Duration>,
    /// When a packet was last sent for the request in progress.
    last_sent_at: Duration,
    /// When the first packet of the current flow was sent.
    opening_started_at: Duration,
    /// Number of requests sent on the current flow.
    requests_on_flow: u32,
    answers_on_flow: u32,
    request_retries: u32,
    /// Transmissions so far of the packet that awaits a response.
    transmissions: u32,
    /// Identifies the current retransmission timer; incremented to invalidate earlier ones.
    timer_id: u32,
}

impl SimulatedCaller {
    /// Returns the upstream of `flow` and its incarnation if `flow` is the current flow and open.
    pub(super) fn upstream_of(&self, flow: FlowId) -> Option<(usize, u64)> {
        self.upstream
            .filter(|_| self.flow_number == flow.flow_number && self.flow_state == FlowState::Open)
    }

    fn flow_key(&self, caller: usize) -> FlowKey {
        let caller_ip = Ipv4Addr::from(0x6440_0000 + caller as u32);
        let service_ip = Ipv4Addr::new(198, 18, 0, 1 + self.service as u8);
        let port = if self.idempotent { IDEMPOTENT_PORT } else { AT_MOST_ONCE_PORT };
        FlowKey {
            caller: SocketAddrV4::new(caller_ip, 1_024 + (self.flow_number % 60_000) as u16),
            service: SocketAddrV4::new(service_ip, port),
        }
    }
}

impl FleetSimulation {
    /// Returns how many flows the callers that keep theirs open have opened so far.
    #[cfg(test)]
    pub(super) fn held_flow_numbers(&self) -> u32 {
        let holders = self.callers.iter().filter(|caller| caller.keeps_flow_open);
        holders.map(|caller| caller.flow_number).sum()
    }

    /// Adds a caller without a flow. Unless `keeps_flow_open`, it closes its flow after one answer.
    pub(super) fn add_caller(
        &mut self,
        service: usize,
        keeps_flow_open: bool,
        idempotent: bool,
    ) -> usize {
        self.callers.push(SimulatedCaller {
            service,
            keeps_flow_open,
            idempotent,
            flow_number: 0,
            flow_state: FlowState::Closed,
            cookie: FlowCookie::NONE,
            upstream: None,
            request_started_at: None,
            last_sent_at: Duration::ZERO,
            opening_started_at: Duration::ZERO,
            requests_on_flow: 0,
            answers_on_flow: 0,
            request_retries: 0,
            transmissions: 0,
            timer_id: 0,
        });
        self.callers.len() - 1
    }

    fn request_timeout(&self) -> Duration {
        self.scenario.request_load.caller_timeout
    }

    /// Starts a request on a flow of its own, and schedules the next one with exponentially
    /// distributed intervals.
    pub(super) fn start_single_request_flow(&mut self) {
        let load = self.scenario.request_load;
        let interval_secs = -self.rng.random::<f64>().max(1e-9).ln() / load.requests_per_sec;
        self.schedule_after(Duration::from_secs_f64(interval_secs), FleetEvent::SingleRequestFlow);
        let services = self.request_services();
        let Some(service) = services.get(self.rng.random_range(0..services.len().max(1))) else {
            return;
        };
        let idempotent = self.rng.random::<f64>() >= load.non_idempotent_ratio;
        let caller = self.add_caller(*service, false, idempotent);
        self.start_request(caller);
    }

    /// Starts the next request of a caller that keeps its flow open, unless one is in progress.
    pub(super) fn start_next_request(&mut self, caller: usize) {
        if self.callers[caller].request_started_at.is_none() {
            self.start_request(caller);
        }
    }

    fn start_request(&mut self, caller: usize) {
        let caller_state = &mut self.callers[caller];
        caller_state.request_started_at = Some(self.now);
        caller_state.request_retries = 0;
        self.measurements.record_request(self.now);
        match self.callers[caller].flow_state {
            FlowState::Open => self.send_request(caller),
            FlowState::Closed | FlowState::Opening => self.open_flow(caller),
        }
    }

    fn open_flow(&mut self, caller: usize) {
        let caller_state = &mut self.callers[caller];
        caller_state.flow_number += 1;
        caller_state.opening_started_at = self.now;
        caller_state.flow_state = FlowState::Opening;
        caller_state.cookie = FlowCookie::NONE;
        caller_state.upstream = None;
        caller_state.requests_on_flow = 0;
        caller_state.answers_on_flow = 0;
        caller_state.transmissions = 0;
        self.transmit(caller);
    }

    fn send_request(&mut self, caller: usize) {
        let caller_state = &mut self.callers[caller];
        caller_state.requests_on_flow += 1;
        caller_state.transmissions = 0;
        self.transmit(caller);
    }

    /// Sends the opening or request that awaits a response, and sets its retransmission timer.
    ///
    /// Openings carry the number of retransmissions in their acknowledgement field.
    fn transmit(&mut self, caller: usize) {
        let caller_state = &mut self.callers[caller];
        let is_opening = caller_state.flow_state == FlowState::Opening;
        let retransmit_delay =
            INITIAL_RETRANSMIT_DELAY * 2_u32.pow(caller_state.transmissions.min(4));
        let retransmission = caller_state.transmissions;
        caller_state.transmissions += 1;
        caller_state.timer_id += 1;
        caller_state.last_sent_at = self.now;
        let (timer_id, flow_number) = (caller_state.timer_id, caller_state.flow_number);
        match is_opening {
            true => self.send_packet(
                caller,
                SegmentFlags { syn: true, ..SegmentFlags::default() },
                retransmission,
                0,
            ),
            false => self.send_request_data(caller),
        }
        self.schedule_after(
            retransmit_delay,
            FleetEvent::RetransmitTimer { flow: FlowId { caller, flow_number }, timer_id },
        );
    }

    fn send_request_data(&mut self, caller: usize) {
        let flags = SegmentFlags { ack: true, ..SegmentFlags::default() };
        let acknowledgement = 1 + self.callers[caller].answers_on_flow * ANSWER_BYTES;
        self.send_packet(caller, flags, acknowledgement, REQUEST_BYTES);
    }

    fn acknowledge(&mut self, caller: usize, closes_flow: bool) {
        let flags = SegmentFlags { ack: true, fin: closes_flow, ..SegmentFlags::default() };
        let acknowledgement = 1 + self.callers[caller].answers_on_flow * ANSWER_BYTES;
        self.send_packet(caller, flags, acknowledgement, 0);
    }

    /// Returns the host to which the fabric sends a packet of the caller, if any is in rotation.
    fn choose_host(&mut self, caller: usize) -> Option<usize> {
        let hosts_in_rotation: Vec<usize> =
            (0..self.hosts.len()).filter(|host| self.hosts[*host].in_rotation).collect();
        let selector = match self.scenario.options.fabric_sprays {
            true => self.rng.random::<u64>(),
            false => self.callers[caller].flow_key(caller).fingerprint(0),
        };
        let position = selector.checked_rem(hosts_in_rotation.len() as u64)?;
        hosts_in_rotation.get(position as usize).copied()
    }

    /// Sends a packet through the fabric to a host; it is lost if no host is in rotation.
    fn send_packet(
        &mut self,
        caller: usize,
        flags: SegmentFlags,
        acknowledgement: u32,
        payload_length: u16,
    ) {
        let Some(host) = self.choose_host(caller) else { return };
        let caller_state = &self.callers[caller];
        let earlier_requests = match payload_length {
            0 => caller_state.requests_on_flow,
            _ => caller_state.requests_on_flow.saturating_sub(1),
        };
        let sequence = 1 + earlier_requests * u32::from(REQUEST_BYTES);
        let key = caller_state.flow_key(caller);
        let segment = FlowPacket { key, flags, sequence, acknowledgement, payload_length };
        let packet = CookiePacket { segment, cookie: caller_state.cookie };
        let incarnation = self.hosts[host].incarnation;
        let flow = FlowId { caller, flow_number: caller_state.flow_number };
        self.schedule_after(
            ONE_WAY_DELAY,
            FleetEvent::PacketAtHost { host, incarnation, flow, packet },
        );
    }

    /// Retransmits an unanswered packet, or fails the request once its timeout has passed.
    pub(super) fn handle_retransmit_timer(&mut self, flow: FlowId, timer_id: u32) {
        let caller_state = &self.callers[flow.caller];
        if (caller_state.flow_number, caller_state.timer_id) != (flow.flow_number, timer_id) {
            return;
        }
        let Some(request_started_at) = caller_state.request_started_at else { return };
        let elapsed = self.now - request_started_at;
        let gives_up_opening = caller_state.flow_state == FlowState::Opening
            && self
                .scenario
                .options
                .opening_timeout
                .is_some_and(|timeout| self.now - caller_state.opening_started_at >= timeout);
        match elapsed >= self.request_timeout() {
            true => self.fail_request(flow.caller),
            false if gives_up_opening => self.retry_request(flow.caller, true),
            false => self.transmit(flow.caller),
        }
    }

    /// Handles a response or a reset; those of earlier flows are ignored.
    pub(super) fn handle_caller_event(&mut self, flow: FlowId, event: CallerEvent) {
        let caller_state = &mut self.callers[flow.caller];
        if caller_state.flow_number != flow.flow_number
            || caller_state.flow_state == FlowState::Closed
        {
            return;
        }
        match event {
            CallerEvent::FlowAccepted { upstream, incarnation, cookie } => {
                if caller_state.flow_state == FlowState::Opening {
                    caller_state.flow_state = FlowState::Open;
                    caller_state.upstream = Some((upstream, incarnation));
                    caller_state.cookie = cookie;
                    self.acknowledge(flow.caller, false);
                    self.send_request(flow.caller);
                }
            }
            CallerEvent::Answered => self.handle_answer(flow.caller),
            CallerEvent::RequestShed => self.retry_request(flow.caller, true),
            CallerEvent::HostReset(cause) => self.handle_host_reset(flow, cause),
            CallerEvent::UpstreamReset { upstream, incarnation } => {
                let (own_upstream, _) = caller_state.upstream.unwrap_or((usize::MAX, 0));
                if own_upstream == upstream
                    && caller_state.upstream != Some((upstream, incarnation))
                {
                    self.retry_request(flow.caller, false);
                }
            }
        }
    }

    fn handle_answer(&mut self, caller: usize) {
        let request_timeout = self.request_timeout();
        let mean_interval = self.scenario.flow_load.mean_packet_interval;
        let interval = mean_interval.mul_f64(self.rng.random_range(0.5..1.5));
        let caller_state = &mut self.callers[caller];
        let Some(request_started_at) = caller_state.request_started_at.take() else { return };
        caller_state.answers_on_flow += 1;
        caller_state.timer_id += 1;
        let keeps_flow_open = caller_state.keeps_flow_open;
        let last_sent_at = caller_state.last_sent_at;
        let answer_time =
            Some(self.now - request_started_at).filter(|time| *time <= request_timeout);
        self.measurements.record_end(MeasuredRequest {
            started_at: request_started_at,
            last_sent_at,
            ended_at: self.now,
            answer_time,
        });
        self.acknowledge(caller, !keeps_flow_open);
        match keeps_flow_open {
            true => self.schedule_after(interval, FleetEvent::NextRequest { caller }),
            false => self.callers[caller].flow_state = FlowState::Closed,
        }
    }

    fn handle_host_reset(&mut self, flow: FlowId, cause: ResetCause) {
        let caller_state = &self.callers[flow.caller];
        if caller_state.flow_state == FlowState::Opening {
            self.measurements.refused_flows += 1;
            return self.retry_request(flow.caller, true);
        }
        if let Some((upstream, incarnation)) = caller_state.upstream {
            let upstream = &self.upstreams[upstream];
            let still_running = upstream.incarnation == incarnation;
            let stable = self.now.saturating_sub(upstream.stable_since) > DISTURBANCE_GRACE_PERIOD;
            if still_running && stable && cause != ResetCause::RouteDropped {
                self.measurements.broken_flows += 1;
            }
        }
        let idempotent = caller_state.idempotent;
        self.retry_request(flow.caller, idempotent);
    }

    /// Retries the request in progress on a new flow, or fails it if a retry is not allowed, its
    /// retries are used up, or its timeout has passed.
    fn retry_request(&mut self, caller: usize, retry_allowed: bool) {
        let request_timeout = self.request_timeout();
        let now = self.now;
        let caller_state = &mut self.callers[caller];
        let Some(request_started_at) = caller_state.request_started_at else {
            caller_state.flow_state = FlowState::Closed;
            return;
        };
        caller_state.request_retries += 1;
        match retry_allowed
            && caller_state.request_retries <= MAX_REQUEST_RETRIES
            && now - request_started_at < request_timeout
        {
            true => self.open_flow(caller),
            false => self.fail_request(caller),
        }
    }

    fn fail_request(&mut self, caller: usize) {
        let mean_interval = self.scenario.flow_load.mean_packet_interval;
        let caller_state = &mut self.callers[caller];
        let request_started_at = caller_state.request_started_at.take();
        caller_state.flow_state = FlowState::Closed;
        caller_state.timer_id += 1;
        let (last_sent_at, keeps_flow_open) =
            (caller_state.last_sent_at, caller_state.keeps_flow_open);
        if let Some(started_at) = request_started_at {
            self.measurements.record_end(MeasuredRequest {
                started_at,
                last_sent_at,
                ended_at: self.now,
                answer_time: None,
            });
        }
        if keeps_flow_open {
            self.schedule_after(mean_interval, FleetEvent::NextRequest { caller });
        }
    }
}
