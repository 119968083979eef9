//! A host that places flows by cookie, between the edges of a platform.

mod actor;
mod edges;
mod lane;
mod lines;
mod notes;
mod pages;
mod settings;
mod tasks;
mod threads;
mod times;

pub use actor::{RegistryActor, RegistryLinks, ReloadFleet};
pub use edges::{EdgeError, FleetEdges, PacketEdge, StoreEdge, StoreReply, UpstreamTarget};
pub use pages::rule_lines;
pub use settings::{FLEET_KEYS, FleetSettings};
pub(crate) use threads::{FleetSwitches, FleetThreads, start_fleet};

#[cfg(test)]
mod tests;
