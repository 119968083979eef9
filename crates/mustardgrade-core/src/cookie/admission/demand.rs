//! Moving rates of events.

use std::time::Duration;

/// Time constant of the rates. What other hosts report is up to 350 ms old, so a shorter one would
/// add noise and show an overload hardly earlier.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// Returns the weight of what happened within `elapsed` in a moving average over `window`.
pub(super) fn sample_weight(elapsed: Duration, window: Duration) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / window.as_secs_f64()).exp()
}

/// `EventRate` is a moving average of events per second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct EventRate {
    count: u32,
    per_sec: f64,
}

impl EventRate {
    /// Counts one event.
    pub(super) fn add(&mut self) {
        self.count += 1;
    }

    /// Averages the events counted within the last `elapsed`.
    pub(super) fn update(&mut self, elapsed: Duration) {
        let sample = f64::from(std::mem::take(&mut self.count)) / elapsed.as_secs_f64();
        self.per_sec += (sample - self.per_sec) * sample_weight(elapsed, RATE_WINDOW);
    }

    /// Returns the events per second.
    pub(super) fn per_sec(&self) -> f64 {
        self.per_sec
    }
}
