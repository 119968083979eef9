//! The items of the store that a host has in force.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use super::manifest::Manifest;
use super::upstream::UpstreamReport;

/// Time for which removed items are remembered; flows live no longer than this.
const TOMBSTONE_TIME: Duration = Duration::from_secs(75);

/// `StateKey` names an item.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StateKey {
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

/// `StateValue` is what an item holds.
#[derive(Debug, Clone, PartialEq, From, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StateValue {
    /// The manifest.
    Manifest(Arc<Manifest>),
    /// The data centre is evacuated.
    #[from(ignore)]
    Evacuated,
    /// An upstream's report.
    Upstream(Arc<UpstreamReport>),
    /// The item exists but names nothing that can be used.
    #[from(ignore)]
    Unusable,
    /// The item was removed.
    #[from(ignore)]
    Removed {
        /// The removal may be an effect of an outage of the store.
        lapsed: bool,
    },
}

/// `StateChange` is an item as of a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateChange {
    /// The item.
    pub key: StateKey,
    /// Revision of its last change.
    pub revision: u64,
    /// What it holds.
    pub value: StateValue,
    /// Time since the item was first learned of by any host.
    pub age: Duration,
}

/// `StateItem` is an item in force.
#[derive(Debug, Clone, PartialEq)]
pub struct StateItem {
    /// Revision of its last change.
    pub revision: u64,
    /// What it holds.
    pub value: StateValue,
    /// When it was learned.
    pub learned: Duration,
    /// The report of an upstream before it was removed.
    pub before: Option<Arc<UpstreamReport>>,
}

/// `ApplyOutcome` says what became of a change.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change is in force.
    #[display("applied")]
    Applied,
    /// The change is as old as what is in force, or older.
    #[display("known")]
    Known,
}

/// `StateBook` holds all items; a key never goes back to an older revision.
#[derive(Debug, Clone, Default)]
pub struct StateBook {
    items: BTreeMap<StateKey, StateItem>,
    revision: u64,
    forgotten: u64,
}

impl StateBook {
    /// Returns the revision up to which the book holds every change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the manifest in force.
    #[must_use]
    pub fn manifest(&self) -> Option<&Arc<Manifest>> {
        match &self.items.get(&StateKey::Manifest)?.value {
            StateValue::Manifest(manifest) => Some(manifest),
            StateValue::Evacuated
            | StateValue::Upstream(_)
            | StateValue::Unusable
            | StateValue::Removed { .. } => None,
        }
    }

    /// Returns all items, removed ones included.
    pub fn items(&self) -> impl Iterator<Item = (&StateKey, &StateItem)> {
        self.items.iter()
    }

    /// Returns an item.
    #[must_use]
    pub fn item(&self, key: &StateKey) -> Option<&StateItem> {
        self.items.get(key)
    }

    /// Puts a change in force unless the same or a newer one is.
    ///
    /// A manifest of a lower version is refused as well: the store orders manifests by version.
    pub fn apply(&mut self, change: StateChange, now: Duration) -> ApplyOutcome {
        let before = self.items.get(&change.key);
        if before.is_some_and(|item| item.revision >= change.revision) {
            return ApplyOutcome::Known;
        }
        if let (StateValue::Manifest(manifest), Some(known)) = (&change.value, self.manifest())
            && manifest.version < known.version
        {
            return ApplyOutcome::Known;
        }
        let report = before.and_then(|item| match &item.value {
            StateValue::Upstream(report) => Some(Arc::clone(report)),
            StateValue::Manifest(_)
            | StateValue::Evacuated
            | StateValue::Unusable
            | StateValue::Removed { .. } => item.before.clone(),
        });
        let item = StateItem {
            revision: change.revision,
            value: change.value,
            learned: now.saturating_sub(change.age),
            before: report,
        };
        self.items.insert(change.key, item);
        ApplyOutcome::Applied
    }

    /// Notes that every change up to `revision` has been applied.
    pub fn confirm(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the removals that a whole read as of `revision` implies.
    #[must_use]
    pub fn missing_from(
        &self,
        read: &[StateChange],
        revision: u64,
        lapsed: bool,
    ) -> Vec<StateChange> {
        let present: std::collections::HashSet<&StateKey> =
            read.iter().map(|change| &change.key).collect();
        let gone = self.items.iter().filter(|(key, item)| {
            !present.contains(key)
                && item.revision <= revision
                && !matches!(item.value, StateValue::Removed { .. })
        });
        let removal = |(key, _): (&StateKey, &StateItem)| StateChange {
            key: key.clone(),
            revision,
            value: StateValue::Removed { lapsed },
            age: Duration::ZERO,
        };
        gone.map(removal).collect()
    }

    /// Returns all changes after `revision`, or everything if some of them are forgotten.
    ///
    /// The flag tells whether the changes are complete without what came before `revision`.
    #[must_use]
    pub fn changes_since(&self, revision: u64, now: Duration) -> (Vec<StateChange>, bool) {
        let partial = revision >= self.forgotten && revision > 0;
        let from = if partial { revision } else { 0 };
        let newer = self.items.iter().filter(|(_, item)| item.revision > from);
        let change = |(key, item): (&StateKey, &StateItem)| StateChange {
            key: key.clone(),
            revision: item.revision,
            value: item.value.clone(),
            age: now.saturating_sub(item.learned),
        };
        (newer.map(change).collect(), partial)
    }

    /// Forgets removals that no live flow can depend on any more.
    pub fn forget(&mut self, now: Duration) {
        let old = |item: &StateItem| {
            matches!(item.value, StateValue::Removed { .. })
                && now.saturating_sub(item.learned) > TOMBSTONE_TIME
        };
        let forgotten = self.items.values().filter(|item| old(item)).map(|item| item.revision);
        self.forgotten = forgotten.max().unwrap_or_default().max(self.forgotten);
        self.items.retain(|_, item| !old(item));
    }
}
