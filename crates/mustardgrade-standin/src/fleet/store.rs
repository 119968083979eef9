//! The store of the platform: entries with revisions, reads and watches.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardgrade_core::registry::{RegistryChange, RegistryKey, RegistryValue, StorePosition};
use mustardgrade_core::watch::{ChangeBatch, StoreCall, StoreFailure, WatchInput};

use super::FleetSimulation;
use super::event::FleetEvent;
use super::quota::CallQuota;

/// Revision of the empty store.
const FIRST_REVISION: u64 = 1;

/// Response time of the store without a fault.
pub(super) const NORMAL_RESPONSE_TIME: Duration = Duration::from_millis(4);

/// `StoreAvailability` is the way in which the store responds to one host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum StoreAvailability {
    /// The store executes the calls.
    #[default]
    Available,
    /// Results are lost; the host receives no response.
    Unresponsive,
    /// Calls are rejected with an error.
    Failing,
}

/// `PendingWatch` is a watch that waits for the next change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingWatch {
    host: usize,
    incarnation: u64,
    call_id: u64,
    after: StorePosition,
}

/// `StoreWrite` is an accepted write.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct StoreWrite {
    pub(super) key: RegistryKey,
    pub(super) value: RegistryValue,
    pub(super) written_at: Duration,
}

/// `SimulatedStore` holds the registry, its change history and the pending watches.
#[derive(Debug)]
pub(super) struct SimulatedStore {
    entries: BTreeMap<RegistryKey, RegistryChange>,
    change_log: Vec<RegistryChange>,
    /// Accepted writes in order, from which the state at an earlier time can be computed.
    writes: Vec<StoreWrite>,
    /// Number of writes in the copy that the store was last restored from.
    restored_writes: usize,
    position: StorePosition,
    pending_watches: Vec<PendingWatch>,
    /// Way in which the store responds to hosts that are not cut off from it.
    pub(super) availability: StoreAvailability,
    /// Time from a call, or from the change that ends a watch, to the result.
    pub(super) response_time: Duration,
    /// Oldest revision after which a watch can start; older history counts as compacted.
    pub(super) oldest_watch_revision: u64,
    /// Number of calls received, rejected ones included.
    pub(super) call_count: usize,
    pub(super) quota: CallQuota,
}

impl Default for SimulatedStore {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            change_log: Vec::new(),
            writes: Vec::new(),
            restored_writes: 0,
            position: StorePosition { epoch: 1, revision: FIRST_REVISION },
            pending_watches: Vec::new(),
            availability: StoreAvailability::Available,
            response_time: NORMAL_RESPONSE_TIME,
            oldest_watch_revision: 0,
            call_count: 0,
            quota: CallQuota::default(),
        }
    }
}

impl SimulatedStore {
    /// Applies a write under a new revision and appends it to the change log.
    fn apply_write(&mut self, write: StoreWrite) {
        self.position.revision += 1;
        let position = self.position;
        let StoreWrite { key, value, .. } = write.clone();
        self.writes.push(write);
        let change = RegistryChange { key: key.clone(), position, value, age: Duration::ZERO };
        match change.value {
            RegistryValue::Removed { .. } => self.entries.remove(&key),
            _ => self.entries.insert(key, change.clone()),
        };
        self.change_log.push(change);
    }

    /// Returns to the state of an earlier time; returns the writes that this undoes.
    pub(super) fn return_to(&mut self, copied_at: Duration) -> Vec<StoreWrite> {
        let copy_length = self.writes.partition_point(|write| write.written_at <= copied_at);
        let lost_writes = self.writes.split_off(copy_length);
        self.entries.clear();
        self.change_log.clear();
        self.position = StorePosition { epoch: self.position.epoch + 1, revision: FIRST_REVISION };
        for write in std::mem::take(&mut self.writes) {
            self.apply_write(write);
        }
        self.restored_writes = copy_length;
        lost_writes
    }

    /// Returns the revision and value of an entry.
    pub(super) fn entry(&self, key: &RegistryKey) -> Option<(u64, &RegistryValue)> {
        self.entries.get(key).map(|change| (change.position.revision, &change.value))
    }

    /// Returns the number of entries.
    pub(super) fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the position of the last write.
    pub(super) fn position(&self) -> StorePosition {
        self.position
    }

    /// Returns whether a key has been written since the store was last restored.
    pub(super) fn is_written_since_restore(&self, key: &RegistryKey) -> bool {
        self.writes[self.restored_writes..].iter().any(|write| write.key == *key)
    }

    fn changes_after(&self, after: StorePosition) -> ChangeBatch {
        let is_known = |change: &RegistryChange| change.position.revision <= after.revision;
        let first_index = self.change_log.partition_point(is_known);
        ChangeBatch {
            after,
            through: self.position,
            changes: self.change_log[first_index..].to_vec(),
        }
    }

    /// Returns the result of a call; `None` for a watch that has to wait for a change.
    ///
    /// The store compares revisions only: it does not know in which epoch a host has seen one.
    fn immediate_result(&self, call: &StoreCall) -> Option<Result<ChangeBatch, StoreFailure>> {
        match call {
            StoreCall::ReadAll { .. } => Some(Ok(ChangeBatch {
                after: StorePosition::ORIGIN,
                through: self.position,
                changes: self.entries.values().cloned().collect(),
            })),
            StoreCall::Watch { after, .. }
                if after.revision < self.oldest_watch_revision
                    || after.revision > self.position.revision =>
            {
                Some(Err(StoreFailure::HistoryUnavailable))
            }
            StoreCall::Watch { after, .. } => {
                (after.revision < self.position.revision).then(|| Ok(self.changes_after(*after)))
            }
        }
    }
}

impl FleetSimulation {
    /// Writes an entry to the store, and completes all pending watches.
    pub(super) fn write_entry(&mut self, key: RegistryKey, value: RegistryValue) {
        self.store.apply_write(StoreWrite { key, value, written_at: self.now });
        for watch in std::mem::take(&mut self.store.pending_watches) {
            let batch = self.store.changes_after(watch.after);
            self.send_store_result(watch.host, watch.incarnation, watch.call_id, Ok(batch));
        }
    }

    /// Handles a host's call: sends the result, or keeps the watch pending.
    pub(super) fn handle_store_call(
        &mut self,
        host: usize,
        incarnation: u64,
        call_id: u64,
        call: StoreCall,
    ) {
        self.store.call_count += 1;
        if self.hosts[host].store_availability == StoreAvailability::Failing {
            let failure = StoreFailure::Failed("store answered with status 503".to_owned());
            return self.send_store_result(host, incarnation, call_id, Err(failure));
        }
        let page_count = self.page_count(&call);
        self.store.call_count += page_count - 1;
        if !self.takes_reads(page_count) {
            let failure = StoreFailure::Failed("store answered with status 429".to_owned());
            return self.send_store_result(host, incarnation, call_id, Err(failure));
        }
        match (self.store.immediate_result(&call), call) {
            (Some(result), _) => {
                // Each further page is read after the one before it.
                let delay = self.store.response_time * (page_count as u32 - 1);
                self.send_store_result_after(delay, host, incarnation, call_id, result);
            }
            (None, StoreCall::Watch { after, max_wait }) => {
                self.store.pending_watches.push(PendingWatch { host, incarnation, call_id, after });
                self.schedule_after(
                    max_wait,
                    FleetEvent::WatchTimeout { host, incarnation, call_id },
                );
            }
            (None, StoreCall::ReadAll { .. }) => {}
        }
    }

    /// Completes a watch that has seen no change, unless it has been completed already.
    pub(super) fn expire_watch(&mut self, host: usize, incarnation: u64, call_id: u64) {
        let pending_watches = &mut self.store.pending_watches;
        let position = pending_watches.iter().position(|watch| {
            (watch.host, watch.incarnation, watch.call_id) == (host, incarnation, call_id)
        });
        if let Some(position) = position {
            let watch = pending_watches.swap_remove(position);
            let batch = self.store.changes_after(watch.after);
            self.send_store_result(host, incarnation, call_id, Ok(batch));
        }
    }

    /// Fails all pending watches, as when their connections are reset.
    pub(super) fn fail_pending_watches(&mut self) {
        for watch in std::mem::take(&mut self.store.pending_watches) {
            let failure = StoreFailure::Failed("connection reset".to_owned());
            self.send_store_result(watch.host, watch.incarnation, watch.call_id, Err(failure));
        }
    }

    fn send_store_result(
        &mut self,
        host: usize,
        incarnation: u64,
        call_id: u64,
        result: Result<ChangeBatch, StoreFailure>,
    ) {
        self.send_store_result_after(Duration::ZERO, host, incarnation, call_id, result);
    }

    fn send_store_result_after(
        &mut self,
        delay: Duration,
        host: usize,
        incarnation: u64,
        call_id: u64,
        result: Result<ChangeBatch, StoreFailure>,
    ) {
        if self.hosts[host].store_availability != StoreAvailability::Unresponsive {
            let input = Box::new(WatchInput::StoreResult(result));
            let response_time = self.store.response_time;
            self.schedule_after(
                delay + response_time,
                FleetEvent::StoreResponse { host, incarnation, call_id, input },
            );
        }
    }
}
