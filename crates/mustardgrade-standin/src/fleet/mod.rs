//! Discrete-event simulation of hosts that place flows by cookie.
//!
//! The hosts run the real controllers and routers in virtual time; the store, upstreams, callers
//! and fabric around them are simulated. Runs are deterministic: the same scenario and seed produce
//! byte-identical figures.
//!
//! In this module a `host`, `upstream`, `caller`, `service` or `data_centre` of type `usize` is an
//! index into the corresponding list of the simulation or its scenario.

mod actions;
mod callers;
mod event;
mod figures;
mod hosts;
mod measured_requests;
mod power_on;
mod processor;
mod quota;
mod restore;
mod route_services;
mod store;
mod upstreams;

use std::collections::HashSet;
use std::time::Duration;

use mustardgrade_core::registry::Manifest;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::queue::EventQueue;
use crate::scenario::Scenario;
use crate::world::FigureList;

use callers::SimulatedCaller;
use event::FleetEvent;
use figures::FleetMeasurements;
use hosts::SimulatedHost;
use store::SimulatedStore;
use upstreams::SimulatedUpstream;

#[cfg(test)]
mod tests;

/// Virtual time at which a simulation starts; not 0, because the clocks of real hosts do not start
/// at 0 either.
const SIMULATION_START: Duration = Duration::from_secs(100);

/// `FleetSimulation` runs one scenario with one seed.
pub struct FleetSimulation {
    now: Duration,
    rng: ChaCha8Rng,
    event_queue: EventQueue<FleetEvent>,
    scenario: Scenario,
    manifest: Manifest,
    hosts: Vec<SimulatedHost>,
    store: SimulatedStore,
    upstreams: Vec<SimulatedUpstream>,
    callers: Vec<SimulatedCaller>,
    /// Pairs of data centres without a connection; a pair counts in both directions.
    partitions: HashSet<(usize, usize)>,
    /// Data centres that are cut off from the others and from the store.
    isolated_data_centres: HashSet<usize>,
    /// Probability that a datagram between hosts is lost, 0 to 1.
    datagram_loss: f64,
    measurements: FleetMeasurements,
}

impl std::fmt::Debug for FleetSimulation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FleetSimulation").field("now", &self.now).finish_non_exhaustive()
    }
}

impl FleetSimulation {
    /// Creates a simulation without hosts, upstreams, callers and scheduled events.
    fn without_hosts(scenario: Scenario, seed: u64) -> Self {
        Self {
            now: SIMULATION_START,
            rng: ChaCha8Rng::seed_from_u64(seed),
            event_queue: EventQueue::default(),
            datagram_loss: scenario.network.loss_ratio,
            scenario,
            manifest: Manifest::default(),
            hosts: Vec::new(),
            store: SimulatedStore::default(),
            upstreams: Vec::new(),
            callers: Vec::new(),
            partitions: HashSet::new(),
            isolated_data_centres: HashSet::new(),
            measurements: FleetMeasurements::default(),
        }
    }

    /// Creates the simulation of a scenario.
    #[must_use]
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut sim = Self::without_hosts(scenario.clone(), seed);
        sim.set_up();
        sim
    }

    /// Runs the scenario to its end and returns its figures.
    #[must_use]
    pub fn run_scenario(mut self) -> FigureList {
        self.advance(self.scenario.duration);
        self.into_figures()
    }

    /// Advances virtual time by `duration` and handles all events that become due.
    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(scheduled) = self.event_queue.pop_until(end) {
            self.now = scheduled.due_at;
            self.handle_event(scheduled.event);
        }
        self.now = end;
    }

    fn schedule_after(&mut self, delay: Duration, event: FleetEvent) {
        self.event_queue.push(self.now + delay, event);
    }

    fn handle_event(&mut self, event: FleetEvent) {
        let Some(event) = self.if_deliverable(event) else { return };
        let Some(event) = self.if_processed(event) else { return };
        self.perform_event(event);
    }

    fn perform_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Processed { event, .. } => self.perform_event(*event),
            FleetEvent::ControllerTick { host, .. } => self.tick_controller(host),
            FleetEvent::RouterTick { host, .. } => self.tick_router(host),
            FleetEvent::PeerInput { host, input, .. } => self.handle_controller_input(host, *input),
            FleetEvent::StoreRequest { host, incarnation, call_id, call } => {
                self.handle_store_call(host, incarnation, call_id, call)
            }
            FleetEvent::StoreResponse { host, call_id, input, .. } => {
                // Results of earlier calls, which the controller has abandoned, are ignored.
                if self.hosts[host].store_call_id == call_id {
                    self.handle_controller_input(host, *input);
                }
            }
            FleetEvent::StoreWriteRequest { host, incarnation, write } => {
                self.handle_conditional_write(host, incarnation, *write)
            }
            FleetEvent::WatchTimeout { host, incarnation, call_id } => {
                self.expire_watch(host, incarnation, call_id)
            }
            FleetEvent::ChangesRequest { host, incarnation, to, after } => {
                self.answer_changes_request(host, incarnation, to, after)
            }
            FleetEvent::PacketAtHost { host, flow, packet, .. } => {
                self.route_packet(host, flow, &packet)
            }
            FleetEvent::PacketAtUpstream { address, flow, packet } => {
                self.receive_packet(address, flow, &packet)
            }
            FleetEvent::ServiceDone { upstream, incarnation, flow } => {
                self.finish_service(upstream, incarnation, flow)
            }
            FleetEvent::CallerEvent { flow, event } => self.handle_caller_event(flow, event),
            FleetEvent::RetransmitTimer { flow, timer_id } => {
                self.handle_retransmit_timer(flow, timer_id)
            }
            FleetEvent::NextRequest { caller } => self.start_next_request(caller),
            FleetEvent::SingleRequestFlow => self.start_single_request_flow(),
            FleetEvent::ScriptedAction(event_index) => self.perform_action(event_index),
            FleetEvent::StartUpstream { service, address } => {
                self.add_upstream_at(service, address)
            }
            FleetEvent::ProcessExit { host, .. } => self.kill_host(host),
            FleetEvent::StartHost { host } => self.start_host(host, Duration::ZERO),
            FleetEvent::PartitionEnd { data_centre } => self.heal_partition(data_centre),
            FleetEvent::StoreFaultEnd => self.end_store_faults(),
            FleetEvent::StoreRestored { copied_at } => self.return_store_to(copied_at),
            FleetEvent::LostWriteRepeated { write } => self.repeat_lost_write(*write),
            FleetEvent::WarmUpEnd => {
                self.measurements.totals_at_warm_up_end =
                    (self.store.call_count, self.measurements.control_bytes);
            }
            FleetEvent::HealthCheck => self.check_host_health(),
        }
    }
}
