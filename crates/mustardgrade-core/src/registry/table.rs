//! The items of the store that a host has in force.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use super::manifest::Manifest;
use super::upstream::UpstreamRegistration;

/// Time for which removed items are remembered; flows live no longer than this.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(75);

/// `RegistryKey` names an entry.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RegistryKey {
    /// The manifest.
    #[display("manifest")]
    Manifest,
    /// The evacuation of the named data centre.
    #[display("evacuation {_0}")]
    Evacuation(String),
    /// The named upstream.
    #[display("upstream {_0}")]
    Upstream(String),
}

/// `RegistryValue` is what an entry holds.
#[derive(Debug, Clone, PartialEq, From, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RegistryValue {
    /// The manifest.
    Manifest(Arc<Manifest>),
    /// The data centre is evacuated.
    #[from(ignore)]
    Evacuated,
    /// An upstream's report.
    Upstream(Arc<UpstreamRegistration>),
    /// The entry exists but names nothing that can be used.
    #[from(ignore)]
    Unusable,
    /// The entry was removed.
    #[from(ignore)]
    Removed {
        /// The removal may be an effect of an outage of the store.
        possibly_spurious: bool,
    },
}

/// `RegistryChange` is an entry as of a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegistryChange {
    /// The entry.
    pub key: RegistryKey,
    /// Revision of its last change.
    pub revision: u64,
    /// What it holds.
    pub value: RegistryValue,
    /// Time since the entry was first learned of by any host.
    pub age: Duration,
}

/// `RegistryEntry` is an entry in force.
#[derive(Debug, Clone, PartialEq)]
pub struct RegistryEntry {
    /// Revision of its last change.
    pub revision: u64,
    /// What it holds.
    pub value: RegistryValue,
    /// When it was learned.
    pub learned_at: Duration,
    /// The report of an upstream before it was removed.
    pub previous_registration: Option<Arc<UpstreamRegistration>>,
}

/// `ApplyOutcome` says what became of a change.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change is in force.
    #[display("applied")]
    Applied,
    /// The change is as old as what is in force, or older.
    #[display("known")]
    Outdated,
}

/// `RegistryTable` holds all items; a key never goes back to an older revision.
#[derive(Debug, Clone, Default)]
pub struct RegistryTable {
    entries: BTreeMap<RegistryKey, RegistryEntry>,
    complete_revision: u64,
    purged_revision: u64,
}

impl RegistryTable {
    /// Returns the revision up to which the book holds every change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.complete_revision
    }

    /// Returns the manifest in force.
    #[must_use]
    pub fn manifest(&self) -> Option<&Arc<Manifest>> {
        match &self.entries.get(&RegistryKey::Manifest)?.value {
            RegistryValue::Manifest(manifest) => Some(manifest),
            RegistryValue::Evacuated
            | RegistryValue::Upstream(_)
            | RegistryValue::Unusable
            | RegistryValue::Removed { .. } => None,
        }
    }

    /// Returns all items, removed ones included.
    pub fn entries(&self) -> impl Iterator<Item = (&RegistryKey, &RegistryEntry)> {
        self.entries.iter()
    }

    /// Returns an entry.
    #[must_use]
    pub fn entry(&self, key: &RegistryKey) -> Option<&RegistryEntry> {
        self.entries.get(key)
    }

    /// Puts a change in force unless the same or a newer one is.
    ///
    /// A manifest of a lower version is refused as well: the store orders manifests by version.
    pub fn apply(&mut self, change: RegistryChange, now: Duration) -> ApplyOutcome {
        let current = self.entries.get(&change.key);
        if current.is_some_and(|entry| entry.revision >= change.revision) {
            return ApplyOutcome::Outdated;
        }
        if let (RegistryValue::Manifest(manifest), Some(current_manifest)) =
            (&change.value, self.manifest())
            && manifest.version < current_manifest.version
        {
            return ApplyOutcome::Outdated;
        }
        let previous_registration = current.and_then(|entry| match &entry.value {
            RegistryValue::Upstream(registration) => Some(Arc::clone(registration)),
            RegistryValue::Manifest(_)
            | RegistryValue::Evacuated
            | RegistryValue::Unusable
            | RegistryValue::Removed { .. } => entry.previous_registration.clone(),
        });
        let entry = RegistryEntry {
            revision: change.revision,
            value: change.value,
            learned_at: now.saturating_sub(change.age),
            previous_registration,
        };
        self.entries.insert(change.key, entry);
        ApplyOutcome::Applied
    }

    /// Notes that every change up to `revision` has been applied.
    pub fn mark_complete(&mut self, revision: u64) {
        self.complete_revision = self.complete_revision.max(revision);
    }

    /// Returns the removals that a whole read as of `revision` implies.
    #[must_use]
    pub fn implied_removals(
        &self,
        snapshot: &[RegistryChange],
        revision: u64,
        possibly_spurious: bool,
    ) -> Vec<RegistryChange> {
        let present: std::collections::HashSet<&RegistryKey> =
            snapshot.iter().map(|change| &change.key).collect();
        let missing = self.entries.iter().filter(|(key, entry)| {
            !present.contains(key)
                && entry.revision <= revision
                && !matches!(entry.value, RegistryValue::Removed { .. })
        });
        let to_removal = |(key, _): (&RegistryKey, &RegistryEntry)| RegistryChange {
            key: key.clone(),
            revision,
            value: RegistryValue::Removed { possibly_spurious },
            age: Duration::ZERO,
        };
        missing.map(to_removal).collect()
    }

    /// Returns all changes after `revision`, or everything if some of them are forgotten.
    ///
    /// The flag tells whether the changes are complete without what came before `revision`.
    #[must_use]
    pub fn changes_since(&self, revision: u64, now: Duration) -> (Vec<RegistryChange>, bool) {
        let incremental = revision >= self.purged_revision && revision > 0;
        let after_revision = if incremental { revision } else { 0 };
        let newer = self.entries.iter().filter(|(_, entry)| entry.revision > after_revision);
        let to_change = |(key, entry): (&RegistryKey, &RegistryEntry)| RegistryChange {
            key: key.clone(),
            revision: entry.revision,
            value: entry.value.clone(),
            age: now.saturating_sub(entry.learned_at),
        };
        (newer.map(to_change).collect(), incremental)
    }

    /// Forgets removals that no live flow can depend on any more.
    pub fn purge_tombstones(&mut self, now: Duration) {
        let is_expired = |entry: &RegistryEntry| {
            matches!(entry.value, RegistryValue::Removed { .. })
                && now.saturating_sub(entry.learned_at) > TOMBSTONE_RETENTION
        };
        let purged_revisions =
            self.entries.values().filter(|entry| is_expired(entry)).map(|entry| entry.revision);
        self.purged_revision = purged_revisions.max().unwrap_or_default().max(self.purged_revision);
        self.entries.retain(|_, entry| !is_expired(entry));
    }
}
