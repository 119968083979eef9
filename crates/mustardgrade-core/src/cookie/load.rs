//! What hosts tell each other of the load and silence of upstreams.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::token::FlowCookie;

/// Upstreams in a report; a datagram holds no more.
pub(super) const MOST_ENTRIES: usize = 96;

/// `LoadEntry` is what one host has inferred of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadEntry {
    /// The upstream.
    pub cookie: FlowCookie,
    /// Requests in hand that came through the host.
    pub work: u16,
    /// Flows without an answer since the last sign of life.
    pub unanswered: u16,
    /// Milliseconds since the first of those flows asked; the largest value stands for more.
    pub waiting_ms: u16,
    /// Milliseconds since the last sign of life; the largest value stands for none.
    pub alive_ms: u16,
}

/// `LoadReport` is what one host has inferred of all upstreams that matter now.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Whether the upstreams of the host have little room left.
    pub pressed: bool,
    /// Whether the report names every upstream that the host has work at, as far as there is room.
    pub whole: bool,
    /// Whether new flows of some service find nothing but silent upstreams.
    pub stranded: bool,
    /// The upstreams.
    pub entries: Vec<LoadEntry>,
}

impl LoadReport {
    /// Tells whether the report names an upstream without an answer.
    #[must_use]
    pub fn suspects(&self) -> bool {
        self.entries.iter().any(|entry| entry.unanswered > 0)
    }

    /// Returns the report with nothing but the upstreams that `about` names.
    #[must_use]
    pub fn only(&self, about: &HashSet<FlowCookie>) -> Self {
        let entries = self.entries.iter().filter(|entry| about.contains(&entry.cookie));
        let entries = entries.copied().collect();
        Self { pressed: self.pressed, whole: false, stranded: self.stranded, entries }
    }
}

/// `PeerLoad` is what the other hosts together have inferred of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerLoad {
    /// Requests in hand.
    pub work: u32,
    /// Flows without an answer.
    pub unanswered: u32,
    /// When the first of them asked, at the host that began to wait last.
    pub silent_since: Option<Duration>,
    /// Last sign of life, by the clock of the host that adds up.
    pub alive: Duration,
    /// Hosts that have work at the upstream.
    pub hosts: u32,
}

/// `PeerLoads` adds up the reports of the other hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerLoads {
    loads: HashMap<FlowCookie, PeerLoad>,
    whole: usize,
    suspects: bool,
}

impl PeerLoads {
    /// Adds a report that was received at `heard`.
    pub fn add(&mut self, report: &LoadReport, heard: Duration) {
        self.whole += usize::from(report.whole);
        self.suspects |= report.suspects();
        for entry in &report.entries {
            let load = self.loads.entry(entry.cookie).or_default();
            load.work += u32::from(entry.work);
            load.hosts += u32::from(entry.work > 0);
            load.unanswered += u32::from(entry.unanswered);
            if entry.unanswered > 0 && entry.waiting_ms != u16::MAX {
                let age = Duration::from_millis(u64::from(entry.waiting_ms));
                load.silent_since = load.silent_since.max(Some(heard.saturating_sub(age)));
            }
            if entry.alive_ms != u16::MAX {
                let age = Duration::from_millis(u64::from(entry.alive_ms));
                load.alive = load.alive.max(heard.saturating_sub(age));
            }
        }
    }

    /// Returns what the other hosts have inferred of an upstream.
    #[must_use]
    pub fn get(&self, cookie: FlowCookie) -> PeerLoad {
        self.loads.get(&cookie).copied().unwrap_or_default()
    }

    /// Tells whether a report names an upstream without an answer.
    #[must_use]
    pub fn suspects(&self) -> bool {
        self.suspects
    }

    /// Returns how many of the reports name all work of their host.
    #[must_use]
    pub fn whole_reports(&self) -> usize {
        self.whole
    }

    /// Tells whether no report is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.loads.is_empty()
    }
}
