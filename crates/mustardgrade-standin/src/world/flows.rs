//! The flows of a world: callers that send segments and know where they belong.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use mustardgrade_core::flow::{FlowKey, FlowPacket, FlowVerdict, SegmentFlags};
use mustardgrade_core::identity::{DataCentreId, UpstreamId};
use mustardgrade_core::rule::{ServiceClass, UpstreamState};
use rand::RngExt;

use super::World;
use super::event::{FlowHop, WorldEvent};
use super::figures::BrokenCause;

/// Time from which flows open; hosts serve by then.
pub(super) const OPENING_STARTS: Duration = Duration::from_secs(5);

/// Time within which the held flows open.
const OPENING_SPAN: Duration = Duration::from_secs(3);

/// Time between two rounds of opening new flows.
const OPENING_ROUND: Duration = Duration::from_millis(20);

/// First retransmission of an opening segment (RFC 6298, section 2).
const OPENING_RETRANSMIT: Duration = Duration::from_secs(1);

/// First retransmission of another segment.
const RETRANSMIT: Duration = Duration::from_millis(300);

/// Time without delivery after which a caller gives a flow up.
const DELIVERY_PATIENCE: Duration = Duration::from_secs(15);

/// Time from a caller's opening segment to its acknowledgement of the answer.
const HANDSHAKE: Duration = Duration::from_millis(3);

/// Time from there to the first data.
const FIRST_DATA: Duration = Duration::from_millis(20);

/// One way between two hosts for a packet.
const HOP_DELAY: Duration = Duration::from_millis(1);

/// Time after an accepted rule from which it must hold.
const RULE_GRACE: Duration = Duration::from_secs(3);

/// `FlowState` is the step of a flow's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FlowState {
    Opening,
    Open,
    Over,
}

/// `VirtualFlow` is one flow.
#[derive(Debug, Clone)]
pub(super) struct VirtualFlow {
    pub(super) key: FlowKey,
    pub(super) home: DataCentreId,
    pub(super) state: FlowState,
    pub(super) upstream: Option<UpstreamId>,
    pub(super) held: bool,
    attempt: u32,
    retries: u32,
    waiting_since: Duration,
    delivered: u32,
}

impl World {
    /// Schedules the openings of the held flows, spread over the flow services.
    pub(super) fn open_held_flows(&mut self) {
        for _ in 0..self.scenario.flow_load.held_flows {
            let at = OPENING_STARTS + OPENING_SPAN.mul_f64(self.random.random_range(0.0..1.0));
            self.add_flow(at, true);
        }
    }

    pub(super) fn open_new_flows(&mut self) {
        self.queue.push(self.now + OPENING_ROUND, WorldEvent::OpenFlows);
        let mean = self.scenario.flow_load.new_flows_per_sec as f64 * OPENING_ROUND.as_secs_f64();
        let whole = mean as u64;
        let extra = u64::from(self.random.random_bool(mean - whole as f64));
        for _ in 0..whole + extra {
            let flow = self.add_flow(self.now, false);
            let life = self
                .scenario
                .flow_load
                .mean_new_flow_lifetime
                .mul_f64(self.random.random_range(0.5..1.5));
            self.queue.push(self.now + life, WorldEvent::Close { flow });
        }
    }

    fn add_flow(&mut self, at: Duration, held: bool) -> u32 {
        let number = self.flows.len() as u32;
        let services: Vec<SocketAddrV4> = self
            .rules
            .services
            .iter()
            .filter(|service| service.class == ServiceClass::Flow)
            .map(|service| service.address)
            .collect();
        let centres = &self.scenario.data_centres;
        let home = &centres[self.random.random_range(0..centres.len())].name;
        // Flow numbers give distinct addresses and ports.
        let caller = Ipv4Addr::from(0x6440_0000 + number / 50_000);
        let port = 10_000 + (number % 50_000) as u16;
        self.flows.push(VirtualFlow {
            key: FlowKey {
                caller: SocketAddrV4::new(caller, port),
                service: services[number as usize % services.len().max(1)],
            },
            home: DataCentreId::from_name(home),
            state: FlowState::Opening,
            upstream: None,
            held,
            attempt: 0,
            retries: 0,
            waiting_since: at,
            delivered: 0,
        });
        self.tally.opened += 1;
        self.queue.push(at, WorldEvent::Send { flow: number });
        number
    }

    pub(super) fn close_flow(&mut self, flow: u32) {
        let closing = &mut self.flows[flow as usize];
        if closing.state == FlowState::Open {
            closing.state = FlowState::Over;
        }
    }

    /// Sends the next segment of a flow, or the last one again.
    pub(super) fn send_packet(&mut self, flow: u32) {
        let sending = &self.flows[flow as usize];
        if sending.state == FlowState::Over {
            return;
        }
        let opens = sending.state == FlowState::Opening;
        let packet = FlowPacket {
            key: sending.key,
            flags: SegmentFlags { syn: opens, ack: !opens, fin: false, rst: false },
            sequence: 1,
            acknowledgement: 1,
            payload_length: 0,
        };
        self.flows[flow as usize].attempt += 1;
        let attempt = self.flows[flow as usize].attempt;
        let Some(host) = self.pick_host(self.flows[flow as usize].home) else {
            return self.retransmit(flow);
        };
        let stopped = !self.hosts[host].alive || self.hosts[host].paused_until.is_some();
        if stopped {
            return self.retransmit(flow);
        }
        self.tally.packets += 1;
        let verdict = self.hosts[host].router.route(&packet, self.now);
        self.follow(host, flow, attempt, packet, verdict);
    }

    /// Returns the random host that the fabric hands a packet of a caller to.
    fn pick_host(&mut self, home: DataCentreId) -> Option<usize> {
        self.draw_host(|world, host| world.takes_from(home, host))
    }

    /// Tells whether the fabric may hand a host the packets of a caller.
    fn takes_from(&self, home: DataCentreId, host: &super::VirtualHost) -> bool {
        let out = self.tally.out_since.contains_key(&host.data_centre);
        host.in_fabric && !out && self.network.connects(home, host.data_centre)
    }

    fn follow(
        &mut self,
        host: usize,
        flow: u32,
        attempt: u32,
        packet: FlowPacket,
        verdict: FlowVerdict,
    ) {
        self.schedule_notes_if_any(host);
        log::trace!(at:? = self.now, flow, host, verdict:? = verdict; "flow packet");
        match verdict {
            FlowVerdict::Tunnel { upstream, .. } => self.arrive(host, flow, upstream),
            FlowVerdict::Hop { address, header, .. } => {
                self.tally.hops += 1;
                let Some(index) = self.host_at(address) else { return self.retransmit(flow) };
                let hop = FlowHop { flow, attempt, packet, header, from: host };
                self.send_hop(index, hop);
            }
            FlowVerdict::Reset => self.reset_flow(flow),
            FlowVerdict::Drop(cause) => {
                *self.tally.drops.entry(cause).or_default() += 1;
                self.retransmit(flow);
            }
        }
    }

    fn schedule_notes_if_any(&mut self, host: usize) {
        if self.hosts[host].router.has_pending_updates() {
            self.schedule_notes(host);
        }
    }

    fn send_hop(&mut self, to: usize, hop: FlowHop) {
        let flow = hop.flow;
        let reached = self.hosts[to].alive
            && self.hosts[to].paused_until.is_none()
            && self.hosts_connect(hop.from, to);
        if !reached {
            return self.retransmit(flow);
        }
        self.count_after_out(self.hosts[to].data_centre);
        let run = self.hosts[to].run;
        let event = WorldEvent::Hop { host: to, run, hop: Box::new(hop) };
        self.queue.push(self.now + HOP_DELAY, event);
    }

    pub(super) fn deliver_hop(&mut self, host: usize, run: u32, hop: FlowHop) {
        let current = self.flows[hop.flow as usize].attempt == hop.attempt;
        if self.flows[hop.flow as usize].state == FlowState::Over {
            return;
        }
        if !self.is_running(host, run) {
            if current {
                self.retransmit(hop.flow);
            }
            return;
        }
        let verdict = self.hosts[host].router.route_hop(&hop.header, &hop.packet, self.now);
        self.follow(host, hop.flow, hop.attempt, hop.packet, verdict);
    }

    /// A segment arrives at an upstream.
    fn arrive(&mut self, host: usize, flow: u32, upstream: UpstreamId) {
        let Some(rule) = self.upstreams.get(&upstream).map(|at| self.rules.upstreams[*at].clone())
        else {
            return self.break_flow(flow, BrokenCause::WrongUpstream);
        };
        let centre = DataCentreId::from_name(&rule.data_centre);
        if !self.network.connects(self.hosts[host].data_centre, centre) {
            return self.retransmit(flow);
        }
        self.count_after_out(centre);
        let arriving = &mut self.flows[flow as usize];
        match arriving.upstream {
            None => {
                arriving.upstream = Some(upstream);
                arriving.state = FlowState::Open;
                let draining = self.tally.draining_since.get(&upstream);
                // A host that is cut off from the store cannot have heard of the rule.
                let heard = self.network.reaches_store(self.hosts[host].data_centre);
                let late = draining.is_some_and(|since| self.now > *since + RULE_GRACE);
                let late = late && heard;
                self.tally.new_on_draining += u64::from(late);
            }
            Some(own) if own != upstream => {
                log::debug!(
                    at:? = self.now, flow, own:% = own, upstream:% = upstream, host;
                    "flow arrives at a wrong upstream"
                );
                return self.break_flow(flow, BrokenCause::WrongUpstream);
            }
            Some(_) => {}
        }
        let arriving = &mut self.flows[flow as usize];
        arriving.retries = 0;
        arriving.delivered += 1;
        // The handshake and the first data follow each other at once.
        let gap = match arriving.delivered {
            1 => HANDSHAKE,
            2 => FIRST_DATA,
            _ => self
                .scenario
                .flow_load
                .mean_packet_interval
                .mul_f64(self.random.random_range(0.5..1.5)),
        };
        let at = self.now + gap;
        arriving.waiting_since = at;
        self.queue.push(at, WorldEvent::Send { flow });
    }

    fn retransmit(&mut self, flow: u32) {
        let now = self.now;
        let waiting = &mut self.flows[flow as usize];
        let first = match waiting.state {
            FlowState::Opening => OPENING_RETRANSMIT,
            FlowState::Open | FlowState::Over => RETRANSMIT,
        };
        let since = waiting.waiting_since;
        // Patience counts while both ends can reach each other.
        if self.is_excused(flow) {
            self.flows[flow as usize].waiting_since = now;
        } else if now > since + DELIVERY_PATIENCE {
            return self.break_flow(flow, BrokenCause::Undelivered);
        }
        let waiting = &mut self.flows[flow as usize];
        let delay = first * 2_u32.pow(waiting.retries.min(3));
        waiting.retries += 1;
        self.tally.retransmissions += 1;
        self.queue.push(now + delay, WorldEvent::Send { flow });
    }

    /// Tells whether the two ends of a flow cannot reach each other.
    fn is_excused(&self, flow: u32) -> bool {
        let flow = &self.flows[flow as usize];
        let at = flow.upstream.and_then(|upstream| self.upstreams.get(&upstream));
        let Some(rule) = at.map(|at| &self.rules.upstreams[*at]) else { return false };
        !self.network.connects(flow.home, DataCentreId::from_name(&rule.data_centre))
    }

    fn reset_flow(&mut self, flow: u32) {
        let at = self.flows[flow as usize]
            .upstream
            .and_then(|upstream| self.upstreams.get(&upstream))
            .map(|at| &self.rules.upstreams[*at]);
        let declared = at.is_some_and(|rule| {
            rule.state == UpstreamState::Gone || !self.rules.is_in_service(&rule.data_centre)
        });
        match declared {
            true => {
                self.tally.given_up += 1;
                self.flows[flow as usize].state = FlowState::Over;
            }
            false => self.break_flow(flow, BrokenCause::Reset),
        }
    }

    fn break_flow(&mut self, flow: u32, cause: BrokenCause) {
        log::debug!(at:? = self.now, flow, cause:% = cause; "flow broke");
        *self.tally.broken.entry(cause).or_default() += 1;
        self.flows[flow as usize].state = FlowState::Over;
    }

    fn count_after_out(&mut self, data_centre: DataCentreId) {
        let since = self.tally.out_since.get(&data_centre);
        let late = since.is_some_and(|since| self.now > *since + RULE_GRACE);
        self.tally.packets_after_out += u64::from(late);
    }
}
