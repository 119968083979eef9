//! The figures of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{EPOCH, FleetWorld};
use crate::world::FigureList;

/// Length of the windows of which the worst one is told.
const WINDOW: Duration = Duration::from_secs(2);

/// `FleetTally` is what a world counts.
#[derive(Debug, Default)]
pub(super) struct FleetTally {
    pub(super) broken_flows: u64,
    pub(super) stray_packets: u64,
    pub(super) unrouted: u64,
    pub(super) new_on_draining: u64,
    pub(super) cold_over: u64,
    pub(super) refused: u64,
    pub(super) shed: u64,
    pub(super) dropped: u64,
    pub(super) unknown_names: u64,
    pub(super) control_messages: u64,
    pub(super) control_bytes: u64,
    /// Store calls and control bytes at the end of the warm-up.
    pub(super) warm: (usize, u64),
    /// When each version of the manifest was accepted.
    pub(super) accepted: Vec<(u64, Duration)>,
    /// Requests that came up, and those that were served, by window.
    windows: BTreeMap<u64, (u64, u64)>,
    waits: Vec<Duration>,
}

impl FleetTally {
    fn window(&mut self, asked: Duration) -> &mut (u64, u64) {
        let number = (asked - EPOCH).as_millis() / WINDOW.as_millis();
        self.windows.entry(number as u64).or_default()
    }

    /// Notes a request that came up.
    pub(super) fn note_asked(&mut self, asked: Duration) {
        self.window(asked).0 += 1;
    }

    /// Notes a request of `asked` that was answered within its caller's patience.
    pub(super) fn note_served(&mut self, asked: Duration, took: Duration) {
        self.window(asked).1 += 1;
        self.waits.push(took);
    }
}

impl FleetWorld {
    /// Returns the time until the slowest host that nothing disturbed had each manifest in force.
    fn slowest_manifest(&self) -> Duration {
        let mut slowest = Duration::ZERO;
        for (version, accepted) in &self.tally.accepted {
            for host in self.hosts.iter().filter(|host| host.controller.is_some()) {
                let due = host.excused_until.max(host.started).max(*accepted);
                let seen = host.versions.iter().find(|(_, seen)| seen >= version);
                let took = match seen {
                    Some((at, _)) => at.saturating_sub(due),
                    None => self.now.saturating_sub(due),
                };
                slowest = slowest.max(took);
            }
        }
        slowest
    }

    /// Tells whether any host has gone back to an older manifest within one run.
    pub(super) fn went_back(&self) -> bool {
        self.hosts.iter().any(|host| host.versions.windows(2).any(|pair| pair[0].1 > pair[1].1))
    }

    /// Returns the longest time from a running host's start until it was ready; none if one is not.
    pub(super) fn slowest_start(&self) -> Option<Duration> {
        let running = self.hosts.iter().filter(|host| host.controller.is_some());
        let times = running.map(|host| host.ready_at.map(|at| at - host.started));
        times.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Sums up.
    pub(super) fn conclude(mut self) -> FigureList {
        let steady =
            (self.now - EPOCH).saturating_sub(self.scenario.warm_up_duration).as_secs_f64();
        let hosts = self.hosts.len().max(1) as f64;
        // Requests of the last seconds may still be under way.
        let warm = self.scenario.warm_up_duration.as_millis() / WINDOW.as_millis();
        let last =
            (self.now - EPOCH).saturating_sub(self.scenario.request_load.caller_timeout + WINDOW);
        let last = last.as_millis() / WINDOW.as_millis();
        let counted = (warm as u64)..(last as u64);
        let windows: Vec<(u64, u64)> =
            self.tally.windows.range(counted).map(|(_, window)| *window).collect();
        let asked: u64 = windows.iter().map(|(asked, _)| asked).sum();
        let served: u64 = windows.iter().map(|(_, served)| served).sum();
        let share = |(asked, served): (u64, u64)| served as f64 / asked.max(1) as f64;
        let worst = windows.iter().map(|window| share(*window)).fold(1.0, f64::min);
        self.tally.waits.sort_unstable();
        let waits = &self.tally.waits;
        let wait = |rank: usize| {
            waits.get(waits.len() * rank / 100).map_or(0.0, |wait| wait.as_secs_f64() * 1_000.0)
        };
        let start = self.slowest_start().map_or(f64::MAX, |time| time.as_secs_f64());
        let tally = &self.tally;
        let mut list = FigureList::default();
        list.add("broken_flows", tally.broken_flows as f64, "flows");
        list.add("stray_packets", tally.stray_packets as f64, "packets");
        list.add("unrouted_flows", tally.unrouted as f64, "flows");
        list.add("new_on_draining", tally.new_on_draining as f64, "flows");
        list.add("cold_over", tally.cold_over as f64, "flows");
        list.add("went_back", f64::from(u8::from(self.went_back())), "");
        list.add("slowest_manifest", self.slowest_manifest().as_secs_f64(), "s");
        list.add("slowest_start", start, "s");
        list.add("requests", asked as f64, "");
        list.add("served", share((asked, served)), "");
        list.add("served_worst_window", worst, "in 2 s");
        list.add("answer_p50", wait(50), "ms");
        list.add("answer_p99", wait(99), "ms");
        list.add("refused", tally.refused as f64, "flows");
        list.add("shed", tally.shed as f64, "requests");
        list.add("dropped_packets", tally.dropped as f64, "packets");
        let (calls, bytes) = tally.warm;
        list.add("store_calls", (self.store.calls - calls) as f64 / steady, "a second");
        let bytes = (tally.control_bytes - bytes) as f64 / steady / hosts;
        list.add("control_bytes", bytes, "B/s a host");
        list.add("unknown_names", tally.unknown_names as f64, "");
        list
    }
}
