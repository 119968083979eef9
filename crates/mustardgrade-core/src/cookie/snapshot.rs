//! What a traffic thread needs to know, built from the registry whenever that changes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use super::token::FlowCookie;
use crate::identity::{DataCentreId, ServiceId};
use crate::registry::{
    Manifest, RegisteredState, RegistryEntry, RegistryKey, RegistryTable, RegistryValue,
    RouteBackend, RouteConfig,
};

/// Time for which an upstream that was removed by an outage of the store may come back.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// Time after a removal before flows of the upstream are given up; late reports arrive within it.
const GONE_GRACE: Duration = Duration::from_millis(2_500);

/// Time for which an upstream's own report of its coldness may lag behind.
const COLD_REPORT_LAG: Duration = Duration::from_millis(500);

/// `UpstreamView` is one run of an upstream as traffic threads see it.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamView {
    /// Cookie of its flows.
    pub cookie: FlowCookie,
    /// Configured name, for logs.
    pub name: String,
    /// Number by which packets name it.
    pub tag: u64,
    /// Start of the run; a younger run has a larger one.
    pub incarnation: u64,
    /// Where it receives packets.
    pub address: SocketAddrV4,
    /// The service that it runs.
    pub service: ServiceId,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Whether it stands in the data centre of the host.
    pub local: bool,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// When it stops being cold.
    pub warm_at: Duration,
    /// Until when it takes new flows.
    pub takes_until: Duration,
    /// Since when it is known to be gone.
    pub gone_at: Option<Duration>,
    /// Requests a second that it bears while cold.
    pub cold_rate: f64,
}

impl UpstreamView {
    /// Returns what orders upstreams by age, the oldest first.
    fn age_order(&self) -> (u64, u64) {
        (self.incarnation, self.tag)
    }

    /// Tells whether the upstream takes new flows, cold or not.
    #[must_use]
    pub fn takes_flows(&self, now: Duration) -> bool {
        now < self.takes_until
    }

    /// Tells whether the upstream is still cold.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.warm_at
    }

    /// Tells whether the upstream is known to be gone.
    #[must_use]
    pub fn is_gone(&self, now: Duration) -> bool {
        self.gone_at.is_some_and(|at| now >= at)
    }
}

/// `CookieRoute` is a route as traffic threads see it.
#[derive(Debug, Clone, PartialEq)]
pub struct CookieRoute {
    /// The plan of the route.
    pub plan: RouteConfig,
    /// Services that the route leads to or led to before; open flows may be there.
    pub services: HashSet<ServiceId>,
}

/// `CookieSnapshot` is all that a traffic thread needs to know.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CookieSnapshot {
    /// Whether routes and upstreams are known.
    pub loaded: bool,
    /// Version of the manifest.
    pub version: u64,
    /// Revision of the store.
    pub revision: u64,
    /// Time after which a silent flow is forgotten.
    pub idle_timeout: Duration,
    /// Routes by address.
    pub routes: HashMap<SocketAddrV4, CookieRoute>,
    /// Addresses whose route a manifest dropped.
    pub dropped: HashSet<SocketAddrV4>,
    /// All upstreams, gone ones included while flows may remember them.
    pub upstreams: Vec<UpstreamView>,
    /// Positions of upstreams by service.
    pub by_service: HashMap<ServiceId, Vec<usize>>,
    /// Hosts of the fleet, for budgets that are shared; 0 while they are not counted yet.
    pub hosts: usize,
    /// Live hosts of the host's data centre, itself included.
    pub local_hosts: usize,
    by_cookie: HashMap<FlowCookie, usize>,
}

impl CookieSnapshot {
    /// Returns the position of the upstream that a cookie names, if any is known.
    #[must_use]
    pub fn find(&self, cookie: FlowCookie) -> Option<usize> {
        self.by_cookie.get(&cookie).copied()
    }
}

/// `SnapshotScope` is what a snapshot depends on besides the registry.
#[derive(Debug, Clone, Default)]
pub struct SnapshotScope {
    /// The data centre of the host.
    pub data_centre: Option<DataCentreId>,
    /// Live hosts of the fleet, this one included.
    pub hosts: usize,
    /// Live hosts of the data centre, this one included.
    pub local_hosts: usize,
    /// Every service that a route has led to, by the route's address.
    pub led_to: HashMap<SocketAddrV4, HashSet<ServiceId>>,
    /// Addresses whose route a manifest dropped.
    pub dropped: HashSet<SocketAddrV4>,
    /// Ends of past evacuations, by data centre.
    pub returned: HashMap<DataCentreId, Duration>,
}

/// Builds the snapshot of a registry.
#[must_use]
pub fn build_cookie_snapshot(book: &RegistryTable, scope: &SnapshotScope) -> CookieSnapshot {
    let Some(manifest) = book.manifest() else { return CookieSnapshot::default() };
    let evacuated = evacuated_data_centres(book);
    let mut upstreams: Vec<UpstreamView> = book
        .entries()
        .filter_map(|(_, item)| upstream_view(item, manifest, scope, &evacuated))
        .collect();
    upstreams.sort_by_key(|view| (view.service, view.tag));
    close_shared_addresses(&mut upstreams);
    let by_cookie = index_cookies(&mut upstreams, book);
    let mut by_service: HashMap<ServiceId, Vec<usize>> = HashMap::new();
    for (at, view) in upstreams.iter().enumerate() {
        by_service.entry(view.service).or_default().push(at);
    }
    CookieSnapshot {
        loaded: true,
        version: manifest.version,
        revision: book.revision(),
        idle_timeout: manifest.idle_timeout,
        // The last of several entries would win: the first route of an address shall.
        routes: manifest.routes.iter().rev().map(|p| (p.address, route(p, scope))).collect(),
        dropped: scope.dropped.clone(),
        upstreams,
        by_service,
        hosts: scope.hosts,
        local_hosts: scope.local_hosts,
        by_cookie,
    }
}

fn route(plan: &RouteConfig, scope: &SnapshotScope) -> CookieRoute {
    let mut services = scope.led_to.get(&plan.address).cloned().unwrap_or_default();
    services.extend(plan.backends.iter().map(|backend: &RouteBackend| backend.service));
    CookieRoute { plan: plan.clone(), services }
}

fn evacuated_data_centres(book: &RegistryTable) -> HashSet<DataCentreId> {
    let evacuated = book.entries().filter_map(|(key, item)| match (key, &item.value) {
        (RegistryKey::Evacuation(name), RegistryValue::Evacuated) => {
            Some(DataCentreId::from_name(name))
        }
        _ => None,
    });
    evacuated.collect()
}

fn upstream_view(
    item: &RegistryEntry,
    manifest: &Manifest,
    scope: &SnapshotScope,
    evacuated: &HashSet<DataCentreId>,
) -> Option<UpstreamView> {
    let (report, removed) = match &item.value {
        RegistryValue::Upstream(report) => (report, None),
        RegistryValue::Removed { possibly_spurious } => {
            (item.previous_registration.as_ref()?, Some(*possibly_spurious))
        }
        RegistryValue::Unusable => (item.previous_registration.as_ref()?, Some(false)),
        RegistryValue::Manifest(_) | RegistryValue::Evacuated => return None,
    };
    let plan = manifest.service(report.service);
    let ready = report.state == RegisteredState::Ready && !evacuated.contains(&report.data_centre);
    let takes_until = match removed {
        None if ready => Duration::MAX,
        Some(true) if ready => item.learned_at + LAPSE_GRACE,
        None | Some(_) => Duration::ZERO,
    };
    let gone = removed.is_some() && !matches!(item.value, RegistryValue::Unusable);
    let cold_end = match report.cold_remaining.is_zero() || removed.is_some() {
        true => Duration::ZERO,
        false => item.learned_at + report.cold_remaining,
    };
    let returned = scope.returned.get(&report.data_centre);
    let back_end = returned.map_or(Duration::ZERO, |at| {
        *at + plan.map_or(Duration::ZERO, |plan| plan.cold_start_duration) + COLD_REPORT_LAG
    });
    Some(UpstreamView {
        cookie: FlowCookie::derive(report.tag, report.incarnation),
        name: report.name.clone(),
        tag: report.tag,
        incarnation: report.incarnation,
        address: report.address,
        service: report.service,
        data_centre: report.data_centre,
        local: scope.data_centre == Some(report.data_centre),
        slots: report.slots.max(1),
        warm_at: cold_end.max(back_end),
        takes_until,
        gone_at: gone.then_some(item.learned_at + GONE_GRACE),
        cold_rate: plan.map_or(0.0, |plan| plan.max_cold_requests_per_sec),
    })
}

/// Keeps new flows from an upstream whose address a younger one has taken over.
fn close_shared_addresses(upstreams: &mut [UpstreamView]) {
    let mut youngest: HashMap<SocketAddrV4, (u64, u64)> = HashMap::new();
    for view in upstreams.iter().filter(|view| view.gone_at.is_none()) {
        let known = youngest.entry(view.address).or_insert(view.age_order());
        *known = view.age_order().max(*known);
    }
    for view in upstreams.iter_mut() {
        let taken = youngest.get(&view.address).is_some_and(|(_, tag)| *tag != view.tag);
        if taken {
            view.takes_until = Duration::ZERO;
        }
    }
}

/// Indexes cookies; of two upstreams with one cookie the older keeps it, the younger gets no flows.
fn index_cookies(
    upstreams: &mut [UpstreamView],
    book: &RegistryTable,
) -> HashMap<FlowCookie, usize> {
    let mut index: HashMap<FlowCookie, usize> = HashMap::new();
    for at in 0..upstreams.len() {
        let cookie = upstreams[at].cookie;
        let Some(&other) = index.get(&cookie) else {
            index.insert(cookie, at);
            continue;
        };
        let younger = match upstreams[at].age_order() < upstreams[other].age_order() {
            true => {
                index.insert(cookie, at);
                other
            }
            false => at,
        };
        upstreams[younger].takes_until = Duration::ZERO;
    }
    index_former_runs(&mut index, book);
    index
}

/// Leads cookies of an upstream's former run to its present one, which ends such flows itself.
fn index_former_runs(index: &mut HashMap<FlowCookie, usize>, book: &RegistryTable) {
    for item in book.entries().map(|(_, item)| item) {
        let (RegistryValue::Upstream(report), Some(before)) =
            (&item.value, &item.previous_registration)
        else {
            continue;
        };
        let present = FlowCookie::derive(report.tag, report.incarnation);
        let former = FlowCookie::derive(before.tag, before.incarnation);
        let at = index.get(&present).copied();
        if let Some(at) = at.filter(|_| former != present) {
            index.entry(former).or_insert(at);
        }
    }
}
