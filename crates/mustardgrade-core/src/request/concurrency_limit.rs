//! The adaptive limit of one upstream.

use std::time::Duration;

/// `ConcurrencyLimitOptions` holds the settings of an [`ConcurrencyLimit`].
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencyLimitOptions {
    /// Times the usual service time at which an answer counts as a sign of a cold upstream.
    pub slow_response_factor: f64,
    /// Service time below which no answer counts as slow, whatever is usual.
    pub min_slow_service_time: Duration,
    /// Weight of a new answer in the usual service time.
    pub ewma_weight: f64,
    /// Answers in a row that raise the limit by one; fewer give a starting upstream more than it
    /// bears.
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

/// `ConcurrencyLimit` bounds the requests in service at one upstream.
///
/// It starts at 1, climbs by one for each row of successes, steps down for unanswered requests,
/// and falls back to 1 when the upstream shows that it is cold again. What the keeper saw itself decides; reports do not.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    options: ConcurrencyLimitOptions,
    limit: u16,
    slots: u16,
    responses_since_increase: u16,
    consecutive_timeouts: u16,
    baseline_service_time: Option<Duration>,
    smoothed_service_time: Option<Duration>,
}

impl ConcurrencyLimit {
    /// Creates the limit of an upstream with `slots` slots.
    #[must_use]
    pub fn new(slots: u16, options: ConcurrencyLimitOptions) -> Self {
        Self {
            options,
            limit: 1,
            slots: slots.max(1),
            responses_since_increase: 0,
            consecutive_timeouts: 0,
            baseline_service_time: None,
            smoothed_service_time: None,
        }
    }

    /// Returns the number of requests that the upstream may serve now.
    #[must_use]
    pub fn current(&self) -> u16 {
        self.limit
    }

    /// Returns the usual service time of the warm upstream, once there is one.
    #[must_use]
    pub fn baseline_service_time(&self) -> Option<Duration> {
        self.baseline_service_time
    }

    /// Returns the service time that is to be expected now, once there has been an answer.
    #[must_use]
    pub fn expected_service_time(&self) -> Option<Duration> {
        self.smoothed_service_time
    }

    /// Changes the number of slots.
    pub fn set_slots(&mut self, slots: u16) {
        self.slots = slots.max(1);
        self.limit = self.limit.min(self.slots);
    }

    /// Continues with the limit of an earlier keeper.
    pub fn restore(&mut self, limit: u16) {
        self.limit = limit.clamp(1, self.slots);
    }

    /// Takes in an answer that took `service_time`.
    pub fn record_response(&mut self, service_time: Duration) {
        self.consecutive_timeouts = 0;
        self.smoothed_service_time =
            Some(self.update_ewma(self.smoothed_service_time, service_time));
        if self.is_slow(service_time) {
            self.reset();
            return;
        }
        if self.limit == self.slots {
            self.update_baseline(service_time);
        }
        self.responses_since_increase += 1;
        if self.responses_since_increase >= self.options.responses_per_increase {
            self.responses_since_increase = 0;
            self.limit = (self.limit + 1).min(self.slots);
        }
    }

    /// Takes in an unanswered request.
    ///
    /// A single one may be lost by the network; several in a row are the upstream's.
    pub fn record_timeout(&mut self) {
        self.consecutive_timeouts += 1;
        if self.consecutive_timeouts > 1 {
            self.limit = (self.limit - 1).max(1);
            self.responses_since_increase = 0;
        }
    }

    /// Takes in a shed or slow request.
    pub fn reset(&mut self) {
        self.limit = 1;
        self.responses_since_increase = 0;
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
