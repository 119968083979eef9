//! Clock of a running host.

use std::time::{Duration, SystemTime};

use mustardgrade_core::clock::Clock;
use nix::time::{ClockId, clock_gettime};

/// `UnixClock` is a monotonic [`Clock`] whose times are durations since the Unix epoch.
///
/// It reads the wall clock only when it is created, so later steps of the wall clock do not affect
/// it. Unlike [`std::time::Instant`] it counts the time for which the machine is suspended, so that a
/// host notices afterwards that it has stalled.
#[derive(Debug, Clone, Copy)]
pub struct UnixClock {
    /// Time since the machine was booted.
    started_at: Duration,
    unix_time_at_start: Duration,
}

impl UnixClock {
    /// Creates a clock that starts at the current wall-clock time.
    #[must_use]
    pub fn new() -> Self {
        let unix_time_at_start =
            SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Self { started_at: time_since_boot(), unix_time_at_start }
    }
}

impl Default for UnixClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for UnixClock {
    fn now(&self) -> Duration {
        self.unix_time_at_start + time_since_boot().saturating_sub(self.started_at)
    }
}

/// # Panics
///
/// Panics if the kernel has no such clock; Linux has had it since 2.6.39.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel counts time since boot");
    Duration::from(time)
}
