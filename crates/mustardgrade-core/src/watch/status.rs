//! State of a registry replica, as operators see it.

use std::time::Duration;

use super::message::FleetMemberState;
use super::route_services::WriteCounters;
use crate::registry::StorePosition;

/// `WatchStatus` summarises the registry replica of a host for the status page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchStatus {
    /// Life-cycle state of the host.
    pub state: FleetMemberState,
    /// Position up to which every change has been applied.
    pub position: StorePosition,
    /// Version of the manifest in force; 0 if there is none.
    pub manifest_version: u64,
    /// Time since the registry was last confirmed to be current; `None` if it never was.
    pub confirmation_age: Option<Duration>,
    /// Whether the host watches the store.
    pub watching: bool,
    /// Number of live hosts, this one included.
    pub live_hosts: usize,
    /// Number of store calls since the start.
    pub store_calls: u64,
    /// Number of complete reads of the registry from the store since the start.
    pub registry_reads: u64,
    /// Number of changes from the store that were ignored as outdated although their content was
    /// not in force.
    pub ignored_changes: u64,
    /// Results of writes of the services that routes have had.
    pub service_writes: WriteCounters,
}
