//! The registry entries that a host has applied, with tombstones of removed ones.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use super::manifest::Manifest;
use super::upstream::UpstreamRegistration;

/// Time for which removed entries are kept as tombstones; flows live no longer than this.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(75);

/// `RegistryKey` identifies an entry.
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
}

/// `RegistryChange` sets an entry to the value that it has as of a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegistryChange {
    /// The entry that changes.
    pub key: RegistryKey,
    /// Store revision of the change.
    pub revision: u64,
    /// Content of the entry from this revision on.
    pub value: RegistryValue,
    /// Time since any host first learned of the change.
    pub age: Duration,
}

/// `RegistryEntry` is an entry that has been applied.
#[derive(Debug, Clone, PartialEq)]
pub struct RegistryEntry {
    /// Store revision of the last change.
    pub revision: u64,
    /// Content as of that revision.
    pub value: RegistryValue,
    /// Time at which any host first learned of the last change.
    pub learned_at: Duration,
    /// The latest registration of the upstream before the current value.
    pub previous_registration: Option<Arc<UpstreamRegistration>>,
}

/// `ApplyOutcome` says whether a change was applied.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change has been applied.
    #[display("applied")]
    Applied,
    /// The change was ignored: the entry is as new as the change, or newer.
    #[display("known")]
    Outdated,
}

/// `RegistryTable` holds all entries; an entry never returns to an older revision.
#[derive(Debug, Clone, Default)]
pub struct RegistryTable {
    entries: BTreeMap<RegistryKey, RegistryEntry>,
    complete_revision: u64,
    purged_revision: u64,
}

impl RegistryTable {
    /// Returns the revision up to which every change has been applied.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.complete_revision
    }

    /// Returns the manifest that was applied last.
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

    /// Returns all entries in the order of their keys, tombstones included.
    pub fn entries(&self) -> impl Iterator<Item = (&RegistryKey, &RegistryEntry)> {
        self.entries.iter()
    }

    /// Returns the entry of a key, which may be a tombstone.
    #[must_use]
    pub fn entry(&self, key: &RegistryKey) -> Option<&RegistryEntry> {
        self.entries.get(key)
    }

    /// Applies a change unless the entry already has the same revision or a newer one.
    ///
    /// A manifest with a lower version is ignored as well: the store orders manifests by version.
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

    /// Records that every change up to `revision` has been applied.
    pub fn mark_complete(&mut self, revision: u64) {
        self.complete_revision = self.complete_revision.max(revision);
    }

    /// Returns removals of the entries that are missing from a complete read as of `revision`.
    #[must_use]
    pub fn implied_removals(
        &self,
        complete_read: &[RegistryChange],
        revision: u64,
        possibly_spurious: bool,
    ) -> Vec<RegistryChange> {
        let present: std::collections::HashSet<&RegistryKey> =
            complete_read.iter().map(|change| &change.key).collect();
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

    /// Returns the changes after `revision`, or all entries if tombstones after it were purged.
    ///
    /// The flag is true if the result holds only the changes after `revision`.
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

    /// Drops tombstones that no live flow can depend on any more.
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
