//! Estimate of a route's answer time at the upstreams of a service.

use std::time::Duration;

/// Number of exact samples from which the mean counts as measured.
const MIN_EXACT_SAMPLES: u32 = 8;

/// Number of upper bounds from which their low quantile counts as measured.
const MIN_BOUND_SAMPLES: u32 = 20;

/// Quantile of the upper bounds that is taken as the answer time; few callers send their next
/// request at once.
const BOUND_QUANTILE: f32 = 0.05;

/// Minimum weight of a new exact sample.
const EXACT_GAIN: f32 = 0.02;

/// Minimum step of the quantile, as a binary logarithm.
const QUANTILE_STEP: f32 = 0.1;

/// Maximum distance from the mean, as a binary logarithm, at which a sample counts; a few requests
/// take several times as long as most.
const MAX_DEVIATION: f32 = 2.0;

/// `SampleKind` is what a caller's acknowledgement shows of the answer time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::cookie) enum SampleKind {
    /// The acknowledgement was sent as soon as the answer arrived.
    Exact,
    /// The acknowledgement came with the next request, after the caller's pause.
    Bound,
}

/// `RouteAnswerTime` estimates the answer time of one route's requests, by binary logarithms of
/// milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RouteAnswerTime {
    exact_mean: f32,
    exact_count: u32,
    bound_quantile: f32,
    bound_count: u32,
    /// Moving count of requests, by which routes are weighted.
    pub(super) requests: f32,
    /// Answer time at the last refresh, if it was measured.
    pub(super) time: Option<Duration>,
    /// Timeout of the route; zero if it has none.
    pub(super) timeout: Duration,
}

impl RouteAnswerTime {
    /// Records a sample, given as a binary logarithm of milliseconds.
    pub(super) fn record(&mut self, kind: SampleKind, log_ms: f32) {
        match kind {
            SampleKind::Exact => self.record_exact(log_ms),
            SampleKind::Bound => self.record_bound(log_ms),
        }
    }

    fn record_exact(&mut self, log_ms: f32) {
        self.exact_count = self.exact_count.saturating_add(1);
        if self.exact_count == 1 {
            self.exact_mean = log_ms;
            return;
        }
        let deviation = (log_ms - self.exact_mean).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.exact_mean += deviation * EXACT_GAIN.max(1.0 / self.exact_count as f32);
    }

    fn record_bound(&mut self, log_ms: f32) {
        self.bound_count = self.bound_count.saturating_add(1);
        if self.bound_count == 1 {
            self.bound_quantile = log_ms;
            return;
        }
        let step = QUANTILE_STEP.max(4.0 / self.bound_count as f32);
        match log_ms < self.bound_quantile {
            // A step does not pass the sample that it follows.
            true => {
                let lowered = self.bound_quantile - step * (1.0 - BOUND_QUANTILE);
                self.bound_quantile = lowered.max(log_ms);
            }
            false => self.bound_quantile += step * BOUND_QUANTILE,
        }
    }

    /// Returns whether callers acknowledge the route's answers as soon as they arrive.
    pub(super) fn is_exact(&self) -> bool {
        self.exact_count >= MIN_EXACT_SAMPLES
    }

    /// Returns the answer time as a binary logarithm of milliseconds, if it is measured.
    pub(super) fn log_ms(&self) -> Option<f32> {
        if self.is_exact() {
            return Some(self.exact_mean);
        }
        let assumed_log_ms = log_ms(super::ASSUMED_ANSWER_DELAY);
        (self.bound_count >= MIN_BOUND_SAMPLES).then(|| self.bound_quantile.min(assumed_log_ms))
    }
}

/// Returns the binary logarithm of a time in milliseconds.
pub(super) fn log_ms(time: Duration) -> f32 {
    (time.as_secs_f32() * 1_000.0).max(f32::MIN_POSITIVE).log2()
}

/// Returns the time with the given binary logarithm in milliseconds, up to `max`.
pub(super) fn time_of(log_ms: f32, max: Duration) -> Duration {
    Duration::try_from_secs_f32(log_ms.exp2() / 1_000.0).map_or(max, |time| time.min(max))
}
