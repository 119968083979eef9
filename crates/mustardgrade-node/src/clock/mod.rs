//! Clock of a running host.

use std::time::{Duration, Instant, SystemTime};

use mustardgrade_core::clock::Clock;

/// `UnixClock` is a monotonic [`Clock`] whose times are durations since the Unix epoch.
///
/// It reads the wall clock only when it is created, so later steps of the wall clock do not affect
/// it.
#[derive(Debug, Clone, Copy)]
pub struct UnixClock {
    started_at: Instant,
    unix_time_at_start: Duration,
}

impl UnixClock {
    /// Creates a clock that starts at the current wall-clock time.
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
