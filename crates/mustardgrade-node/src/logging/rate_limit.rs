//! A bound on the lines of each kind.

use std::time::Duration;

/// `LogDecision` says whether a line may be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogDecision {
    /// The line may be written; that many of its kind were left out before it.
    Write {
        /// Lines left out since the last one.
        omitted: u64,
    },
    /// The line is left out and counted.
    Omit,
}

/// `LogRateLimiter` bounds the lines of one kind in each second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogRateLimiter {
    max_per_second: u32,
    current_second: u64,
    written_this_second: u32,
    omitted: u64,
}

impl LogRateLimiter {
    /// Creates the budget of a kind.
    #[must_use]
    pub fn new(max_per_second: u32) -> Self {
        Self { max_per_second, current_second: 0, written_this_second: 0, omitted: 0 }
    }

    /// Asks for a line at `now`.
    pub fn admit(&mut self, now: Duration) -> LogDecision {
        if now.as_secs() != self.current_second {
            self.current_second = now.as_secs();
            self.written_this_second = 0;
        }
        if self.written_this_second >= self.max_per_second {
            self.omitted += 1;
            return LogDecision::Omit;
        }
        self.written_this_second += 1;
        LogDecision::Write { omitted: std::mem::take(&mut self.omitted) }
    }
}
