//! Replication of the registry to every host: which hosts watch the store, how changes and
//! confirmations of freshness are gossiped, and how a starting host obtains the registry.
//!
//! The number of store calls does not grow with the number of hosts: one host of each data centre
//! watches the store, the first in duty order (by CPU share, then by hash), and the others receive
//! digests. A host without a fresh confirmation watches the store itself, after a delay that grows
//! with its rank, its position in duty order, so that the same time bounds hold whichever hosts are
//! down or partitioned.

mod controller;
mod events;
mod fleet_view;
mod gossip;
mod message;
mod options;
mod past_services;
mod peer_loads;
mod replication;
mod route_services;
mod schedule;
mod status;
mod store_calls;

pub use controller::WatchController;
pub use events::{StoreCall, StoreFailure, WatchEvent, WatchInput, WatchOutput};
pub use fleet_view::{FleetMember, FleetView};
pub use message::{ChangeBatch, FleetDigest, FleetMemberState, FleetMemberSummary, FleetMessage};
pub use options::WatchOptions;
pub use peer_loads::PeerLoadTable;
pub use route_services::{RouteServicesWrite, StoredServices, WriteCounters, WriteResult};
pub use schedule::WatchSchedule;
pub use status::WatchStatus;

#[cfg(test)]
mod tests;
