//! Figures of the time from power-on of all hosts to usual service.

use std::time::Duration;

use super::FleetSimulation;
use super::measured_requests::MeasuredRequest;
use crate::world::FigureList;

/// Time within which a request has to be answered to count as in time; the latency objective of the
/// routes.
pub(super) const LATENCY_OBJECTIVE: Duration = Duration::from_millis(500);

/// Length of the windows in which requests in time are counted.
const COUNT_WINDOW: Duration = Duration::from_millis(500);

/// Interval between the starts of these windows.
const COUNT_STEP: Duration = Duration::from_millis(50);

/// Time before the power loss over which the usual number of requests in time is taken.
const USUAL_PERIOD: Duration = Duration::from_secs(5);

/// Share of the usual number from which service is usual again; a user requirement.
const USUAL_SHARE: f64 = 0.9;

/// Failed requests that are allowed for each unavoidable one; a user requirement.
const MAX_FAILED_RATIO: f64 = 1.3;

/// `PowerLoss` is a power loss of all hosts, with the times of the first packets after it.
#[derive(Debug, Clone, Copy)]
pub(super) struct PowerLoss {
    pub(super) lost_at: Duration,
    pub(super) on_at: Duration,
    /// When a host first forwarded a packet of an open flow.
    pub(super) first_packet: Option<Duration>,
    /// When a host first forwarded an opening.
    pub(super) first_opening: Option<Duration>,
}

impl FleetSimulation {
    /// Records that a host has forwarded a packet.
    pub(super) fn record_forwarded(&mut self, opens_flow: bool) {
        let now = self.now;
        let Some(loss) = &mut self.measurements.power_loss else { return };
        if now < loss.on_at {
            return;
        }
        let first = if opens_flow { &mut loss.first_opening } else { &mut loss.first_packet };
        first.get_or_insert(now);
    }

    /// Adds the figures of the last power loss, if there was one.
    pub(super) fn add_power_on_figures(&self, figures: &mut FigureList) {
        let Some(loss) = self.measurements.power_loss else { return };
        let since_power_on = |at: Option<Duration>| {
            at.map_or(f64::MAX, |at| at.saturating_sub(loss.on_at).as_secs_f64())
        };
        let ready = self.hosts.iter().filter(|host| host.controller.is_some());
        let ready: Vec<Option<Duration>> = ready.map(|host| host.ready_at).collect();
        let first_ready = ready.iter().flatten().min().copied();
        let all_ready = ready.into_iter().collect::<Option<Vec<_>>>();
        let last_ready = all_ready.and_then(|times| times.into_iter().max());
        figures.add("power_first_ready", since_power_on(first_ready), "s");
        figures.add("power_all_ready", since_power_on(last_ready), "s");
        figures.add("power_first_packet", since_power_on(loss.first_packet), "s");
        figures.add("power_first_opening", since_power_on(loss.first_opening), "s");
        figures.add("power_usual", since_power_on(self.usual_service_at(loss)), "s");
        let (failed, unavoidable) = self.failures_around(loss);
        figures.add("power_failed", failed, "requests");
        figures.add("power_unavoidable", unavoidable, "requests");
        figures.add("power_failed_excess", failed - MAX_FAILED_RATIO * unavoidable, "requests");
    }

    /// Returns when the number of requests in time was first usual again.
    fn usual_service_at(&self, loss: PowerLoss) -> Option<Duration> {
        let mut in_time: Vec<Duration> = self
            .measurements
            .requests
            .iter()
            .filter(|request| {
                request.answer_time.is_some_and(|answer_time| answer_time <= LATENCY_OBJECTIVE)
            })
            .map(|request| request.started_at)
            .collect();
        in_time.sort_unstable();
        let count_between = |from: Duration, to: Duration| {
            in_time.partition_point(|at| *at < to) - in_time.partition_point(|at| *at < from)
        };
        let usual = count_between(loss.lost_at.saturating_sub(USUAL_PERIOD), loss.lost_at) as f64
            * COUNT_WINDOW.as_secs_f64()
            / USUAL_PERIOD.as_secs_f64();
        if usual == 0.0 {
            return None;
        }
        let mut from = loss.on_at;
        while from + COUNT_WINDOW <= self.now {
            if count_between(from, from + COUNT_WINDOW) as f64 >= USUAL_SHARE * usual {
                return Some(from);
            }
            from += COUNT_STEP;
        }
        None
    }

    /// Returns the numbers of failed and of unavoidably failed requests among those that were in
    /// progress or started from the power loss on.
    ///
    /// A failure is unavoidable if the caller sent something during the outage and nothing after
    /// it.
    fn failures_around(&self, loss: PowerLoss) -> (f64, f64) {
        let is_concerned = |request: &&MeasuredRequest| {
            request.answer_time.is_none() && request.ended_at >= loss.lost_at
        };
        let failed = self.measurements.requests.iter().filter(is_concerned);
        let is_unavoidable = |request: &&MeasuredRequest| {
            request.last_sent_at >= loss.lost_at && request.last_sent_at < loss.on_at
        };
        let unavoidable = failed.clone().filter(is_unavoidable).count();
        (failed.count() as f64, unavoidable as f64)
    }
}
