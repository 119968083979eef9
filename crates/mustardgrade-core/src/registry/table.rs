//! The registry entries that a host has applied, with tombstones of removed ones.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use super::manifest::Manifest;
use super::named_services::NamedServices;
use super::position::StorePosition;
use super::route_services::RouteServices;
use super::run_history::{RUN_RETENTION, RunHistory};
use super::setback::is_setback;
use super::upstream::UpstreamRegistration;

/// Time for which removed entries are kept as tombstones; flows live no longer than this.
const TOMBSTONE_RETENTION: Duration = RUN_RETENTION;

/// Time for which knowledge from a lost history prevails over a restored store that contradicts it.
/// Meanwhile, writers repeat what the store has lost, and registrations of departed upstreams
/// expire.
const SETBACK_DEFERRAL: Duration = Duration::from_millis(4_000);

/// `RegistryKey` identifies an entry.
///
/// New variants come last, as in [`RegistryValue`]: hosts encode a variant by its number.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RegistryKey {
    /// The manifest, of which there is one.
    #[display("manifest")]
    Manifest,
    /// The evacuation of the data centre with this name.
    #[display("evacuation {_0}")]
    Evacuation(String),
    /// The upstream with this name.
    #[display("upstream {_0}")]
    Upstream(String),
    /// The services that each route has had as backends; hosts write this entry themselves.
    #[display("route-services")]
    RouteServices,
}

/// `RegistryValue` is the content of an entry.
#[derive(Debug, Clone, PartialEq, From, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RegistryValue {
    /// The operators' configuration.
    Manifest(Arc<Manifest>),
    /// The data centre of the key is evacuated.
    #[from(ignore)]
    Evacuated,
    /// The registration of an upstream.
    Upstream(Arc<UpstreamRegistration>),
    /// The entry exists but its content cannot be decoded.
    #[from(ignore)]
    Unusable,
    /// The entry was removed; its tombstone is kept until no live flow can depend on it.
    #[from(ignore)]
    Removed {
        /// Whether the removal may be an effect of a store outage rather than intended.
        possibly_spurious: bool,
    },
    /// The services that each route has had as backends.
    RouteServices(Arc<RouteServices>),
}

/// `RegistryChange` sets an entry to the value that it has as of a position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegistryChange {
    /// The entry that changes.
    pub key: RegistryKey,
    /// Position of the change in the store's history.
    pub position: StorePosition,
    /// Content of the entry from this position on.
    pub value: RegistryValue,
    /// Time since any host first learned of the change.
    pub age: Duration,
}

/// `RegistryEntry` is an entry that has been applied.
#[derive(Debug, Clone, PartialEq)]
pub struct RegistryEntry {
    /// Position of the last change in the store's history.
    pub position: StorePosition,
    /// Content as of that position.
    pub value: RegistryValue,
    /// Time at which any host first learned of the last change.
    pub learned_at: Duration,
    /// The latest registration of the upstream that was in force before the current value.
    pub previous_registration: Option<Arc<UpstreamRegistration>>,
}

/// `ApplyOutcome` says what became of a change.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change has been applied.
    #[display("applied")]
    Applied,
    /// The restored store has the content that is in force already; only the position is new.
    #[display("unchanged")]
    Unchanged,
    /// The change contradicts newer knowledge from a lost history and takes effect later.
    #[display("deferred")]
    Deferred,
    /// The change was ignored: the entry is as new as the change, or newer.
    #[display("known")]
    Outdated,
}

/// `DeferredChange` is a change that takes effect unless a newer one arrives before.
#[derive(Debug, Clone, PartialEq)]
struct DeferredChange {
    change: RegistryChange,
    due_at: Duration,
}

/// `ReadGap` is the part of the store's history that a read of all entries has skipped: entries
/// that were both added and removed in it are not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReadGap {
    /// Position up to which every change was known before the read.
    after: StorePosition,
    /// Position as of which the entries were read.
    through: StorePosition,
}

impl ReadGap {
    fn contains(self, position: StorePosition) -> bool {
        self.after < position && position < self.through
    }
}

/// `RegistryTable` holds all entries; an entry never returns to an older position, nor the manifest
/// to an older version.
#[derive(Debug, Clone, Default)]
pub struct RegistryTable {
    entries: BTreeMap<RegistryKey, RegistryEntry>,
    deferred_changes: BTreeMap<RegistryKey, DeferredChange>,
    pub(super) complete_position: StorePosition,
    /// Position at which the present epoch was entered. What the store had by then may come from
    /// the copy that it was restored from; later changes are new writes.
    epoch_entry: StorePosition,
    /// Position from which all removals are known, except those in the gap.
    history_start: StorePosition,
    read_gap: Option<ReadGap>,
    pub(super) run_history: RunHistory,
    pub(super) named_services: NamedServices,
    /// Whether the batch that is being applied holds only the last write of each entry.
    pub(super) is_batch_condensed: bool,
}

impl RegistryTable {
    /// Returns the position up to which every change has been applied.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        self.complete_position
    }

    /// Returns the manifest that was applied last.
    #[must_use]
    pub fn manifest(&self) -> Option<&Arc<Manifest>> {
        match &self.entries.get(&RegistryKey::Manifest)?.value {
            RegistryValue::Manifest(manifest) => Some(manifest),
            RegistryValue::Evacuated
            | RegistryValue::Upstream(_)
            | RegistryValue::Unusable
            | RegistryValue::RouteServices(_)
            | RegistryValue::Removed { .. } => None,
        }
    }

    /// Returns the version of the manifest; 0 if there is none.
    #[must_use]
    pub fn manifest_version(&self) -> u64 {
        self.manifest().map_or(0, |manifest| manifest.version)
    }

    /// Returns all entries in the order of their keys, tombstones included.
    pub fn entries(&self) -> impl Iterator<Item = (&RegistryKey, &RegistryEntry)> {
        self.entries.iter()
    }

    /// Returns the entry of a key, which may be a tombstone.
    #[must_use]
    pub fn entry(&self, key: &RegistryKey) -> Option<&RegistryEntry> {
        self.entries.get(key)
    }

    /// Returns whether a restored store holds the last run of a removed upstream, which does not
    /// take effect yet: whether the upstream has returned or is a remainder of the copy is not
    /// known.
    #[must_use]
    pub fn may_have_returned(&self, key: &RegistryKey) -> bool {
        let Some(deferred) = self.deferred_changes.get(key) else { return false };
        let RegistryValue::Upstream(registration) = &deferred.change.value else { return false };
        self.entries
            .get(key)
            .and_then(|entry| entry.previous_registration.as_ref())
            .is_some_and(|previous| previous.incarnation == registration.incarnation)
    }

    /// Returns whether a change of the entry by a restored store has not taken effect yet.
    pub(super) fn has_deferred_change(&self, key: &RegistryKey) -> bool {
        self.deferred_changes.contains_key(key)
    }

    /// Returns whether the table has a change of the same key that is as new, or newer.
    ///
    /// Manifests are ordered by version first: a restored store may hold an older one for a while.
    #[must_use]
    pub fn is_outdated(&self, change: &RegistryChange) -> bool {
        if change.key == RegistryKey::Manifest {
            return self.is_outdated_manifest(change);
        }
        self.newest_position(&change.key).is_some_and(|position| position >= change.position)
    }

    fn is_outdated_manifest(&self, change: &RegistryChange) -> bool {
        let Some(known) = self.manifest() else { return false };
        // The last manifest stays in force even if the store has none.
        let RegistryValue::Manifest(manifest) = &change.value else { return true };
        let known_position = self.newest_position(&change.key).unwrap_or_default();
        (manifest.version, change.position) <= (known.version, known_position)
    }

    fn newest_position(&self, key: &RegistryKey) -> Option<StorePosition> {
        let deferred = self.deferred_changes.get(key).map(|deferred| deferred.change.position);
        deferred.or_else(|| Some(self.entries.get(key)?.position))
    }

    /// Applies a change unless it is outdated, or defers it if it comes from a restored store and
    /// contradicts newer knowledge from the lost history.
    pub fn apply(&mut self, change: RegistryChange, now: Duration) -> ApplyOutcome {
        if self.is_outdated(&change) {
            return ApplyOutcome::Outdated;
        }
        let setback = self.entries.get(&change.key).is_some_and(|entry| {
            change.position.epoch > entry.position.epoch
                && self.may_be_of_copy(change.position)
                && is_setback(entry, &change.value)
        });
        if setback {
            self.defer(change, now);
            return ApplyOutcome::Deferred;
        }
        self.replace_entry(change, now)
    }

    /// Returns whether the store may have had a change before it returned from an older copy.
    pub(super) fn may_be_of_copy(&self, position: StorePosition) -> bool {
        position.epoch > self.complete_position.epoch || position <= self.epoch_entry
    }

    fn defer(&mut self, change: RegistryChange, now: Duration) {
        let earlier = self.deferred_changes.get(&change.key);
        let due_at = earlier.map_or(now + SETBACK_DEFERRAL, |deferred| deferred.due_at);
        self.deferred_changes.insert(change.key.clone(), DeferredChange { change, due_at });
    }

    fn replace_entry(&mut self, change: RegistryChange, now: Duration) -> ApplyOutcome {
        self.record_named_services(&change.value);
        self.record_run(&change, now);
        self.deferred_changes.remove(&change.key);
        let current = self.entries.get_mut(&change.key);
        let is_same_write = |entry: &RegistryEntry| {
            entry.position.epoch < change.position.epoch && entry.value == change.value
        };
        if let Some(entry) = current.filter(|entry| is_same_write(entry)) {
            entry.position = change.position;
            return ApplyOutcome::Unchanged;
        }
        let current = self.entries.get(&change.key);
        let previous_registration = current.and_then(|entry| {
            self.registration(entry).or(entry.previous_registration.as_ref()).map(Arc::clone)
        });
        let entry = RegistryEntry {
            position: change.position,
            value: change.value,
            learned_at: now.saturating_sub(change.age),
            previous_registration,
        };
        self.entries.insert(change.key, entry);
        ApplyOutcome::Applied
    }

    /// Applies the deferred changes that are due, and returns those that changed an entry.
    pub fn apply_due_changes(&mut self, now: Duration) -> Vec<RegistryChange> {
        let is_due = |deferred: &DeferredChange| deferred.due_at <= now;
        let due: Vec<RegistryChange> = self
            .deferred_changes
            .values()
            .filter(|deferred| is_due(deferred))
            .map(|deferred| deferred.change.clone())
            .collect();
        let mut applied = Vec::new();
        for change in due {
            if self.replace_entry(change.clone(), now) == ApplyOutcome::Applied {
                applied.push(change);
            }
        }
        applied
    }

    /// Records that every change up to `position` has been applied.
    pub fn mark_complete(&mut self, position: StorePosition) {
        self.complete_position = self.complete_position.max(position);
        self.is_batch_condensed = false;
    }

    /// Records that all entries have been read as of `position`.
    pub fn mark_read(&mut self, position: StorePosition) {
        self.is_batch_condensed = false;
        if position <= self.complete_position {
            return;
        }
        if position.epoch > self.complete_position.epoch {
            self.epoch_entry = position;
        }
        let gap = ReadGap { after: self.complete_position, through: position };
        if let Some(earlier) = self.read_gap.replace(gap) {
            self.history_start = self.history_start.max(earlier.through);
        }
        self.complete_position = position;
    }

    /// Returns removals of the entries that are missing from a complete read as of `position`.
    ///
    /// The manifest is never removed in this way: without it, no flow could be routed.
    #[must_use]
    pub fn implied_removals(
        &self,
        complete_read: &[RegistryChange],
        position: StorePosition,
        possibly_spurious: bool,
    ) -> Vec<RegistryChange> {
        let present: HashSet<&RegistryKey> =
            complete_read.iter().map(|change| &change.key).collect();
        let missing = self.entries.iter().filter(|(key, entry)| {
            let is_removed = matches!(entry.value, RegistryValue::Removed { .. })
                && !self.deferred_changes.contains_key(key);
            **key != RegistryKey::Manifest
                && !present.contains(key)
                && entry.position <= position
                && !is_removed
        });
        let to_removal = |(key, _): (&RegistryKey, &RegistryEntry)| RegistryChange {
            key: key.clone(),
            position,
            value: RegistryValue::Removed { possibly_spurious },
            age: Duration::ZERO,
        };
        missing.map(to_removal).collect()
    }

    /// Returns the changes after `after`, or all entries if the changes since then are not known in
    /// full: tombstones after it were purged, a read of all entries has skipped some of them, or it
    /// lies in another epoch.
    ///
    /// The flag is true if the result holds only the changes after `after`.
    #[must_use]
    pub fn changes_since(
        &self,
        after: StorePosition,
        now: Duration,
    ) -> (Vec<RegistryChange>, bool) {
        let incremental = !after.is_origin()
            && after.epoch == self.complete_position.epoch
            && after >= self.history_start
            && !self.read_gap.is_some_and(|gap| gap.contains(after));
        let after = if incremental { after } else { StorePosition::ORIGIN };
        let newer = self.entries.iter().filter(|(_, entry)| entry.position > after);
        let to_change = |(key, entry): (&RegistryKey, &RegistryEntry)| RegistryChange {
            key: key.clone(),
            position: entry.position,
            value: entry.value.clone(),
            age: now.saturating_sub(entry.learned_at),
        };
        let deferred = self.deferred_changes.values().map(|deferred| deferred.change.clone());
        let newer_deferred = deferred.filter(|change| change.position > after);
        (newer.map(to_change).chain(newer_deferred).collect(), incremental)
    }

    /// Drops tombstones that no live flow can depend on any more.
    pub fn purge_tombstones(&mut self, now: Duration) {
        self.run_history.purge(now);
        let is_expired = |entry: &RegistryEntry| {
            matches!(entry.value, RegistryValue::Removed { .. })
                && now.saturating_sub(entry.learned_at) > TOMBSTONE_RETENTION
        };
        let purged_positions =
            self.entries.values().filter(|entry| is_expired(entry)).map(|entry| entry.position);
        self.history_start = purged_positions.max().unwrap_or_default().max(self.history_start);
        self.entries.retain(|_, entry| !is_expired(entry));
    }
}
