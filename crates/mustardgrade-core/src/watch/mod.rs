//! Keeping every host's registry current: who watches the store, how changes and their freshness
//! spread between hosts, and how a starting host learns what the others know.
//!
//! Store calls do not grow with the number of hosts: the first host of each data centre watches, the
//! others hear digests. A host that hears nothing fresh in time watches itself, after a delay that
//! grows with its rank, so that every time bound holds whichever hosts are dead or cut off.

mod controller;
mod events;
mod fleet_view;
mod gossip;
mod message;
mod peer_loads;
mod schedule;
mod store_calls;

pub use controller::{WatchController, WatchOptions, WatchStatus};
pub use events::{StoreCall, StoreFailure, WatchEvent, WatchInput, WatchOutput};
pub use fleet_view::{FleetMember, FleetView};
pub use message::{ChangeBatch, FleetDigest, FleetMemberState, FleetMemberSummary, FleetMessage};
pub use peer_loads::PeerLoadTable;
pub use schedule::WatchSchedule;

#[cfg(test)]
mod tests;
