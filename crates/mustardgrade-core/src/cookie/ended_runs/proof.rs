//! Proofs as traffic threads receive and follow them.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::cookie::flow_cookie::FlowCookie;
use crate::registry::StorePosition;

/// `EndedUpstream` is an upstream of a snapshot whose run has ended by the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedUpstream {
    /// Cookie of the ended run.
    pub cookie: FlowCookie,
    /// Cookie of the run that has its address now.
    pub successor: FlowCookie,
    /// Position at or after which the successor first registered.
    pub position: StorePosition,
    /// When any host first learned of the successor.
    pub learned_at: Duration,
}

/// `WithdrawalCause` is the reason why a proof has ended.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WithdrawalCause {
    /// A caller has shown that the run is alive.
    #[display("alive")]
    Alive,
    /// The registry no longer proves it: the run has registered again, or the successor has left,
    /// has moved or comes from an older copy of the store.
    #[display("registry")]
    Registry,
}

/// `ProofStage` is how far a proof has come on this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProofStage {
    /// Callers may still show that the run is alive.
    Pending,
    /// The flows of the run are reset.
    InForce,
    /// The proof has ended; the same successor gives no other one.
    Withdrawn,
}

/// `KnownProof` is a proof with its stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct KnownProof {
    pub(super) ended: EndedUpstream,
    pub(super) stage: ProofStage,
}
