//! Speeds of upstreams as other hosts report them.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::speed::{SpeedEntry, SpeedSummary, log_ratio_of};
use crate::cookie::flow_cookie::FlowCookie;
use crate::cookie::load::LoadReport;

/// Time for which a reported speed is valid; a report lists only some upstreams, so that each is
/// repeated within about a second.
pub(super) const SPEED_TTL: Duration = Duration::from_secs(12);

/// Interval at which expired speeds are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// `PooledSpeed` is what other hosts have measured of an upstream's speed, in the units of
/// [`SpeedEntry`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PooledSpeed {
    /// Sum of the codes of exact ratios, by weight.
    exact_sum: u32,
    exact_weight: u32,
    /// Code of the lowest upper bound; `None` without any.
    lowest_bound: Option<u8>,
    bound_weight: u32,
    /// When the latest of the reports was received.
    received_at: Duration,
}

impl PooledSpeed {
    fn add(&mut self, entry: &SpeedEntry, received_at: Duration) {
        let (code, weight) = (entry.ratio_code(), u32::from(entry.samples));
        match entry.is_bound() {
            true => {
                self.lowest_bound = Some(self.lowest_bound.map_or(code, |lowest| lowest.min(code)));
                self.bound_weight += weight;
            }
            false => {
                self.exact_sum += u32::from(code) * weight;
                self.exact_weight += weight;
            }
        }
        self.received_at = self.received_at.max(received_at);
    }

    /// Returns the evidence, unless all of it has expired.
    pub(super) fn summary(&self, now: Duration) -> Option<SpeedSummary> {
        if now.saturating_sub(self.received_at) >= SPEED_TTL {
            return None;
        }
        let (exact_weight, bound_weight) = (self.exact_weight as f32, self.bound_weight as f32);
        let lowest = self.lowest_bound.map(|code| log_ratio_of(f32::from(code)));
        Some(SpeedSummary {
            // The code is linear in the logarithm, so that the mean of codes is that of logarithms.
            exact_sum: match self.exact_weight {
                0 => 0.0,
                _ => log_ratio_of(self.exact_sum as f32 / exact_weight) * exact_weight,
            },
            exact_weight,
            lowest_bound: lowest.unwrap_or(f32::INFINITY),
            bound_weight,
        })
    }
}

#[derive(Debug, Clone, Copy)]
struct HostSpeed {
    host: Ipv4Addr,
    entry: SpeedEntry,
    received_at: Duration,
}

/// `SpeedTable` holds the latest reported speed of each upstream by each host, and their pool.
///
/// A value replaces the host's previous one, so that a repeated report changes nothing.
#[derive(Debug, Clone, Default)]
pub struct SpeedTable {
    by_upstream: HashMap<FlowCookie, Vec<HostSpeed>>,
    pooled: HashMap<FlowCookie, PooledSpeed>,
    last_expiry: Duration,
}

impl SpeedTable {
    /// Records the speeds in a host's report.
    pub fn record(&mut self, host: Ipv4Addr, report: &LoadReport, now: Duration) {
        for entry in &report.speeds {
            // A damaged or foreign report may name a position that it does not have.
            let Some(load) = report.entries.get(usize::from(entry.position)) else { continue };
            let speeds = self.by_upstream.entry(load.cookie).or_default();
            let is_current = |speed: &HostSpeed| now.saturating_sub(speed.received_at) < SPEED_TTL;
            speeds.retain(|speed| speed.host != host && is_current(speed));
            speeds.push(HostSpeed { host, entry: *entry, received_at: now });
            self.pooled.insert(load.cookie, pool(speeds));
        }
    }

    /// Removes expired speeds, at most once per second.
    pub fn remove_expired(&mut self, now: Duration) {
        if now.saturating_sub(self.last_expiry) < EXPIRY_INTERVAL {
            return;
        }
        self.last_expiry = now;
        if self.by_upstream.is_empty() {
            return;
        }
        self.by_upstream.retain(|_, speeds| {
            speeds.retain(|speed| now.saturating_sub(speed.received_at) < SPEED_TTL);
            !speeds.is_empty()
        });
        let pooled = self.by_upstream.iter().map(|(cookie, speeds)| (*cookie, pool(speeds)));
        self.pooled = pooled.collect();
    }

    /// Returns the pooled speeds by upstream.
    #[must_use]
    pub fn pooled(&self) -> &HashMap<FlowCookie, PooledSpeed> {
        &self.pooled
    }
}

fn pool(speeds: &[HostSpeed]) -> PooledSpeed {
    let mut pooled = PooledSpeed::default();
    for speed in speeds {
        pooled.add(&speed.entry, speed.received_at);
    }
    pooled
}
