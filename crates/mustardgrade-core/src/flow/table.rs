//! The local flow table: a fixed, set-associative cache of flows seen by one traffic thread.

use std::time::Duration;

/// Entries of one set; a set of four fills one 64-byte cache line.
const SET_WAYS: usize = 4;

/// Upstream index that marks an empty entry.
const EMPTY: u16 = u16::MAX;

/// `FlowEntry` is what a host remembers of one flow; 16 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowEntry {
    fingerprint: u64,
    seen_secs: u32,
    /// Upstream index in the service's table.
    pub upstream: u16,
    /// Tag of the guard under which the entry was last claimed or answered.
    pub guard_tag: u8,
    /// Whether only the opening segment has been seen.
    pub opening: bool,
}

const EMPTY_ENTRY: FlowEntry =
    FlowEntry { fingerprint: 0, seen_secs: 0, upstream: EMPTY, guard_tag: 0, opening: false };

/// `InsertOutcome` says what became of an inserted flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InsertOutcome {
    /// The table holds the flow.
    Stored,
    /// Every entry of its set is in use by a live flow.
    Full,
}

/// `FlowTable` remembers flows in bounded memory.
///
/// A full set first gives up entries that are idle, then ones that have only opened, so that a
/// flood of opening segments cannot push out established flows.
#[derive(Debug)]
pub struct FlowTable {
    sets: Vec<[FlowEntry; SET_WAYS]>,
    idle_secs: u32,
}

impl FlowTable {
    /// Creates a table for about `capacity` flows that forgets flows unseen for `idle`.
    #[must_use]
    pub fn new(capacity: usize, idle: Duration) -> Self {
        // Twice the room keeps the share of overfull sets under 1 % at the stated capacity.
        let sets = (capacity.max(SET_WAYS) * 2 / SET_WAYS).next_power_of_two();
        Self { sets: vec![[EMPTY_ENTRY; SET_WAYS]; sets], idle_secs: idle.as_secs() as u32 }
    }

    /// Returns the entry of a flow and marks it as seen.
    pub fn touch(&mut self, fingerprint: u64, now: Duration) -> Option<&mut FlowEntry> {
        let idle = self.idle_secs;
        let now = now.as_secs() as u32;
        let set = self.set_mut(fingerprint);
        let entry = set
            .iter_mut()
            .find(|entry| entry.upstream != EMPTY && entry.fingerprint == fingerprint)?;
        if now.saturating_sub(entry.seen_secs) > idle {
            *entry = EMPTY_ENTRY;
            return None;
        }
        entry.seen_secs = now;
        Some(entry)
    }

    /// Stores a flow, replacing what was known of it.
    pub fn insert(
        &mut self,
        fingerprint: u64,
        upstream: u16,
        guard_tag: u8,
        opening: bool,
        now: Duration,
    ) -> InsertOutcome {
        let idle = self.idle_secs;
        let now = now.as_secs() as u32;
        let set = self.set_mut(fingerprint);
        let Some(way) = victim(set, fingerprint, now, idle) else {
            return InsertOutcome::Full;
        };
        set[way] = FlowEntry { fingerprint, seen_secs: now, upstream, guard_tag, opening };
        InsertOutcome::Stored
    }

    /// Forgets a flow.
    pub fn remove(&mut self, fingerprint: u64) {
        let set = self.set_mut(fingerprint);
        for entry in set.iter_mut().filter(|entry| entry.fingerprint == fingerprint) {
            *entry = EMPTY_ENTRY;
        }
    }

    /// Returns the number of flows that were seen within the idle time.
    #[must_use]
    pub fn len(&self, now: Duration) -> usize {
        let now = now.as_secs() as u32;
        let live = |entry: &&FlowEntry| {
            entry.upstream != EMPTY && now.saturating_sub(entry.seen_secs) <= self.idle_secs
        };
        self.sets.iter().flatten().filter(live).count()
    }

    /// Returns the memory of the table in bytes; it does not change after creation.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.sets.len() * size_of::<[FlowEntry; SET_WAYS]>()
    }

    fn set_mut(&mut self, fingerprint: u64) -> &mut [FlowEntry; SET_WAYS] {
        let mask = self.sets.len() - 1;
        &mut self.sets[fingerprint as usize & mask]
    }
}

/// Picks the entry that a flow is stored in: its own, an empty, an idle, or an opening one.
fn victim(set: &[FlowEntry; SET_WAYS], fingerprint: u64, now: u32, idle: u32) -> Option<usize> {
    let own = set.iter().position(|e| e.upstream != EMPTY && e.fingerprint == fingerprint);
    own.or_else(|| set.iter().position(|entry| entry.upstream == EMPTY))
        .or_else(|| set.iter().position(|entry| now.saturating_sub(entry.seen_secs) > idle))
        .or_else(|| {
            let opening = (0..SET_WAYS).filter(|way| set[*way].opening);
            opening.min_by_key(|way| set[*way].seen_secs)
        })
}
