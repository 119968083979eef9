//! What hosts tell each other of the load and silence of upstreams.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::flow_cookie::FlowCookie;

/// Upstreams in a report; a datagram holds no more.
pub(super) const MAX_REPORT_ENTRIES: usize = 96;

/// `LoadEntry` is what one host has inferred of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadEntry {
    /// The upstream.
    pub cookie: FlowCookie,
    /// Requests in hand that came through the host.
    pub in_flight: u16,
    /// Flows without an answer since the last sign of life.
    pub unanswered_flows: u16,
    /// Milliseconds since the first of those flows asked; the largest value stands for more.
    pub unanswered_age_ms: u16,
    /// Milliseconds since the last sign of life; the largest value stands for none.
    pub alive_age_ms: u16,
}

/// `LoadReport` is what one host has inferred of all upstreams that matter now.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Whether the upstreams of the host have little room left.
    pub saturated: bool,
    /// Whether the report names every upstream that the host has work at, as far as there is room.
    pub complete: bool,
    /// Whether new flows of some service find nothing but silent upstreams.
    pub all_suspected: bool,
    /// The upstreams.
    pub entries: Vec<LoadEntry>,
}

impl LoadReport {
    /// Tells whether the report names an upstream without an answer.
    #[must_use]
    pub fn has_unanswered(&self) -> bool {
        self.entries.iter().any(|entry| entry.unanswered_flows > 0)
    }

    /// Returns the report with nothing but the upstreams that `about` names.
    #[must_use]
    pub fn restricted_to(&self, cookies: &HashSet<FlowCookie>) -> Self {
        let entries = self.entries.iter().filter(|entry| cookies.contains(&entry.cookie));
        let entries = entries.copied().collect();
        Self {
            saturated: self.saturated,
            complete: false,
            all_suspected: self.all_suspected,
            entries,
        }
    }
}

/// `PeerLoad` is what the other hosts together have inferred of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerLoad {
    /// Requests in hand.
    pub in_flight: u32,
    /// Flows without an answer.
    pub unanswered_flows: u32,
    /// When the first of them asked, at the host that began to wait last.
    pub unanswered_since: Option<Duration>,
    /// Last sign of life, by the clock of the host that adds up.
    pub last_alive: Duration,
    /// Hosts that have work at the upstream.
    pub active_hosts: u32,
}

/// `PeerLoads` adds up the reports of the other hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerLoads {
    by_upstream: HashMap<FlowCookie, PeerLoad>,
    complete_reports: usize,
    has_unanswered: bool,
}

impl PeerLoads {
    /// Adds a report that was received at `heard`.
    pub fn add(&mut self, report: &LoadReport, received_at: Duration) {
        self.complete_reports += usize::from(report.complete);
        self.has_unanswered |= report.has_unanswered();
        for entry in &report.entries {
            let load = self.by_upstream.entry(entry.cookie).or_default();
            load.in_flight += u32::from(entry.in_flight);
            load.active_hosts += u32::from(entry.in_flight > 0);
            load.unanswered_flows += u32::from(entry.unanswered_flows);
            if entry.unanswered_flows > 0 && entry.unanswered_age_ms != u16::MAX {
                let age = Duration::from_millis(u64::from(entry.unanswered_age_ms));
                load.unanswered_since =
                    load.unanswered_since.max(Some(received_at.saturating_sub(age)));
            }
            if entry.alive_age_ms != u16::MAX {
                let age = Duration::from_millis(u64::from(entry.alive_age_ms));
                load.last_alive = load.last_alive.max(received_at.saturating_sub(age));
            }
        }
    }

    /// Returns what the other hosts have inferred of an upstream.
    #[must_use]
    pub fn get(&self, cookie: FlowCookie) -> PeerLoad {
        self.by_upstream.get(&cookie).copied().unwrap_or_default()
    }

    /// Tells whether a report names an upstream without an answer.
    #[must_use]
    pub fn has_unanswered(&self) -> bool {
        self.has_unanswered
    }

    /// Returns how many of the reports name all work of their host.
    #[must_use]
    pub fn complete_reports(&self) -> usize {
        self.complete_reports
    }

    /// Tells whether no report is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_upstream.is_empty()
    }
}
