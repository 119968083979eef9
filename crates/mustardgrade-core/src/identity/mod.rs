//! Identities of hosts, services, upstreams, data centres and tenants.
//!
//! Every identity is the 64-bit XXH3 hash of its configured name, so that all hosts compute the
//! same identity without an agreement. Whole-file checks of the rules refuse names that collide.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

macro_rules! name_hash_identity {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[display("{_0:016x}")]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Derives the identity from a configured name.
            #[must_use]
            pub fn from_name(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }
        }
    };
}

name_hash_identity! {
    /// `HostId` identifies an entry host across restarts.
    HostId
}
name_hash_identity! {
    /// `ServiceId` identifies a service.
    ServiceId
}
name_hash_identity! {
    /// `UpstreamId` identifies an upstream of some service.
    UpstreamId
}
name_hash_identity! {
    /// `DataCentreId` identifies a data centre.
    DataCentreId
}

/// `HostIncarnation` is one run of an entry host: it changes at every start.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{host}.{incarnation:x}")]
pub struct HostIncarnation {
    /// Identity of the host.
    pub host: HostId,
    /// Number of the run; later runs of one host carry larger numbers.
    pub incarnation: u64,
}

/// Mixes two 64-bit values into the score of rendezvous hashing.
#[must_use]
pub fn rendezvous_score(key: u64, candidate: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), candidate)
}

/// Returns the candidates in rendezvous order for `key`, best first.
#[must_use]
pub fn rendezvous_order(key: u64, candidates: &[HostId]) -> Vec<HostId> {
    let mut order = candidates.to_vec();
    order.sort_by_key(|host| (std::cmp::Reverse(rendezvous_score(key, host.0)), *host));
    order
}
