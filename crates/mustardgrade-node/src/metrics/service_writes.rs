//! Counts of writes of the services that routes have had.

use std::sync::atomic::{AtomicU64, Ordering};

use mustardgrade_core::watch::WriteCounters;

/// `ServiceWriteCounts` are the counters of the controller, as last published.
#[derive(Debug, Default)]
pub struct ServiceWriteCounts {
    /// Writes that took effect.
    pub writes: AtomicU64,
    /// Writes that another writer's change preceded.
    pub conflicts: AtomicU64,
    /// Writes that were rejected, failed or not answered.
    pub failures: AtomicU64,
}

impl ServiceWriteCounts {
    /// Publishes the counters.
    pub fn publish(&self, counters: WriteCounters) {
        self.writes.store(counters.writes, Ordering::Relaxed);
        self.conflicts.store(counters.conflicts, Ordering::Relaxed);
        self.failures.store(counters.failures, Ordering::Relaxed);
    }
}
