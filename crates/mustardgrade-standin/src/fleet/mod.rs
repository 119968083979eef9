//! Hosts that place flows by cookie, in virtual time: controllers and routers of the product between
//! a store, upstreams, callers and a fabric of this crate.
//!
//! The same scenario and seed give the same figures to the byte.

mod actions;
mod callers;
mod event;
mod figures;
mod hosts;
mod servers;
mod store;

use std::collections::HashSet;
use std::time::Duration;

use mustardgrade_core::registry::Manifest;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::queue::EventQueue;
use crate::scenario::Scenario;
use crate::world::FigureList;

use callers::CookieFlow;
use event::FleetEvent;
use figures::FleetTally;
use hosts::FleetHost;
use servers::CookieServer;
use store::RegistryStore;

#[cfg(test)]
mod tests;

/// Time at which a world starts; clocks of hosts do not start at 0.
const EPOCH: Duration = Duration::from_secs(100);

/// `FleetWorld` plays hosts, and what is around them.
pub struct FleetWorld {
    now: Duration,
    random: ChaCha8Rng,
    queue: EventQueue<FleetEvent>,
    scenario: Scenario,
    manifest: Manifest,
    hosts: Vec<FleetHost>,
    store: RegistryStore,
    servers: Vec<CookieServer>,
    flows: Vec<CookieFlow>,
    /// Pairs of data centres that cannot reach each other.
    cuts: HashSet<(usize, usize)>,
    /// Share of the datagrams between hosts that are lost, 0 to 1.
    loss: f64,
    tally: FleetTally,
}

impl std::fmt::Debug for FleetWorld {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FleetWorld").field("now", &self.now).finish_non_exhaustive()
    }
}

impl FleetWorld {
    /// Creates a world without hosts.
    fn empty(scenario: Scenario, seed: u64) -> Self {
        Self {
            now: EPOCH,
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: EventQueue::default(),
            loss: scenario.network.loss_ratio,
            scenario,
            manifest: Manifest::default(),
            hosts: Vec::new(),
            store: RegistryStore::default(),
            servers: Vec::new(),
            flows: Vec::new(),
            cuts: HashSet::new(),
            tally: FleetTally::default(),
        }
    }

    /// Creates the world of a scenario.
    #[must_use]
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut world = Self::empty(scenario.clone(), seed);
        world.set_up();
        world
    }

    /// Runs the scenario to its end and returns its figures.
    #[must_use]
    pub fn run_scenario(mut self) -> FigureList {
        self.run(self.scenario.duration);
        self.conclude()
    }

    /// Lets time pass.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(scheduled) = self.queue.pop_until(end) {
            self.now = scheduled.at;
            self.dispatch(scheduled.event);
        }
        self.now = end;
    }

    fn later(&mut self, delay: Duration, event: FleetEvent) {
        self.queue.push(self.now + delay, event);
    }

    fn dispatch(&mut self, event: FleetEvent) {
        let Some(event) = self.hold_back(event) else { return };
        match event {
            FleetEvent::Tick { host, .. } => self.tick_host(host),
            FleetEvent::Look { host, .. } => self.look(host),
            FleetEvent::Input { host, input, .. } => self.feed(host, *input),
            FleetEvent::Call { host, run, call, kind } => self.call_store(host, run, call, kind),
            FleetEvent::Answer { host, call, input, .. } => {
                // An answer to a call that was given up is not read any more.
                if self.hosts[host].call == call {
                    self.feed(host, *input);
                }
            }
            FleetEvent::WatchEnds { host, run, call } => self.end_watch(host, run, call),
            FleetEvent::Ask { host, run, to, after } => self.answer_peer(host, run, to, after),
            FleetEvent::Packet { host, flow, packet, .. } => self.route(host, flow, &packet),
            FleetEvent::Arrive { address, flow, packet } => self.arrive(address, flow, &packet),
            FleetEvent::Served { server, run, flow } => self.finish_service(server, run, flow),
            FleetEvent::Caller { flow, word } => self.hear(flow, word),
            FleetEvent::Resend { flow, sent } => self.resend(flow, sent),
            FleetEvent::NextRequest { flow } => self.next_request(flow),
            FleetEvent::OpenRequest => self.open_request(),
            FleetEvent::Action(index) => self.act(index),
            FleetEvent::ComeUp { service, address } => self.add_server_at(service, address),
            FleetEvent::End { host, .. } => self.kill(host),
            FleetEvent::Start { host } => self.start(host, Duration::ZERO),
            FleetEvent::Heal { data_centre } => self.heal(data_centre),
            FleetEvent::StoreWorks => self.store_works(),
            FleetEvent::WarmedUp => {
                self.tally.warm = (self.store.calls, self.tally.control_bytes);
            }
            FleetEvent::Poll => self.poll_hosts(),
        }
    }
}
