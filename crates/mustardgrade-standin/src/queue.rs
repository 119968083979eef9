//! Event queue of the simulations, ordered by virtual time.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

/// Span of virtual time that one slot covers; wider slots make the heap of near events large.
const SLOT_WIDTH_MS: u128 = 20;

/// `ScheduledEvent` is an event with its due time; events due at the same time keep the order in
/// which they were pushed.
#[derive(Debug)]
pub(crate) struct ScheduledEvent<E> {
    pub(crate) due_at: Duration,
    sequence: u64,
    pub(crate) event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.due_at, self.sequence) == (other.due_at, other.sequence)
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
        // `BinaryHeap` pops its greatest element, so the order is reversed: the earliest event is
        // the greatest.
        (other.due_at, other.sequence).cmp(&(self.due_at, self.sequence))
    }
}

/// `EventQueue` is a priority queue of events, earliest first.
///
/// Events due before slot `first_far_slot` are in a heap. Later ones are kept unsorted in one list
/// for each slot and move to the heap slot by slot as virtual time advances.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    near_events: BinaryHeap<ScheduledEvent<E>>,
    far_slots: VecDeque<Vec<ScheduledEvent<E>>>,
    first_far_slot: u128,
    last_sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            near_events: BinaryHeap::new(),
            far_slots: VecDeque::new(),
            first_far_slot: 0,
            last_sequence: 0,
        }
    }
}

impl<E> EventQueue<E> {
    pub(crate) fn push(&mut self, due_at: Duration, event: E) {
        self.last_sequence += 1;
        let scheduled = ScheduledEvent { due_at, sequence: self.last_sequence, event };
        let slot_number = due_at.as_millis() / SLOT_WIDTH_MS;
        let Some(slot_index) = slot_number.checked_sub(self.first_far_slot) else {
            self.near_events.push(scheduled);
            return;
        };
        let slot_index = slot_index as usize;
        while self.far_slots.len() <= slot_index {
            self.far_slots.push_back(Vec::new());
        }
        self.far_slots[slot_index].push(scheduled);
    }

    /// Removes and returns the earliest event, if it is due at or before `end`.
    pub(crate) fn pop_until(&mut self, end: Duration) -> Option<ScheduledEvent<E>> {
        while self.near_events.is_empty() {
            let slot_events = self.far_slots.pop_front()?;
            self.first_far_slot += 1;
            self.near_events.extend(slot_events);
        }
        match self.near_events.peek().is_some_and(|next| next.due_at <= end) {
            true => self.near_events.pop(),
            false => None,
        }
    }
}
