//! Limits of the store: calls a second, and entries in a page.

use std::time::Duration;

use mustardgrade_core::watch::StoreCall;

use super::FleetSimulation;

/// Time over which the store counts calls. Its length is not stated; with a short one, calls of
/// hosts that start at the same time meet the limit first.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);

/// `CallQuota` counts the calls of the current period.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CallQuota {
    period: u128,
    reads: usize,
    writes: usize,
}

impl CallQuota {
    fn enter(&mut self, now: Duration) {
        let period = now.as_millis() / QUOTA_PERIOD.as_millis();
        if period != self.period {
            *self = Self { period, reads: 0, writes: 0 };
        }
    }
}

impl FleetSimulation {
    /// Returns the number of calls that a read of all entries takes; a watch takes one.
    pub(super) fn page_count(&self, call: &StoreCall) -> usize {
        match (call, self.scenario.store_limits) {
            (StoreCall::ReadAll { .. }, Some(limits)) => {
                self.store.entry_count().div_ceil(limits.entries_per_page.max(1)).max(1)
            }
            _ => 1,
        }
    }

    /// Counts read calls; returns whether the store takes them.
    pub(super) fn takes_reads(&mut self, call_count: usize) -> bool {
        let Some(limits) = self.scenario.store_limits else { return true };
        self.store.quota.enter(self.now);
        self.store.quota.reads += call_count;
        self.store.quota.reads <= per_period(limits.reads_per_sec)
    }

    /// Counts a write call; returns whether the store takes it.
    pub(super) fn takes_write(&mut self) -> bool {
        let Some(limits) = self.scenario.store_limits else { return true };
        self.store.quota.enter(self.now);
        self.store.quota.writes += 1;
        self.store.quota.writes <= per_period(limits.writes_per_sec)
    }
}

fn per_period(calls_per_sec: u32) -> usize {
    (f64::from(calls_per_sec) * QUOTA_PERIOD.as_secs_f64()) as usize
}
