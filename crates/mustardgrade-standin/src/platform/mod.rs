//! Stand-in of the platform: key-value store with compare-and-swap, watches and sessions, the list
//! of hosts, and switches for its failures. Its HTTP interface follows that of Consul.

mod server;
mod state;

pub use server::{PlatformHandle, start_platform};
pub use state::{CatalogueEntry, FaultMode, KeyRecord, PlatformState};
