//! Simulated hosts: start, stop, failure, pauses and periodic work.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use mustardgrade_core::flow::{FlowOptions, FlowRouter, PlacementMode, RoutingSnapshot};
use mustardgrade_core::identity::{DataCentreId, HostId, HostIncarnation};
use mustardgrade_core::membership::{
    ControllerInput, ControllerOptions, HostController, ListedHost, MemberTableOptions,
};
use mustardgrade_core::placement::PlannerOptions;
use mustardgrade_core::request::{RequestInput, RequestRouter};

use super::Simulation;
use super::event::SimulationEvent;
use super::requests::{REQUEST_ROUTER_TICK_INTERVAL, new_request_router};

/// Time between two ticks of a host's controller.
const CONTROLLER_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two reads of the platform's host list by a watcher.
const HOST_LIST_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which the platform's host list no longer contains a host whose process has ended.
const HOST_LIST_REMOVAL_DELAY: Duration = Duration::from_secs(5);

/// Time after which the fabric removes a host that was killed or is leaving from its rotation.
const ROTATION_REMOVAL_DELAY: Duration = Duration::from_secs(1);

/// Address of the first host, 10.0.0.1; further hosts have consecutive addresses.
const FIRST_HOST_ADDRESS: u32 = 0x0A00_0001;

/// Seed of the flow fingerprints; must be equal on all hosts.
const FINGERPRINT_SEED: u64 = 7;

/// `SimulatedHost` holds the controller and routers of one host, with the state that an operating
/// system and a process would hold.
pub(super) struct SimulatedHost {
    pub(super) name: String,
    pub(super) id: HostId,
    pub(super) address: Ipv4Addr,
    pub(super) data_centre: DataCentreId,
    pub(super) data_centre_name: String,
    /// Identifies the process of the host; a host that is replaced gets a new entry with a new ID.
    pub(super) run_id: u32,
    /// The process is running, or paused.
    pub(super) is_alive: bool,
    pub(super) is_leaving: bool,
    pub(super) exited_at: Option<Duration>,
    pub(super) paused_until: Option<Duration>,
    /// Events that came due during the pause.
    pub(super) deferred_events: Vec<SimulationEvent>,
    /// The fabric sends packets to the host.
    pub(super) in_rotation: bool,
    /// The host reads and watches the store on behalf of its peers.
    pub(super) is_watcher: bool,
    pub(super) store_write_pending: bool,
    pub(super) update_flush_scheduled: bool,
    pub(super) last_host_list_read_at: Duration,
    pub(super) started_at: Duration,
    pub(super) controller: HostController,
    pub(super) flow_router: FlowRouter,
    /// Latest routing snapshot of the controller.
    pub(super) published_snapshot: Option<Arc<RoutingSnapshot>>,
    pub(super) request_router: RequestRouter,
    /// Offset of the wall clock of the host from that of the simulation.
    pub(super) clock_offset: Duration,
    pub(super) control_bytes_sent: u64,
    pub(super) highest_rules_revision: u64,
}

impl Simulation {
    /// Starts a host; its controller first ticks within one tick interval.
    pub(super) fn start_host(&mut self, name: &str, data_centre: &str) {
        let index = self.hosts.len();
        let id = HostId::from_name(name);
        let address = Ipv4Addr::from(FIRST_HOST_ADDRESS + index as u32);
        let data_centre_id = DataCentreId::from_name(data_centre);
        let live_hosts = self.hosts.iter().filter(|host| host.is_alive);
        let seeds: Vec<Ipv4Addr> = live_hosts.map(|host| host.address).take(3).collect();
        let local_incarnation =
            HostIncarnation { host: id, incarnation: self.now.as_millis() as u64 + 1 };
        let request_seed = rand::RngExt::random(&mut self.rng);
        let clock_offset = self.draw_clock_offset();
        let options = ControllerOptions {
            local_incarnation,
            address,
            data_centre: data_centre_id,
            seeds,
            placement_mode: self.scenario.options.placement_mode,
            member_table: MemberTableOptions::default(),
            planner: PlannerOptions {
                method: self.scenario.options.assign_method,
                guards_enabled: self.scenario.options.placement_mode == PlacementMode::Guarded,
                wait_for_acknowledgement: self.scenario.options.wait_for_acknowledgement,
                collecting_duration: self.scenario.options.collecting_duration,
            },
        };
        let flow_options = FlowOptions {
            mode: self.scenario.options.placement_mode,
            fingerprint_seed: FINGERPRINT_SEED,
            flow_capacity: self.scenario.flow_load.held_flows.max(1_024) * 2,
            ..FlowOptions::default()
        };
        self.hosts.push(SimulatedHost {
            name: name.to_owned(),
            id,
            address,
            data_centre: data_centre_id,
            data_centre_name: data_centre.to_owned(),
            run_id: index as u32,
            is_alive: true,
            is_leaving: false,
            exited_at: None,
            paused_until: None,
            deferred_events: Vec::new(),
            in_rotation: true,
            is_watcher: false,
            store_write_pending: false,
            update_flush_scheduled: false,
            last_host_list_read_at: Duration::ZERO,
            started_at: self.now,
            controller: HostController::new(options),
            flow_router: FlowRouter::new(id, flow_options),
            published_snapshot: None,
            request_router: new_request_router(local_incarnation, data_centre_id, request_seed),
            clock_offset,
            control_bytes_sent: 0,
            highest_rules_revision: 0,
        });
        self.host_indices.insert(name.to_owned(), index);
        let run_id = index as u32;
        let at = self.now + self.draw_one_way_call_delay();
        self.event_queue.push(at, SimulationEvent::HostListReadCompleted { host: index, run_id });
        if self.has_requests() {
            let tick = SimulationEvent::RequestRouterTick { host: index, run_id };
            self.event_queue.push(self.now + REQUEST_ROUTER_TICK_INTERVAL, tick);
        }
        // A random delay keeps the ticks of hosts that start together from coinciding.
        let first_tick_delay =
            CONTROLLER_TICK_INTERVAL.mul_f64(rand::RngExt::random_range(&mut self.rng, 0.0..1.0));
        self.event_queue.push(
            self.now + first_tick_delay,
            SimulationEvent::ControllerTick { host: index, run_id },
        );
    }

    /// Returns the index of the host with this address.
    pub(super) fn host_at(&self, address: Ipv4Addr) -> Option<usize> {
        let index = u32::from(address).checked_sub(FIRST_HOST_ADDRESS)? as usize;
        (index < self.hosts.len()).then_some(index)
    }

    /// Selects a random host among those that `is_eligible` accepts.
    pub(super) fn draw_host(
        &mut self,
        is_eligible: impl Fn(&Self, &SimulatedHost) -> bool,
    ) -> Option<usize> {
        let count = self.hosts.iter().filter(|host| is_eligible(self, host)).count();
        if count == 0 {
            return None;
        }
        let chosen_rank = rand::RngExt::random_range(&mut self.rng, 0..count);
        let indexed_hosts = self.hosts.iter().enumerate();
        indexed_hosts
            .filter(|(_, host)| is_eligible(self, host))
            .map(|(index, _)| index)
            .nth(chosen_rank)
    }

    /// Returns whether the process `run_id` of a host is alive. It does not check for pauses;
    /// events of paused hosts are deferred before they are handled.
    pub(super) fn is_running(&self, host: usize, run_id: u32) -> bool {
        self.hosts[host].is_alive && self.hosts[host].run_id == run_id
    }

    /// Defers an event whose host is paused; returns any other event.
    pub(super) fn defer_if_paused(&mut self, event: SimulationEvent) -> Option<SimulationEvent> {
        let Some(host) = event.handling_host() else { return Some(event) };
        if self.hosts[host].paused_until.is_some() {
            self.hosts[host].deferred_events.push(event);
            return None;
        }
        Some(event)
    }

    /// Runs the controller's periodic work, and the store and host list reads of a watcher.
    pub(super) fn tick_controller(&mut self, host: usize, run_id: u32) {
        if !self.is_running(host, run_id) {
            return;
        }
        self.event_queue.push(
            self.now + CONTROLLER_TICK_INTERVAL,
            SimulationEvent::ControllerTick { host, run_id },
        );
        self.handle_controller_input(host, ControllerInput::Tick);
        if self.has_requests() {
            self.refresh_request_snapshot(host);
        }
        let was_watcher = self.hosts[host].is_watcher;
        let is_watcher = self.hosts[host].controller.is_watcher();
        self.hosts[host].is_watcher = is_watcher;
        if is_watcher && !was_watcher {
            self.schedule_store_read(host);
        }
        if is_watcher
            && self.now > self.hosts[host].last_host_list_read_at + HOST_LIST_READ_INTERVAL
        {
            self.hosts[host].last_host_list_read_at = self.now;
            let at = self.now + self.draw_one_way_store_delay();
            self.event_queue.push(at, SimulationEvent::HostListReadCompleted { host, run_id });
        }
    }

    pub(super) fn complete_host_list_read(&mut self, host: usize, run_id: u32) {
        if !self.is_running(host, run_id) {
            return;
        }
        self.store.call_count += 1;
        let is_reachable = self.network.can_reach_store(self.hosts[host].data_centre);
        if !is_reachable || self.store.fault == Some(crate::scenario::StoreFault::Down) {
            return;
        }
        let is_listed = |listed: &&SimulatedHost| match listed.exited_at {
            Some(at) => self.now < at + HOST_LIST_REMOVAL_DELAY,
            None => true,
        };
        let listed_hosts = self.hosts.iter().filter(is_listed).map(|listed| ListedHost {
            host: listed.id,
            address: listed.address,
            data_centre: listed.data_centre,
            leaving: listed.is_leaving,
        });
        let listed_hosts = listed_hosts.collect();
        self.handle_controller_input(host, ControllerInput::HostListRead(listed_hosts));
    }

    /// Ends the process of a host without a graceful shutdown.
    pub(super) fn kill_host(&mut self, host: usize) {
        self.request_tracker.in_flight_on_killed_hosts += self.count_in_flight(host);
        self.hosts[host].is_alive = false;
        self.hosts[host].exited_at = Some(self.now);
        self.event_queue
            .push(self.now + ROTATION_REMOVAL_DELAY, SimulationEvent::RemoveFromRotation { host });
    }

    /// Starts the graceful shutdown of a host.
    pub(super) fn stop_host(&mut self, host: usize) {
        self.hosts[host].is_leaving = true;
        self.event_queue
            .push(self.now + ROTATION_REMOVAL_DELAY, SimulationEvent::RemoveFromRotation { host });
        self.handle_controller_input(host, ControllerInput::LeaveRequested);
        if self.has_requests() {
            let run_id = self.hosts[host].run_id;
            let input = Box::new(RequestInput::Leave);
            self.event_queue
                .push(self.now, SimulationEvent::RequestRouterInput { host, run_id, input });
        }
    }

    pub(super) fn pause_host(&mut self, host: usize, duration: Duration) {
        self.hosts[host].paused_until = Some(self.now + duration);
        self.event_queue.push(self.now + duration, SimulationEvent::ResumeHost { host });
    }

    /// Ends the pause of a host; the messages and timers that came due meanwhile are handled now.
    pub(super) fn resume_host(&mut self, host: usize) {
        self.hosts[host].paused_until = None;
        for event in std::mem::take(&mut self.hosts[host].deferred_events) {
            self.event_queue.push(self.now, event);
        }
    }
}
