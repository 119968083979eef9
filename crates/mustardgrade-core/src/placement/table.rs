//! The placement table of one service.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::identity::{ServiceId, UpstreamId};

/// Upstream index of a bucket that no upstream takes.
pub const UNASSIGNED: u16 = u16::MAX;

/// Fewest buckets of a table; fewer would make one bucket a visible share of a small service.
const MIN_BUCKETS: usize = 256;

/// Most buckets of a table; more would outgrow the store's value limit for large services.
const MAX_BUCKETS: usize = 65_536;

/// Buckets per upstream; fewer than about 100 let rounding alone pass 1 % imbalance.
const BUCKETS_PER_UPSTREAM: usize = 256;

/// `BucketIndex` numbers the buckets of one table.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BucketIndex(pub u32);

/// `BucketPhase` is the step of a move that a bucket is in.
///
/// The phases follow each other in the order of the variants, each by one published generation.
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
    /// The computed answer is the truth for every flow that is no settled exception.
    #[default]
    #[display("steady")]
    Steady,
    /// A move is announced: unknown flows go through the owner, new flows still to the base.
    #[display("announced")]
    Announced,
    /// The bucket moved: unlisted flows belong to the base, new ones to the current upstream.
    #[display("collecting")]
    Collecting,
    /// Every live flow is listed: unlisted flows belong to the current upstream.
    #[display("settling")]
    Settling,
}

impl BucketPhase {
    /// Tells whether unknown flows must go through the owner.
    #[must_use]
    pub fn is_guarded(self) -> bool {
        self != Self::Steady
    }
}

/// `BucketPlacement` places one bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketPlacement {
    /// Index of the upstream that unlisted flows belonged to before the move.
    pub source_upstream: u16,
    /// Index of the upstream that new flows go to.
    pub target_upstream: u16,
    /// Step of the move.
    pub phase: BucketPhase,
}

impl BucketPlacement {
    /// Creates a steady slot.
    #[must_use]
    pub fn steady(upstream: u16) -> Self {
        Self { source_upstream: upstream, target_upstream: upstream, phase: BucketPhase::Steady }
    }

    /// Returns the upstream of a flow that is listed nowhere and does not open now.
    #[must_use]
    pub fn upstream_for_unrecorded_flow(&self) -> u16 {
        match self.phase {
            BucketPhase::Announced | BucketPhase::Collecting => self.source_upstream,
            BucketPhase::Steady | BucketPhase::Settling => self.target_upstream,
        }
    }

    /// Returns the upstream of a flow that opens now.
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

/// `PlacementTable` gives every bucket of a service an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementTable {
    /// The service that is placed.
    pub service: ServiceId,
    /// Upstreams that the slots point to; an entry is never reused while a slot names it.
    pub upstreams: Vec<UpstreamId>,
    /// One slot for each bucket; the length is a power of two.
    pub buckets: Vec<BucketPlacement>,
}

impl PlacementTable {
    /// Returns the number of buckets for a service with `upstreams` upstreams.
    #[must_use]
    pub fn bucket_count_for(upstreams: usize) -> usize {
        let requested = upstreams.saturating_mul(BUCKETS_PER_UPSTREAM).next_power_of_two();
        requested.clamp(MIN_BUCKETS, MAX_BUCKETS)
    }

    /// Returns the bucket of a flow fingerprint.
    #[must_use]
    pub fn bucket_of(&self, fingerprint: u64) -> BucketIndex {
        // The upper half of the hash picks the bucket, so that hash tables, which use the lower
        // half, stay evenly filled within one bucket.
        let mask = self.buckets.len() as u64 - 1;
        BucketIndex(((fingerprint >> 32) & mask) as u32)
    }

    /// Returns the slot of a bucket.
    ///
    /// # Panics
    ///
    /// Panics if the bucket is not one of this table.
    #[must_use]
    pub fn placement_of(&self, bucket: BucketIndex) -> BucketPlacement {
        self.buckets[bucket.0 as usize]
    }

    /// Returns the upstream that an index of a slot names.
    #[must_use]
    pub fn upstream(&self, index: u16) -> Option<UpstreamId> {
        self.upstreams.get(usize::from(index)).copied()
    }

    /// Returns the index of an upstream, if the table names it.
    #[must_use]
    pub fn index_of_upstream(&self, upstream: UpstreamId) -> Option<u16> {
        let index = self.upstreams.iter().position(|other| *other == upstream)?;
        u16::try_from(index).ok()
    }

    /// Returns the number of buckets in `phase`.
    #[must_use]
    pub fn count_buckets_in_phase(&self, phase: BucketPhase) -> usize {
        self.buckets.iter().filter(|placement| placement.phase == phase).count()
    }

    /// Tells whether any bucket is guarded.
    #[must_use]
    pub fn has_guarded_buckets(&self) -> bool {
        self.buckets.iter().any(|placement| placement.phase.is_guarded())
    }
}
