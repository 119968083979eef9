//! The cookie that identifies the upstream of a flow in its packets.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// `FlowCookie` identifies one run of one upstream.
///
/// Every host derives it from the upstream's registry entry alone. It is not keyed: a forged cookie
/// can only select an upstream among the backends of the caller's route, and that upstream does not
/// have the flow. Callers send zero until an upstream has answered.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:08x}")]
#[serde(transparent)]
pub struct FlowCookie(pub u32);

impl FlowCookie {
    /// The value in a packet that does not identify an upstream.
    pub const NONE: Self = Self(0);

    /// Derives the cookie of run `incarnation` of the upstream with the number `tag`; never zero.
    #[must_use]
    pub fn derive(tag: u64, incarnation: u64) -> Self {
        let mixed = xxh3_64_with_seed(&tag.to_le_bytes(), incarnation);
        let folded = (mixed ^ (mixed >> 32)) as u32;
        Self(folded.max(1))
    }
}
