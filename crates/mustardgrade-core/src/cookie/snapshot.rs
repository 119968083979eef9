//! Immutable routing state of the traffic threads, rebuilt whenever the registry changes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use super::ended_runs::{EndedUpstream, ended_upstreams, former_runs};
use super::flow_cookie::FlowCookie;
use super::upstream_view::{UpstreamView, upstream_view};
use crate::identity::{DataCentreId, ServiceId};
use crate::registry::{
    RegistryKey, RegistryTable, RegistryValue, RouteBackend, RouteConfig, StorePosition,
};

/// `CookieRoute` is a route of the manifest with the services of its open flows.
#[derive(Debug, Clone, PartialEq)]
pub struct CookieRoute {
    /// The route as configured in the manifest.
    pub config: RouteConfig,
    /// Present and past backend services of the route, since open flows may still use the latter.
    pub allowed_services: HashSet<ServiceId>,
}

impl CookieRoute {
    /// Returns the services that get new flows of the route, in the order of the manifest.
    pub(super) fn weighted_services(&self) -> impl Iterator<Item = ServiceId> {
        let weighted = self.config.backends.iter().filter(|backend| backend.weight > 0);
        weighted.map(|backend| backend.service)
    }

    /// Returns whether new flows are split among several services.
    pub(super) fn is_split(&self) -> bool {
        let mut services = self.weighted_services();
        let first = services.next();
        services.any(|service| Some(service) != first)
    }
}

/// `CookieSnapshot` is the routing state of a traffic thread.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CookieSnapshot {
    /// Whether the registry contained a manifest when the snapshot was built.
    pub is_loaded: bool,
    /// Version of the manifest that the routes come from.
    pub manifest_version: u64,
    /// Position in the store's history up to which registry changes are included.
    pub store_position: StorePosition,
    /// Time without packets after which a flow is removed from the flow table.
    pub idle_timeout: Duration,
    /// Routes by the address that callers use.
    pub routes: HashMap<SocketAddrV4, CookieRoute>,
    /// Addresses whose route was removed by a manifest.
    pub dropped_routes: HashSet<SocketAddrV4>,
    /// All upstreams, including removed ones that open flows may still refer to.
    pub upstreams: Vec<UpstreamView>,
    /// Indices of the upstreams by service.
    pub upstreams_by_service: HashMap<ServiceId, Vec<usize>>,
    /// Configured names of the manifest's services, for metrics.
    pub service_names: HashMap<ServiceId, String>,
    /// Recent peak number of live hosts in the fleet, by which fleet-wide rate limits are divided;
    /// 0 while it is not known yet.
    pub fleet_hosts: usize,
    /// Number of live hosts in the host's data centre, including itself.
    pub local_hosts: usize,
    /// Upstreams whose runs have provably ended.
    pub ended_upstreams: Vec<EndedUpstream>,
    /// Present upstreams by the cookies of their former runs, which reset such flows themselves.
    pub(super) former_runs: HashMap<FlowCookie, usize>,
    upstreams_by_cookie: HashMap<FlowCookie, usize>,
}

impl CookieSnapshot {
    /// Returns the index of the upstream that a cookie identifies, if it is known.
    #[must_use]
    pub fn upstream_index(&self, cookie: FlowCookie) -> Option<usize> {
        self.upstreams_by_cookie.get(&cookie).copied()
    }

    /// Returns the index of the upstream whose present run a cookie identifies, if it is known.
    #[must_use]
    pub(super) fn running_index(&self, cookie: FlowCookie) -> Option<usize> {
        self.upstream_index(cookie).filter(|index| self.upstreams[*index].cookie == cookie)
    }
}

/// `SnapshotContext` holds the inputs of a snapshot besides the registry.
#[derive(Debug, Clone, Default)]
pub struct SnapshotContext {
    /// Data centre of the host.
    pub data_centre: Option<DataCentreId>,
    /// Recent peak number of live hosts in the fleet, including this one; 0 while it is not known
    /// yet.
    pub fleet_hosts: usize,
    /// Number of live hosts in the data centre, including this one.
    pub local_hosts: usize,
    /// Services that were backends of a route in an earlier manifest, by the route's address.
    pub past_services: HashMap<SocketAddrV4, HashSet<ServiceId>>,
    /// Addresses whose route was removed by a manifest.
    pub dropped_routes: HashSet<SocketAddrV4>,
    /// When the last evacuation of a data centre ended.
    pub evacuation_ends: HashMap<DataCentreId, Duration>,
}

/// Builds a snapshot from the registry; it is empty if there is no manifest yet.
#[must_use]
pub fn build_cookie_snapshot(
    registry: &RegistryTable,
    context: &SnapshotContext,
) -> CookieSnapshot {
    let Some(manifest) = registry.manifest() else { return CookieSnapshot::default() };
    let evacuated = evacuated_data_centres(registry);
    let mut upstreams: Vec<UpstreamView> = registry
        .entries()
        .filter_map(|(key, entry)| {
            let view = upstream_view(registry, entry, context, &evacuated)?;
            let gone_at = view.gone_at.filter(|_| !registry.may_have_returned(key));
            Some(UpstreamView { gone_at, ..view })
        })
        .collect();
    upstreams.sort_by_key(|view| (view.service, view.tag));
    close_superseded_upstreams(&mut upstreams);
    let upstreams_by_cookie = index_cookies(&mut upstreams, registry);
    let mut upstreams_by_service: HashMap<ServiceId, Vec<usize>> = HashMap::new();
    for (index, view) in upstreams.iter().enumerate() {
        upstreams_by_service.entry(view.service).or_default().push(index);
    }
    // Later entries replace earlier ones; reversed, so that the first route of an address wins.
    let routes: HashMap<SocketAddrV4, CookieRoute> = manifest
        .routes
        .iter()
        .rev()
        .map(|route| (route.address, cookie_route(route, context)))
        .collect();
    CookieSnapshot {
        is_loaded: true,
        manifest_version: manifest.version,
        store_position: registry.position(),
        idle_timeout: manifest.idle_timeout,
        ended_upstreams: ended_upstreams(registry, &upstreams),
        former_runs: former_runs(registry, routes.values(), &upstreams_by_cookie),
        routes,
        dropped_routes: context.dropped_routes.clone(),
        upstreams,
        upstreams_by_service,
        service_names: manifest
            .services
            .iter()
            .map(|service| (ServiceId::from_name(&service.name), service.name.clone()))
            .collect(),
        fleet_hosts: context.fleet_hosts,
        local_hosts: context.local_hosts,
        upstreams_by_cookie,
    }
}

fn cookie_route(config: &RouteConfig, context: &SnapshotContext) -> CookieRoute {
    let mut allowed_services =
        context.past_services.get(&config.address).cloned().unwrap_or_default();
    allowed_services.extend(config.backends.iter().map(|backend: &RouteBackend| backend.service));
    CookieRoute { config: config.clone(), allowed_services }
}

fn evacuated_data_centres(registry: &RegistryTable) -> HashSet<DataCentreId> {
    let evacuated = registry.entries().filter_map(|(key, entry)| match (key, &entry.value) {
        (RegistryKey::Evacuation(name), RegistryValue::Evacuated) => {
            Some(DataCentreId::from_name(name))
        }
        _ => None,
    });
    evacuated.collect()
}

/// Stops assigning new flows to upstreams whose address a newer upstream has taken over.
fn close_superseded_upstreams(upstreams: &mut [UpstreamView]) {
    let mut newest: HashMap<SocketAddrV4, (u64, u64)> = HashMap::new();
    for view in upstreams.iter().filter(|view| view.gone_at.is_none()) {
        let newest_key = newest.entry(view.address).or_insert(view.age_key());
        *newest_key = view.age_key().max(*newest_key);
    }
    for view in upstreams.iter_mut() {
        let is_superseded = newest.get(&view.address).is_some_and(|(_, tag)| *tag != view.tag);
        if is_superseded {
            view.accepts_until = Duration::ZERO;
        }
    }
}

/// Indexes upstreams by cookie. If two have the same cookie, the older one keeps it and the newer
/// one gets no flows.
fn index_cookies(
    upstreams: &mut [UpstreamView],
    registry: &RegistryTable,
) -> HashMap<FlowCookie, usize> {
    let mut by_cookie: HashMap<FlowCookie, usize> = HashMap::new();
    for index in 0..upstreams.len() {
        let cookie = upstreams[index].cookie;
        let Some(&other_index) = by_cookie.get(&cookie) else {
            by_cookie.insert(cookie, index);
            continue;
        };
        let newer_index = match upstreams[index].age_key() < upstreams[other_index].age_key() {
            true => {
                by_cookie.insert(cookie, index);
                other_index
            }
            false => index,
        };
        upstreams[newer_index].accepts_until = Duration::ZERO;
    }
    index_previous_runs(&mut by_cookie, registry);
    by_cookie
}

/// Maps cookies of an upstream's previous run to its current run, which resets such flows itself.
fn index_previous_runs(by_cookie: &mut HashMap<FlowCookie, usize>, registry: &RegistryTable) {
    for entry in registry.entries().map(|(_, entry)| entry) {
        let (Some(registration), Some(previous_registration)) =
            (registry.registration(entry), &entry.previous_registration)
        else {
            continue;
        };
        let current_cookie = FlowCookie::derive(registration.tag, registration.incarnation);
        let previous_cookie =
            FlowCookie::derive(previous_registration.tag, previous_registration.incarnation);
        let index = by_cookie.get(&current_cookie).copied();
        if let Some(index) = index.filter(|_| previous_cookie != current_cookie) {
            by_cookie.entry(previous_cookie).or_insert(index);
        }
    }
}
