//! When a host calls the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Failed calls after which the patience with a call grows no more.
const MOST_PATIENCE: u32 = 5;

/// `WatchSchedule` holds the times that decide when a host calls the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchSchedule {
    /// Time that a watch waits in the store.
    pub watch_wait: Duration,
    /// Time after which a silent call is given up, beyond what it waits.
    pub call_patience: Duration,
    /// Pause between a change and the next watch, in which further changes gather.
    pub gather: Duration,
    /// Age of the last confirmation at which the second host in order calls the store.
    pub takeover: Duration,
    /// Further age for each rank after it.
    pub takeover_step: Duration,
    /// Time from the start before a host that others may answer calls the store.
    pub boot_patience: Duration,
    /// Time from the start before a host takes up the watch by rank.
    pub settle: Duration,
    /// First pause after a call failed, while nothing fresh is heard.
    pub retry: Duration,
    /// Longest pause after calls failed.
    pub retry_limit: Duration,
}

impl Default for WatchSchedule {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_millis(1_800),
            call_patience: Duration::from_millis(400),
            gather: Duration::from_millis(250),
            takeover: Duration::from_millis(2_250),
            takeover_step: Duration::from_millis(150),
            boot_patience: Duration::from_millis(40),
            settle: Duration::from_millis(700),
            retry: Duration::from_millis(400),
            retry_limit: Duration::from_secs(4),
        }
    }
}

impl WatchSchedule {
    /// Returns the age of the last confirmation at which a host of `rank` calls the store.
    #[must_use]
    pub fn takeover_age(&self, rank: usize) -> Duration {
        let steps = u32::try_from(rank.saturating_sub(1)).unwrap_or(u32::MAX).min(16);
        self.takeover + self.takeover_step * steps
    }

    /// Returns the time after which a silent call is given up, beyond what it waits.
    ///
    /// A store that is slow rather than silent answers a later call.
    #[must_use]
    pub fn patience(&self, failures: u32) -> Duration {
        self.call_patience * (failures.min(MOST_PATIENCE) + 1)
    }

    /// Returns the pause after `failures` calls failed in a row at a host of `rank`.
    ///
    /// A host that hears fresh digests from others waits longest: it is only turned away itself.
    #[must_use]
    pub fn retry_pause(&self, failures: u32, rank: usize, covered: bool) -> Duration {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let doublings = match covered {
            true => failures.saturating_add(2),
            false => rank.saturating_add(failures.saturating_sub(4) / 4),
        };
        (self.retry * 2_u32.pow(doublings.min(6))).min(self.retry_limit)
    }
}
