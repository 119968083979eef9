//! The load reports of the other hosts, each for as long as it tells the present.

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::cookie::{FlowCookie, LoadReport, PeerLoads};

/// Time for which a report counts; reports come every 100 ms while there is anything to tell.
const REPORT_TTL: Duration = Duration::from_millis(350);

/// `PeerLoadTable` holds the last report of each other host.
#[derive(Debug, Clone, Default)]
pub struct PeerLoadTable {
    reports: HashMap<Ipv4Addr, (Duration, LoadReport)>,
}

impl PeerLoadTable {
    /// Takes in a report.
    pub fn record(&mut self, host: Ipv4Addr, report: LoadReport, now: Duration) {
        self.reports.insert(host, (now, report));
    }

    /// Forgets reports that are too old; returns whether there were any.
    pub fn remove_expired(&mut self, now: Duration) -> bool {
        let count_before = self.reports.len();
        self.reports.retain(|_, (received_at, _)| now.saturating_sub(*received_at) < REPORT_TTL);
        self.reports.len() != count_before
    }

    /// Returns how many other hosts have little room left.
    #[must_use]
    pub fn near_capacity_count(&self) -> usize {
        self.reports.values().filter(|(_, report)| report.pressed).count()
    }

    /// Returns the upstreams that leave flows of other hosts without an answer.
    #[must_use]
    pub fn suspected_upstreams(&self) -> HashSet<FlowCookie> {
        let entries = self.reports.values().flat_map(|(_, report)| &report.entries);
        entries.filter(|entry| entry.unanswered > 0).map(|entry| entry.cookie).collect()
    }

    /// Adds up the reports.
    #[must_use]
    pub fn total(&self) -> PeerLoads {
        let mut loads = PeerLoads::default();
        for (received_at, report) in self.reports.values() {
            loads.add(report, *received_at);
        }
        loads
    }
}
