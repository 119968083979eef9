//! The placement table of one service, and the phases in which a bucket moves between upstreams.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::identity::{ServiceId, UpstreamId};

/// Upstream index of a bucket that is assigned to no upstream.
pub const UNASSIGNED: u16 = u16::MAX;

/// Lower limit on the buckets of a table; with fewer, a single bucket would carry a noticeable
/// share of the flows of a small service.
const MIN_BUCKETS: usize = 256;

/// Upper limit on the buckets of a table; with more, large services would exceed the value size
/// limit of the store.
const MAX_BUCKETS: usize = 65_536;

/// Buckets per upstream; with fewer than about 100, rounding alone causes an imbalance over 1 %.
const BUCKETS_PER_UPSTREAM: usize = 256;

/// `BucketIndex` is the index of a bucket in the placement table of a service.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BucketIndex(pub u32);

/// `BucketPhase` is the phase of a move between two upstreams.
///
/// A move goes through the variants from `Announced` to `Settling` and back to `Steady`; each
/// change of phase is published as a new generation. In all phases but `Steady` the bucket is
/// guarded: the owner of the bucket records its flows.
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
#[serde(rename_all = "snake_case")]
pub enum BucketPhase {
    /// No move: all flows except settled exceptions belong to the target upstream.
    #[default]
    #[display("steady")]
    Steady,
    /// The move is announced: hosts send flows that they do not know through the owner, and new
    /// flows still go to the source upstream.
    #[display("announced")]
    Announced,
    /// New flows go to the target upstream; older flows without a record belong to the source.
    #[display("collecting")]
    Collecting,
    /// The owner has a record of every live flow, and all hosts fetch the records that name another
    /// upstream than the target as settled exceptions; other flows belong to the target.
    #[display("settling")]
    Settling,
}

impl BucketPhase {
    /// Returns whether flows that a host does not know must be routed through the owner.
    #[must_use]
    pub fn is_guarded(self) -> bool {
        self != Self::Steady
    }
}

/// `BucketPlacement` names the upstreams of one bucket; source and target differ during a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketPlacement {
    /// Index of the upstream that the bucket moves from.
    pub source_upstream: u16,
    /// Index of the upstream that the bucket moves to, or stays on.
    pub target_upstream: u16,
    /// Phase of the move.
    pub phase: BucketPhase,
}

impl BucketPlacement {
    /// Creates the placement of a bucket that stays on `upstream`.
    #[must_use]
    pub fn steady(upstream: u16) -> Self {
        Self { source_upstream: upstream, target_upstream: upstream, phase: BucketPhase::Steady }
    }

    /// Returns the upstream of an older flow that has neither a record nor a settled exception.
    #[must_use]
    pub fn upstream_for_unrecorded_flow(&self) -> u16 {
        match self.phase {
            BucketPhase::Announced | BucketPhase::Collecting => self.source_upstream,
            BucketPhase::Steady | BucketPhase::Settling => self.target_upstream,
        }
    }

    /// Returns the upstream of a flow that is being opened.
    #[must_use]
    pub fn upstream_for_new_flow(&self) -> u16 {
        match self.phase {
            BucketPhase::Announced => self.source_upstream,
            BucketPhase::Steady | BucketPhase::Collecting | BucketPhase::Settling => {
                self.target_upstream
            }
        }
    }
}

/// `PlacementTable` places the buckets of one service on its upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementTable {
    /// Service that the flows belong to.
    pub service: ServiceId,
    /// Upstreams by index; entries are only appended, so an index always names the same upstream.
    pub upstreams: Vec<UpstreamId>,
    /// Placement of each bucket; the length is a power of two.
    pub buckets: Vec<BucketPlacement>,
}

impl PlacementTable {
    /// Returns the number of buckets for a service with `upstreams` upstreams, a power of two.
    #[must_use]
    pub fn bucket_count_for(upstreams: usize) -> usize {
        let requested = upstreams.saturating_mul(BUCKETS_PER_UPSTREAM).next_power_of_two();
        requested.clamp(MIN_BUCKETS, MAX_BUCKETS)
    }

    /// Returns the bucket that a flow with this fingerprint falls into.
    #[must_use]
    pub fn bucket_of(&self, fingerprint: u64) -> BucketIndex {
        // The bucket is taken from the upper half of the hash. Hash tables use the lower half,
        // which therefore stays evenly distributed among the flows of one bucket.
        let mask = self.buckets.len() as u64 - 1;
        BucketIndex(((fingerprint >> 32) & mask) as u32)
    }

    /// Returns the placement of a bucket.
    ///
    /// # Panics
    ///
    /// Panics if the table has no such bucket.
    #[must_use]
    pub fn placement_of(&self, bucket: BucketIndex) -> BucketPlacement {
        self.buckets[bucket.0 as usize]
    }

    /// Returns the upstream with an index, or `None` if the index is [`UNASSIGNED`] or unknown.
    #[must_use]
    pub fn upstream(&self, index: u16) -> Option<UpstreamId> {
        self.upstreams.get(usize::from(index)).copied()
    }

    /// Returns the index of an upstream, or `None` if the table does not contain it.
    #[must_use]
    pub fn index_of_upstream(&self, upstream: UpstreamId) -> Option<u16> {
        let index = self.upstreams.iter().position(|other| *other == upstream)?;
        u16::try_from(index).ok()
    }

    /// Returns the number of buckets that are in `phase`.
    #[must_use]
    pub fn count_buckets_in_phase(&self, phase: BucketPhase) -> usize {
        self.buckets.iter().filter(|placement| placement.phase == phase).count()
    }

    /// Returns whether any bucket is guarded, that is, not steady.
    #[must_use]
    pub fn has_guarded_buckets(&self) -> bool {
        self.buckets.iter().any(|placement| placement.phase.is_guarded())
    }
}
