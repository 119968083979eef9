//! Figures of the request load.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::Simulation;
use super::figures::FigureList;
use super::flows::LOAD_START_TIME;
use super::requests::{CallerOutcome, RequestTracker, SimulatedRequest};

impl Simulation {
    /// Appends the figures of the request load, unless the scenario has none.
    pub(super) fn add_request_figures(&self, figures: &mut FigureList) {
        if !self.has_requests() {
            return;
        }
        let tracker = &self.request_tracker;
        let count = |outcome: CallerOutcome| {
            tracker.requests.iter().filter(|request| request.outcome == Some(outcome)).count()
                as f64
        };
        let non_idempotent =
            || tracker.requests.iter().filter(|request| request.is_non_idempotent());
        let repeated_count = non_idempotent().filter(|request| request.execution_count > 1).count();
        let false_refusals = self.false_refusals();
        for request in &false_refusals {
            log::debug!(request; "request executed although reported as not run");
        }
        figures.add("requests", tracker.requests.len() as f64, "requests");
        figures.add("answered", count(CallerOutcome::Answered), "requests");
        figures.add("not_run", count(CallerOutcome::NotRun), "requests");
        figures.add("busy", count(CallerOutcome::Busy), "requests");
        figures.add("unknown", count(CallerOutcome::Unknown), "requests");
        let unknown_excess =
            count(CallerOutcome::Unknown) - tracker.in_flight_on_killed_hosts as f64;
        figures.add("unknown_beyond_keeper", unknown_excess.max(0.0), "requests");
        figures.add("invalid", count(CallerOutcome::Invalid), "requests");
        figures.add("silent", count(CallerOutcome::NoReply), "requests");
        figures.add("repeated_once", repeated_count as f64, "requests");
        figures.add("false_not_run", false_refusals.len() as f64, "requests");
        figures.add("crossed_answers", tracker.mismatched_answers as f64, "answers");
        let request_upstreams = tracker.request_upstreams.values();
        let overloads: u64 = request_upstreams
            .clone()
            .map(super::request_upstreams::SimulatedUpstream::cold_start_overloads)
            .sum();
        let shed: u64 =
            request_upstreams.map(super::request_upstreams::SimulatedUpstream::shed_count).sum();
        figures.add("over_cold", overloads as f64, "requests");
        figures.add("shed", shed as f64, "requests");
        figures.add("goodput", self.goodput(), "of capacity");
        figures.add("busy_imbalance", self.busy_imbalance(), "max/mean");
        self.add_latency_figures(figures);
    }

    /// Returns the share of the capacity of all slots that answered requests used, each counted
    /// with the mean service time.
    ///
    /// Requests before the warm-up, and those near the end that may lack time for an answer, are
    /// not counted.
    fn goodput(&self) -> f64 {
        let mean_service_time = self.scenario.request_load.mean_service_time.as_secs_f64();
        let start = LOAD_START_TIME.max(self.scenario.warm_up_duration);
        let caller_timeout = self.scenario.request_load.caller_timeout;
        let end = self.scenario.duration.saturating_sub(caller_timeout + Duration::from_secs(2));
        let is_counted = |request: &&SimulatedRequest| {
            request.started_at() >= start && request.started_at() < end
        };
        let answered = self.request_tracker.requests.iter().filter(is_counted);
        let answered =
            answered.filter(|r| r.outcome == Some(CallerOutcome::Answered)).count() as f64;
        let slot_count: usize =
            self.rules.upstreams.iter().map(|rule| usize::from(rule.slots)).sum();
        answered * mean_service_time / (slot_count as f64 * end.saturating_sub(start).as_secs_f64())
    }

    /// Returns the ratio of the maximum to the mean busy time of the upstreams.
    fn busy_imbalance(&self) -> f64 {
        let busy_times: Vec<f64> = self
            .request_tracker
            .request_upstreams
            .values()
            .map(|upstream| upstream.busy_time().as_secs_f64())
            .collect();
        let max_time = busy_times.iter().copied().fold(0.0, f64::max);
        max_time * busy_times.len() as f64 / busy_times.iter().sum::<f64>().max(f64::EPSILON)
    }

    /// Appends the figures of queueing delay and added latency of requests after the warm-up.
    fn add_latency_figures(&self, figures: &mut FigureList) {
        let is_after_warm_up =
            |request: &&SimulatedRequest| request.started_at() >= self.scenario.warm_up_duration;
        let requests = || self.request_tracker.requests.iter().filter(is_after_warm_up);
        let waits: Vec<Duration> = requests().filter_map(RequestTracker::queueing_delay).collect();
        let ideal_waits = self.ideal_waits();
        let wait_p99 = percentile(waits, 0.99);
        let ideal_p99 = percentile(ideal_waits, 0.99);
        figures.add("wait_p99", wait_p99.as_secs_f64() * 1_000.0, "ms");
        figures.add("ideal_wait_p99", ideal_p99.as_secs_f64() * 1_000.0, "ms");
        let non_idempotent: Vec<Duration> = requests()
            .filter(|r| r.is_non_idempotent())
            .filter_map(RequestTracker::added_latency)
            .collect();
        let idempotent: Vec<Duration> = requests()
            .filter(|r| !r.is_non_idempotent())
            .filter_map(RequestTracker::added_latency)
            .collect();
        figures.add(
            "once_added_p50",
            percentile(non_idempotent, 0.5).as_secs_f64() * 1_000.0,
            "ms",
        );
        figures.add(
            "idempotent_added_p50",
            percentile(idempotent, 0.5).as_secs_f64() * 1_000.0,
            "ms",
        );
    }

    /// Returns the queueing delays that the same arrivals would have in one shared queue for all
    /// slots, if each request took the mean service time.
    fn ideal_waits(&self) -> Vec<Duration> {
        let slot_count: usize =
            self.rules.upstreams.iter().map(|rule| usize::from(rule.slots)).sum();
        let mut slots_free_at: BinaryHeap<Reverse<Duration>> =
            (0..slot_count).map(|_| Reverse(Duration::ZERO)).collect();
        let service_time = self.scenario.request_load.mean_service_time;
        let mut waits = Vec::new();
        for request in &self.request_tracker.requests {
            let Some(Reverse(free_at)) = slots_free_at.pop() else { break };
            let service_start = free_at.max(request.started_at());
            slots_free_at.push(Reverse(service_start + service_time));
            if request.started_at() >= self.scenario.warm_up_duration {
                waits.push(service_start - request.started_at());
            }
        }
        waits
    }
}

fn percentile(mut values: Vec<Duration>, quantile: f64) -> Duration {
    values.sort_unstable();
    let index = (values.len() as f64 * quantile) as usize;
    values.get(index.min(values.len().saturating_sub(1))).copied().unwrap_or_default()
}
