//! The services that each route has had as backends, as kept in the platform's store.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::manifest::{Manifest, RouteConfig};
use crate::identity::ServiceId;

/// Maximum size of the stored document, by the estimates below. The store accepts values of 1 MiB;
/// the half leaves room for other encodings of the document.
const MAX_DOCUMENT_BYTES: usize = 512 * 1_024;

/// Upper bound of the bytes that a route adds to the document: its address, quotes and brackets.
const ROUTE_BYTES: usize = 32;

/// Upper bound of the bytes that a service adds to the document: 16 digits, quotes and a comma.
const SERVICE_BYTES: usize = 20;

/// `RouteServices` holds, for each route of a manifest, its present and past backend services.
///
/// A host that starts after a manifest has removed a backend learns from it which services the
/// route's open flows may still use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouteServices {
    /// Services by the address of the route, in the order in which they were added.
    services: BTreeMap<SocketAddrV4, Vec<ServiceId>>,
}

impl RouteServices {
    /// Returns the services of all routes, by the address of the route.
    pub fn iter(&self) -> impl Iterator<Item = (SocketAddrV4, &[ServiceId])> {
        self.services.iter().map(|(address, services)| (*address, services.as_slice()))
    }

    /// Returns whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Adds services of a route, except those that are present.
    pub fn extend(&mut self, route: SocketAddrV4, services: impl IntoIterator<Item = ServiceId>) {
        let of_route = self.services.entry(route).or_default();
        let mut present: HashSet<ServiceId> = of_route.iter().copied().collect();
        of_route.extend(services.into_iter().filter(|service| present.insert(*service)));
    }

    /// Returns these services completed for a manifest: routes that it lacks are left out, its
    /// backends are added, and so are the past services that the host knows.
    ///
    /// If the document would become too large, the oldest past services leave it for present
    /// backends, and known past services are added only while there is room. The result is
    /// therefore complete for hosts with other past services, too, and hosts whose knowledge
    /// differs do not replace each other's documents in turn.
    #[must_use]
    pub fn completed(
        &self,
        manifest: &Manifest,
        past_services: &HashMap<SocketAddrV4, HashSet<ServiceId>>,
    ) -> Self {
        // Of several routes with the same address the first is in force.
        let mut routes: BTreeMap<SocketAddrV4, &RouteConfig> = BTreeMap::new();
        for route in &manifest.routes {
            routes.entry(route.address).or_insert(route);
        }
        let mut completed = Self::default();
        for (address, route) in &routes {
            completed.extend(*address, self.services.get(address).into_iter().flatten().copied());
            completed.extend(*address, route.backends.iter().map(|backend| backend.service));
        }
        completed.evict_oldest(&routes);
        for address in routes.keys() {
            if let Some(past_services) = past_services.get(address) {
                completed.extend_while_room(*address, past_services);
            }
        }
        completed
    }

    /// Returns an upper bound of the size of the stored document in bytes.
    fn document_bytes(&self) -> usize {
        let route_bytes = |services: &Vec<ServiceId>| ROUTE_BYTES + services.len() * SERVICE_BYTES;
        self.services.values().map(route_bytes).sum()
    }

    fn extend_while_room(&mut self, route: SocketAddrV4, services: &HashSet<ServiceId>) {
        let room = MAX_DOCUMENT_BYTES.saturating_sub(self.document_bytes()) / SERVICE_BYTES;
        let present: HashSet<ServiceId> =
            self.services.get(&route).into_iter().flatten().copied().collect();
        let mut missing: Vec<ServiceId> = services.difference(&present).copied().collect();
        missing.sort_unstable();
        self.extend(route, missing.into_iter().take(room));
    }

    /// Removes the oldest past services, from the routes with the most services first, until the
    /// document is small enough.
    fn evict_oldest(&mut self, routes: &BTreeMap<SocketAddrV4, &RouteConfig>) {
        let mut excess = self.document_bytes().saturating_sub(MAX_DOCUMENT_BYTES);
        let mut by_length: Vec<SocketAddrV4> = self.services.keys().copied().collect();
        by_length.sort_by_key(|address| std::cmp::Reverse(self.services[address].len()));
        for address in by_length {
            let Some(route) = routes.get(&address) else { continue };
            let backends: HashSet<ServiceId> =
                route.backends.iter().map(|backend| backend.service).collect();
            let Some(services) = self.services.get_mut(&address) else { continue };
            services.retain(|service| {
                let evicts = excess > 0 && !backends.contains(service);
                excess = excess.saturating_sub(if evicts { SERVICE_BYTES } else { 0 });
                !evicts
            });
        }
    }
}
