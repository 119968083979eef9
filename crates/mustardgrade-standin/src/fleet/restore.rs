//! A store that returns from an older copy of itself, and writers that repeat what it has lost.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardgrade_core::registry::RegistryKey;
use rand::RngExt;

use super::FleetSimulation;
use super::event::FleetEvent;
use super::store::StoreWrite;
use crate::scenario::StoreFault;

/// Time after the store's return within which operators and upstreams repeat lost writes.
const MAX_REPEAT_DELAY: Duration = Duration::from_secs(2);

impl FleetSimulation {
    /// Takes the store down for `downtime`, after which it returns from a copy that is now
    /// `copy_age` old.
    pub(super) fn restore_store(&mut self, copy_age: Duration, downtime: Duration) {
        let copied_at = self.now.saturating_sub(copy_age);
        // Scheduled before the end of the fault, so that hosts meet the copy in their first call.
        self.schedule_after(downtime, FleetEvent::StoreRestored { copied_at });
        self.inject_store_fault(StoreFault::Down, downtime);
        self.fail_pending_watches();
    }

    /// Replaces the store's state by that of an earlier time, and has the writers repeat the last
    /// lost write of each key at a random time.
    pub(super) fn return_store_to(&mut self, copied_at: Duration) {
        let lost_writes = self.store.return_to(copied_at);
        let last_writes: BTreeMap<RegistryKey, StoreWrite> =
            lost_writes.into_iter().map(|write| (write.key.clone(), write)).collect();
        // Hosts repeat their own writes themselves.
        let repeated =
            last_writes.into_values().filter(|write| write.key != RegistryKey::RouteServices);
        for write in repeated {
            let delay = MAX_REPEAT_DELAY.mul_f64(self.rng.random::<f64>());
            let write = Box::new(write);
            self.schedule_after(delay, FleetEvent::LostWriteRepeated { write });
        }
    }

    /// Repeats a lost write, unless its key has been written since the restore.
    pub(super) fn repeat_lost_write(&mut self, write: StoreWrite) {
        if !self.store.is_written_since_restore(&write.key) {
            self.write_entry(write.key, write.value);
        }
    }
}
