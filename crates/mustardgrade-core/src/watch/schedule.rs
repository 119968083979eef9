//! When a host calls the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Failed calls after which the patience with a call grows no more.
const MAX_TIMEOUT_INCREASES: u32 = 5;

/// `WatchSchedule` holds the times that decide when a host calls the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchSchedule {
    /// Time that a watch waits in the store.
    pub max_watch_wait: Duration,
    /// Time after which a silent call is given up, beyond what it waits.
    pub base_call_timeout: Duration,
    /// Pause between a change and the next watch, in which further changes gather.
    pub coalescing_delay: Duration,
    /// Age of the last confirmation at which the second host in order calls the store.
    pub min_takeover_age: Duration,
    /// Further age for each rank after it.
    pub takeover_age_step: Duration,
    /// Time from the start before a host that others may answer calls the store.
    pub first_read_delay: Duration,
    /// Time from the start before a host takes up the watch by rank.
    pub initial_duty_delay: Duration,
    /// First pause after a call failed, while nothing fresh is heard.
    pub min_retry_delay: Duration,
    /// Longest pause after calls failed.
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

    /// Returns the time after which a silent call is given up, beyond what it waits.
    ///
    /// A store that is slow rather than silent answers a later call.
    #[must_use]
    pub fn call_timeout(&self, consecutive_failures: u32) -> Duration {
        self.base_call_timeout * (consecutive_failures.min(MAX_TIMEOUT_INCREASES) + 1)
    }

    /// Returns the pause after `failures` calls failed in a row at a host of `rank`.
    ///
    /// A host that hears fresh digests from others waits longest: it is only turned away itself.
    #[must_use]
    pub fn retry_delay(
        &self,
        consecutive_failures: u32,
        rank: usize,
        confirmation_fresh: bool,
    ) -> Duration {
        let rank_doublings = u32::try_from(rank).unwrap_or(u32::MAX);
        let doublings = match confirmation_fresh {
            true => consecutive_failures.saturating_add(2),
            false => rank_doublings.saturating_add(consecutive_failures.saturating_sub(4) / 4),
        };
        (self.min_retry_delay * 2_u32.pow(doublings.min(6))).min(self.max_retry_delay)
    }
}
