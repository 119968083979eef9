//! Rate limit of log lines.

use std::time::Duration;

/// `LogDecision` says whether a log line is within the rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogDecision {
    /// Write the line.
    Write {
        /// Number of lines omitted since the last one that was written.
        omitted: u64,
    },
    /// Do not write the line; it has been counted as omitted.
    Omit,
}

/// `LogRateLimiter` limits the log lines of one kind per clock second and counts the omitted ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogRateLimiter {
    max_per_second: u32,
    current_second: u64,
    written_this_second: u32,
    omitted: u64,
}

impl LogRateLimiter {
    /// Creates a limiter that admits `max_per_second` lines per clock second.
    #[must_use]
    pub fn new(max_per_second: u32) -> Self {
        Self { max_per_second, current_second: 0, written_this_second: 0, omitted: 0 }
    }

    /// Decides whether a line may be written at `now`.
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
