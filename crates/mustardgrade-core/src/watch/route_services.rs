//! Decides when a host writes the services that routes have had to the platform's store.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;

use crate::registry::{RouteServices, StorePosition};

/// Delay before a write after a conflict with another write, which is not repeated if that one
/// holds everything.
const MIN_CONFLICT_DELAY: Duration = Duration::from_millis(500);

/// Delay after the first write that the store did not answer or could not perform.
const MIN_FAILURE_DELAY: Duration = Duration::from_secs(1);

/// Delay after a write that the store rejects; it will most probably reject the next one as well.
const REFUSAL_DELAY: Duration = Duration::from_secs(60);

/// Upper limit of the delays after conflicts and failures.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Time after which a write counts as unanswered.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);

/// Minimum time between two writes, so that several changes in a row are written together.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// `RouteServicesWrite` is a write of the services of all routes, on the condition that the entry
/// has not changed in the meantime.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
#[display("write route-services, expected_revision={expected_revision}")]
pub struct RouteServicesWrite {
    /// Revision that the entry must have for the write to take effect; 0 if it must not exist.
    pub expected_revision: u64,
    /// Services to write.
    pub services: Arc<RouteServices>,
}

/// `StoredServices` is the content of the entry in the store, as far as the host knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredServices {
    /// Position of the entry; if there is none, only its epoch counts.
    pub position: StorePosition,
    /// Whether the entry exists.
    pub exists: bool,
    /// The services; `None` if there is no entry, or if its content cannot be decoded.
    pub services: Option<Arc<RouteServices>>,
}

impl StoredServices {
    fn expected_revision(&self) -> u64 {
        if self.exists { self.position.revision } else { 0 }
    }
}

/// `WriteResult` is the store's answer to a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// The write has taken effect at this position.
    Done(StorePosition),
    /// The entry was changed by another writer, to the given content; nothing was done.
    Conflict(StoredServices),
    /// The store rejects the write, and will reject it again; nothing was done.
    Refused(String),
    /// The store could not perform the write now; nothing was done.
    Failed(String),
    /// No answer: the write may have taken effect, or may do so later if the entry has not changed.
    Unknown(String),
}

/// `WriteCounters` count the results of writes since the start of the host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WriteCounters {
    /// Writes that took effect.
    pub writes: u64,
    /// Writes that another writer's change preceded.
    pub conflicts: u64,
    /// Writes that were rejected, failed or not answered.
    pub failures: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct PendingWrite {
    services: Arc<RouteServices>,
    since: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct WriteInProgress {
    write: RouteServicesWrite,
    replaces_undecodable: bool,
    started_at: Duration,
}

/// `RouteServicesWriter` keeps the write that is due, if any, and the delay before it.
#[derive(Debug, Default)]
pub(super) struct RouteServicesWriter {
    /// What an answer to a write has shown, until the registry holds it.
    answered: Option<StoredServices>,
    pending: Option<PendingWrite>,
    in_progress: Option<WriteInProgress>,
    next_write_at: Duration,
    /// Consecutive writes without lasting effect.
    attempts: u32,
    counters: WriteCounters,
}

impl RouteServicesWriter {
    pub(super) fn counters(&self) -> WriteCounters {
        self.counters
    }

    /// Returns the content of the entry: that of the registry, or what a newer answer has shown.
    pub(super) fn stored(&mut self, in_registry: StoredServices) -> StoredServices {
        let is_newer = |answered: &StoredServices| {
            answered.position.epoch == in_registry.position.epoch
                && answered.position > in_registry.position
        };
        self.answered = self.answered.take().filter(is_newer);
        self.answered.clone().unwrap_or(in_registry)
    }

    /// Records what is to be written; `None` if the store holds everything.
    pub(super) fn set_pending(&mut self, services: Option<RouteServices>, now: Duration) {
        let since = self.pending.as_ref().map_or(now, |pending| pending.since);
        self.pending =
            services.map(|services| PendingWrite { services: Arc::new(services), since });
    }

    /// Returns whether a write is due for a host that lets others go first for `turn_delay`.
    pub(super) fn is_due(&self, turn_delay: Duration, now: Duration) -> bool {
        let waited = |pending: &PendingWrite| now.saturating_sub(pending.since) >= turn_delay;
        self.in_progress.is_none()
            && now >= self.next_write_at
            && self.pending.as_ref().is_some_and(waited)
    }

    /// Starts the write that is pending.
    pub(super) fn start(
        &mut self,
        stored: &StoredServices,
        now: Duration,
    ) -> Option<RouteServicesWrite> {
        let services = Arc::clone(&self.pending.as_ref()?.services);
        let write = RouteServicesWrite { expected_revision: stored.expected_revision(), services };
        self.in_progress = Some(WriteInProgress {
            write: write.clone(),
            replaces_undecodable: stored.exists && stored.services.is_none(),
            started_at: now,
        });
        Some(write)
    }

    /// Returns whether the write in progress has had no answer for too long.
    pub(super) fn is_overdue(&self, now: Duration) -> bool {
        let overdue =
            |write: &WriteInProgress| now.saturating_sub(write.started_at) >= WRITE_TIMEOUT;
        self.in_progress.as_ref().is_some_and(overdue)
    }

    /// Processes the answer to the write in progress; returns whether there was one.
    ///
    /// `jitter_factor` spreads the retries of several hosts.
    pub(super) fn finish(
        &mut self,
        result: &WriteResult,
        jitter_factor: f64,
        now: Duration,
    ) -> bool {
        let Some(WriteInProgress { write, replaces_undecodable, .. }) = self.in_progress.take()
        else {
            return false;
        };
        let min_delay = match result {
            WriteResult::Done(position) => {
                self.counters.writes += 1;
                self.answered = Some(StoredServices {
                    position: *position,
                    exists: true,
                    services: Some(write.services),
                });
                MIN_WRITE_INTERVAL
            }
            WriteResult::Conflict(stored) => {
                self.counters.conflicts += 1;
                // An entry that does not exist was removed after the revision that was expected.
                let mut stored = stored.clone();
                if !stored.exists {
                    stored.position.revision = write.expected_revision + 1;
                }
                self.answered = Some(stored);
                MIN_CONFLICT_DELAY
            }
            WriteResult::Refused(_) => {
                self.counters.failures += 1;
                REFUSAL_DELAY
            }
            WriteResult::Failed(_) | WriteResult::Unknown(_) => {
                self.counters.failures += 1;
                MIN_FAILURE_DELAY
            }
        };
        // A writer that keeps replacing the entry by its own content would otherwise cause a write
        // a second.
        let has_lasting_effect = matches!(result, WriteResult::Done(_)) && !replaces_undecodable;
        let doublings = self.attempts.min(6);
        self.attempts = if has_lasting_effect { 0 } else { self.attempts.saturating_add(1) };
        let delay = match has_lasting_effect {
            true => min_delay,
            false => (min_delay * 2_u32.pow(doublings)).min(MAX_RETRY_DELAY),
        };
        self.next_write_at = now + delay.mul_f64(jitter_factor);
        true
    }
}
