//! A platform's store: items with revisions, reads and watches.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardgrade_core::registry::{RegistryChange, RegistryKey, RegistryValue};
use mustardgrade_core::watch::{ChangeBatch, StoreCall, StoreFailure, WatchInput};

use super::FleetWorld;
use super::event::FleetEvent;

/// Time that the store takes for an answer when all is well.
pub(super) const ANSWER_TIME: Duration = Duration::from_millis(4);

/// `StoreMood` is how the store answers a host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum StoreMood {
    /// It answers.
    #[default]
    Well,
    /// Nothing comes back.
    Silent,
    /// It answers with a failure.
    Busy,
}

/// `WaitingWatch` is a watch without an event so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WaitingWatch {
    host: usize,
    run: u64,
    call: u64,
    after: u64,
}

/// `RegistryStore` is the store.
#[derive(Debug)]
pub(super) struct RegistryStore {
    items: BTreeMap<RegistryKey, RegistryChange>,
    log: Vec<RegistryChange>,
    revision: u64,
    waiting: Vec<WaitingWatch>,
    /// Time that the store takes for an answer.
    pub(super) time: Duration,
    /// Oldest revision that a watch can begin after.
    pub(super) history_from: u64,
    /// Calls so far.
    pub(super) calls: usize,
}

impl Default for RegistryStore {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            log: Vec::new(),
            revision: 1,
            waiting: Vec::new(),
            time: ANSWER_TIME,
            history_from: 0,
            calls: 0,
        }
    }
}

impl RegistryStore {
    /// Accepts a change.
    fn accept(&mut self, key: RegistryKey, value: RegistryValue) {
        self.revision += 1;
        let revision = self.revision;
        let change = RegistryChange { key: key.clone(), revision, value, age: Duration::ZERO };
        match change.value {
            RegistryValue::Removed { .. } => self.items.remove(&key),
            _ => self.items.insert(key, change.clone()),
        };
        self.log.push(change);
    }

    fn log_after(&self, after: u64) -> ChangeBatch {
        let first = self.log.partition_point(|change| change.revision <= after);
        ChangeBatch {
            after_revision: after,
            through_revision: self.revision,
            changes: self.log[first..].to_vec(),
        }
    }

    /// Returns the answer to a call; nothing for a watch that has to wait.
    fn answer(&self, kind: &StoreCall) -> Option<Result<ChangeBatch, StoreFailure>> {
        match kind {
            StoreCall::ReadAll { .. } => {
                let changes = self.items.values().cloned().collect();
                Some(Ok(ChangeBatch {
                    after_revision: 0,
                    through_revision: self.revision,
                    changes,
                }))
            }
            StoreCall::Watch { after_revision: after, .. } if *after < self.history_from => {
                Some(Err(StoreFailure::HistoryCompacted))
            }
            StoreCall::Watch { after_revision: after, .. } => {
                (*after < self.revision).then(|| Ok(self.log_after(*after)))
            }
        }
    }
}

impl FleetWorld {
    /// Puts an item into the store; those who watch hear of it.
    pub(super) fn put(&mut self, key: RegistryKey, value: RegistryValue) {
        self.store.accept(key, value);
        for watch in std::mem::take(&mut self.store.waiting) {
            let batch = self.store.log_after(watch.after);
            self.reply(watch.host, watch.run, watch.call, Ok(batch));
        }
    }

    /// Takes in a host's call.
    pub(super) fn call_store(&mut self, host: usize, run: u64, call: u64, kind: StoreCall) {
        self.store.calls += 1;
        if self.hosts[host].mood == StoreMood::Busy {
            let failure = StoreFailure::Failed("store answered with status 503".to_owned());
            return self.reply(host, run, call, Err(failure));
        }
        match (self.store.answer(&kind), kind) {
            (Some(answer), _) => self.reply(host, run, call, answer),
            (None, StoreCall::Watch { after_revision: after, max_wait: wait }) => {
                self.store.waiting.push(WaitingWatch { host, run, call, after });
                self.later(wait, FleetEvent::WatchEnds { host, run, call });
            }
            (None, StoreCall::ReadAll { .. }) => {}
        }
    }

    /// Ends a watch that has seen no event.
    pub(super) fn end_watch(&mut self, host: usize, run: u64, call: u64) {
        let waiting = &mut self.store.waiting;
        let found = waiting.iter().position(|w| (w.host, w.run, w.call) == (host, run, call));
        if let Some(found) = found {
            let watch = waiting.swap_remove(found);
            let batch = self.store.log_after(watch.after);
            self.reply(host, run, call, Ok(batch));
        }
    }

    fn reply(
        &mut self,
        host: usize,
        run: u64,
        call: u64,
        answer: Result<ChangeBatch, StoreFailure>,
    ) {
        if self.hosts[host].mood != StoreMood::Silent {
            let input = Box::new(WatchInput::StoreResult(answer));
            let time = self.store.time;
            self.later(time, FleetEvent::Answer { host, run, call, input });
        }
    }
}
