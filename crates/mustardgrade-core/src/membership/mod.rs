//! Membership between entry hosts: digests, suspicion, and what a host may conclude from them.
//!
//! A view is never a proof. Views decide where work goes; every safety rule holds although the
//! views of two hosts differ.

mod controller;
mod digest;
mod lifecycle;
mod member;
mod publishing;
mod settling;

pub use controller::{
    ControllerInput, ControllerOptions, ControllerOutput, HostController, PeerConfiguration,
    StoredPlacement, StoredRules,
};
pub use digest::{HostDigest, HostState};
pub use member::{KnownHost, ListedHost, MemberTable, MemberTableOptions};

#[cfg(test)]
mod tests;
