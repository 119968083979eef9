//! Stand-in for the platform: a key-value store with compare-and-swap, watches and sessions, and a
//! catalogue of entry hosts, with fault injection. Its HTTP interface follows that of Consul.

mod server;
mod state;

pub use server::{PlatformHandle, start_platform};
pub use state::{CatalogueEntry, FaultMode, KeyRecord, PlatformCopy, PlatformState};
