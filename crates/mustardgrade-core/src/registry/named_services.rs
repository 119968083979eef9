//! The services that the configuration names: registrations of other services are not in force.

use std::collections::HashSet;
use std::sync::Arc;

use super::manifest::Manifest;
use super::route_services::RouteServices;
use super::table::{RegistryEntry, RegistryTable, RegistryValue};
use super::upstream::UpstreamRegistration;
use crate::identity::ServiceId;

/// `NamedServices` holds the services that a manifest has named, the present or an earlier one.
///
/// Services of earlier manifests stay named, since their upstreams may hold open flows.
#[derive(Debug, Clone, Default)]
pub(super) struct NamedServices {
    services: HashSet<ServiceId>,
}

impl NamedServices {
    /// Adds the services of a manifest, and the backends of its routes.
    fn add_manifest(&mut self, manifest: &Manifest) {
        let services = manifest.services.iter();
        self.services.extend(services.map(|service| ServiceId::from_name(&service.name)));
        let backends = manifest.routes.iter().flat_map(|route| &route.backends);
        self.services.extend(backends.map(|backend| backend.service));
    }

    /// Adds the services that routes have had.
    fn add_route_services(&mut self, services: &RouteServices) {
        self.services.extend(services.iter().flat_map(|(_, services)| services));
    }
}

impl RegistryTable {
    /// Returns whether a manifest has named a service, as far as this host knows.
    #[must_use]
    pub fn names_service(&self, service: ServiceId) -> bool {
        self.named_services.services.contains(&service)
    }

    /// Records that earlier manifests have named the services of routes.
    pub fn learn_route_services(&mut self, services: &RouteServices) {
        self.named_services.add_route_services(services);
    }

    /// Returns the registration that is in force by an entry: one of a service that a manifest has
    /// named.
    ///
    /// The entry of any other service has been written by somebody else than an upstream of this
    /// installation. It says nothing of its address, nor of another entry.
    #[must_use]
    pub fn registration<'a>(
        &self,
        entry: &'a RegistryEntry,
    ) -> Option<&'a Arc<UpstreamRegistration>> {
        match &entry.value {
            RegistryValue::Upstream(registration) => {
                Some(registration).filter(|registration| self.names_service(registration.service))
            }
            RegistryValue::Manifest(_)
            | RegistryValue::Evacuated
            | RegistryValue::Unusable
            | RegistryValue::RouteServices(_)
            | RegistryValue::Removed { .. } => None,
        }
    }

    /// Records the services that the value of an entry names.
    pub(super) fn record_named_services(&mut self, value: &RegistryValue) {
        match value {
            RegistryValue::Manifest(manifest) => self.named_services.add_manifest(manifest),
            RegistryValue::RouteServices(services) => {
                self.named_services.add_route_services(services);
            }
            RegistryValue::Evacuated
            | RegistryValue::Upstream(_)
            | RegistryValue::Unusable
            | RegistryValue::Removed { .. } => {}
        }
    }
}
