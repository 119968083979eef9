//! Rate-limited log lines for events of the watch controller.

use std::collections::HashMap;
use std::mem::Discriminant;
use std::time::Duration;

use mustardgrade_core::watch::WatchEvent;

use crate::logging::{LogDecision, LogRateLimiter};

/// Maximum number of lines per kind and second. A starting host reports every upstream at once.
const MAX_LINES_PER_SECOND: u32 = 20;

/// `EventLog` writes events to the log, with a rate limit per kind.
#[derive(Debug, Default)]
pub(super) struct EventLog {
    limiters: HashMap<Discriminant<WatchEvent>, LogRateLimiter>,
}

impl EventLog {
    /// Writes a line for `event` if the rate limit of its kind allows it.
    pub(super) fn write(&mut self, event: &WatchEvent, host: &str, now: Duration) {
        let kind = std::mem::discriminant(event);
        let limiter =
            self.limiters.entry(kind).or_insert(LogRateLimiter::new(MAX_LINES_PER_SECOND));
        let LogDecision::Write { omitted } = limiter.admit(now) else { return };
        match event {
            WatchEvent::InvalidRoute { .. }
            | WatchEvent::StoreFailed { .. }
            | WatchEvent::RouteServicesFailed { .. } => {
                log::warn!(host, omitted; "{event}");
            }
            _ => log::info!(host, omitted; "{event}"),
        }
    }
}
