//! Services to which admission control applies.

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::cookie::snapshot::{CookieRoute, CookieSnapshot};
use crate::identity::ServiceId;

/// `ControlledRoute` is a route of a controlled service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ControlledRoute {
    pub(super) address: SocketAddrV4,
    pub(super) priority: u32,
    pub(super) latency_objective: Duration,
}

/// Returns the services to which admission control applies, each with its routes, the most urgent
/// ones first.
///
/// A service is controlled if it is a backend of a route with several backends and also of a route
/// of another priority. Backends with weight 0 do not count.
pub(super) fn controlled_services(
    snapshot: &CookieSnapshot,
) -> Vec<(ServiceId, Vec<ControlledRoute>)> {
    let shared_by_weight = snapshot.routes.values().filter(|route| route.is_split());
    let candidates: HashSet<ServiceId> =
        shared_by_weight.flat_map(CookieRoute::weighted_services).collect();
    let mut services: Vec<_> = candidates
        .into_iter()
        .map(|service| (service, routes_of(snapshot, service)))
        .filter(|(_, routes)| routes.first().map(priority) != routes.last().map(priority))
        .collect();
    services.sort_by_key(|(service, _)| *service);
    services
}

fn priority(route: &ControlledRoute) -> u32 {
    route.priority
}

fn routes_of(snapshot: &CookieSnapshot, service: ServiceId) -> Vec<ControlledRoute> {
    let is_backend = |route: &&CookieRoute| route.weighted_services().any(|other| other == service);
    let routes = snapshot.routes.values().filter(is_backend).map(|route| ControlledRoute {
        address: route.config.address,
        priority: route.config.priority,
        latency_objective: route.config.latency_objective,
    });
    let mut routes: Vec<ControlledRoute> = routes.collect();
    routes.sort_by_key(|route| (route.priority, route.address));
    routes
}
