//! Simulated store of the rules and the placement.

use std::sync::Arc;
use std::time::Duration;

use mustardgrade_core::membership::{
    ControllerInput, MAX_RECENT_EDITS, StoredPlacement, StoredRules,
};
use mustardgrade_core::rule::RuleSet;

use super::Simulation;
use super::event::{SimulationEvent, StoreRepair};
use crate::scenario::StoreFault;

/// Additional one-way delay of a store with the fault `Slow`.
const SLOW_STORE_DELAY: Duration = Duration::from_secs(1);

/// Delay before a watcher repeats a failed call; fixed at 5 s, the maximum that the delay of real
/// hosts grows to.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(5);

/// `StoreContents` are the values of the store's keys.
#[derive(Debug, Clone, Default)]
pub(super) struct StoreContents {
    pub(super) rules: Option<StoredRules>,
    pub(super) placement: Option<StoredPlacement>,
}

/// `SimulatedStore` holds the contents of the store, its current fault, and the count of its calls.
#[derive(Debug, Default)]
pub(super) struct SimulatedStore {
    pub(super) contents: StoreContents,
    /// Contents after each accepted write, with its time.
    history: Vec<(Duration, StoreContents)>,
    /// Number of edits of the rules, lost ones included; identifies the last of them.
    edit_count: u64,
    pub(super) fault: Option<StoreFault>,
    pub(super) call_count: u64,
}

impl SimulatedStore {
    /// Stores the rules under the next revision and returns it.
    pub(super) fn put_rules(&mut self, rule_set: Arc<RuleSet>, now: Duration) -> u64 {
        let stored = self.contents.rules.as_ref();
        let revision = stored.map_or(1, |rules| rules.revision + 1);
        self.edit_count += 1;
        let earlier_edits = stored.into_iter().flat_map(|rules| rules.recent_edits.iter().copied());
        let edits = std::iter::once(self.edit_count).chain(earlier_edits).take(MAX_RECENT_EDITS);
        let recent_edits = edits.collect();
        self.contents.rules = Some(StoredRules { revision, recent_edits, rule_set });
        self.record_write(now);
        revision
    }

    fn record_write(&mut self, now: Duration) {
        self.history.push((now, self.contents.clone()));
    }

    /// Returns to the contents of an earlier time.
    fn return_to(&mut self, copied_at: Duration) {
        let copy_length = self.history.partition_point(|(written_at, _)| *written_at <= copied_at);
        self.history.truncate(copy_length);
        let last_copied = self.history.last().map(|(_, contents)| contents.clone());
        self.contents = last_copied.unwrap_or_default();
    }

    fn accepts_repair(&self, repair: &StoreRepair) -> bool {
        let StoreContents { rules, placement } = &self.contents;
        match repair {
            StoreRepair::Rules { replaced_revision, .. } => {
                rules.as_ref().map_or(0, |rules| rules.revision) == *replaced_revision
            }
            StoreRepair::Placement(lost) => {
                placement.as_ref().map_or(0, |stored| stored.generation) < lost.generation
            }
        }
    }

    fn is_unavailable(&self) -> bool {
        self.fault == Some(StoreFault::Down)
    }
}

impl Simulation {
    /// Draws the one-way delay to or from the store.
    pub(super) fn draw_one_way_store_delay(&mut self) -> Duration {
        let is_slow = self.store.fault == Some(StoreFault::Slow);
        let fault_delay = if is_slow { SLOW_STORE_DELAY } else { Duration::ZERO };
        self.draw_one_way_call_delay() + fault_delay
    }

    /// Schedules a store read by each watcher, as their watches return after a change.
    pub(super) fn notify_watchers(&mut self) {
        for host in 0..self.hosts.len() {
            if self.hosts[host].is_alive && self.hosts[host].is_watcher {
                self.schedule_store_read(host);
            }
        }
    }

    pub(super) fn schedule_store_read(&mut self, host: usize) {
        let at = self.now + self.draw_one_way_store_delay();
        let run_id = self.hosts[host].run_id;
        self.event_queue.push(at, SimulationEvent::StoreReadCompleted { host, run_id });
    }

    /// Completes a store read or watch of a host; a watcher retries a failed one.
    pub(super) fn complete_store_read(&mut self, host: usize, run_id: u32) {
        if !self.is_running(host, run_id) {
            return;
        }
        self.store.call_count += 2;
        if self.store_is_unavailable_to(host) {
            if self.hosts[host].is_watcher {
                self.event_queue.push(
                    self.now + STORE_RETRY_DELAY,
                    SimulationEvent::StoreReadCompleted { host, run_id },
                );
            }
            return;
        }
        let StoreContents { rules, placement } = self.store.contents.clone();
        self.handle_controller_input(host, ControllerInput::RulesRead(rules));
        self.handle_controller_input(host, ControllerInput::PlacementRead(placement));
    }

    /// Handles the arrival of a value that a host writes back; the store accepts it only if it still
    /// holds the older one.
    pub(super) fn repair_store(&mut self, host: usize, repair: StoreRepair) {
        self.store.call_count += 2;
        if self.store_is_unavailable_to(host) || !self.store.accepts_repair(&repair) {
            return;
        }
        match repair {
            StoreRepair::Rules { rules, .. } => self.store.contents.rules = Some(rules),
            StoreRepair::Placement(placement) => self.store.contents.placement = Some(placement),
        }
        self.store.record_write(self.now);
        self.notify_watchers();
    }

    fn store_is_unavailable_to(&self, host: usize) -> bool {
        self.store.is_unavailable() || !self.network.can_reach_store(self.hosts[host].data_centre)
    }

    /// Handles the arrival of a placement write at the store, which accepts it only if it still
    /// holds the preceding generation.
    pub(super) fn write_placement(&mut self, host: usize, run_id: u32, placement: StoredPlacement) {
        self.hosts[host].store_write_pending = false;
        self.store.call_count += 2;
        if self.store_is_unavailable_to(host) {
            return;
        }
        let stored = &self.store.contents.placement;
        let stored_generation = stored.as_ref().map_or(0, |stored| stored.generation);
        if stored_generation + 1 != placement.generation {
            self.schedule_store_read(host);
            return;
        }
        self.store.contents.placement = Some(Arc::clone(&placement));
        self.store.record_write(self.now);
        self.counters.placement_generations += 1;
        self.notify_watchers();
        if self.store.fault != Some(StoreFault::LostAnswer) {
            let at = self.now + self.draw_one_way_store_delay();
            let input = Box::new(ControllerInput::PlacementReceived(placement));
            self.event_queue.push(at, SimulationEvent::ControllerInput { host, run_id, input });
        }
    }

    /// Takes the store down for `downtime`, after which it returns from a copy that is now
    /// `copy_age` old.
    pub(super) fn restore_store(&mut self, copy_age: Duration, downtime: Duration) {
        self.store.return_to(self.now.saturating_sub(copy_age));
        self.store.fault = Some(StoreFault::Down);
        self.event_queue.push(self.now + downtime, SimulationEvent::ClearStoreFault);
    }

    /// Ends the fault of the store; watchers read it again.
    pub(super) fn clear_store_fault(&mut self) {
        self.store.fault = None;
        self.notify_watchers();
    }
}
