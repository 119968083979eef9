//! Time sources, which are passed to the decision logic instead of being read by it.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// `Clock` reports the time since an arbitrary fixed origin.
///
/// Implementations are monotonic: the reported time never decreases.
pub trait Clock {
    /// Returns the time since the origin.
    fn now(&self) -> Duration;
}

/// `SystemClock` is a [`Clock`] that reads the monotonic clock of the operating system.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// Creates a clock whose origin is the time of this call.
    #[must_use]
    pub fn new() -> Self {
        Self { origin: Instant::now() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        self.origin.elapsed()
    }
}

/// `ManualClock` is a [`Clock`] that a scenario or a test advances explicitly.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: Cell<Duration>,
}

impl ManualClock {
    /// Advances the clock to `now`; a time before the current one is ignored.
    pub fn advance_to(&self, now: Duration) {
        self.now.set(self.now.get().max(now));
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        self.now.get()
    }
}
