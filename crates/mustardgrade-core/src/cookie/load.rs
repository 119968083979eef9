//! Upstream load and liveness reports that hosts exchange.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::flow_cookie::FlowCookie;
use super::holders::{FlowHolder, PeerHolders};
use super::outliers::{OutcomeEntry, OutcomeTable, PooledOutcomes};
use super::upstream_load::{PooledSpeed, SpeedEntry, SpeedTable};
use crate::flow::FlowPacket;

/// Maximum number of upstreams in a report, so that it fits into one datagram.
pub(super) const MAX_REPORT_ENTRIES: usize = 96;

/// Age from which a report states no speeds and outcomes, since its host has stalled after it was
/// built.
const MAX_SPEED_AGE: Duration = Duration::from_secs(1);

/// `LoadEntry` is one host's estimate of the load and liveness of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadEntry {
    /// Cookie of the upstream.
    pub cookie: FlowCookie,
    /// Requests and openings in flight that were routed by the host.
    pub in_flight: u16,
    /// Unanswered flows since the upstream last showed that it is alive.
    pub unanswered_flows: u16,
    /// Milliseconds since the first unanswered packet of those flows was forwarded; `u16::MAX` if
    /// there is none or at least that long ago.
    pub unanswered_age_ms: u16,
    /// Milliseconds since the upstream last showed that it is alive; `u16::MAX` if it never did or
    /// at least that long ago.
    pub alive_age_ms: u16,
}

/// `LoadReport` is one host's estimate of the upstreams that have requests in flight, unanswered
/// flows, or recently showed that they are alive.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Whether the utilisation of the upstreams in the host's data centre has reached the limit.
    pub saturated: bool,
    /// Whether the report is unfiltered: it lists every upstream with requests of the host in
    /// flight, up to the maximum number of entries.
    pub complete: bool,
    /// Whether a recent new flow found only suspected upstreams of its service.
    pub all_suspected: bool,
    /// One entry per upstream.
    pub entries: Vec<LoadEntry>,
    /// Measured speeds of some of these upstreams; successive reports rotate through them.
    pub speeds: Vec<SpeedEntry>,
    /// Outcomes of the requests of upstreams of which some have failed.
    pub outcomes: Vec<OutcomeEntry>,
    /// Holders of flows that the host has observed; they are sent in a message of their own.
    #[serde(skip)]
    pub holders: Vec<FlowHolder>,
}

impl LoadReport {
    /// Returns whether any upstream in the report has unanswered flows.
    #[must_use]
    pub fn has_unanswered(&self) -> bool {
        self.entries.iter().any(|entry| entry.unanswered_flows > 0)
    }

    /// Returns whether the report must be sent whatever the load is.
    #[must_use]
    pub fn has_evidence(&self) -> bool {
        self.has_unanswered() || !self.outcomes.is_empty()
    }

    /// Adds `delay`, the time since the report was built, to all ages in it.
    pub fn add_age(&mut self, delay: Duration) {
        let delay_ms = u16::try_from(delay.as_millis()).unwrap_or(u16::MAX);
        for entry in &mut self.entries {
            entry.unanswered_age_ms = entry.unanswered_age_ms.saturating_add(delay_ms);
            entry.alive_age_ms = entry.alive_age_ms.saturating_add(delay_ms);
        }
        if delay >= MAX_SPEED_AGE {
            self.speeds.clear();
            self.outcomes.clear();
        }
    }

    /// Returns a copy of the report with only the entries of the upstreams in `cookies`.
    #[must_use]
    pub fn restricted_to(&self, cookies: &HashSet<FlowCookie>) -> Self {
        let entries = self.entries.iter().filter(|entry| cookies.contains(&entry.cookie));
        let entries = entries.copied().collect();
        Self {
            saturated: self.saturated,
            complete: false,
            all_suspected: self.all_suspected,
            entries,
            speeds: Vec::new(),
            outcomes: self.outcomes.clone(),
            holders: Vec::new(),
        }
    }
}

/// `PeerLoad` is the sum of the other hosts' load entries for an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerLoad {
    /// Requests and openings in flight.
    pub in_flight: u32,
    /// Unanswered flows since the upstream last showed that it is alive.
    pub unanswered_flows: u32,
    /// When the first unanswered packet of those flows was forwarded; `None` without such flows.
    pub unanswered_since: Option<Duration>,
    /// The latest of the times at which each host forwarded its first unanswered packet.
    pub latest_unanswered_since: Option<Duration>,
    /// When the upstream last showed that it is alive, by the clock of the host that aggregates
    /// the reports; zero if no report says so.
    pub last_alive: Duration,
    /// Number of hosts with requests in flight at the upstream.
    pub active_hosts: u32,
}

/// `UnansweredReport` is what one host reports of an upstream that does not answer it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct UnansweredReport {
    flows: u32,
    /// When the first unanswered packet of those flows was forwarded.
    since: Duration,
}

/// `UpstreamReports` is what all reports together say of one upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct UpstreamReports {
    in_flight: u32,
    active_hosts: u32,
    last_alive: Duration,
    unanswered: Vec<UnansweredReport>,
}

impl UpstreamReports {
    fn add(&mut self, entry: &LoadEntry, received_at: Duration) {
        let time_of = |age_ms: u16| {
            let age = Duration::from_millis(u64::from(age_ms));
            (age_ms != u16::MAX).then(|| received_at.saturating_sub(age))
        };
        self.in_flight += u32::from(entry.in_flight);
        self.active_hosts += u32::from(entry.in_flight > 0);
        self.last_alive = self.last_alive.max(time_of(entry.alive_age_ms).unwrap_or_default());
        let flows = u32::from(entry.unanswered_flows);
        if let (Some(since), true) = (time_of(entry.unanswered_age_ms), flows > 0) {
            self.unanswered.push(UnansweredReport { flows, since });
        }
    }

    fn load(&self, own_last_alive: Duration) -> PeerLoad {
        let last_alive = self.last_alive.max(own_last_alive);
        let valid = || self.unanswered.iter().filter(move |report| report.since > last_alive);
        PeerLoad {
            in_flight: self.in_flight,
            unanswered_flows: valid().map(|report| report.flows).sum(),
            unanswered_since: valid().map(|report| report.since).min(),
            latest_unanswered_since: valid().map(|report| report.since).max(),
            last_alive: self.last_alive,
            active_hosts: self.active_hosts,
        }
    }
}

/// `PeerLoads` aggregates the load reports of the other hosts by upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerLoads {
    by_upstream: HashMap<FlowCookie, UpstreamReports>,
    complete_reports: usize,
    has_unanswered: bool,
    speeds: HashMap<FlowCookie, PooledSpeed>,
    outcomes: HashMap<FlowCookie, PooledOutcomes>,
    #[serde(skip)]
    holders: Arc<PeerHolders>,
}

impl PeerLoads {
    /// Sets the pooled speeds that the other hosts have reported.
    pub fn set_speeds(&mut self, speeds: &SpeedTable) {
        self.speeds.clone_from(speeds.pooled());
    }

    /// Returns the pooled speeds by upstream.
    #[must_use]
    pub fn speeds(&self) -> &HashMap<FlowCookie, PooledSpeed> {
        &self.speeds
    }

    /// Sets the pooled outcomes that the other hosts have reported.
    pub fn set_outcomes(&mut self, outcomes: &OutcomeTable) {
        self.outcomes.clone_from(outcomes.pooled());
    }

    /// Returns the pooled outcomes by upstream.
    #[must_use]
    pub fn outcomes(&self) -> &HashMap<FlowCookie, PooledOutcomes> {
        &self.outcomes
    }

    /// Sets the holders of flows that the other hosts have observed.
    pub fn set_holders(&mut self, holders: &Arc<PeerHolders>) {
        self.holders = Arc::clone(holders);
    }

    /// Returns the cookie of the upstream that holds the flow of a packet, if another host has told.
    #[must_use]
    pub fn holder_of(&self, packet: &FlowPacket) -> Option<FlowCookie> {
        self.holders.holder_of(packet)
    }

    /// Adds a report that was received at `received_at`.
    pub fn add(&mut self, report: &LoadReport, received_at: Duration) {
        self.complete_reports += usize::from(report.complete);
        self.has_unanswered |= report.has_unanswered();
        for entry in &report.entries {
            self.by_upstream.entry(entry.cookie).or_default().add(entry, received_at);
        }
    }

    /// Returns the aggregated load of an upstream, which this host itself last knew to be alive at
    /// `own_last_alive`; zero if no report lists it.
    ///
    /// What a host reports as unanswered counts only if the upstream has answered no host since.
    #[must_use]
    pub fn load(&self, cookie: FlowCookie, own_last_alive: Duration) -> PeerLoad {
        let reports = self.by_upstream.get(&cookie);
        reports.map(|reports| reports.load(own_last_alive)).unwrap_or_default()
    }

    /// Returns the upstreams that a report lists, in no particular order.
    pub fn upstreams(&self) -> impl Iterator<Item = FlowCookie> {
        self.by_upstream.keys().copied()
    }

    /// Returns whether any report lists an upstream with unanswered flows.
    #[must_use]
    pub fn has_unanswered(&self) -> bool {
        self.has_unanswered
    }

    /// Returns the number of unfiltered reports.
    #[must_use]
    pub fn complete_reports(&self) -> usize {
        self.complete_reports
    }

    /// Returns whether the reports list no upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_upstream.is_empty() && self.outcomes.is_empty()
    }
}
