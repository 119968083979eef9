//! Events in virtual time, in order of their time.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

/// Width of one slot of the queue in milliseconds; wider ones make the heap of near events large.
const SLOT_MS: u128 = 20;

/// `ScheduledEvent` is an event with its time; equal times keep the order of scheduling.
#[derive(Debug)]
pub(crate) struct ScheduledEvent<E> {
    pub(crate) at: Duration,
    number: u64,
    pub(crate) event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap returns its greatest element, so the earliest event counts as greatest.
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// `EventQueue` returns events in order of time.
///
/// Near events stand in a heap; far ones wait unsorted in slots until their time comes near.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    near: BinaryHeap<ScheduledEvent<E>>,
    far: VecDeque<Vec<ScheduledEvent<E>>>,
    first_far: u128,
    number: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { near: BinaryHeap::new(), far: VecDeque::new(), first_far: 0, number: 0 }
    }
}

impl<E> EventQueue<E> {
    pub(crate) fn push(&mut self, at: Duration, event: E) {
        self.number += 1;
        let scheduled = ScheduledEvent { at, number: self.number, event };
        let slot = at.as_millis() / SLOT_MS;
        let Some(index) = slot.checked_sub(self.first_far) else {
            self.near.push(scheduled);
            return;
        };
        let index = index as usize;
        while self.far.len() <= index {
            self.far.push_back(Vec::new());
        }
        self.far[index].push(scheduled);
    }

    /// Returns the next event if it is due by `end`.
    pub(crate) fn pop_until(&mut self, end: Duration) -> Option<ScheduledEvent<E>> {
        while self.near.is_empty() {
            let slot = self.far.pop_front()?;
            self.first_far += 1;
            self.near.extend(slot);
        }
        match self.near.peek().is_some_and(|next| next.at <= end) {
            true => self.near.pop(),
            false => None,
        }
    }
}
