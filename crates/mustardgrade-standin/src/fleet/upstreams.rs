//! Upstreams: request slots, a bounded queue, restarts and cold starts.

use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use mustardgrade_core::cookie::{CookiePacket, FlowCookie};
use mustardgrade_core::identity::ServiceId;
use mustardgrade_core::registry::{
    RegisteredState, RegistryKey, RegistryValue, UpstreamRegistration,
};
use rand::RngExt;

use super::FleetSimulation;
use super::event::{CallerEvent, FleetEvent, FlowId};
use super::hosts::ONE_WAY_DELAY;

/// Maximum number of queued requests for each slot of an upstream; further ones are shed.
const MAX_QUEUED_PER_SLOT: usize = 4;

/// Time for which an upstream that starts cold stays cold.
pub(super) const COLD_START_DURATION: Duration = Duration::from_secs(2);

/// Number of requests a second that a cold upstream can handle.
pub(super) const MAX_COLD_REQUESTS_PER_SEC: f64 = 2.0;

/// Number of new flows that a cold upstream may receive on top of the tolerated rate; a user
/// requirement.
const COLD_FLOW_ALLOWANCE: f64 = 5.0;

/// Factor by which the rate of new flows on a cold upstream may exceed its limit; a user
/// requirement.
const COLD_RATE_TOLERANCE: f64 = 1.5;

/// Time within which all hosts have to apply a change of an upstream's state.
const MAX_STATE_PROPAGATION_DELAY: Duration = Duration::from_secs(3);

/// `SimulatedUpstream` is an upstream with its flows and requests.
#[derive(Debug, Clone)]
pub(super) struct SimulatedUpstream {
    pub(super) name: String,
    pub(super) service: usize,
    pub(super) data_centre: usize,
    pub(super) address: SocketAddrV4,
    /// Number of the current incarnation; 0 while the upstream is stopped.
    pub(super) incarnation: u64,
    last_incarnation: u64,
    slots: usize,
    active_requests: usize,
    queued_requests: VecDeque<FlowId>,
    /// Open flows, each with its cookie and the sequence number of its last request.
    open_flows: HashMap<FlowId, (FlowCookie, u32)>,
    cold_since: Option<Duration>,
    flows_while_cold: u32,
    pub(super) draining_since: Option<Duration>,
    /// Time of the last disturbance: a start, a stop, or the end of a partition, which lies in the
    /// future while the partition lasts.
    pub(super) stable_since: Duration,
}

impl FleetSimulation {
    /// Adds an upstream of a service, starts it and registers it.
    pub(super) fn add_upstream(&mut self, service: usize, name: &str, starts_cold: bool) -> usize {
        let index = self.upstreams.len();
        let data_centre_count = self.scenario.data_centres.len().max(1);
        self.upstreams.push(SimulatedUpstream {
            name: name.to_owned(),
            service,
            data_centre: index % data_centre_count,
            address: SocketAddrV4::new(Ipv4Addr::from(0x0a80_0000 + index as u32), 8_080),
            incarnation: 0,
            last_incarnation: 0,
            slots: usize::from(self.scenario.services[service].slots_per_upstream),
            active_requests: 0,
            queued_requests: VecDeque::new(),
            open_flows: HashMap::new(),
            cold_since: None,
            flows_while_cold: 0,
            draining_since: None,
            stable_since: Duration::ZERO,
        });
        self.start_upstream(index, starts_cold);
        index
    }

    /// Adds a cold upstream at an address that another upstream used before.
    pub(super) fn add_upstream_at(&mut self, service: usize, address: SocketAddrV4) {
        let name = format!("at-{address}");
        let upstream = self.add_upstream(service, &name, true);
        self.upstreams[upstream].address = address;
        self.register_upstream(upstream, RegisteredState::Ready);
    }

    /// Starts or restarts an upstream, which loses its flows and requests, and registers it as
    /// ready.
    pub(super) fn start_upstream(&mut self, index: usize, starts_cold: bool) {
        let now = self.now;
        let upstream = &mut self.upstreams[index];
        upstream.last_incarnation += 1;
        upstream.incarnation = upstream.last_incarnation;
        upstream.active_requests = 0;
        upstream.queued_requests.clear();
        upstream.open_flows.clear();
        upstream.cold_since = starts_cold.then_some(now);
        upstream.flows_while_cold = 0;
        upstream.draining_since = None;
        upstream.stable_since = now;
        self.register_upstream(index, RegisteredState::Ready);
    }

    /// Stops an upstream and removes its registration.
    pub(super) fn stop_upstream(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.incarnation = 0;
        upstream.stable_since = self.now;
        let key = RegistryKey::Upstream(upstream.name.clone());
        self.write_entry(key, RegistryValue::Removed { possibly_spurious: false });
    }

    /// Writes the registration of an upstream to the store.
    pub(super) fn register_upstream(&mut self, index: usize, state: RegisteredState) {
        let upstream = &self.upstreams[index];
        let cold_remaining =
            upstream.cold_since.map(|since| (since + COLD_START_DURATION).saturating_sub(self.now));
        let registration = UpstreamRegistration {
            name: upstream.name.clone(),
            tag: index as u64 + 1,
            incarnation: upstream.incarnation,
            service: ServiceId::from_name(&self.scenario.services[upstream.service].name),
            address: upstream.address,
            data_centre: self.data_centre_id(upstream.data_centre),
            slots: upstream.slots as u16,
            state,
            cold_remaining: cold_remaining.unwrap_or_default(),
        };
        let key = RegistryKey::Upstream(registration.name.clone());
        self.write_entry(key, RegistryValue::Upstream(Arc::new(registration)));
    }

    /// Returns the running upstream at an address; of several, the one added last.
    pub(super) fn upstream_at(&self, address: SocketAddrV4) -> Option<usize> {
        self.upstreams
            .iter()
            .rposition(|upstream| upstream.address == address && upstream.incarnation != 0)
    }

    /// Handles a packet at an upstream's address; without a running upstream, the packet is lost.
    pub(super) fn receive_packet(
        &mut self,
        address: SocketAddrV4,
        flow: FlowId,
        packet: &CookiePacket,
    ) {
        let Some(index) = self.upstream_at(address) else { return };
        if packet.segment.opens_flow() {
            return self.accept_flow(index, flow, packet.cookie);
        }
        let Some((_, last_sequence)) = self.upstreams[index].open_flows.get_mut(&flow) else {
            return self.reset_unknown_flow(index, flow);
        };
        if packet.segment.closes_flow() {
            self.upstreams[index].open_flows.remove(&flow);
            return;
        }
        let sequence = packet.segment.sequence;
        if packet.segment.payload_length == 0 || sequence <= *last_sequence {
            return;
        }
        *last_sequence = sequence;
        let upstream = &mut self.upstreams[index];
        if upstream.active_requests < upstream.slots {
            upstream.active_requests += 1;
            self.start_service(index, flow);
        } else if upstream.queued_requests.len() < upstream.slots * MAX_QUEUED_PER_SLOT {
            upstream.queued_requests.push_back(flow);
        } else {
            self.measurements.shed_requests += 1;
            self.schedule_after(
                ONE_WAY_DELAY,
                FleetEvent::CallerEvent { flow, event: CallerEvent::RequestShed },
            );
        }
    }

    fn accept_flow(&mut self, index: usize, flow: FlowId, cookie: FlowCookie) {
        let now = self.now;
        let service = self.callers[flow.caller].service;
        let upstream = &mut self.upstreams[index];
        self.measurements.misrouted_flows += u64::from(upstream.service != service);
        let drain_in_force =
            upstream.draining_since.is_some_and(|since| now > since + MAX_STATE_PROPAGATION_DELAY);
        self.measurements.new_flows_on_draining += u64::from(drain_in_force);
        if let Some(since) = upstream.cold_since.filter(|since| now < *since + COLD_START_DURATION)
        {
            upstream.flows_while_cold += 1;
            let sustainable_flows = MAX_COLD_REQUESTS_PER_SEC * (now - since).as_secs_f64();
            let exceeds_limit = f64::from(upstream.flows_while_cold)
                > sustainable_flows * COLD_RATE_TOLERANCE + COLD_FLOW_ALLOWANCE;
            self.measurements.cold_limit_violations += u64::from(exceeds_limit);
        }
        let incarnation = upstream.incarnation;
        upstream.open_flows.entry(flow).or_insert((cookie, 0));
        let event = CallerEvent::FlowAccepted { upstream: index, incarnation, cookie };
        self.schedule_after(ONE_WAY_DELAY, FleetEvent::CallerEvent { flow, event });
    }

    /// Resets a flow that the upstream does not know.
    ///
    /// The packet counts as a stray if another upstream accepted the flow and has run without a
    /// restart since then.
    fn reset_unknown_flow(&mut self, index: usize, flow: FlowId) {
        let incarnation = self.upstreams[index].incarnation;
        let accepted_by = self.callers[flow.caller].upstream_of(flow);
        let is_stray = accepted_by.is_some_and(|(own_index, own_incarnation)| {
            own_index != index
                && self.upstreams[own_index].incarnation == own_incarnation
                && own_incarnation != 0
        });
        self.measurements.stray_packets += u64::from(is_stray);
        let event = CallerEvent::UpstreamReset { upstream: index, incarnation };
        self.schedule_after(ONE_WAY_DELAY, FleetEvent::CallerEvent { flow, event });
    }

    fn start_service(&mut self, index: usize, flow: FlowId) {
        let mean_service_time = self.scenario.request_load.mean_service_time;
        let service_time = mean_service_time.mul_f64(self.rng.random_range(0.5..1.5));
        let incarnation = self.upstreams[index].incarnation;
        self.schedule_after(
            service_time,
            FleetEvent::ServiceDone { upstream: index, incarnation, flow },
        );
    }

    /// Answers a finished request, and starts the next one in the queue.
    pub(super) fn finish_service(&mut self, index: usize, incarnation: u64, flow: FlowId) {
        let upstream = &mut self.upstreams[index];
        if upstream.incarnation != incarnation {
            return;
        }
        upstream.active_requests -= 1;
        let next_flow = upstream.queued_requests.pop_front();
        upstream.active_requests += usize::from(next_flow.is_some());
        self.schedule_after(
            ONE_WAY_DELAY,
            FleetEvent::CallerEvent { flow, event: CallerEvent::Answered },
        );
        if let Some(next_flow) = next_flow {
            self.start_service(index, next_flow);
        }
    }
}
