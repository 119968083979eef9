//! Identities of hosts, services, upstreams and data centres.
//!
//! Each identity is the 64-bit XXH3 hash of the configured name, so all hosts derive the same
//! identity without coordination. Validation of the rules file rejects repeated names; it does not
//! check for different names with the same hash.

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
            /// Hashes a configured name to its identity.
            #[must_use]
            pub fn from_name(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }
        }
    };
}

name_hash_identity! {
    /// `HostId` identifies an entry host; it stays the same across restarts.
    HostId
}
name_hash_identity! {
    /// `ServiceId` identifies a service of the rules.
    ServiceId
}
name_hash_identity! {
    /// `UpstreamId` identifies an upstream of a service.
    UpstreamId
}
name_hash_identity! {
    /// `DataCentreId` identifies a data centre.
    DataCentreId
}

/// `HostIncarnation` identifies one process run of an entry host; it changes at every start.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{host}.{incarnation:x}")]
pub struct HostIncarnation {
    /// Identity of the host, which all its incarnations share.
    pub host: HostId,
    /// Incarnation number, which increases with every start of the host.
    pub incarnation: u64,
}

/// Returns the rendezvous-hashing score of `candidate` for `key`.
#[must_use]
pub fn rendezvous_score(key: u64, candidate: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), candidate)
}

/// Returns the candidates by descending rendezvous score for `key`; ties are ordered by identity.
#[must_use]
pub fn rendezvous_order(key: u64, candidates: &[HostId]) -> Vec<HostId> {
    let mut order = candidates.to_vec();
    order.sort_by_key(|host| (std::cmp::Reverse(rendezvous_score(key, host.0)), *host));
    order
}
