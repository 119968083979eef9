//! The store of a world.

use std::sync::Arc;
use std::time::Duration;

use mustardgrade_core::membership::{ControllerInput, StoredPlacement, StoredRules};
use mustardgrade_core::rule::RuleSet;

use super::World;
use super::event::WorldEvent;
use crate::scenario::StoreFault;

/// Delay of a store that is slow.
const SLOW_DELAY: Duration = Duration::from_secs(1);

/// Pause of a watcher after a failed call; that of real hosts grows to 5 s.
const RETRY_PAUSE: Duration = Duration::from_secs(5);

/// `VirtualStore` holds the rules and the placement.
#[derive(Debug, Default)]
pub(super) struct VirtualStore {
    pub(super) rules: Option<StoredRules>,
    pub(super) placement: Option<StoredPlacement>,
    pub(super) fault: Option<StoreFault>,
    pub(super) calls: u64,
}

impl VirtualStore {
    pub(super) fn accept_rules(&mut self, book: Arc<RuleSet>) -> u64 {
        let revision = self.rules.as_ref().map_or(1, |rules| rules.revision + 1);
        self.rules = Some(StoredRules { revision, rule_set: book });
        revision
    }

    fn is_down(&self) -> bool {
        self.fault == Some(StoreFault::Down)
    }
}

impl World {
    /// Draws the time that one way to or from the store takes.
    pub(super) fn draw_store_delay(&mut self) -> Duration {
        let slow = self.store.fault == Some(StoreFault::Slow);
        let extra = if slow { SLOW_DELAY } else { Duration::ZERO };
        self.draw_call_delay() + extra
    }

    /// Tells all watchers that the store has changed.
    pub(super) fn notify_watchers(&mut self) {
        for host in 0..self.hosts.len() {
            if self.hosts[host].alive && self.hosts[host].is_watcher {
                self.schedule_store_read(host);
            }
        }
    }

    pub(super) fn schedule_store_read(&mut self, host: usize) {
        let at = self.now + self.draw_store_delay();
        let run = self.hosts[host].run;
        self.queue.push(at, WorldEvent::StoreRead { host, run });
    }

    /// A read or watch of a host returns.
    pub(super) fn deliver_store(&mut self, host: usize, run: u32) {
        if !self.is_running(host, run) {
            return;
        }
        self.store.calls += 2;
        let reachable = self.network.reaches_store(self.hosts[host].data_centre);
        if self.store.is_down() || !reachable {
            if self.hosts[host].is_watcher {
                self.queue.push(self.now + RETRY_PAUSE, WorldEvent::StoreRead { host, run });
            }
            return;
        }
        if let Some(rules) = self.store.rules.clone() {
            self.feed(host, ControllerInput::RulesReceived(rules));
        }
        if let Some(placement) = self.store.placement.clone() {
            self.feed(host, ControllerInput::PlacementReceived(placement));
        }
    }

    /// A write of a host arrives at the store.
    pub(super) fn write_placement(&mut self, host: usize, run: u32, book: StoredPlacement) {
        self.hosts[host].writing = false;
        self.store.calls += 2;
        let reachable = self.network.reaches_store(self.hosts[host].data_centre);
        if self.store.is_down() || !reachable {
            return;
        }
        let held = self.store.placement.as_ref().map_or(0, |held| held.generation);
        if held + 1 != book.generation {
            self.schedule_store_read(host);
            return;
        }
        self.store.placement = Some(Arc::clone(&book));
        self.tally.generations += 1;
        self.notify_watchers();
        if self.store.fault != Some(StoreFault::LostAnswer) {
            let at = self.now + self.draw_store_delay();
            let input = Box::new(ControllerInput::PlacementReceived(book));
            self.queue.push(at, WorldEvent::Control { host, run, input });
        }
    }

    pub(super) fn store_works(&mut self) {
        self.store.fault = None;
        self.notify_watchers();
    }
}
