//! Decision cores driven in virtual time.
//!
//! A world holds the cores of many hosts and small fakes of what lies between them: messages with
//! delay, loss, copies and cuts, a store, and flows that know which upstream they belong to. The
//! same scenario and seed give the same figures to the byte.

mod actions;
mod control;
mod event;
mod figures;
mod flows;
mod hosts;
mod network;
mod request_figures;
mod requests;
mod servers;
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

use event::WorldEvent;
use figures::Tally;
use flows::VirtualFlow;
use hosts::VirtualHost;
use network::VirtualNetwork;
use requests::RequestBook;
use store::VirtualStore;

pub use figures::{Figure, FigureList};

/// `World` runs one scenario with one seed.
pub struct World {
    scenario: Scenario,
    now: Duration,
    random: ChaCha8Rng,
    queue: EventQueue<WorldEvent>,
    hosts: Vec<VirtualHost>,
    host_numbers: BTreeMap<String, usize>,
    store: VirtualStore,
    network: VirtualNetwork,
    rules: RuleSet,
    upstreams: BTreeMap<UpstreamId, usize>,
    flows: Vec<VirtualFlow>,
    book: RequestBook,
    tally: Tally,
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("World").field("now", &self.now).finish_non_exhaustive()
    }
}

impl World {
    /// Creates the world of a scenario.
    #[must_use]
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut world = Self {
            scenario: scenario.clone(),
            now: Duration::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: EventQueue::default(),
            hosts: Vec::new(),
            host_numbers: BTreeMap::new(),
            store: VirtualStore::default(),
            network: VirtualNetwork::default(),
            rules: RuleSet::default(),
            upstreams: BTreeMap::new(),
            flows: Vec::new(),
            book: RequestBook::default(),
            tally: Tally::default(),
        };
        world.set_up();
        world
    }

    /// Runs the scenario to its end and returns its figures.
    #[must_use]
    pub fn run(mut self) -> FigureList {
        let end = self.scenario.duration;
        while let Some(scheduled) = self.queue.pop_until(end) {
            self.now = scheduled.at;
            if let Some(event) = self.hold_back(scheduled.event) {
                self.dispatch(event);
            }
        }
        self.now = end;
        self.conclude()
    }

    fn set_up(&mut self) {
        self.build_rules();
        let rules = Arc::new(self.rules.clone());
        self.store.accept_rules(rules);
        let centres = self.scenario.data_centres.clone();
        for centre in &centres {
            for number in 1..=centre.host_count {
                self.start_host(&format!("{}-{number}", centre.name), &centre.name);
            }
        }
        self.start_requests();
        self.open_held_flows();
        if self.scenario.flow_load.new_flows_per_sec > 0 {
            self.queue.push(flows::OPENING_STARTS, WorldEvent::OpenFlows);
        }
        for (index, event) in self.scenario.events.iter().enumerate() {
            self.queue.push(event.at, WorldEvent::Action(index));
        }
        self.queue.push(figures::SAMPLE_INTERVAL, WorldEvent::Sample);
    }

    fn dispatch(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick { host, run } => self.tick_host(host, run),
            WorldEvent::Control { host, run, input } => self.deliver_control(host, run, *input),
            WorldEvent::Records { host, run, records } => {
                self.deliver_records(host, run, *records);
            }
            WorldEvent::Notes { host, run, notes } => self.deliver_notes(host, run, &notes),
            WorldEvent::FlushNotes { host, run } => self.flush_notes(host, run),
            WorldEvent::StoreRead { host, run } => self.deliver_store(host, run),
            WorldEvent::StoreWrite { host, run, book } => self.write_placement(host, run, book),
            WorldEvent::ListRead { host, run } => self.deliver_list(host, run),
            WorldEvent::Send { flow } => self.send_packet(flow),
            WorldEvent::Hop { host, run, hop } => self.deliver_hop(host, run, *hop),
            WorldEvent::Close { flow } => self.close_flow(flow),
            WorldEvent::OpenFlows => self.open_new_flows(),
            WorldEvent::Action(index) => self.act(index),
            WorldEvent::Wake { host } => self.wake_host(host),
            WorldEvent::Heal { data_centre } => self.network.heal(data_centre),
            WorldEvent::StoreWorks => self.store_works(),
            WorldEvent::FabricForgets { host } => self.hosts[host].in_fabric = false,
            WorldEvent::Sample => self.sample(),
            WorldEvent::StartRequest => self.start_request(),
            WorldEvent::ResendRequest { request, message } => {
                self.resend_request(request, message);
            }
            WorldEvent::RequestOverdue { request } => self.end_request(request),
            WorldEvent::RequestTick { host, run } => self.tick_requests(host, run),
            WorldEvent::Request { host, run, input } => self.deliver_request(host, run, *input),
            WorldEvent::Reply { request, message, reply } => {
                self.take_reply(request, message, *reply);
            }
            WorldEvent::Serve { upstream, exchange, host, content } => {
                self.serve_request(upstream, exchange, host, content);
            }
            WorldEvent::Served { upstream, exchange, host, content } => {
                self.finish_service(upstream, exchange, host, content);
            }
        }
    }
}
