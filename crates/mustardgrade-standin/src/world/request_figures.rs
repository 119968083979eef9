//! Figures of requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::World;
use super::figures::FigureList;
use super::flows::OPENING_STARTS;
use super::requests::{FinalWord, RequestBook, VirtualRequest};

impl World {
    /// Adds the figures of requests.
    pub(super) fn conclude_requests(&self, list: &mut FigureList) {
        if !self.has_requests() {
            return;
        }
        let book = &self.book;
        let count = |word: FinalWord| {
            book.requests.iter().filter(|request| request.word == Some(word)).count() as f64
        };
        let once = || book.requests.iter().filter(|request| request.is_once());
        let repeated = once().filter(|request| request.runs > 1).count();
        let false_refusals = self.false_refusals();
        for request in &false_refusals {
            log::debug!(request; "refused as not run although it ran");
        }
        list.add("requests", book.requests.len() as f64, "requests");
        list.add("answered", count(FinalWord::Answered), "requests");
        list.add("not_run", count(FinalWord::NotRun), "requests");
        list.add("busy", count(FinalWord::Busy), "requests");
        list.add("unknown", count(FinalWord::Unknown), "requests");
        let excess = count(FinalWord::Unknown) - book.killed_in_flight as f64;
        list.add("unknown_beyond_keeper", excess.max(0.0), "requests");
        list.add("invalid", count(FinalWord::Invalid), "requests");
        list.add("silent", count(FinalWord::Silent), "requests");
        list.add("repeated_once", repeated as f64, "requests");
        list.add("false_not_run", false_refusals.len() as f64, "requests");
        list.add("crossed_answers", book.crossed as f64, "answers");
        let servers = book.servers.values();
        let excess: u64 = servers.clone().map(super::servers::VirtualServer::start_excess).sum();
        let shed: u64 = servers.map(super::servers::VirtualServer::shed).sum();
        list.add("over_cold", excess as f64, "requests");
        list.add("shed", shed as f64, "requests");
        list.add("goodput", self.goodput(), "of capacity");
        list.add("busy_imbalance", self.busy_imbalance(), "max/mean");
        self.add_delays(list);
    }

    /// Returns the service time of answered requests over what the slots could give.
    fn goodput(&self) -> f64 {
        let mean = self.scenario.request_load.mean_service_time.as_secs_f64();
        let from = OPENING_STARTS.max(self.scenario.warm_up_duration);
        let patience = self.scenario.request_load.caller_timeout;
        let until = self.scenario.duration.saturating_sub(patience + Duration::from_secs(2));
        let in_span =
            |request: &&VirtualRequest| request.started() >= from && request.started() < until;
        let answered = self.book.requests.iter().filter(in_span);
        let answered = answered.filter(|r| r.word == Some(FinalWord::Answered)).count() as f64;
        let slots: usize = self.rules.upstreams.iter().map(|rule| usize::from(rule.slots)).sum();
        answered * mean / (slots as f64 * until.saturating_sub(from).as_secs_f64())
    }

    fn busy_imbalance(&self) -> f64 {
        let times: Vec<f64> =
            self.book.servers.values().map(|server| server.busy_time().as_secs_f64()).collect();
        let most = times.iter().copied().fold(0.0, f64::max);
        most * times.len() as f64 / times.iter().sum::<f64>().max(f64::EPSILON)
    }

    fn add_delays(&self, list: &mut FigureList) {
        let late = |request: &&VirtualRequest| request.started() >= self.scenario.warm_up_duration;
        let requests = || self.book.requests.iter().filter(late);
        let waits: Vec<Duration> = requests().filter_map(RequestBook::wait_of).collect();
        let ideal = self.ideal_waits();
        let p99 = percentile(waits, 0.99);
        let ideal_p99 = percentile(ideal, 0.99);
        list.add("wait_p99", p99.as_secs_f64() * 1_000.0, "ms");
        list.add("ideal_wait_p99", ideal_p99.as_secs_f64() * 1_000.0, "ms");
        let once: Vec<Duration> =
            requests().filter(|r| r.is_once()).filter_map(RequestBook::added_delay_of).collect();
        let other: Vec<Duration> =
            requests().filter(|r| !r.is_once()).filter_map(RequestBook::added_delay_of).collect();
        list.add("once_added_p50", percentile(once, 0.5).as_secs_f64() * 1_000.0, "ms");
        list.add("idempotent_added_p50", percentile(other, 0.5).as_secs_f64() * 1_000.0, "ms");
    }

    /// Returns the waits of the same arrivals at one queue before all slots, with mean service.
    fn ideal_waits(&self) -> Vec<Duration> {
        let slots: usize = self.rules.upstreams.iter().map(|rule| usize::from(rule.slots)).sum();
        let mut free: BinaryHeap<Reverse<Duration>> =
            (0..slots).map(|_| Reverse(Duration::ZERO)).collect();
        let service = self.scenario.request_load.mean_service_time;
        let mut waits = Vec::new();
        for request in &self.book.requests {
            let Some(Reverse(at)) = free.pop() else { break };
            let begin = at.max(request.started());
            free.push(Reverse(begin + service));
            if request.started() >= self.scenario.warm_up_duration {
                waits.push(begin - request.started());
            }
        }
        waits
    }
}

fn percentile(mut values: Vec<Duration>, share: f64) -> Duration {
    values.sort_unstable();
    let index = (values.len() as f64 * share) as usize;
    values.get(index.min(values.len().saturating_sub(1))).copied().unwrap_or_default()
}
