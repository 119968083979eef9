//! A bound on the lines of each kind.

use std::time::Duration;

/// `LineGrant` says whether a line may be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineGrant {
    /// The line may be written; that many of its kind were left out before it.
    Write {
        /// Lines left out since the last one.
        omitted: u64,
    },
    /// The line is left out and counted.
    Omit,
}

/// `LineBudget` bounds the lines of one kind in each second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LineBudget {
    per_second: u32,
    second: u64,
    written: u32,
    omitted: u64,
}

impl LineBudget {
    /// Creates the budget of a kind.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self { per_second, second: 0, written: 0, omitted: 0 }
    }

    /// Asks for a line at `now`.
    pub fn ask(&mut self, now: Duration) -> LineGrant {
        if now.as_secs() != self.second {
            self.second = now.as_secs();
            self.written = 0;
        }
        if self.written >= self.per_second {
            self.omitted += 1;
            return LineGrant::Omit;
        }
        self.written += 1;
        LineGrant::Write { omitted: std::mem::take(&mut self.omitted) }
    }
}
