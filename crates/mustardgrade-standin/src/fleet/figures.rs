//! Measurements of a run, and the figures computed from them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::measured_requests::MeasuredRequest;
use super::power_on::PowerLoss;
use super::{FleetSimulation, SIMULATION_START};
use crate::world::FigureList;

/// Length of the windows of which the one with the lowest share of answered requests is reported.
const WINDOW_LENGTH: Duration = Duration::from_secs(2);

/// `FleetMeasurements` holds the counts and times recorded during a run.
#[derive(Debug, Default)]
pub(super) struct FleetMeasurements {
    pub(super) broken_flows: u64,
    pub(super) stray_packets: u64,
    pub(super) misrouted_flows: u64,
    pub(super) new_flows_on_draining: u64,
    pub(super) cold_limit_violations: u64,
    pub(super) refused_flows: u64,
    pub(super) shed_requests: u64,
    pub(super) dropped_packets: u64,
    pub(super) unknown_names: u64,
    /// Messages between hosts that found the buffer of their receiver full.
    pub(super) lost_messages: u64,
    pub(super) requests: Vec<MeasuredRequest>,
    /// The last power loss of all hosts.
    pub(super) power_loss: Option<PowerLoss>,
    pub(super) control_messages: u64,
    /// Writes of the services of routes that reached the store, whatever became of them.
    pub(super) route_services_writes: u64,
    pub(super) control_bytes: u64,
    /// Numbers of store calls and of control bytes up to the end of the warm-up.
    pub(super) totals_at_warm_up_end: (usize, u64),
    /// Versions of the manifest, each with the time at which the store accepted it.
    pub(super) accepted_manifests: Vec<(u64, Duration)>,
    /// Requests started, and those of them answered in time, by the window of their start.
    requests_by_window: BTreeMap<u64, (u64, u64)>,
    answer_times: Vec<Duration>,
}

impl FleetMeasurements {
    /// Returns the numbers of started and answered requests in the window of `started_at`.
    fn window_counts(&mut self, started_at: Duration) -> &mut (u64, u64) {
        let window = (started_at - SIMULATION_START).as_millis() / WINDOW_LENGTH.as_millis();
        self.requests_by_window.entry(window as u64).or_default()
    }

    /// Records the start of a request.
    pub(super) fn record_request(&mut self, started_at: Duration) {
        self.window_counts(started_at).0 += 1;
    }

    /// Records a request that was answered or has failed.
    pub(super) fn record_end(&mut self, request: MeasuredRequest) {
        if let Some(answer_time) = request.answer_time {
            self.window_counts(request.started_at).1 += 1;
            self.answer_times.push(answer_time);
        }
        self.requests.push(request);
    }
}

impl FleetSimulation {
    /// Returns the longest time that a running host took to put a manifest in force.
    ///
    /// Delays count from the acceptance of the manifest, the start of the host, or the end of the
    /// last fault that affected it, whichever is latest.
    fn max_manifest_delay(&self) -> Duration {
        let mut slowest = Duration::ZERO;
        for (version, accepted_at) in &self.measurements.accepted_manifests {
            for host in self.hosts.iter().filter(|host| host.controller.is_some()) {
                let counted_from = host.exempt_until.max(host.started_at).max(*accepted_at);
                let applied = host
                    .manifest_versions
                    .iter()
                    .find(|(_, applied_version)| applied_version >= version);
                let delay = match applied {
                    Some((at, _)) => at.saturating_sub(counted_from),
                    None => self.now.saturating_sub(counted_from),
                };
                slowest = slowest.max(delay);
            }
        }
        slowest
    }

    /// Returns whether any host reverted to an older manifest within one incarnation.
    pub(super) fn any_manifest_regressed(&self) -> bool {
        self.hosts
            .iter()
            .any(|host| host.manifest_versions.windows(2).any(|pair| pair[0].1 > pair[1].1))
    }

    /// Returns the longest time that a running host took to become ready; `None` if one is not.
    pub(super) fn max_start_duration(&self) -> Option<Duration> {
        let running = self.hosts.iter().filter(|host| host.controller.is_some());
        let durations = running.map(|host| host.ready_at.map(|at| at - host.started_at));
        durations.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Computes the figures of the run.
    pub(super) fn into_figures(mut self) -> FigureList {
        let measured_secs = (self.now - SIMULATION_START)
            .saturating_sub(self.scenario.warm_up_duration)
            .as_secs_f64();
        let host_count = self.hosts.len().max(1) as f64;
        // Requests started in the last seconds may still be in progress and are left out.
        let first_window = self.scenario.warm_up_duration.as_millis() / WINDOW_LENGTH.as_millis();
        let answerable_until = (self.now - SIMULATION_START)
            .saturating_sub(self.scenario.request_load.caller_timeout + WINDOW_LENGTH);
        let end_window = answerable_until.as_millis() / WINDOW_LENGTH.as_millis();
        let measured_windows = (first_window as u64)..(end_window as u64);
        let windows: Vec<(u64, u64)> = self
            .measurements
            .requests_by_window
            .range(measured_windows)
            .map(|(_, window)| *window)
            .collect();
        let started_requests: u64 =
            windows.iter().map(|(started_requests, _)| started_requests).sum();
        let answered_requests: u64 =
            windows.iter().map(|(_, answered_requests)| answered_requests).sum();
        let answered_share = |(started_requests, answered_requests): (u64, u64)| {
            answered_requests as f64 / started_requests.max(1) as f64
        };
        let worst_share = windows.iter().map(|window| answered_share(*window)).fold(1.0, f64::min);
        self.measurements.answer_times.sort_unstable();
        let answer_times = &self.measurements.answer_times;
        let answer_time_ms = |percentile: usize| {
            answer_times
                .get(answer_times.len() * percentile / 100)
                .map_or(0.0, |answer_time| answer_time.as_secs_f64() * 1_000.0)
        };
        let start_secs = self.max_start_duration().map_or(f64::MAX, |time| time.as_secs_f64());
        let measurements = &self.measurements;
        let mut figures = FigureList::default();
        figures.add("broken_flows", measurements.broken_flows as f64, "flows");
        figures.add("stray_packets", measurements.stray_packets as f64, "packets");
        figures.add("unrouted_flows", measurements.misrouted_flows as f64, "flows");
        figures.add("new_on_draining", measurements.new_flows_on_draining as f64, "flows");
        figures.add("cold_over", measurements.cold_limit_violations as f64, "flows");
        figures.add("went_back", f64::from(u8::from(self.any_manifest_regressed())), "");
        figures.add("slowest_manifest", self.max_manifest_delay().as_secs_f64(), "s");
        figures.add("slowest_start", start_secs, "s");
        figures.add("requests", started_requests as f64, "");
        figures.add("served", answered_share((started_requests, answered_requests)), "");
        figures.add("served_worst_window", worst_share, "in 2 s");
        figures.add("answer_p50", answer_time_ms(50), "ms");
        figures.add("answer_p99", answer_time_ms(99), "ms");
        figures.add("refused", measurements.refused_flows as f64, "flows");
        figures.add("shed", measurements.shed_requests as f64, "requests");
        figures.add("dropped_packets", measurements.dropped_packets as f64, "packets");
        let (calls_in_warm_up, bytes_in_warm_up) = measurements.totals_at_warm_up_end;
        figures.add(
            "store_calls",
            (self.store.call_count - calls_in_warm_up) as f64 / measured_secs,
            "a second",
        );
        let control_bytes =
            (measurements.control_bytes - bytes_in_warm_up) as f64 / measured_secs / host_count;
        figures.add("control_bytes", control_bytes, "B/s a host");
        self.add_power_on_figures(&mut figures);
        figures.add("lost_messages", measurements.lost_messages as f64, "");
        figures.add("unknown_names", measurements.unknown_names as f64, "");
        figures
    }
}
