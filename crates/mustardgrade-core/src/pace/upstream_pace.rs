//! Limit of one upstream that adapts to its answers.

use std::time::Duration;

/// `PaceState` is whether the limit of an upstream still rises.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceState {
    /// The limit is at its full value.
    Steady,
    /// The limit is below its full value and rises with answers in time.
    Ramping,
}

/// `PaceStep` is by how much a limit rises and falls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceStep {
    /// By a fixed amount.
    Add(u32),
    /// By a factor of two.
    Double,
}

/// `PaceOptions` holds the settings of an [`UpstreamPace`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceOptions {
    /// Limit at which a ramp starts, and below which the limit does not fall.
    pub start: u32,
    /// Amount by which the limit rises and falls.
    pub step: PaceStep,
    /// Missing answers in succession that do not lower the limit, since a packet may be lost.
    pub tolerated_missing: u16,
    /// Minimum time from one change of the limit to the next rise.
    pub rise_interval: Duration,
}

/// `UpstreamPace` is a limit on the load of one upstream.
///
/// It starts low, rises after a number of answers in time, and falls with answers that are late
/// or missing. The unit of the limit is that of its user: requests in flight, or a share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamPace {
    options: PaceOptions,
    limit: u32,
    full: u32,
    /// Answers in time since the limit last changed.
    in_time: u16,
    /// Late answers since then.
    late: u16,
    consecutive_missing: u16,
    changed_at: Duration,
}

impl UpstreamPace {
    /// Creates the pace of an upstream that starts, whose limit can rise to `full`.
    #[must_use]
    pub fn ramping(full: u32, options: PaceOptions) -> Self {
        let full = full.max(options.start);
        let limit = options.start;
        let changed_at = Duration::ZERO;
        Self { options, limit, full, in_time: 0, late: 0, consecutive_missing: 0, changed_at }
    }

    /// Creates the pace of an upstream whose limit is at its full value.
    #[must_use]
    pub fn steady(full: u32, options: PaceOptions) -> Self {
        let ramping = Self::ramping(full, options);
        Self { limit: ramping.full, ..ramping }
    }

    /// Returns the limit.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns whether the limit still rises.
    #[must_use]
    pub fn state(&self) -> PaceState {
        match self.limit < self.full {
            true => PaceState::Ramping,
            false => PaceState::Steady,
        }
    }

    /// Returns the answers in time since the limit last changed.
    #[must_use]
    pub fn in_time(&self) -> u16 {
        self.in_time
    }

    /// Returns the late answers since the limit last changed.
    #[must_use]
    pub fn late(&self) -> u16 {
        self.late
    }

    /// Returns when the limit last changed or was last held.
    #[must_use]
    pub fn changed_at(&self) -> Duration {
        self.changed_at
    }

    /// Sets the full value, which is the upper bound of the limit.
    pub fn set_full(&mut self, full: u32) {
        self.full = full.max(self.options.start);
        self.limit = self.limit.min(self.full);
    }

    /// Starts the ramp, again if there is one.
    pub fn restart(&mut self, now: Duration) {
        self.change_limit(self.options.start, now);
    }

    /// Records an answer in time.
    pub fn record_in_time(&mut self) {
        self.record_alive();
        self.in_time = self.in_time.saturating_add(1);
    }

    /// Records that the upstream has answered, in time or not.
    pub fn record_alive(&mut self) {
        self.consecutive_missing = 0;
    }

    /// Records a late answer; the limit falls if most answers are late.
    pub fn record_late(&mut self, now: Duration) {
        self.record_alive();
        self.late = self.late.saturating_add(1);
        if self.late > self.in_time {
            self.change_limit(self.lowered(), now);
        }
    }

    /// Records a missing answer; the limit falls after more than the tolerated number of them.
    pub fn record_missing(&mut self, now: Duration) {
        self.consecutive_missing = self.consecutive_missing.saturating_add(1);
        if self.consecutive_missing > self.options.tolerated_missing {
            self.change_limit(self.lowered(), now);
        }
    }

    /// Raises the limit if at least `answers_needed` answers were in time since its last change,
    /// and that is long enough ago.
    pub fn rise_if_due(&mut self, answers_needed: u16, now: Duration) {
        if self.in_time >= answers_needed && self.is_interval_over(now) {
            self.rise(now);
        }
    }

    /// Returns whether the last change of the limit is long enough ago for a rise.
    #[must_use]
    pub fn is_interval_over(&self, now: Duration) -> bool {
        now.saturating_sub(self.changed_at) >= self.options.rise_interval
    }

    /// Raises the limit by one step.
    pub fn rise(&mut self, now: Duration) {
        let raised = match self.options.step {
            PaceStep::Add(amount) => self.limit.saturating_add(amount),
            PaceStep::Double => self.limit.saturating_mul(2),
        };
        self.change_limit(raised.min(self.full), now);
    }

    fn lowered(&self) -> u32 {
        let lowered = match self.options.step {
            PaceStep::Add(amount) => self.limit.saturating_sub(amount),
            PaceStep::Double => self.limit / 2,
        };
        lowered.max(self.options.start)
    }

    fn change_limit(&mut self, limit: u32, now: Duration) {
        self.limit = limit;
        self.in_time = 0;
        self.late = 0;
        self.changed_at = now;
    }
}
