//! Clocks of a running host.

use std::time::{Duration, Instant, SystemTime};

use mustardgrade_core::clock::Clock;

/// `UnixClock` is a [`Clock`] that counts from the Unix epoch and never goes backwards.
///
/// It reads the wall clock once; a later step of the wall clock does not move it.
#[derive(Debug, Clone, Copy)]
pub struct UnixClock {
    started_at: Instant,
    unix_time_at_start: Duration,
}

impl UnixClock {
    /// Creates a clock from the current wall time.
    #[must_use]
    pub fn new() -> Self {
        let unix_time_at_start =
            SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Self { started_at: Instant::now(), unix_time_at_start }
    }
}

impl Default for UnixClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for UnixClock {
    fn now(&self) -> Duration {
        self.unix_time_at_start + self.started_at.elapsed()
    }
}
