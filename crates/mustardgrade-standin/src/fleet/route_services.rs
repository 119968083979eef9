//! The store's side of the hosts' own writes: the services that routes have had.

use std::sync::Arc;

use mustardgrade_core::registry::{RegistryKey, RegistryValue, StorePosition};
use mustardgrade_core::watch::{RouteServicesWrite, StoredServices, WatchInput, WriteResult};

use super::FleetSimulation;
use super::event::FleetEvent;
use super::store::StoreAvailability;

impl FleetSimulation {
    /// Handles a host's write: it takes effect if the entry has the expected revision.
    pub(super) fn handle_conditional_write(
        &mut self,
        host: usize,
        incarnation: u64,
        write: RouteServicesWrite,
    ) {
        self.store.call_count += 1;
        self.measurements.route_services_writes += 1;
        let is_within_quota = self.takes_write();
        let result = match self.hosts[host].store_availability {
            _ if !is_within_quota => {
                WriteResult::Failed("store answered with status 429".to_owned())
            }
            StoreAvailability::Failing => {
                WriteResult::Failed("store answered with status 503".to_owned())
            }
            StoreAvailability::Available | StoreAvailability::Unresponsive => {
                self.write_if_unchanged(write)
            }
        };
        if self.hosts[host].store_availability != StoreAvailability::Unresponsive {
            let input = Box::new(WatchInput::WriteResult(result));
            let response_time = self.store.response_time;
            // Peers' inputs and results of writes are delivered alike: while the host runs.
            self.schedule_after(response_time, FleetEvent::PeerInput { host, incarnation, input });
        }
    }

    fn write_if_unchanged(&mut self, write: RouteServicesWrite) -> WriteResult {
        let key = RegistryKey::RouteServices;
        let current = self.store.entry(&key);
        if current.map_or(0, |(revision, _)| revision) == write.expected_revision {
            self.write_entry(key, RegistryValue::RouteServices(write.services));
            return WriteResult::Done(self.store.position());
        }
        let epoch = self.store.position().epoch;
        let Some((revision, value)) = current else {
            let position = StorePosition { epoch, revision: 0 };
            return WriteResult::Conflict(StoredServices { position, ..StoredServices::default() });
        };
        let services = match value {
            RegistryValue::RouteServices(services) => Some(Arc::clone(services)),
            _ => None,
        };
        let position = StorePosition { epoch, revision };
        WriteResult::Conflict(StoredServices { position, exists: true, services })
    }
}
