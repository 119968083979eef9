//! The value in a packet that names an upstream.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// `FlowCookie` names one run of one upstream.
///
/// Every host computes it from the upstream's report alone. It is not keyed: a forged cookie can
/// only choose among the upstreams that the caller's route leads to, and the chosen one does not
/// hold the flow. Zero is what callers send before any upstream has answered.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:08x}")]
#[serde(transparent)]
pub struct FlowCookie(pub u32);

impl FlowCookie {
    /// The value of a packet that names no upstream.
    pub const NONE: Self = Self(0);

    /// Computes the cookie of the run `incarnation` of the upstream with number `tag`.
    #[must_use]
    pub fn derive(tag: u64, incarnation: u64) -> Self {
        let mixed = xxh3_64_with_seed(&tag.to_le_bytes(), incarnation);
        let folded = (mixed ^ (mixed >> 32)) as u32;
        Self(folded.max(1))
    }
}
