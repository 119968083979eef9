//! Outcomes of requests as other hosts report them.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::evidence::OutcomeCounts;
use crate::cookie::flow_cookie::FlowCookie;
use crate::cookie::load::LoadReport;

/// Time for which reported outcomes are valid. A host repeats them every 100 ms and sends each
/// report to a part of the hosts only.
const OUTCOME_TTL: Duration = Duration::from_secs(2);

/// Interval at which expired outcomes are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Units of a reported number of expected failures.
const EXPECTED_UNITS: f32 = 16.0;

/// `OutcomeEntry` is what one host has observed of an upstream's requests in the last seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutcomeEntry {
    /// Cookie of the upstream.
    pub cookie: FlowCookie,
    /// Requests with a certain outcome.
    pub total: u8,
    /// Requests of them that failed.
    pub failed: u8,
    /// Requests of them that were answered slowly.
    pub slow: u8,
    /// Failures that are usual for the same routes, in sixteenths.
    pub expected: u8,
}

impl OutcomeEntry {
    pub(super) fn new(cookie: FlowCookie, counts: OutcomeCounts) -> Self {
        // A host with more requests reports the same shares of as many as can be stated.
        let scale = (f32::from(u8::MAX) / counts.total.max(1.0)).min(1.0);
        let code = |count: f32| (count * scale).round().min(f32::from(u8::MAX)) as u8;
        Self {
            cookie,
            total: code(counts.total),
            failed: code(counts.failed),
            slow: code(counts.slow),
            expected: code(counts.expected * EXPECTED_UNITS),
        }
    }
}

/// `PooledOutcomes` is the sum of what other hosts have observed of an upstream's requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PooledOutcomes {
    total: u32,
    failed: u32,
    slow: u32,
    /// Expected failures, in sixteenths.
    expected: u32,
    /// When the latest of the reports was received.
    received_at: Duration,
}

impl PooledOutcomes {
    fn add(&mut self, outcome: &HostOutcome) {
        let entry = &outcome.entry;
        self.total += u32::from(entry.total);
        self.failed += u32::from(entry.failed.min(entry.total));
        self.slow += u32::from(entry.slow);
        self.expected += u32::from(entry.expected);
        self.received_at = self.received_at.max(outcome.received_at);
    }

    /// Returns the counts, unless all of them have expired.
    pub(super) fn counts(&self, now: Duration) -> OutcomeCounts {
        if now.saturating_sub(self.received_at) >= OUTCOME_TTL {
            return OutcomeCounts::default();
        }
        OutcomeCounts {
            total: self.total as f32,
            failed: self.failed as f32,
            slow: self.slow as f32,
            expected: self.expected as f32 / EXPECTED_UNITS,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct HostOutcome {
    host: Ipv4Addr,
    entry: OutcomeEntry,
    received_at: Duration,
}

/// `OutcomeTable` holds the latest outcomes of each upstream by each host, and their sums.
///
/// A report replaces what the host has reported before, so that a repeated one changes nothing.
#[derive(Debug, Clone, Default)]
pub struct OutcomeTable {
    by_upstream: HashMap<FlowCookie, Vec<HostOutcome>>,
    pooled: HashMap<FlowCookie, PooledOutcomes>,
    last_expiry: Duration,
}

impl OutcomeTable {
    /// Records the outcomes in a host's report.
    pub fn record(&mut self, host: Ipv4Addr, report: &LoadReport, now: Duration) {
        for entry in &report.outcomes {
            let outcomes = self.by_upstream.entry(entry.cookie).or_default();
            let is_current = |o: &HostOutcome| now.saturating_sub(o.received_at) < OUTCOME_TTL;
            outcomes.retain(|outcome| outcome.host != host && is_current(outcome));
            outcomes.push(HostOutcome { host, entry: *entry, received_at: now });
            self.pooled.insert(entry.cookie, pool(outcomes));
        }
    }

    /// Removes expired outcomes, at most twice per second.
    pub fn remove_expired(&mut self, now: Duration) {
        if self.by_upstream.is_empty() || now.saturating_sub(self.last_expiry) < EXPIRY_INTERVAL {
            return;
        }
        self.last_expiry = now;
        self.by_upstream.retain(|_, outcomes| {
            outcomes.retain(|outcome| now.saturating_sub(outcome.received_at) < OUTCOME_TTL);
            !outcomes.is_empty()
        });
        let pooled = self.by_upstream.iter().map(|(cookie, all)| (*cookie, pool(all)));
        self.pooled = pooled.collect();
    }

    /// Returns the sums by upstream.
    #[must_use]
    pub fn pooled(&self) -> &HashMap<FlowCookie, PooledOutcomes> {
        &self.pooled
    }
}

fn pool(outcomes: &[HostOutcome]) -> PooledOutcomes {
    let mut pooled = PooledOutcomes::default();
    outcomes.iter().for_each(|outcome| pooled.add(outcome));
    pooled
}
