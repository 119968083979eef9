//! Simulated store of the rules and the placement.

use std::sync::Arc;
use std::time::Duration;

use mustardgrade_core::membership::{ControllerInput, StoredPlacement, StoredRules};
use mustardgrade_core::rule::RuleSet;

use super::Simulation;
use super::event::SimulationEvent;
use crate::scenario::StoreFault;

/// Additional one-way delay of a store with the fault `Slow`.
const SLOW_STORE_DELAY: Duration = Duration::from_secs(1);

/// Delay before a watcher repeats a failed call; fixed at 5 s, the maximum that the delay of real
/// hosts grows to.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(5);

/// `SimulatedStore` holds the contents of the store, its current fault, and the count of its calls.
#[derive(Debug, Default)]
pub(super) struct SimulatedStore {
    pub(super) rules: Option<StoredRules>,
    pub(super) placement: Option<StoredPlacement>,
    pub(super) fault: Option<StoreFault>,
    pub(super) call_count: u64,
}

impl SimulatedStore {
    /// Stores the rules under the next revision and returns it.
    pub(super) fn put_rules(&mut self, rule_set: Arc<RuleSet>) -> u64 {
        let revision = self.rules.as_ref().map_or(1, |rules| rules.revision + 1);
        self.rules = Some(StoredRules { revision, rule_set });
        revision
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
        let is_reachable = self.network.can_reach_store(self.hosts[host].data_centre);
        if self.store.is_unavailable() || !is_reachable {
            if self.hosts[host].is_watcher {
                self.event_queue.push(
                    self.now + STORE_RETRY_DELAY,
                    SimulationEvent::StoreReadCompleted { host, run_id },
                );
            }
            return;
        }
        if let Some(rules) = self.store.rules.clone() {
            self.handle_controller_input(host, ControllerInput::RulesReceived(rules));
        }
        if let Some(placement) = self.store.placement.clone() {
            self.handle_controller_input(host, ControllerInput::PlacementReceived(placement));
        }
    }

    /// Handles the arrival of a placement write at the store, which accepts it only if it still
    /// holds the preceding generation.
    pub(super) fn write_placement(&mut self, host: usize, run_id: u32, placement: StoredPlacement) {
        self.hosts[host].store_write_pending = false;
        self.store.call_count += 2;
        let is_reachable = self.network.can_reach_store(self.hosts[host].data_centre);
        if self.store.is_unavailable() || !is_reachable {
            return;
        }
        let stored_generation = self.store.placement.as_ref().map_or(0, |stored| stored.generation);
        if stored_generation + 1 != placement.generation {
            self.schedule_store_read(host);
            return;
        }
        self.store.placement = Some(Arc::clone(&placement));
        self.counters.placement_generations += 1;
        self.notify_watchers();
        if self.store.fault != Some(StoreFault::LostAnswer) {
            let at = self.now + self.draw_one_way_store_delay();
            let input = Box::new(ControllerInput::PlacementReceived(placement));
            self.event_queue.push(at, SimulationEvent::ControllerInput { host, run_id, input });
        }
    }

    /// Ends the fault of the store; watchers read it again.
    pub(super) fn clear_store_fault(&mut self) {
        self.store.fault = None;
        self.notify_watchers();
    }
}
