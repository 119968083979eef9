//! Time as the cores see it: an interface that is passed in.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// `Clock` reports the time since an arbitrary fixed origin.
///
/// Implementations never go backwards.
pub trait Clock {
    /// Returns the time since the origin.
    fn now(&self) -> Duration;
}

/// `SystemClock` is a [`Clock`] over the monotonic clock of the operating system.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// Creates a clock whose origin is the moment of the call.
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

/// `ManualClock` is a [`Clock`] that a scenario or a test advances by hand.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: Cell<Duration>,
}

impl ManualClock {
    /// Moves the clock to `now`; an earlier time than the current one is ignored.
    pub fn advance_to(&self, now: Duration) {
        self.now.set(self.now.get().max(now));
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        self.now.get()
    }
}
