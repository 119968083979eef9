//! Log lines for what changes the beliefs of a host, bounded by kind.

use std::collections::HashMap;
use std::mem::Discriminant;
use std::time::Duration;

use mustardgrade_core::watch::WatchEvent;

use crate::logging::{LogDecision, LogRateLimiter};

/// Lines of one kind in a second; a host that starts learns of every upstream at once.
const MAX_LINES_PER_SECOND: u32 = 20;

/// `EventLog` writes notes to the log.
#[derive(Debug, Default)]
pub(super) struct EventLog {
    limiters: HashMap<Discriminant<WatchEvent>, LogRateLimiter>,
}

impl EventLog {
    /// Writes a line for `event`, unless its kind has had its lines of this second.
    pub(super) fn write(&mut self, event: &WatchEvent, host: &str, now: Duration) {
        let kind = std::mem::discriminant(event);
        let limiter =
            self.limiters.entry(kind).or_insert(LogRateLimiter::new(MAX_LINES_PER_SECOND));
        let LogDecision::Write { omitted } = limiter.admit(now) else { return };
        match event {
            WatchEvent::InvalidRoute { .. } | WatchEvent::StoreFailed { .. } => {
                log::warn!(host, omitted; "{event}");
            }
            _ => log::info!(host, omitted; "{event}"),
        }
    }
}
