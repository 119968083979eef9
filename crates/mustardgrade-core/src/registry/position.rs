//! Positions in the history of the platform's store.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `StorePosition` is a point in the history of the platform's store.
///
/// A store that returns from an older copy of itself gives out revisions again, for other changes.
/// Revisions are therefore comparable only within an epoch, and every position of a later epoch is
/// newer than all positions of the earlier ones.
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("epoch={epoch} revision={revision}")]
#[serde(deny_unknown_fields)]
pub struct StorePosition {
    /// Number of the history, which increases each time that the store returns from a copy.
    pub epoch: u64,
    /// Revision within the epoch.
    pub revision: u64,
}

impl StorePosition {
    /// The position before all changes.
    pub const ORIGIN: Self = Self { epoch: 0, revision: 0 };

    /// Returns whether this is the position before all changes.
    #[must_use]
    pub fn is_origin(self) -> bool {
        self == Self::ORIGIN
    }

    /// Returns whether a history that is known up to this position continues with the changes after
    /// `after`.
    #[must_use]
    pub fn continues_with(self, after: Self) -> bool {
        after.is_origin() || (after.epoch == self.epoch && after.revision <= self.revision)
    }
}
