//! Load reports received from other hosts, until they expire.

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use crate::cookie::{
    FlowCookie, FlowHolder, LoadReport, OutcomeTable, PeerHolders, PeerLoads, SpeedTable,
};

/// Time for which a report is valid; a host with something to report sends one every 100 ms.
const REPORT_TTL: Duration = Duration::from_millis(350);

/// `PeerLoadTable` holds the latest load report of each other host.
#[derive(Debug, Clone, Default)]
pub struct PeerLoadTable {
    reports: HashMap<Ipv4Addr, (Duration, LoadReport)>,
    speeds: SpeedTable,
    outcomes: OutcomeTable,
    holders: Arc<PeerHolders>,
}

impl PeerLoadTable {
    /// Stores a report, replacing the previous one of the same host.
    pub fn record(&mut self, host: Ipv4Addr, report: LoadReport, now: Duration) {
        self.speeds.record(host, &report, now);
        self.outcomes.record(host, &report, now);
        self.reports.insert(host, (now, report));
    }

    /// Stores holders of flows that another host has observed.
    pub fn record_holders(&mut self, holders: &[FlowHolder], now: Duration) {
        Arc::make_mut(&mut self.holders).record(holders, now);
    }

    /// Removes expired reports; returns true if there were any.
    pub fn remove_expired(&mut self, now: Duration) -> bool {
        self.speeds.remove_expired(now);
        self.outcomes.remove_expired(now);
        if self.holders.is_expiry_due(now) {
            Arc::make_mut(&mut self.holders).remove_expired(now);
        }
        let count_before = self.reports.len();
        self.reports.retain(|_, (received_at, _)| now.saturating_sub(*received_at) < REPORT_TTL);
        self.reports.len() != count_before
    }

    /// Returns the number of other hosts that report their data centre's upstreams as saturated.
    #[must_use]
    pub fn saturated_host_count(&self) -> usize {
        self.reports.values().filter(|(_, report)| report.saturated).count()
    }

    /// Returns the cookies of upstreams that leave flows of other hosts unanswered.
    #[must_use]
    pub fn upstreams_with_unanswered(&self) -> HashSet<FlowCookie> {
        let entries = self.reports.values().flat_map(|(_, report)| &report.entries);
        entries.filter(|entry| entry.unanswered_flows > 0).map(|entry| entry.cookie).collect()
    }

    /// Returns the sum of all current reports, by upstream.
    #[must_use]
    pub fn total(&self) -> PeerLoads {
        let mut loads = PeerLoads::default();
        for (received_at, report) in self.reports.values() {
            loads.add(report, *received_at);
        }
        loads.set_speeds(&self.speeds);
        loads.set_outcomes(&self.outcomes);
        loads.set_holders(&self.holders);
        loads
    }
}
