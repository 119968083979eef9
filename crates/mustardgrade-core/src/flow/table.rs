//! The flow table: a set-associative cache of fixed size with the flows of one traffic thread.

use std::time::Duration;

/// Entries per set; four entries of 16 bytes fill one 64-byte cache line.
const WAYS_PER_SET: usize = 4;

/// Upstream index that marks an empty entry.
const EMPTY_UPSTREAM: u16 = u16::MAX;

/// `FlowEntry` is the cached state of one flow; it occupies 16 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowEntry {
    fingerprint: u64,
    last_seen_secs: u32,
    /// Index of the upstream in the placement table of the service.
    pub upstream: u16,
    /// Guard epoch of the bucket when this host last delivered a packet of the flow, reported the
    /// flow to the owner or received an answer; an entry of an older epoch must be reported.
    pub guard_epoch: u8,
    /// Whether only the SYN of the flow has been seen.
    pub is_opening: bool,
}

const EMPTY_ENTRY: FlowEntry = FlowEntry {
    fingerprint: 0,
    last_seen_secs: 0,
    upstream: EMPTY_UPSTREAM,
    guard_epoch: 0,
    is_opening: false,
};

/// `InsertOutcome` is the result of storing a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InsertOutcome {
    /// The flow is in the table.
    Stored,
    /// The flow was not stored: its set holds only established flows that are not idle.
    Full,
}

/// `FlowTable` caches the upstream of flows in memory of fixed size.
///
/// A full set evicts an expired flow first, then the least recently seen flow of which only the SYN
/// was seen. A SYN flood therefore cannot evict established flows.
#[derive(Debug)]
pub struct FlowTable {
    sets: Vec<[FlowEntry; WAYS_PER_SET]>,
    idle_timeout_secs: u32,
}

impl FlowTable {
    /// Creates a table for about `capacity` flows; flows expire after `idle_timeout` without a
    /// packet.
    #[must_use]
    pub fn new(capacity: usize, idle_timeout: Duration) -> Self {
        // With twice as many entries, less than 1 % of the sets overflow at the stated capacity.
        let set_count = (capacity.max(WAYS_PER_SET) * 2 / WAYS_PER_SET).next_power_of_two();
        Self {
            sets: vec![[EMPTY_ENTRY; WAYS_PER_SET]; set_count],
            idle_timeout_secs: idle_timeout.as_secs() as u32,
        }
    }

    /// Returns the entry of a flow and restarts its idle timeout; removes the entry if it has
    /// expired.
    pub fn touch(&mut self, fingerprint: u64, now: Duration) -> Option<&mut FlowEntry> {
        let idle_timeout_secs = self.idle_timeout_secs;
        let now_secs = now.as_secs() as u32;
        let set = self.set_mut(fingerprint);
        let entry = set
            .iter_mut()
            .find(|entry| entry.upstream != EMPTY_UPSTREAM && entry.fingerprint == fingerprint)?;
        if now_secs.saturating_sub(entry.last_seen_secs) > idle_timeout_secs {
            *entry = EMPTY_ENTRY;
            return None;
        }
        entry.last_seen_secs = now_secs;
        Some(entry)
    }

    /// Returns the entry of a flow of which a packet was seen within `max_age`; does not restart its
    /// idle timeout.
    #[must_use]
    pub fn get_recent(
        &self,
        fingerprint: u64,
        max_age: Duration,
        now: Duration,
    ) -> Option<FlowEntry> {
        let oldest_secs = now.saturating_sub(max_age).as_secs() as u32;
        let is_recent = |entry: &&FlowEntry| {
            entry.upstream != EMPTY_UPSTREAM
                && entry.fingerprint == fingerprint
                && entry.last_seen_secs >= oldest_secs
        };
        self.sets[fingerprint as usize & (self.sets.len() - 1)].iter().find(is_recent).copied()
    }

    /// Stores a flow, replacing its earlier entry.
    pub fn insert(
        &mut self,
        fingerprint: u64,
        upstream: u16,
        guard_epoch: u8,
        is_opening: bool,
        now: Duration,
    ) -> InsertOutcome {
        let idle_timeout_secs = self.idle_timeout_secs;
        let now_secs = now.as_secs() as u32;
        let set = self.set_mut(fingerprint);
        let Some(way) = select_way(set, fingerprint, now_secs, idle_timeout_secs) else {
            return InsertOutcome::Full;
        };
        set[way] =
            FlowEntry { fingerprint, last_seen_secs: now_secs, upstream, guard_epoch, is_opening };
        InsertOutcome::Stored
    }

    /// Removes the entry of a flow, if there is one.
    pub fn remove(&mut self, fingerprint: u64) {
        let set = self.set_mut(fingerprint);
        for entry in set.iter_mut().filter(|entry| entry.fingerprint == fingerprint) {
            *entry = EMPTY_ENTRY;
        }
    }

    /// Returns the number of flows that have not expired.
    #[must_use]
    pub fn count_active(&self, now: Duration) -> usize {
        let now_secs = now.as_secs() as u32;
        let is_active = |entry: &&FlowEntry| {
            entry.upstream != EMPTY_UPSTREAM
                && now_secs.saturating_sub(entry.last_seen_secs) <= self.idle_timeout_secs
        };
        self.sets.iter().flatten().filter(is_active).count()
    }

    /// Returns the size of the entries in bytes, which is constant after creation.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.sets.len() * size_of::<[FlowEntry; WAYS_PER_SET]>()
    }

    fn set_mut(&mut self, fingerprint: u64) -> &mut [FlowEntry; WAYS_PER_SET] {
        let mask = self.sets.len() - 1;
        &mut self.sets[fingerprint as usize & mask]
    }
}

/// Selects the way of a set to store a flow in: its own entry, else an empty one, else an expired
/// one, else the least recently seen one of which only the SYN was seen.
fn select_way(
    set: &[FlowEntry; WAYS_PER_SET],
    fingerprint: u64,
    now_secs: u32,
    idle_timeout_secs: u32,
) -> Option<usize> {
    let own = set
        .iter()
        .position(|entry| entry.upstream != EMPTY_UPSTREAM && entry.fingerprint == fingerprint);
    own.or_else(|| set.iter().position(|entry| entry.upstream == EMPTY_UPSTREAM))
        .or_else(|| {
            set.iter()
                .position(|entry| now_secs.saturating_sub(entry.last_seen_secs) > idle_timeout_secs)
        })
        .or_else(|| {
            let opening_ways = (0..WAYS_PER_SET).filter(|way| set[*way].is_opening);
            opening_ways.min_by_key(|way| set[*way].last_seen_secs)
        })
}
