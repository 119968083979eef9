//! Counts of request outcomes in a sliding window.

use std::time::Duration;

use super::evidence::{OutcomeCounts, RequestOutcome};

/// Length of a period, by which outcomes leave the window.
const PERIOD: Duration = Duration::from_millis(500);

/// Periods of the window. Three seconds hold enough requests of one upstream at the usual load of a
/// data centre, and forget those from before a failure soon.
const PERIODS: usize = 6;

/// `OutcomeWindow` counts the outcomes of the last periods.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OutcomeWindow {
    periods: [OutcomeCounts; PERIODS],
    latest: u32,
}

impl OutcomeWindow {
    /// Adds an outcome; `expected` is the failed share that is usual for its route. Returns the
    /// number of its period.
    pub(super) fn record(&mut self, outcome: RequestOutcome, expected: f32, now: Duration) -> u32 {
        self.advance(now);
        self.periods[self.latest as usize % PERIODS].add(outcome, expected);
        self.latest
    }

    /// Turns a failure of `period` into a slow answer, if the window still contains it.
    pub(super) fn retract_failure(&mut self, period: u32, now: Duration) {
        self.advance(now);
        if self.latest.saturating_sub(period) < PERIODS as u32 {
            self.periods[period as usize % PERIODS].retract_failure();
        }
    }

    /// Returns the sums over the window.
    pub(super) fn counts(&mut self, now: Duration) -> OutcomeCounts {
        self.advance(now);
        self.periods.iter().fold(OutcomeCounts::default(), |sum, counts| sum.plus(counts))
    }

    fn advance(&mut self, now: Duration) {
        let period = (now.as_millis() / PERIOD.as_millis()) as u32;
        let elapsed = period.saturating_sub(self.latest).min(PERIODS as u32);
        for offset in 0..elapsed {
            self.periods[(period - offset) as usize % PERIODS] = OutcomeCounts::default();
        }
        self.latest = self.latest.max(period);
    }
}
