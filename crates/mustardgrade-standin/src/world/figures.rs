//! The figures of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use mustardgrade_core::flow::DropCause;
use mustardgrade_core::identity::{DataCentreId, UpstreamId};
use mustardgrade_core::membership::HostState;
use mustardgrade_core::rule::ServiceClass;
use serde::{Deserialize, Serialize};

use super::World;
use super::event::WorldEvent;
use super::flows::FlowState;

/// Time between two samples.
pub(super) const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// `BrokenCause` says how a flow broke.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum BrokenCause {
    #[display("wrong_upstream")]
    WrongUpstream,
    #[display("reset")]
    Reset,
    #[display("undelivered")]
    Undelivered,
}

/// `Tally` is what a world counts.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) opened: u64,
    pub(super) packets: u64,
    pub(super) hops: u64,
    pub(super) retransmissions: u64,
    pub(super) given_up: u64,
    pub(super) broken: BTreeMap<BrokenCause, u64>,
    pub(super) drops: BTreeMap<DropCause, u64>,
    pub(super) draining_since: BTreeMap<UpstreamId, Duration>,
    pub(super) new_on_draining: u64,
    pub(super) out_since: BTreeMap<DataCentreId, Duration>,
    pub(super) packets_after_out: u64,
    pub(super) accepted: BTreeMap<u64, Duration>,
    pub(super) slowest_rule: Duration,
    pub(super) reverted: u64,
    pub(super) generations: u64,
    pub(super) unknown_names: u64,
    pub(super) slowest_start: Duration,
    steady_bytes: Option<(u64, Duration)>,
    busiest_second: f64,
    last_bytes: u64,
    most_records: usize,
    most_exceptions: usize,
}

/// `Figure` is one measured value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: f64,
    /// Its unit.
    pub unit: String,
}

/// `FigureList` holds the figures of a run in a fixed order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FigureList {
    /// The figures.
    pub figures: Vec<Figure>,
}

impl FigureList {
    /// Adds a figure.
    pub fn add(&mut self, name: &str, value: f64, unit: &str) {
        let figure = Figure { name: name.to_owned(), value, unit: unit.to_owned() };
        self.figures.push(figure);
    }

    /// Returns the value of a figure.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<f64> {
        self.figures.iter().find(|figure| figure.name == name).map(|figure| figure.value)
    }
}

impl World {
    /// Notes when a host puts a revision in force.
    pub(super) fn note_revision(&mut self, host: usize) {
        let revision = self.hosts[host].controller.rules().map_or(0, |rules| rules.revision);
        let highest = self.hosts[host].highest_revision;
        if revision < highest {
            self.tally.reverted += 1;
        }
        if revision <= highest {
            return;
        }
        self.hosts[host].highest_revision = revision;
        let started = self.hosts[host].started;
        for (_, accepted) in self.tally.accepted.range(highest + 1..=revision) {
            // A host that started later had no chance to be faster.
            let took = self.now.saturating_sub((*accepted).max(started));
            self.tally.slowest_rule = self.tally.slowest_rule.max(took);
        }
    }

    pub(super) fn sample(&mut self) {
        self.queue.push(self.now + SAMPLE_INTERVAL, WorldEvent::Sample);
        let bytes: u64 = self.hosts.iter().map(|host| host.control_bytes).sum();
        let live = self.hosts.iter().filter(|host| host.alive).count().max(1);
        let warm = self.now >= self.scenario.warm_up_duration;
        if warm && self.tally.steady_bytes.is_none() {
            self.tally.steady_bytes = Some((bytes, self.now));
        }
        if warm {
            let second = (bytes - self.tally.last_bytes) as f64 / live as f64;
            self.tally.busiest_second = self.tally.busiest_second.max(second);
        }
        self.tally.last_bytes = bytes;
        for host in self.hosts.iter().filter(|host| host.alive) {
            self.tally.most_records = self.tally.most_records.max(host.router.records().len());
            let exceptions = host.router.exceptions().len();
            self.tally.most_exceptions = self.tally.most_exceptions.max(exceptions);
        }
        self.note_starts();
    }

    fn note_starts(&mut self) {
        for host in self.hosts.iter().filter(|host| host.alive && !host.leaving) {
            if host.controller.state() == HostState::Joining && host.paused_until.is_none() {
                let took = self.now - host.started;
                self.tally.slowest_start = self.tally.slowest_start.max(took);
            }
        }
    }

    /// Returns the figures of the run.
    pub(super) fn conclude(self) -> FigureList {
        let mut list = FigureList::default();
        let tally = &self.tally;
        let broken: u64 = tally.broken.values().sum();
        list.add("flows_opened", tally.opened as f64, "flows");
        list.add("broken_flows", broken as f64, "flows");
        for (cause, count) in &tally.broken {
            list.add(&format!("broken_{cause}"), *count as f64, "flows");
        }
        list.add("given_up_flows", tally.given_up as f64, "flows");
        list.add("stuck_flows", self.count_stuck() as f64, "flows");
        list.add("new_on_draining", tally.new_on_draining as f64, "flows");
        list.add("packets_after_out", tally.packets_after_out as f64, "packets");
        list.add("imbalance", self.imbalance(), "max/mean");
        list.add("packets", tally.packets as f64, "packets");
        list.add("hops_per_packet", tally.hops as f64 / tally.packets.max(1) as f64, "hops");
        list.add("retransmissions", tally.retransmissions as f64, "packets");
        for (cause, count) in &tally.drops {
            list.add(&format!("dropped_{cause}"), *count as f64, "packets");
        }
        list.add("control_bytes", self.mean_control_bytes(), "B/s/host");
        list.add("control_bytes_peak", tally.busiest_second, "B/s/host");
        list.add("rule_in_force", tally.slowest_rule.as_secs_f64(), "s");
        list.add("reverted_rules", tally.reverted as f64, "hosts");
        list.add("host_start", tally.slowest_start.as_secs_f64(), "s");
        list.add("generations", tally.generations as f64, "");
        list.add("store_calls", self.store_call_rate(), "1/s");
        list.add("records", tally.most_records as f64, "records/host");
        list.add("exceptions", tally.most_exceptions as f64, "records/host");
        list.add("guarded_buckets", self.guarded_buckets() as f64, "buckets");
        self.conclude_requests(&mut list);
        list.add("unknown_names", tally.unknown_names as f64, "events");
        list
    }

    fn count_stuck(&self) -> usize {
        let opening = |flow: &&super::VirtualFlow| flow.held && flow.state == FlowState::Opening;
        self.flows.iter().filter(opening).count()
    }

    fn mean_control_bytes(&self) -> f64 {
        let Some((start, since)) = self.tally.steady_bytes else { return 0.0 };
        let bytes: u64 = self.hosts.iter().map(|host| host.control_bytes).sum();
        let live = self.hosts.iter().filter(|host| host.alive).count().max(1);
        let span = self.now.saturating_sub(since).as_secs_f64().max(1.0);
        (bytes - start) as f64 / live as f64 / span
    }

    fn store_call_rate(&self) -> f64 {
        self.store.calls as f64 / self.now.as_secs_f64().max(1.0)
    }

    fn guarded_buckets(&self) -> usize {
        let Some(placement) = &self.store.placement else { return 0 };
        let slots = placement.tables.iter().flat_map(|table| &table.buckets);
        slots.filter(|slot| slot.phase.is_guarded()).count()
    }

    /// Returns the largest imbalance of open flows over the serving upstreams of a service.
    fn imbalance(&self) -> f64 {
        let mut counts: BTreeMap<UpstreamId, usize> = BTreeMap::new();
        for flow in self.flows.iter().filter(|flow| flow.state == FlowState::Open) {
            if let Some(upstream) = flow.upstream {
                *counts.entry(upstream).or_default() += 1;
            }
        }
        let flow_services =
            self.rules.services.iter().filter(|service| service.class == ServiceClass::Flow);
        flow_services
            .map(|service| {
                let serving: Vec<usize> = self
                    .rules
                    .upstreams_of(&service.name)
                    .filter(|rule| self.rules.takes_new_work(rule))
                    .map(|rule| counts.get(&rule.id()).copied().unwrap_or_default())
                    .collect();
                let total: usize = serving.iter().sum();
                let most = serving.iter().max().copied().unwrap_or_default();
                most as f64 * serving.len() as f64 / total.max(1) as f64
            })
            .fold(0.0, f64::max)
    }
}
