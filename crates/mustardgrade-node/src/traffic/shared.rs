//! What the control thread publishes to traffic threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use mustardgrade_core::flow::RoutingSnapshot;
use mustardgrade_core::request::RequestSnapshot;

/// `HeardCell` holds the time at which the tables were last known to be current.
#[derive(Debug, Default)]
pub struct AtomicTime(AtomicU64);

impl AtomicTime {
    /// Publishes a time.
    pub fn set(&self, at: Duration) {
        self.0.store(at.as_millis() as u64, Ordering::Release);
    }

    /// Returns the published time.
    #[must_use]
    pub fn get(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Acquire))
    }
}

/// `TrafficShared` is read by all traffic threads of a host.
#[derive(Debug, Default)]
pub struct SharedTrafficState {
    /// Snapshot for flows.
    pub routing_snapshot: ArcSwap<RoutingSnapshot>,
    /// Snapshot for requests.
    pub request_snapshot: ArcSwap<RequestSnapshot>,
    /// Time at which the tables were last known to be current.
    pub tables_confirmed_at: AtomicTime,
}

impl SharedTrafficState {
    /// Creates the shared state of a host that has not started yet.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }
}
