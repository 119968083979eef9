//! Membership of entry hosts: heartbeat digests, failure detection, and the control decisions that
//! a host derives from them.
//!
//! A host's membership view is not proof of the state of other hosts. Views determine where work is
//! routed; every safety rule must hold even if the views of two hosts differ.

mod controller;
mod digest;
mod events;
mod lifecycle;
mod member;
mod publishing;
mod settling;
mod steps;
mod store_repair;
mod stored_rules;

pub use controller::HostController;
pub use digest::{HostDigest, HostState};
pub use events::{
    ControllerInput, ControllerOptions, ControllerOutput, PeerConfiguration, RecordKeeper,
    StoredPlacement,
};
pub use member::{KnownHost, ListedHost, MemberTable, MemberTableOptions};

pub use stored_rules::{MAX_RECENT_EDITS, RulesRelation, StoredRules};

#[cfg(test)]
mod tests;
