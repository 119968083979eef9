//! Adaptive concurrency limit of one upstream.

use std::time::Duration;

use crate::pace::{PaceOptions, PaceStep, UpstreamPace};

/// Limit of a new upstream, which may be cold.
const START_LIMIT: u32 = 1;

/// `ConcurrencyLimitOptions` holds the settings of a [`ConcurrencyLimit`].
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencyLimitOptions {
    /// Multiple of the baseline service time above which a response counts as slow, which is taken
    /// as a sign that the upstream is cold.
    pub slow_response_factor: f64,
    /// Service time up to which a response never counts as slow, whatever the baseline is.
    pub min_slow_service_time: Duration,
    /// Weight of a new sample in the moving averages of the service time.
    pub ewma_weight: f64,
    /// Responses after which the limit is raised by one; a lower number overloads an upstream that
    /// is still warming up.
    pub responses_per_increase: u16,
}

impl Default for ConcurrencyLimitOptions {
    fn default() -> Self {
        Self {
            slow_response_factor: 3.0,
            min_slow_service_time: Duration::from_millis(20),
            ewma_weight: 0.05,
            responses_per_increase: 8,
        }
    }
}

/// `ConcurrencyLimit` bounds the number of in-flight requests at one upstream by an
/// [`UpstreamPace`], and tells slow responses by a moving average of the service time.
///
/// The limit starts at 1, rises by one after a number of responses, falls by one for each
/// consecutive timeout after the first, and returns to 1 when a slow or shed request shows that the
/// upstream is cold. Only what the dispatcher itself observes changes it, not reports from others.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    options: ConcurrencyLimitOptions,
    pace: UpstreamPace,
    slots: u16,
    /// Moving average over responses that were not slow, at the full limit only.
    baseline_service_time: Option<Duration>,
    /// Moving average over all responses.
    smoothed_service_time: Option<Duration>,
}

impl ConcurrencyLimit {
    /// Creates a limit of 1 that can rise to `slots`.
    #[must_use]
    pub fn new(slots: u16, options: ConcurrencyLimitOptions) -> Self {
        let pace_options = PaceOptions {
            start: START_LIMIT,
            step: PaceStep::Add(1),
            tolerated_missing: 1,
            rise_interval: Duration::ZERO,
        };
        let slots = slots.max(1);
        Self {
            options,
            pace: UpstreamPace::ramping(u32::from(slots), pace_options),
            slots,
            baseline_service_time: None,
            smoothed_service_time: None,
        }
    }

    /// Returns the number of requests that may be in flight at the upstream now.
    #[must_use]
    pub fn current(&self) -> u16 {
        u16::try_from(self.pace.limit()).unwrap_or(u16::MAX)
    }

    /// Returns the average service time of the warm upstream, once the limit has reached the slots.
    #[must_use]
    pub fn baseline_service_time(&self) -> Option<Duration> {
        self.baseline_service_time
    }

    /// Returns the average service time of recent responses, once there has been one.
    #[must_use]
    pub fn expected_service_time(&self) -> Option<Duration> {
        self.smoothed_service_time
    }

    /// Sets the number of slots, which is the upper bound of the limit.
    pub fn set_slots(&mut self, slots: u16) {
        self.slots = slots.max(1);
        self.pace.set_full(u32::from(self.slots));
    }

    /// Records a response that took `service_time`; a slow one resets the limit.
    pub fn record_response(&mut self, service_time: Duration) {
        self.pace.record_alive();
        self.smoothed_service_time =
            Some(self.update_ewma(self.smoothed_service_time, service_time));
        if self.is_slow(service_time) {
            self.reset();
            return;
        }
        if self.current() == self.slots {
            self.update_baseline(service_time);
        }
        self.record_untimed_response();
    }

    /// Records a response whose service time is not known, since this host stalled meanwhile.
    pub fn record_untimed_response(&mut self) {
        self.pace.record_in_time();
        self.pace.rise_if_due(self.options.responses_per_increase, Duration::ZERO);
    }

    /// Records a request that was not answered before its deadline.
    ///
    /// A single timeout may be caused by packet loss; consecutive ones are attributed to the
    /// upstream and lower the limit.
    pub fn record_timeout(&mut self) {
        self.pace.record_missing(Duration::ZERO);
    }

    /// Sets the limit back to 1, after a shed request or a slow response.
    pub fn reset(&mut self) {
        self.pace.restart(Duration::ZERO);
    }

    fn is_slow(&self, service_time: Duration) -> bool {
        let Some(baseline) = self.baseline_service_time else {
            return false;
        };
        let slow_threshold = baseline
            .mul_f64(self.options.slow_response_factor)
            .max(self.options.min_slow_service_time);
        service_time > slow_threshold
    }

    fn update_baseline(&mut self, service_time: Duration) {
        self.baseline_service_time =
            Some(self.update_ewma(self.baseline_service_time, service_time));
    }

    fn update_ewma(&self, average: Option<Duration>, service_time: Duration) -> Duration {
        let weight = self.options.ewma_weight;
        match average {
            Some(average) => average.mul_f64(1.0 - weight) + service_time.mul_f64(weight),
            None => service_time,
        }
    }
}
