//! The store of a world.

use std::sync::Arc;
use std::time::Duration;

use mustardgrade_core::membership::{ControllerInput, StoredPlacement, StoredRules};
use mustardgrade_core::rule::RuleSet;

use super::Simulation;
use super::event::SimulationEvent;
use crate::scenario::StoreFault;

/// Delay of a store that is slow.
const SLOW_STORE_DELAY: Duration = Duration::from_secs(1);

/// Pause of a watcher after a failed call; that of real hosts grows to 5 s.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(5);

/// `VirtualStore` holds the rules and the placement.
#[derive(Debug, Default)]
pub(super) struct SimulatedStore {
    pub(super) rules: Option<StoredRules>,
    pub(super) placement: Option<StoredPlacement>,
    pub(super) fault: Option<StoreFault>,
    pub(super) call_count: u64,
}

impl SimulatedStore {
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
    /// Draws the time that one way to or from the store takes.
    pub(super) fn draw_one_way_store_delay(&mut self) -> Duration {
        let is_slow = self.store.fault == Some(StoreFault::Slow);
        let fault_delay = if is_slow { SLOW_STORE_DELAY } else { Duration::ZERO };
        self.draw_one_way_call_delay() + fault_delay
    }

    /// Tells all watchers that the store has changed.
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

    /// A read or watch of a host returns.
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

    /// A write of a host arrives at the store.
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

    pub(super) fn clear_store_fault(&mut self) {
        self.store.fault = None;
        self.notify_watchers();
    }
}
