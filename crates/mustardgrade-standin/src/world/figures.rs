//! Counters and figures of a simulation run.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use mustardgrade_core::flow::DropCause;
use mustardgrade_core::identity::{DataCentreId, UpstreamId};
use mustardgrade_core::membership::HostState;
use mustardgrade_core::rule::ServiceClass;
use serde::{Deserialize, Serialize};

use super::Simulation;
use super::event::SimulationEvent;
use super::flows::FlowState;

/// Time between two samples of control traffic and table sizes.
pub(super) const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// `FlowBreakCause` is the reason why a flow counts as broken.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FlowBreakCause {
    /// A packet was delivered to another upstream than the first one, or to an unknown one.
    #[display("wrong_upstream")]
    WrongUpstream,
    /// A host reset the flow although the rules had not taken its upstream out of use.
    #[display("reset")]
    Reset,
    /// No packet was delivered within the delivery timeout.
    #[display("undelivered")]
    Undelivered,
}

/// `RunCounters` holds the counts and extreme values that figures are computed from.
#[derive(Debug, Default)]
pub(super) struct RunCounters {
    pub(super) flows_opened: u64,
    pub(super) packets_sent: u64,
    pub(super) packet_hops: u64,
    pub(super) retransmissions: u64,
    /// Flows that were reset because the rules took their upstream or its data centre out of use.
    pub(super) flows_given_up: u64,
    pub(super) broken_flows: BTreeMap<FlowBreakCause, u64>,
    pub(super) dropped_packets: BTreeMap<DropCause, u64>,
    pub(super) draining_since: BTreeMap<UpstreamId, Duration>,
    /// New flows placed on an upstream after the grace period of the rule that drains it.
    pub(super) new_flows_on_draining: u64,
    pub(super) out_of_service_since: BTreeMap<DataCentreId, Duration>,
    /// Packets sent to a data centre after the grace period of the rule that takes it out of
    /// service.
    pub(super) packets_after_out_of_service: u64,
    /// Time at which the store accepted each revision of the rules.
    pub(super) rules_accepted_at: BTreeMap<u64, Duration>,
    /// Maximum time from the acceptance of a revision until a host has put it in force.
    pub(super) max_rule_delay: Duration,
    /// Number of times that a host was seen with an older revision than before.
    pub(super) rule_reversions: u64,
    pub(super) placement_generations: u64,
    /// Scripted events that name something unknown or are not supported by this simulation.
    pub(super) unknown_names: u64,
    /// Maximum time for which a host has been seen in the state `Joining` since its start.
    pub(super) max_start_duration: Duration,
    /// Control bytes sent by all hosts up to the first sample after the warm-up, and its time.
    control_bytes_at_warm_up: Option<(u64, Duration)>,
    /// Maximum control traffic between two samples, in bytes per second per live host.
    max_control_byte_rate: f64,
    control_bytes_at_last_sample: u64,
    max_records_per_host: usize,
    max_exceptions_per_host: usize,
}

/// `Figure` is one measured value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// Name that scenario bounds refer to.
    pub name: String,
    /// Value, in `unit`.
    pub value: f64,
    /// Unit of the value; empty if it has none.
    pub unit: String,
}

/// `FigureList` holds the figures of a run, in the order in which they are printed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FigureList {
    /// Figures in the order in which they were added.
    pub figures: Vec<Figure>,
}

impl FigureList {
    /// Appends a figure.
    pub fn add(&mut self, name: &str, value: f64, unit: &str) {
        let figure = Figure { name: name.to_owned(), value, unit: unit.to_owned() };
        self.figures.push(figure);
    }

    /// Returns the value of the figure with this name, if there is one.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<f64> {
        self.figures.iter().find(|figure| figure.name == name).map(|figure| figure.value)
    }
}

impl Simulation {
    /// Updates the rule delays, and counts a reversion if the host has an older revision than
    /// before.
    pub(super) fn record_rules_revision(&mut self, host: usize) {
        let revision = self.hosts[host].controller.rules().map_or(0, |rules| rules.revision);
        let previous_highest = self.hosts[host].highest_rules_revision;
        if revision < previous_highest {
            self.counters.rule_reversions += 1;
        }
        if revision <= previous_highest {
            return;
        }
        self.hosts[host].highest_rules_revision = revision;
        let started_at = self.hosts[host].started_at;
        for (_, accepted_at) in
            self.counters.rules_accepted_at.range(previous_highest + 1..=revision)
        {
            // A host that started after the acceptance is measured from its start.
            let elapsed = self.now.saturating_sub((*accepted_at).max(started_at));
            self.counters.max_rule_delay = self.counters.max_rule_delay.max(elapsed);
        }
    }

    pub(super) fn take_sample(&mut self) {
        self.event_queue.push(self.now + SAMPLE_INTERVAL, SimulationEvent::TakeSample);
        let total_bytes: u64 = self.hosts.iter().map(|host| host.control_bytes_sent).sum();
        let live_hosts = self.hosts.iter().filter(|host| host.is_alive).count().max(1);
        let is_warm = self.now >= self.scenario.warm_up_duration;
        if is_warm && self.counters.control_bytes_at_warm_up.is_none() {
            self.counters.control_bytes_at_warm_up = Some((total_bytes, self.now));
        }
        if is_warm {
            let byte_rate = (total_bytes - self.counters.control_bytes_at_last_sample) as f64
                / live_hosts as f64;
            self.counters.max_control_byte_rate =
                self.counters.max_control_byte_rate.max(byte_rate);
        }
        self.counters.control_bytes_at_last_sample = total_bytes;
        for host in self.hosts.iter().filter(|host| host.is_alive) {
            self.counters.max_records_per_host =
                self.counters.max_records_per_host.max(host.flow_router.records().len());
            let exception_count = host.flow_router.exceptions().len();
            self.counters.max_exceptions_per_host =
                self.counters.max_exceptions_per_host.max(exception_count);
        }
        self.record_start_durations();
    }

    /// Records for how long hosts that are not paused have been joining.
    fn record_start_durations(&mut self) {
        for host in self.hosts.iter().filter(|host| host.is_alive && !host.is_leaving) {
            if host.controller.state() == HostState::Joining && host.paused_until.is_none() {
                let elapsed = self.now - host.started_at;
                self.counters.max_start_duration = self.counters.max_start_duration.max(elapsed);
            }
        }
    }

    /// Computes the figures of the run.
    pub(super) fn into_figures(self) -> FigureList {
        let mut figures = FigureList::default();
        let counters = &self.counters;
        let broken_flow_count: u64 = counters.broken_flows.values().sum();
        figures.add("flows_opened", counters.flows_opened as f64, "flows");
        figures.add("broken_flows", broken_flow_count as f64, "flows");
        for (cause, count) in &counters.broken_flows {
            figures.add(&format!("broken_{cause}"), *count as f64, "flows");
        }
        figures.add("given_up_flows", counters.flows_given_up as f64, "flows");
        figures.add("stuck_flows", self.count_stuck_flows() as f64, "flows");
        figures.add("new_on_draining", counters.new_flows_on_draining as f64, "flows");
        figures.add("packets_after_out", counters.packets_after_out_of_service as f64, "packets");
        figures.add("imbalance", self.flow_imbalance(), "max/mean");
        figures.add("packets", counters.packets_sent as f64, "packets");
        figures.add(
            "hops_per_packet",
            counters.packet_hops as f64 / counters.packets_sent.max(1) as f64,
            "hops",
        );
        figures.add("retransmissions", counters.retransmissions as f64, "packets");
        for (cause, count) in &counters.dropped_packets {
            figures.add(&format!("dropped_{cause}"), *count as f64, "packets");
        }
        figures.add("control_bytes", self.mean_control_byte_rate(), "B/s/host");
        figures.add("control_bytes_peak", counters.max_control_byte_rate, "B/s/host");
        figures.add("rule_in_force", counters.max_rule_delay.as_secs_f64(), "s");
        figures.add("reverted_rules", counters.rule_reversions as f64, "hosts");
        figures.add("host_start", counters.max_start_duration.as_secs_f64(), "s");
        figures.add("generations", counters.placement_generations as f64, "");
        figures.add("store_calls", self.store_call_rate(), "1/s");
        figures.add("records", counters.max_records_per_host as f64, "records/host");
        figures.add("exceptions", counters.max_exceptions_per_host as f64, "records/host");
        figures.add("guarded_buckets", self.count_guarded_buckets() as f64, "buckets");
        self.add_request_figures(&mut figures);
        figures.add("unknown_names", counters.unknown_names as f64, "events");
        figures
    }

    /// Returns the number of persistent flows that have not reached an upstream.
    fn count_stuck_flows(&self) -> usize {
        let is_stuck =
            |flow: &&super::SimulatedFlow| flow.is_persistent && flow.state == FlowState::Opening;
        self.flows.iter().filter(is_stuck).count()
    }

    /// Returns the mean control traffic since the warm-up, in bytes per second per live host.
    fn mean_control_byte_rate(&self) -> f64 {
        let Some((start_bytes, start_time)) = self.counters.control_bytes_at_warm_up else {
            return 0.0;
        };
        let total_bytes: u64 = self.hosts.iter().map(|host| host.control_bytes_sent).sum();
        let live_hosts = self.hosts.iter().filter(|host| host.is_alive).count().max(1);
        let seconds = self.now.saturating_sub(start_time).as_secs_f64().max(1.0);
        (total_bytes - start_bytes) as f64 / live_hosts as f64 / seconds
    }

    fn store_call_rate(&self) -> f64 {
        self.store.call_count as f64 / self.now.as_secs_f64().max(1.0)
    }

    fn count_guarded_buckets(&self) -> usize {
        let Some(placement) = &self.store.contents.placement else { return 0 };
        let buckets = placement.tables.iter().flat_map(|table| &table.buckets);
        buckets.filter(|bucket| bucket.phase.is_guarded()).count()
    }

    /// Returns the maximum, over the flow services, of the ratio of the open flows on the busiest
    /// upstream to the mean over the upstreams that accept new flows.
    fn flow_imbalance(&self) -> f64 {
        let mut flow_counts: BTreeMap<UpstreamId, usize> = BTreeMap::new();
        for flow in self.flows.iter().filter(|flow| flow.state == FlowState::Open) {
            if let Some(upstream) = flow.upstream {
                *flow_counts.entry(upstream).or_default() += 1;
            }
        }
        let flow_services =
            self.rules.services.iter().filter(|service| service.class == ServiceClass::Flow);
        flow_services
            .map(|service| {
                let serving_counts: Vec<usize> = self
                    .rules
                    .upstreams_of(&service.name)
                    .filter(|rule| self.rules.accepts_new_work(rule))
                    .map(|rule| flow_counts.get(&rule.id()).copied().unwrap_or_default())
                    .collect();
                let total_count: usize = serving_counts.iter().sum();
                let max_count = serving_counts.iter().max().copied().unwrap_or_default();
                max_count as f64 * serving_counts.len() as f64 / total_count.max(1) as f64
            })
            .fold(0.0, f64::max)
    }
}
