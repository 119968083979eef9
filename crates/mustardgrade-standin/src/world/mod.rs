//! Discrete-event simulation of entry hosts that take their rules and placement from a store.
//!
//! The controllers and routers of many hosts run in virtual time, in one process. Their
//! surroundings are simulated: a network that delays, drops and duplicates messages and isolates
//! data centres, a store, callers, and upstreams. Each simulated flow remembers its upstream, so a
//! packet that is delivered to another one is detected. The same scenario and seed give
//! byte-identical figures.

mod actions;
mod control;
mod event;
mod figures;
mod flows;
mod hosts;
mod network;
mod request_figures;
mod request_upstreams;
mod requests;
mod store;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mustardgrade_core::identity::UpstreamId;
use mustardgrade_core::rule::RuleSet;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::queue::EventQueue;
use crate::scenario::Scenario;

use event::SimulationEvent;
use figures::RunCounters;
use flows::SimulatedFlow;
use hosts::SimulatedHost;
use network::SimulatedNetwork;
use requests::RequestTracker;
use store::SimulatedStore;

pub use figures::{Figure, FigureList};

/// `Simulation` runs one scenario with one seed.
///
/// Hosts, flows and requests are referred to by their index in the order of creation. Points in
/// time are durations since the start of the simulation.
pub struct Simulation {
    scenario: Scenario,
    now: Duration,
    rng: ChaCha8Rng,
    event_queue: EventQueue<SimulationEvent>,
    hosts: Vec<SimulatedHost>,
    host_indices: BTreeMap<String, usize>,
    store: SimulatedStore,
    network: SimulatedNetwork,
    rules: RuleSet,
    upstream_indices: BTreeMap<UpstreamId, usize>,
    flows: Vec<SimulatedFlow>,
    request_tracker: RequestTracker,
    counters: RunCounters,
}

impl std::fmt::Debug for Simulation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Simulation").field("now", &self.now).finish_non_exhaustive()
    }
}

impl Simulation {
    /// Creates the simulation of a scenario with all hosts started, and schedules its load and
    /// events.
    #[must_use]
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut simulation = Self {
            scenario: scenario.clone(),
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            event_queue: EventQueue::default(),
            hosts: Vec::new(),
            host_indices: BTreeMap::new(),
            store: SimulatedStore::default(),
            network: SimulatedNetwork::default(),
            rules: RuleSet::default(),
            upstream_indices: BTreeMap::new(),
            flows: Vec::new(),
            request_tracker: RequestTracker::default(),
            counters: RunCounters::default(),
        };
        simulation.set_up();
        simulation
    }

    /// Runs the scenario to its end and returns its figures.
    #[must_use]
    pub fn run(mut self) -> FigureList {
        let end = self.scenario.duration;
        while let Some(scheduled) = self.event_queue.pop_until(end) {
            self.now = scheduled.due_at;
            if let Some(event) = self.defer_if_paused(scheduled.event) {
                self.handle_event(event);
            }
        }
        self.now = end;
        self.into_figures()
    }

    /// Starts the hosts and schedules the load and the scripted events.
    fn set_up(&mut self) {
        self.build_rules();
        let rules = Arc::new(self.rules.clone());
        self.store.put_rules(rules, self.now);
        let data_centres = self.scenario.data_centres.clone();
        for data_centre in &data_centres {
            for number in 1..=data_centre.host_count {
                self.start_host(&format!("{}-{number}", data_centre.name), &data_centre.name);
            }
        }
        self.schedule_first_request();
        self.schedule_persistent_flows();
        if self.scenario.flow_load.new_flows_per_sec > 0 {
            self.event_queue.push(flows::LOAD_START_TIME, SimulationEvent::OpenNewFlows);
        }
        for (index, event) in self.scenario.events.iter().enumerate() {
            self.event_queue.push(event.at, SimulationEvent::ScriptedAction(index));
        }
        self.event_queue.push(figures::SAMPLE_INTERVAL, SimulationEvent::TakeSample);
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::ControllerTick { host, run_id } => self.tick_controller(host, run_id),
            SimulationEvent::ControllerInput { host, run_id, input } => {
                self.deliver_controller_input(host, run_id, *input)
            }
            SimulationEvent::TrafficThreadRuns { host, run_id, work } => {
                self.run_traffic_thread(host, run_id, *work);
            }
            SimulationEvent::RecordsReceived { host, run_id, records } => {
                self.deliver_records(host, run_id, *records);
            }
            SimulationEvent::UpdatesReceived { host, run_id, updates } => {
                self.deliver_updates(host, run_id, &updates)
            }
            SimulationEvent::FlushUpdates { host, run_id } => self.flush_updates(host, run_id),
            SimulationEvent::StoreReadCompleted { host, run_id } => {
                self.complete_store_read(host, run_id)
            }
            SimulationEvent::StoreWriteReceived { host, run_id, placement } => {
                self.write_placement(host, run_id, placement)
            }
            SimulationEvent::StoreRepairReceived { host, repair } => {
                self.repair_store(host, *repair)
            }
            SimulationEvent::HostListReadCompleted { host, run_id } => {
                self.complete_host_list_read(host, run_id)
            }
            SimulationEvent::SendSegment { flow } => self.send_segment(flow),
            SimulationEvent::ForwardedPacketReceived { host, run_id, forwarded } => {
                self.deliver_forwarded_packet(host, run_id, *forwarded)
            }
            SimulationEvent::CloseFlow { flow } => self.close_flow(flow),
            SimulationEvent::OpenNewFlows => self.open_new_flows(),
            SimulationEvent::ScriptedAction(index) => self.perform_action(index),
            SimulationEvent::ResumeHost { host } => self.resume_host(host),
            SimulationEvent::ReconnectDataCentre { data_centre } => {
                self.network.reconnect(data_centre)
            }
            SimulationEvent::ClearStoreFault => self.clear_store_fault(),
            SimulationEvent::RemoveFromRotation { host } => self.hosts[host].in_rotation = false,
            SimulationEvent::TakeSample => self.take_sample(),
            SimulationEvent::StartRequest => self.generate_request(),
            SimulationEvent::RetransmitRequest { request, message_id } => {
                self.retransmit_request(request, message_id);
            }
            SimulationEvent::CallerTimeout { request } => self.expire_request(request),
            SimulationEvent::RequestRouterTick { host, run_id } => {
                self.tick_request_router(host, run_id)
            }
            SimulationEvent::RequestRouterInput { host, run_id, input } => {
                self.deliver_request_input(host, run_id, *input)
            }
            SimulationEvent::CallerReplyReceived { request, message_id, reply } => {
                self.handle_caller_reply(request, message_id, *reply);
            }
            SimulationEvent::UpstreamRequestReceived {
                upstream,
                exchange_id,
                host,
                encoded_request,
            } => {
                self.receive_at_upstream(upstream, exchange_id, host, encoded_request);
            }
            SimulationEvent::UpstreamRequestCompleted {
                upstream,
                exchange_id,
                host,
                encoded_request,
            } => {
                self.complete_at_upstream(upstream, exchange_id, host, encoded_request);
            }
        }
    }
}
