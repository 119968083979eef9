//! Keeping every host's registry current: who watches the store, how changes and their freshness
//! spread between hosts, and how a starting host learns what the others know.
//!
//! Store calls do not grow with the number of hosts: the first host of each data centre watches, the
//! others hear digests. A host that hears nothing fresh in time watches itself, after a delay that
//! grows with its rank, so that every time bound holds whichever hosts are dead or cut off.

mod controller;
mod duty;
mod events;
mod gossip;
mod loads;
mod members;
mod message;
mod schedule;

pub use controller::{WatchController, WatchOptions, WatchStatus};
pub use events::{StoreCall, StoreFailure, WatchInput, WatchNote, WatchOutput};
pub use loads::LoadBoard;
pub use members::{FleetMember, FleetView};
pub use message::{FleetDigest, FleetMessage, FleetState, MemberHint, StateBatch};
pub use schedule::WatchSchedule;

#[cfg(test)]
mod tests;
