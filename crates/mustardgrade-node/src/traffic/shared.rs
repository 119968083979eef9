//! State that the control thread publishes to the traffic threads and the request thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use mustardgrade_core::flow::RoutingSnapshot;
use mustardgrade_core::request::RequestSnapshot;

/// `AtomicTime` is a time of the host's clock, in milliseconds, that threads share without locks.
#[derive(Debug, Default)]
pub struct AtomicTime(AtomicU64);

impl AtomicTime {
    /// Stores a time.
    pub fn set(&self, at: Duration) {
        self.0.store(at.as_millis() as u64, Ordering::Release);
    }

    /// Returns the stored time, rounded down to milliseconds.
    #[must_use]
    pub fn get(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Acquire))
    }
}

/// `SharedTrafficState` is read by all traffic threads and the request thread of a host.
#[derive(Debug, Default)]
pub struct SharedTrafficState {
    /// Snapshot by which the traffic threads route flows.
    pub routing_snapshot: ArcSwap<RoutingSnapshot>,
    /// Snapshot by which the request thread routes requests.
    pub request_snapshot: ArcSwap<RequestSnapshot>,
    /// Time at which the placement tables were last confirmed to be up to date.
    pub tables_confirmed_at: AtomicTime,
}

impl SharedTrafficState {
    /// Creates the state of a host that has not received rules or a placement yet.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }
}
