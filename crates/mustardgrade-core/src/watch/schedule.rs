//! Timing of store calls.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of failed calls after which the call timeout stops increasing.
const MAX_TIMEOUT_INCREASES: u32 = 5;

/// `WatchSchedule` holds the delays and timeouts of a host's store calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchSchedule {
    /// Maximum time that the store waits for a change before it answers a watch.
    pub max_watch_wait: Duration,
    /// Timeout of a call without preceding failures, on top of the time that the store may wait.
    pub base_call_timeout: Duration,
    /// Delay between a change and the next watch, so that it returns several changes at once.
    pub coalescing_delay: Duration,
    /// Age of the last confirmation at which the hosts of ranks 0 and 1 call the store.
    pub min_takeover_age: Duration,
    /// Additional age for each further rank, up to 16 ranks.
    pub takeover_age_step: Duration,
    /// Mean delay after the start before a host that is not a seed host reads the store; other
    /// hosts may supply the registry earlier.
    pub first_read_delay: Duration,
    /// Delay after the start before a host takes on the watch because of its rank.
    pub initial_duty_delay: Duration,
    /// Shortest delay after a failed call, used by the host of rank 0 while confirmations are
    /// overdue.
    pub min_retry_delay: Duration,
    /// Upper limit of the delay after failed calls.
    pub max_retry_delay: Duration,
}

impl Default for WatchSchedule {
    fn default() -> Self {
        Self {
            max_watch_wait: Duration::from_millis(1_800),
            base_call_timeout: Duration::from_millis(400),
            coalescing_delay: Duration::from_millis(250),
            min_takeover_age: Duration::from_millis(2_250),
            takeover_age_step: Duration::from_millis(150),
            first_read_delay: Duration::from_millis(40),
            initial_duty_delay: Duration::from_millis(700),
            min_retry_delay: Duration::from_millis(400),
            max_retry_delay: Duration::from_secs(4),
        }
    }
}

impl WatchSchedule {
    /// Returns the age of the last confirmation at which a host of `rank` calls the store.
    #[must_use]
    pub fn takeover_age(&self, rank: usize) -> Duration {
        let steps = u32::try_from(rank.saturating_sub(1)).unwrap_or(u32::MAX).min(16);
        self.min_takeover_age + self.takeover_age_step * steps
    }

    /// Returns the timeout of a call, on top of the time that the store may wait.
    ///
    /// It increases with each failure, so that a slow store can still answer a later call.
    #[must_use]
    pub fn call_timeout(&self, consecutive_failures: u32) -> Duration {
        self.base_call_timeout * (consecutive_failures.min(MAX_TIMEOUT_INCREASES) + 1)
    }

    /// Returns the delay before a host of `rank` calls again after consecutive failures.
    ///
    /// It is longest while other hosts reach the store and only this host's calls fail.
    #[must_use]
    pub fn retry_delay(
        &self,
        consecutive_failures: u32,
        rank: usize,
        others_reach_store: bool,
    ) -> Duration {
        let rank_doublings = u32::try_from(rank).unwrap_or(u32::MAX);
        let doublings = match others_reach_store {
            true => consecutive_failures.saturating_add(2),
            false => rank_doublings.saturating_add(consecutive_failures.saturating_sub(4) / 4),
        };
        (self.min_retry_delay * 2_u32.pow(doublings.min(6))).min(self.max_retry_delay)
    }
}
