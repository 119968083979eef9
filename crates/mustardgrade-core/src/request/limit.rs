//! The adaptive limit of one upstream.

use std::time::Duration;

/// `LimitOptions` holds the settings of an [`AdaptiveLimit`].
#[derive(Debug, Clone, Copy)]
pub struct LimitOptions {
    /// Times the usual service time at which an answer counts as a sign of a cold upstream.
    pub cold_factor: f64,
    /// Service time below which no answer counts as slow, whatever is usual.
    pub slow_floor: Duration,
    /// Weight of a new answer in the usual service time.
    pub smoothing: f64,
    /// Answers in a row that raise the limit by one; fewer give a starting upstream more than it
    /// bears.
    pub climb_successes: u16,
}

impl Default for LimitOptions {
    fn default() -> Self {
        Self {
            cold_factor: 3.0,
            slow_floor: Duration::from_millis(20),
            smoothing: 0.05,
            climb_successes: 8,
        }
    }
}

/// `AdaptiveLimit` bounds the requests in service at one upstream.
///
/// It starts at 1, climbs by one for each row of successes, steps down for unanswered requests,
/// and falls back to 1 when the upstream shows that it is cold again. What the keeper saw itself decides; reports do not.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    options: LimitOptions,
    limit: u16,
    slots: u16,
    successes: u16,
    unanswered: u16,
    usual: Option<Duration>,
    recent: Option<Duration>,
}

impl AdaptiveLimit {
    /// Creates the limit of an upstream with `slots` slots.
    #[must_use]
    pub fn new(slots: u16, options: LimitOptions) -> Self {
        Self {
            options,
            limit: 1,
            slots: slots.max(1),
            successes: 0,
            unanswered: 0,
            usual: None,
            recent: None,
        }
    }

    /// Returns the number of requests that the upstream may serve now.
    #[must_use]
    pub fn limit(&self) -> u16 {
        self.limit
    }

    /// Returns the usual service time of the warm upstream, once there is one.
    #[must_use]
    pub fn usual(&self) -> Option<Duration> {
        self.usual
    }

    /// Returns the service time that is to be expected now, once there has been an answer.
    #[must_use]
    pub fn expected(&self) -> Option<Duration> {
        self.recent
    }

    /// Changes the number of slots.
    pub fn set_slots(&mut self, slots: u16) {
        self.slots = slots.max(1);
        self.limit = self.limit.min(self.slots);
    }

    /// Continues with the limit of an earlier keeper.
    pub fn resume(&mut self, limit: u16) {
        self.limit = limit.clamp(1, self.slots);
    }

    /// Takes in an answer that took `service_time`.
    pub fn succeed(&mut self, service_time: Duration) {
        self.unanswered = 0;
        self.recent = Some(self.blend(self.recent, service_time));
        if self.is_slow(service_time) {
            self.collapse();
            return;
        }
        if self.limit == self.slots {
            self.learn_usual(service_time);
        }
        self.successes += 1;
        if self.successes >= self.options.climb_successes {
            self.successes = 0;
            self.limit = (self.limit + 1).min(self.slots);
        }
    }

    /// Takes in an unanswered request.
    ///
    /// A single one may be lost by the network; several in a row are the upstream's.
    pub fn miss(&mut self) {
        self.unanswered += 1;
        if self.unanswered > 1 {
            self.limit = (self.limit - 1).max(1);
            self.successes = 0;
        }
    }

    /// Takes in a shed or slow request.
    pub fn collapse(&mut self) {
        self.limit = 1;
        self.successes = 0;
    }

    fn is_slow(&self, service_time: Duration) -> bool {
        let Some(usual) = self.usual else {
            return false;
        };
        let bound = usual.mul_f64(self.options.cold_factor).max(self.options.slow_floor);
        service_time > bound
    }

    fn learn_usual(&mut self, service_time: Duration) {
        self.usual = Some(self.blend(self.usual, service_time));
    }

    fn blend(&self, known: Option<Duration>, service_time: Duration) -> Duration {
        let weight = self.options.smoothing;
        match known {
            Some(known) => known.mul_f64(1.0 - weight) + service_time.mul_f64(weight),
            None => service_time,
        }
    }
}
