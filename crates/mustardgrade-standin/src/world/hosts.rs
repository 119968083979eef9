//! The hosts of a world.

use std::net::Ipv4Addr;
use std::time::Duration;

use mustardgrade_core::flow::{FlowOptions, FlowRouter, PlacementMode};
use mustardgrade_core::identity::{DataCentreId, HostId, HostIncarnation};
use mustardgrade_core::membership::{
    ControllerInput, ControllerOptions, HostController, ListedHost, MemberTableOptions,
};
use mustardgrade_core::placement::PlannerOptions;
use mustardgrade_core::request::{RequestInput, RequestRouter};

use super::World;
use super::event::WorldEvent;
use super::requests::{REQUEST_TICK, new_router};

/// Time between two ticks of a controller.
const TICK: Duration = Duration::from_millis(100);

/// Time between two reads of the host list by a watcher.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which the platform's list shows that a host died.
const LIST_LAG: Duration = Duration::from_secs(5);

/// Time after which the fabric hands no more packets to a host that died or leaves.
const FABRIC_LAG: Duration = Duration::from_secs(1);

/// Address of the first host, 10.0.0.1; the others follow.
const FIRST_ADDRESS: u32 = 0x0A00_0001;

/// Seed of the fingerprints.
const FINGERPRINT_SEED: u64 = 7;

/// `VirtualHost` is the cores of one host and what the world knows of it.
pub(super) struct VirtualHost {
    pub(super) name: String,
    pub(super) id: HostId,
    pub(super) address: Ipv4Addr,
    pub(super) data_centre: DataCentreId,
    pub(super) data_centre_name: String,
    pub(super) run: u32,
    pub(super) alive: bool,
    pub(super) leaving: bool,
    pub(super) died_at: Option<Duration>,
    pub(super) paused_until: Option<Duration>,
    pub(super) held_back: Vec<WorldEvent>,
    pub(super) in_fabric: bool,
    pub(super) is_watcher: bool,
    pub(super) writing: bool,
    pub(super) flush_due: bool,
    pub(super) last_list: Duration,
    pub(super) started: Duration,
    pub(super) controller: HostController,
    pub(super) router: FlowRouter,
    pub(super) requests: RequestRouter,
    pub(super) skew: Duration,
    pub(super) control_bytes: u64,
    pub(super) highest_revision: u64,
}

impl World {
    /// Starts a host; its first tick follows at once.
    pub(super) fn start_host(&mut self, name: &str, data_centre: &str) {
        let index = self.hosts.len();
        let id = HostId::from_name(name);
        let address = Ipv4Addr::from(FIRST_ADDRESS + index as u32);
        let centre = DataCentreId::from_name(data_centre);
        let alive = self.hosts.iter().filter(|host| host.alive);
        let seeds: Vec<Ipv4Addr> = alive.map(|host| host.address).take(3).collect();
        let me = HostIncarnation { host: id, incarnation: self.now.as_millis() as u64 + 1 };
        let seed = rand::RngExt::random(&mut self.random);
        let skew = self.draw_skew();
        let options = ControllerOptions {
            own_incarnation: me,
            address,
            data_centre: centre,
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
        self.hosts.push(VirtualHost {
            name: name.to_owned(),
            id,
            address,
            data_centre: centre,
            data_centre_name: data_centre.to_owned(),
            run: index as u32,
            alive: true,
            leaving: false,
            died_at: None,
            paused_until: None,
            held_back: Vec::new(),
            in_fabric: true,
            is_watcher: false,
            writing: false,
            flush_due: false,
            last_list: Duration::ZERO,
            started: self.now,
            controller: HostController::new(options),
            router: FlowRouter::new(id, flow_options),
            requests: new_router(me, centre, seed),
            skew,
            control_bytes: 0,
            highest_revision: 0,
        });
        self.host_numbers.insert(name.to_owned(), index);
        let run = index as u32;
        let at = self.now + self.draw_call_delay();
        self.queue.push(at, WorldEvent::ListRead { host: index, run });
        if self.has_requests() {
            let tick = WorldEvent::RequestTick { host: index, run };
            self.queue.push(self.now + REQUEST_TICK, tick);
        }
        // Hosts do not tick in step.
        let phase = TICK.mul_f64(rand::RngExt::random_range(&mut self.random, 0.0..1.0));
        self.queue.push(self.now + phase, WorldEvent::Tick { host: index, run });
    }

    /// Returns the host with an address.
    pub(super) fn host_at(&self, address: Ipv4Addr) -> Option<usize> {
        let index = u32::from(address).checked_sub(FIRST_ADDRESS)? as usize;
        (index < self.hosts.len()).then_some(index)
    }

    /// Returns a random host that `usable` accepts.
    pub(super) fn draw_host(
        &mut self,
        usable: impl Fn(&Self, &VirtualHost) -> bool,
    ) -> Option<usize> {
        let count = self.hosts.iter().filter(|host| usable(self, host)).count();
        if count == 0 {
            return None;
        }
        let chosen = rand::RngExt::random_range(&mut self.random, 0..count);
        let numbered = self.hosts.iter().enumerate();
        numbered.filter(|(_, host)| usable(self, host)).map(|(index, _)| index).nth(chosen)
    }

    /// Tells whether a host runs; an event for a paused one must not come here.
    pub(super) fn is_running(&self, host: usize, run: u32) -> bool {
        self.hosts[host].alive && self.hosts[host].run == run
    }

    /// Keeps an event back if its host is paused; returns the event otherwise.
    pub(super) fn hold_back(&mut self, event: WorldEvent) -> Option<WorldEvent> {
        let Some(host) = event.host() else { return Some(event) };
        if self.hosts[host].paused_until.is_some() {
            self.hosts[host].held_back.push(event);
            return None;
        }
        Some(event)
    }

    pub(super) fn tick_host(&mut self, host: usize, run: u32) {
        if !self.is_running(host, run) {
            return;
        }
        self.queue.push(self.now + TICK, WorldEvent::Tick { host, run });
        self.feed(host, ControllerInput::Tick);
        if self.has_requests() {
            self.refresh_requests(host);
        }
        let was_watcher = self.hosts[host].is_watcher;
        let is_watcher = self.hosts[host].controller.is_watcher();
        self.hosts[host].is_watcher = is_watcher;
        if is_watcher && !was_watcher {
            self.schedule_store_read(host);
        }
        if is_watcher && self.now > self.hosts[host].last_list + LIST_INTERVAL {
            self.hosts[host].last_list = self.now;
            let at = self.now + self.draw_store_delay();
            self.queue.push(at, WorldEvent::ListRead { host, run });
        }
    }

    pub(super) fn deliver_list(&mut self, host: usize, run: u32) {
        if !self.is_running(host, run) {
            return;
        }
        self.store.calls += 1;
        let reachable = self.network.reaches_store(self.hosts[host].data_centre);
        if !reachable || self.store.fault == Some(crate::scenario::StoreFault::Down) {
            return;
        }
        let shown = |listed: &&VirtualHost| match listed.died_at {
            Some(at) => self.now < at + LIST_LAG,
            None => true,
        };
        let listed = self.hosts.iter().filter(shown).map(|listed| ListedHost {
            host: listed.id,
            address: listed.address,
            data_centre: listed.data_centre,
            leaving: listed.leaving,
        });
        let listed = listed.collect();
        self.feed(host, ControllerInput::HostListRead(listed));
    }

    pub(super) fn kill_host(&mut self, host: usize) {
        self.book.killed_in_flight += self.count_in_flight(host);
        self.hosts[host].alive = false;
        self.hosts[host].died_at = Some(self.now);
        self.queue.push(self.now + FABRIC_LAG, WorldEvent::FabricForgets { host });
    }

    pub(super) fn stop_host(&mut self, host: usize) {
        self.hosts[host].leaving = true;
        self.queue.push(self.now + FABRIC_LAG, WorldEvent::FabricForgets { host });
        self.feed(host, ControllerInput::LeaveRequested);
        if self.has_requests() {
            let run = self.hosts[host].run;
            let input = Box::new(RequestInput::Leave);
            self.queue.push(self.now, WorldEvent::Request { host, run, input });
        }
    }

    pub(super) fn pause_host(&mut self, host: usize, length: Duration) {
        self.hosts[host].paused_until = Some(self.now + length);
        self.queue.push(self.now + length, WorldEvent::Wake { host });
    }

    /// Lets a paused host go on with everything that waited in its sockets and timers.
    pub(super) fn wake_host(&mut self, host: usize) {
        self.hosts[host].paused_until = None;
        for event in std::mem::take(&mut self.hosts[host].held_back) {
            self.queue.push(self.now, event);
        }
    }
}
