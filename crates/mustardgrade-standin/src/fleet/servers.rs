//! Upstreams: slots, a short queue, restarts and coldness.

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

use super::FleetWorld;
use super::callers::{CallerWord, FlowRun};
use super::event::FleetEvent;
use super::hosts::HOP;

/// Requests that wait at an upstream for each slot; more are shed.
const QUEUE_PER_SLOT: usize = 4;

/// Time for which an upstream that has just started is cold.
pub(super) const COLD_TIME: Duration = Duration::from_secs(2);

/// Requests a second that a cold upstream bears.
pub(super) const COLD_RATE: f64 = 2.0;

/// New flows on a cold upstream beyond its rate that the users allow.
const COLD_SLACK: f64 = 5.0;

/// Factor on the rate of a cold upstream that the users allow.
const COLD_OVER: f64 = 1.5;

/// Time after which a declared state of an upstream is in force.
const APPLY_TIME: Duration = Duration::from_secs(3);

/// `CookieServer` is an upstream.
#[derive(Debug, Clone)]
pub(super) struct CookieServer {
    pub(super) name: String,
    pub(super) service: usize,
    pub(super) data_centre: usize,
    pub(super) address: SocketAddrV4,
    /// Number of its run; 0 while it does not run.
    pub(super) run: u64,
    runs: u64,
    slots: usize,
    running: usize,
    queue: VecDeque<FlowRun>,
    /// Open flows, with the cookie that each carries and the requests that it has asked.
    flows: HashMap<FlowRun, (FlowCookie, u32)>,
    cold_since: Option<Duration>,
    cold_flows: u32,
    pub(super) draining_since: Option<Duration>,
    /// Since when its state is beyond doubt: nothing has happened to it.
    pub(super) disturbed: Duration,
}

impl FleetWorld {
    /// Adds an upstream of a service and registers it.
    pub(super) fn add_server(&mut self, service: usize, name: &str, cold: bool) -> usize {
        let index = self.servers.len();
        let centres = self.scenario.data_centres.len().max(1);
        self.servers.push(CookieServer {
            name: name.to_owned(),
            service,
            data_centre: index % centres,
            address: SocketAddrV4::new(Ipv4Addr::from(0x0a80_0000 + index as u32), 8_080),
            run: 0,
            runs: 0,
            slots: usize::from(self.scenario.services[service].slots_per_upstream),
            running: 0,
            queue: VecDeque::new(),
            flows: HashMap::new(),
            cold_since: None,
            cold_flows: 0,
            draining_since: None,
            disturbed: Duration::ZERO,
        });
        self.start_server(index, cold);
        index
    }

    /// Adds an upstream, cold, at an address that another one has left.
    pub(super) fn add_server_at(&mut self, service: usize, address: SocketAddrV4) {
        let name = format!("at-{address}");
        let server = self.add_server(service, &name, true);
        self.servers[server].address = address;
        self.register(server, RegisteredState::Ready);
    }

    /// Starts an upstream, or starts it again; it forgets everything.
    pub(super) fn start_server(&mut self, index: usize, cold: bool) {
        let now = self.now;
        let server = &mut self.servers[index];
        server.runs += 1;
        server.run = server.runs;
        server.running = 0;
        server.queue.clear();
        server.flows.clear();
        server.cold_since = cold.then_some(now);
        server.cold_flows = 0;
        server.draining_since = None;
        server.disturbed = now;
        self.register(index, RegisteredState::Ready);
    }

    /// Ends an upstream; with `registered`, its entry stays for the time being.
    pub(super) fn end_server(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.run = 0;
        server.disturbed = self.now;
        let key = RegistryKey::Upstream(server.name.clone());
        self.put(key, RegistryValue::Removed { possibly_spurious: false });
    }

    /// Writes an upstream's entry.
    pub(super) fn register(&mut self, index: usize, state: RegisteredState) {
        let server = &self.servers[index];
        let cold = server.cold_since.map(|since| (since + COLD_TIME).saturating_sub(self.now));
        let report = UpstreamRegistration {
            name: server.name.clone(),
            tag: index as u64 + 1,
            incarnation: server.run,
            service: ServiceId::from_name(&self.scenario.services[server.service].name),
            address: server.address,
            data_centre: self.data_centre_id(server.data_centre),
            slots: server.slots as u16,
            state,
            cold_remaining: cold.unwrap_or_default(),
        };
        let key = RegistryKey::Upstream(report.name.clone());
        self.put(key, RegistryValue::Upstream(Arc::new(report)));
    }

    /// Returns the upstream that runs at an address.
    pub(super) fn server_at(&self, address: SocketAddrV4) -> Option<usize> {
        self.servers.iter().rposition(|server| server.address == address && server.run != 0)
    }

    /// Takes in a packet at an upstream's address.
    pub(super) fn arrive(&mut self, address: SocketAddrV4, flow: FlowRun, packet: &CookiePacket) {
        let Some(index) = self.server_at(address) else { return };
        if packet.segment.opens_flow() {
            return self.accept_flow(index, flow, packet.cookie);
        }
        let Some((_, asked)) = self.servers[index].flows.get_mut(&flow) else {
            return self.refuse_stray(index, flow);
        };
        if packet.segment.closes_flow() {
            self.servers[index].flows.remove(&flow);
            return;
        }
        let number = packet.segment.sequence;
        if packet.segment.payload_length == 0 || number <= *asked {
            return;
        }
        *asked = number;
        let server = &mut self.servers[index];
        if server.running < server.slots {
            server.running += 1;
            self.serve(index, flow);
        } else if server.queue.len() < server.slots * QUEUE_PER_SLOT {
            server.queue.push_back(flow);
        } else {
            self.tally.shed += 1;
            self.later(HOP, FleetEvent::Caller { flow, word: CallerWord::Shed });
        }
    }

    fn accept_flow(&mut self, index: usize, flow: FlowRun, cookie: FlowCookie) {
        let now = self.now;
        let service = self.flows[flow.flow].service;
        let server = &mut self.servers[index];
        self.tally.unrouted += u64::from(server.service != service);
        let drained = server.draining_since.is_some_and(|since| now > since + APPLY_TIME);
        self.tally.new_on_draining += u64::from(drained);
        if let Some(since) = server.cold_since.filter(|since| now < *since + COLD_TIME) {
            server.cold_flows += 1;
            let bears = COLD_RATE * (now - since).as_secs_f64();
            let over = f64::from(server.cold_flows) > bears * COLD_OVER + COLD_SLACK;
            self.tally.cold_over += u64::from(over);
        }
        let run = server.run;
        server.flows.entry(flow).or_insert((cookie, 0));
        let word = CallerWord::Opened { server: index, run, cookie };
        self.later(HOP, FleetEvent::Caller { flow, word });
    }

    /// Resets a flow that the upstream does not know.
    fn refuse_stray(&mut self, index: usize, flow: FlowRun) {
        let run = self.servers[index].run;
        let own = self.flows[flow.flow].home(flow);
        let stray = own.is_some_and(|(home, home_run)| {
            home != index && self.servers[home].run == home_run && home_run != 0
        });
        self.tally.stray_packets += u64::from(stray);
        let word = CallerWord::ServerReset { server: index, run };
        self.later(HOP, FleetEvent::Caller { flow, word });
    }

    fn serve(&mut self, index: usize, flow: FlowRun) {
        let mean = self.scenario.request_load.mean_service_time;
        let time = mean.mul_f64(self.random.random_range(0.5..1.5));
        let run = self.servers[index].run;
        self.later(time, FleetEvent::Served { server: index, run, flow });
    }

    /// Answers a request that has run, and begins the next one.
    pub(super) fn finish_service(&mut self, index: usize, run: u64, flow: FlowRun) {
        let server = &mut self.servers[index];
        if server.run != run {
            return;
        }
        server.running -= 1;
        let next = server.queue.pop_front();
        server.running += usize::from(next.is_some());
        self.later(HOP, FleetEvent::Caller { flow, word: CallerWord::Answer });
        if let Some(next) = next {
            self.serve(index, next);
        }
    }
}
