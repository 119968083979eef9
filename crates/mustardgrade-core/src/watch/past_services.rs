//! Past services of routes: what a host learns of them, and when it writes them to the store.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use super::controller::WatchController;
use super::events::{WatchEvent, WatchOutput};
use super::message::FleetMemberState;
use super::route_services::{StoredServices, WriteResult};
use crate::identity::DataCentreId;
use crate::registry::{RegistryKey, RegistryValue, RouteServices, StorePosition};

/// Time after the start of a host before it writes. By then it knows the other hosts that watch the
/// store, and has their past services.
const FIRST_WRITE_DELAY: Duration = Duration::from_secs(3);

/// Time by which the watching hosts of the data centres write one after another, so that all but
/// the first see that its write has been done. A change reaches them within a few round trips.
const WRITE_TURN: Duration = Duration::from_secs(1);

impl WatchController {
    /// Records past services of routes; from now on, flows of a route that are already open may use
    /// them.
    pub(super) fn learn_past_services(
        &mut self,
        services: &RouteServices,
        outputs: &mut Vec<WatchOutput>,
    ) {
        self.registry.learn_route_services(services);
        let mut is_new = false;
        for (address, services) in services.iter() {
            let known = self.snapshot_context.past_services.entry(address).or_default();
            for service in services {
                is_new |= known.insert(*service);
            }
        }
        if is_new {
            outputs.push(WatchOutput::InstallSnapshot);
        }
    }

    /// Writes the services of all routes if the entry in the store lacks some and this host is to
    /// write them.
    pub(super) fn write_services_if_due(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        if self.route_services.is_overdue(now) {
            let cause = "no answer before the timeout of the write".to_owned();
            self.handle_write_result(WriteResult::Unknown(cause), now, outputs);
        }
        if !self.may_write(now) {
            return;
        }
        if std::mem::take(&mut self.services_changed) {
            self.compare_stored_services(now);
        }
        if !self.route_services.is_due(self.write_turn_delay(now), now) {
            return;
        }
        let stored = self.stored_services();
        if let Some(write) = self.route_services.start(&stored, now) {
            self.store_calls += 1;
            outputs.push(WatchOutput::WriteRouteServices(write));
        }
    }

    /// Processes the store's answer to the write in progress.
    pub(super) fn handle_write_result(
        &mut self,
        result: WriteResult,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        let jitter_factor = match result {
            WriteResult::Done(_) => 1.0,
            _ => 0.75 + 0.5 * self.rng.random::<f64>(),
        };
        if !self.route_services.finish(&result, jitter_factor, now) {
            return;
        }
        self.services_changed = true;
        let event = match result {
            WriteResult::Done(position) => WatchEvent::RouteServicesWritten { position },
            WriteResult::Conflict(stored) => {
                if let Some(services) = &stored.services {
                    self.learn_past_services(services, outputs);
                }
                WatchEvent::RouteServicesConflict { position: stored.position }
            }
            WriteResult::Refused(cause)
            | WriteResult::Failed(cause)
            | WriteResult::Unknown(cause) => WatchEvent::RouteServicesFailed { cause },
        };
        outputs.push(WatchOutput::Event(event));
    }

    /// Returns whether the host may write: it watches the store, and knows all entries as of now.
    fn may_write(&self, now: Duration) -> bool {
        self.watching
            && self.state == FleetMemberState::Ready
            && self.is_confirmation_fresh(now)
            && now.saturating_sub(self.started_at) >= FIRST_WRITE_DELAY
    }

    /// Determines whether the entry in the store lacks services, or has routes that were dropped.
    fn compare_stored_services(&mut self, now: Duration) {
        let Some(manifest) = self.registry.manifest().map(Arc::clone) else { return };
        let stored = self.stored_services().services.unwrap_or_default();
        let completed = stored.completed(&manifest, &self.snapshot_context.past_services);
        let pending = (completed != *stored).then_some(completed);
        self.route_services.set_pending(pending, now);
    }

    fn stored_services(&mut self) -> StoredServices {
        let absent = StoredServices {
            position: StorePosition { revision: 0, ..self.registry.position() },
            ..StoredServices::default()
        };
        let in_registry = match self.registry.entry(&RegistryKey::RouteServices) {
            None => absent,
            Some(entry) => match &entry.value {
                RegistryValue::Removed { .. } => absent,
                RegistryValue::RouteServices(services) => StoredServices {
                    position: entry.position,
                    exists: true,
                    services: Some(Arc::clone(services)),
                },
                RegistryValue::Manifest(_)
                | RegistryValue::Evacuated
                | RegistryValue::Upstream(_)
                | RegistryValue::Unusable => {
                    StoredServices { position: entry.position, exists: true, services: None }
                }
            },
        };
        self.route_services.stored(in_registry)
    }

    /// Returns for how long the host leaves a write to others: to the watching hosts of data
    /// centres that come first in order, and to one in its own data centre that precedes it.
    fn write_turn_delay(&self, now: Duration) -> Duration {
        let own = self.options.data_centre;
        let mut earlier: Vec<DataCentreId> = self
            .fleet
            .live(now)
            .filter(|member| member.watching && member.data_centre < own)
            .map(|member| member.data_centre)
            .collect();
        earlier.sort_unstable();
        earlier.dedup();
        let in_own = usize::from(self.fleet.has_watcher(&self.own_summary(), true, now));
        WRITE_TURN * u32::try_from(earlier.len() + in_own).unwrap_or(u32::MAX)
    }
}
