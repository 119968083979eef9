//! The load reports of the other hosts, each for as long as it tells the present.

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::cookie::{FlowCookie, LoadReport, PeerLoads};

/// Time for which a report counts; reports come every 100 ms while there is anything to tell.
const REPORT_TIME: Duration = Duration::from_millis(350);

/// `LoadBoard` holds the last report of each other host.
#[derive(Debug, Clone, Default)]
pub struct LoadBoard {
    reports: HashMap<Ipv4Addr, (Duration, LoadReport)>,
}

impl LoadBoard {
    /// Takes in a report.
    pub fn learn(&mut self, from: Ipv4Addr, report: LoadReport, now: Duration) {
        self.reports.insert(from, (now, report));
    }

    /// Forgets reports that are too old; returns whether there were any.
    pub fn forget(&mut self, now: Duration) -> bool {
        let before = self.reports.len();
        self.reports.retain(|_, (heard, _)| now.saturating_sub(*heard) < REPORT_TIME);
        self.reports.len() != before
    }

    /// Returns how many other hosts have little room left.
    #[must_use]
    pub fn pressed(&self) -> usize {
        self.reports.values().filter(|(_, report)| report.saturated).count()
    }

    /// Returns the upstreams that leave flows of other hosts without an answer.
    #[must_use]
    pub fn suspected(&self) -> HashSet<FlowCookie> {
        let entries = self.reports.values().flat_map(|(_, report)| &report.entries);
        entries.filter(|entry| entry.unanswered_flows > 0).map(|entry| entry.cookie).collect()
    }

    /// Adds up the reports.
    #[must_use]
    pub fn sum(&self) -> PeerLoads {
        let mut loads = PeerLoads::default();
        for (heard, report) in self.reports.values() {
            loads.add(report, *heard);
        }
        loads
    }
}
