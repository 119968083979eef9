//! Simulated flows: callers that send segments, and the checks that their flows stay unbroken.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use mustardgrade_core::flow::{FlowKey, FlowPacket, FlowVerdict, SegmentFlags};
use mustardgrade_core::identity::{DataCentreId, UpstreamId};
use mustardgrade_core::rule::{ServiceClass, UpstreamState};
use rand::RngExt;

use super::Simulation;
use super::event::{ForwardedPacket, SimulationEvent};
use super::figures::FlowBreakCause;

/// Time at which the load starts; the hosts are serving by then.
pub(super) const LOAD_START_TIME: Duration = Duration::from_secs(5);

/// Period over which the opening of the persistent flows is spread.
const PERSISTENT_FLOW_OPENING_PERIOD: Duration = Duration::from_secs(3);

/// Time between two batches of new flows.
const NEW_FLOW_INTERVAL: Duration = Duration::from_millis(20);

/// Initial retransmission timeout of a SYN (RFC 6298, section 2).
const INITIAL_SYN_RETRANSMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Initial retransmission timeout of any other segment.
const INITIAL_RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without delivery after which a flow counts as broken.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time from a caller's SYN to its ACK of the SYN-ACK.
const HANDSHAKE_DELAY: Duration = Duration::from_millis(3);

/// Time from that ACK to the first data segment.
const FIRST_DATA_DELAY: Duration = Duration::from_millis(20);

/// One-way delay of a flow packet that one host forwards to another.
const HOP_DELAY: Duration = Duration::from_millis(1);

/// Time after the acceptance of a rule within which hosts may still act on the previous one.
const RULE_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// `FlowState` is the state of a simulated flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FlowState {
    /// No segment has been delivered to an upstream.
    Opening,
    /// At least one segment has been delivered.
    Open,
    /// The flow was closed by its caller, was reset, or is broken.
    Closed,
}

/// `SimulatedFlow` is a TCP flow as its caller sees it.
#[derive(Debug, Clone)]
pub(super) struct SimulatedFlow {
    pub(super) key: FlowKey,
    pub(super) caller_data_centre: DataCentreId,
    pub(super) state: FlowState,
    /// Upstream that the first segment was delivered to.
    pub(super) upstream: Option<UpstreamId>,
    /// The flow stays open until the end of the run.
    pub(super) is_persistent: bool,
    /// Number of the last transmission, retransmissions included.
    send_number: u32,
    /// Retransmissions since the last delivery.
    retry_count: u32,
    undelivered_since: Duration,
    delivered_count: u32,
}

impl Simulation {
    /// Schedules the opening of the persistent flows, which are distributed over the flow services.
    pub(super) fn schedule_persistent_flows(&mut self) {
        for _ in 0..self.scenario.flow_load.held_flows {
            let at = LOAD_START_TIME
                + PERSISTENT_FLOW_OPENING_PERIOD.mul_f64(self.rng.random_range(0.0..1.0));
            self.add_flow(at, true);
        }
    }

    /// Opens the new flows of one interval and schedules their end and the next interval.
    pub(super) fn open_new_flows(&mut self) {
        self.event_queue.push(self.now + NEW_FLOW_INTERVAL, SimulationEvent::OpenNewFlows);
        let mean_flows =
            self.scenario.flow_load.new_flows_per_sec as f64 * NEW_FLOW_INTERVAL.as_secs_f64();
        let whole_flows = mean_flows as u64;
        let extra_flow = u64::from(self.rng.random_bool(mean_flows - whole_flows as f64));
        for _ in 0..whole_flows + extra_flow {
            let flow = self.add_flow(self.now, false);
            let lifetime = self
                .scenario
                .flow_load
                .mean_new_flow_lifetime
                .mul_f64(self.rng.random_range(0.5..1.5));
            self.event_queue.push(self.now + lifetime, SimulationEvent::CloseFlow { flow });
        }
    }

    fn add_flow(&mut self, at: Duration, is_persistent: bool) -> u32 {
        let flow_number = self.flows.len() as u32;
        let services: Vec<SocketAddrV4> = self
            .rules
            .services
            .iter()
            .filter(|service| service.class == ServiceClass::Flow)
            .map(|service| service.address)
            .collect();
        let data_centres = &self.scenario.data_centres;
        let caller_data_centre = &data_centres[self.rng.random_range(0..data_centres.len())].name;
        // The flow number determines the address and port, so that each flow has its own pair.
        let caller = Ipv4Addr::from(0x6440_0000 + flow_number / 50_000);
        let port = 10_000 + (flow_number % 50_000) as u16;
        self.flows.push(SimulatedFlow {
            key: FlowKey {
                caller: SocketAddrV4::new(caller, port),
                service: services[flow_number as usize % services.len().max(1)],
            },
            caller_data_centre: DataCentreId::from_name(caller_data_centre),
            state: FlowState::Opening,
            upstream: None,
            is_persistent,
            send_number: 0,
            retry_count: 0,
            undelivered_since: at,
            delivered_count: 0,
        });
        self.counters.flows_opened += 1;
        self.event_queue.push(at, SimulationEvent::SendSegment { flow: flow_number });
        flow_number
    }

    pub(super) fn close_flow(&mut self, flow: u32) {
        let simulated_flow = &mut self.flows[flow as usize];
        if simulated_flow.state == FlowState::Open {
            simulated_flow.state = FlowState::Closed;
        }
    }

    /// Sends the next segment of a flow, or retransmits the last one.
    pub(super) fn send_segment(&mut self, flow: u32) {
        let simulated_flow = &self.flows[flow as usize];
        if simulated_flow.state == FlowState::Closed {
            return;
        }
        let is_syn = simulated_flow.state == FlowState::Opening;
        let packet = FlowPacket {
            key: simulated_flow.key,
            flags: SegmentFlags { syn: is_syn, ack: !is_syn, fin: false, rst: false },
            sequence: 1,
            acknowledgement: 1,
            payload_length: 0,
        };
        self.flows[flow as usize].send_number += 1;
        let send_number = self.flows[flow as usize].send_number;
        let Some(host) = self.draw_flow_host(self.flows[flow as usize].caller_data_centre) else {
            return self.schedule_retransmission(flow);
        };
        let is_unresponsive = !self.hosts[host].is_alive || self.hosts[host].paused_until.is_some();
        if is_unresponsive {
            return self.schedule_retransmission(flow);
        }
        self.counters.packets_sent += 1;
        let verdict = self.hosts[host].flow_router.route(&packet, self.now);
        self.apply_verdict(host, flow, send_number, packet, verdict);
    }

    /// Selects a random host among those that the fabric may send the packets of a caller to.
    fn draw_flow_host(&mut self, caller_data_centre: DataCentreId) -> Option<usize> {
        self.draw_host(|simulation, host| simulation.fabric_may_select(caller_data_centre, host))
    }

    /// Returns whether the fabric may send the packets of a caller to `host`.
    fn fabric_may_select(
        &self,
        caller_data_centre: DataCentreId,
        host: &super::SimulatedHost,
    ) -> bool {
        let is_out_of_service = self.counters.out_of_service_since.contains_key(&host.data_centre);
        host.in_rotation
            && !is_out_of_service
            && self.network.can_communicate(caller_data_centre, host.data_centre)
    }

    /// Carries out the verdict of a host's router on a flow packet.
    fn apply_verdict(
        &mut self,
        host: usize,
        flow: u32,
        send_number: u32,
        packet: FlowPacket,
        verdict: FlowVerdict,
    ) {
        self.schedule_flush_if_updates_pending(host);
        log::trace!(at:? = self.now, flow, host, verdict:? = verdict; "routed flow packet");
        match verdict {
            FlowVerdict::Tunnel { upstream, .. } => self.deliver_to_upstream(host, flow, upstream),
            FlowVerdict::Hop { address, header, .. } => {
                self.counters.packet_hops += 1;
                let Some(to_host) = self.host_at(address) else {
                    return self.schedule_retransmission(flow);
                };
                let forwarded =
                    ForwardedPacket { flow, send_number, packet, header, from_host: host };
                self.forward_packet(to_host, forwarded);
            }
            FlowVerdict::Reset => self.handle_reset(flow),
            FlowVerdict::Drop(cause) => {
                *self.counters.dropped_packets.entry(cause).or_default() += 1;
                self.schedule_retransmission(flow);
            }
        }
    }

    fn schedule_flush_if_updates_pending(&mut self, host: usize) {
        if self.hosts[host].flow_router.has_pending_updates() {
            self.schedule_update_flush(host);
        }
    }

    fn forward_packet(&mut self, to_host: usize, forwarded: ForwardedPacket) {
        let flow = forwarded.flow;
        let is_reachable = self.hosts[to_host].is_alive
            && self.hosts[to_host].paused_until.is_none()
            && self.hosts_can_communicate(forwarded.from_host, to_host);
        if !is_reachable {
            return self.schedule_retransmission(flow);
        }
        self.count_if_out_of_service(self.hosts[to_host].data_centre);
        let run_id = self.hosts[to_host].run_id;
        let event = SimulationEvent::ForwardedPacketReceived {
            host: to_host,
            run_id,
            forwarded: Box::new(forwarded),
        };
        self.event_queue.push(self.now + HOP_DELAY, event);
    }

    pub(super) fn deliver_forwarded_packet(
        &mut self,
        host: usize,
        run_id: u32,
        forwarded: ForwardedPacket,
    ) {
        let is_latest_send =
            self.flows[forwarded.flow as usize].send_number == forwarded.send_number;
        if self.flows[forwarded.flow as usize].state == FlowState::Closed {
            return;
        }
        if !self.is_running(host, run_id) {
            if is_latest_send {
                self.schedule_retransmission(forwarded.flow);
            }
            return;
        }
        let verdict =
            self.hosts[host].flow_router.route_hop(&forwarded.header, &forwarded.packet, self.now);
        self.apply_verdict(host, forwarded.flow, forwarded.send_number, forwarded.packet, verdict);
    }

    /// Delivers a segment to an upstream, checks that it is the upstream of the flow, and schedules
    /// the next segment.
    fn deliver_to_upstream(&mut self, host: usize, flow: u32, upstream: UpstreamId) {
        let Some(rule) =
            self.upstream_indices.get(&upstream).map(|index| self.rules.upstreams[*index].clone())
        else {
            return self.mark_broken(flow, FlowBreakCause::WrongUpstream);
        };
        let data_centre = DataCentreId::from_name(&rule.data_centre);
        if !self.network.can_communicate(self.hosts[host].data_centre, data_centre) {
            return self.schedule_retransmission(flow);
        }
        self.count_if_out_of_service(data_centre);
        let simulated_flow = &mut self.flows[flow as usize];
        match simulated_flow.upstream {
            None => {
                simulated_flow.upstream = Some(upstream);
                simulated_flow.state = FlowState::Open;
                let draining_since = self.counters.draining_since.get(&upstream);
                // A host that is isolated from the store cannot have received the rule.
                let can_know_rule = self.network.can_reach_store(self.hosts[host].data_centre);
                let is_past_grace =
                    draining_since.is_some_and(|since| self.now > *since + RULE_GRACE_PERIOD);
                let is_violation = is_past_grace && can_know_rule;
                self.counters.new_flows_on_draining += u64::from(is_violation);
            }
            Some(flow_upstream) if flow_upstream != upstream => {
                log::debug!(
                    at:? = self.now, flow, own:% = flow_upstream, upstream:% = upstream, host;
                    "flow packet delivered to the wrong upstream"
                );
                return self.mark_broken(flow, FlowBreakCause::WrongUpstream);
            }
            Some(_) => {}
        }
        let simulated_flow = &mut self.flows[flow as usize];
        simulated_flow.retry_count = 0;
        simulated_flow.delivered_count += 1;
        // The end of the handshake and the first data segment follow without the pause that
        // separates later segments.
        let next_segment_delay = match simulated_flow.delivered_count {
            1 => HANDSHAKE_DELAY,
            2 => FIRST_DATA_DELAY,
            _ => self
                .scenario
                .flow_load
                .mean_packet_interval
                .mul_f64(self.rng.random_range(0.5..1.5)),
        };
        let at = self.now + next_segment_delay;
        simulated_flow.undelivered_since = at;
        self.event_queue.push(at, SimulationEvent::SendSegment { flow });
    }

    /// Schedules the retransmission of a segment that was not delivered, with exponential backoff,
    /// or marks the flow as broken after the delivery timeout.
    fn schedule_retransmission(&mut self, flow: u32) {
        let now = self.now;
        let simulated_flow = &mut self.flows[flow as usize];
        let initial_timeout = match simulated_flow.state {
            FlowState::Opening => INITIAL_SYN_RETRANSMIT_TIMEOUT,
            FlowState::Open | FlowState::Closed => INITIAL_RETRANSMIT_TIMEOUT,
        };
        let since = simulated_flow.undelivered_since;
        // The delivery timeout runs only while the two ends can reach each other.
        if self.is_partitioned(flow) {
            self.flows[flow as usize].undelivered_since = now;
        } else if now > since + DELIVERY_TIMEOUT {
            return self.mark_broken(flow, FlowBreakCause::Undelivered);
        }
        let simulated_flow = &mut self.flows[flow as usize];
        let delay = initial_timeout * 2_u32.pow(simulated_flow.retry_count.min(3));
        simulated_flow.retry_count += 1;
        self.counters.retransmissions += 1;
        self.event_queue.push(now + delay, SimulationEvent::SendSegment { flow });
    }

    /// Returns whether the isolation of a data centre separates the caller from its upstream.
    fn is_partitioned(&self, flow: u32) -> bool {
        let flow = &self.flows[flow as usize];
        let index = flow.upstream.and_then(|upstream| self.upstream_indices.get(&upstream));
        let Some(rule) = index.map(|index| &self.rules.upstreams[*index]) else { return false };
        !self
            .network
            .can_communicate(flow.caller_data_centre, DataCentreId::from_name(&rule.data_centre))
    }

    /// Closes a flow that a host reset; it counts as broken unless the rules took its upstream or
    /// the upstream's data centre out of use.
    fn handle_reset(&mut self, flow: u32) {
        let rule = self.flows[flow as usize]
            .upstream
            .and_then(|upstream| self.upstream_indices.get(&upstream))
            .map(|index| &self.rules.upstreams[*index]);
        let is_expected = rule.is_some_and(|rule| {
            rule.state == UpstreamState::Gone || !self.rules.is_in_service(&rule.data_centre)
        });
        match is_expected {
            true => {
                self.counters.flows_given_up += 1;
                self.flows[flow as usize].state = FlowState::Closed;
            }
            false => self.mark_broken(flow, FlowBreakCause::Reset),
        }
    }

    fn mark_broken(&mut self, flow: u32, cause: FlowBreakCause) {
        log::debug!(at:? = self.now, flow, cause:% = cause; "flow broken");
        *self.counters.broken_flows.entry(cause).or_default() += 1;
        self.flows[flow as usize].state = FlowState::Closed;
    }

    /// Counts a packet sent to a data centre that has been out of service for longer than the grace
    /// period.
    fn count_if_out_of_service(&mut self, data_centre: DataCentreId) {
        let since = self.counters.out_of_service_since.get(&data_centre);
        let is_past_grace = since.is_some_and(|since| self.now > *since + RULE_GRACE_PERIOD);
        self.counters.packets_after_out_of_service += u64::from(is_past_grace);
    }
}
