//! What a traffic thread needs to know, built from the registry whenever that changes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use super::flow_cookie::FlowCookie;
use crate::identity::{DataCentreId, ServiceId};
use crate::registry::{
    Manifest, ReportedState, RouteBackend, RoutePlan, StateBook, StateItem, StateKey, StateValue,
};

/// Time for which an upstream that was removed by an outage of the store may come back.
const LAPSED_GRACE_PERIOD: Duration = Duration::from_millis(2_200);

/// Time after a removal before flows of the upstream are given up; late reports arrive within it.
const REMOVED_GRACE_PERIOD: Duration = Duration::from_millis(2_500);

/// Time for which an upstream's own report of its coldness may lag behind.
const MAX_COLD_REPORT_LAG: Duration = Duration::from_millis(500);

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
    pub is_local: bool,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// When it stops being cold.
    pub cold_until: Duration,
    /// Until when it takes new flows.
    pub accepts_until: Duration,
    /// Since when it is known to be gone.
    pub gone_at: Option<Duration>,
    /// Requests a second that it bears while cold.
    pub cold_rate: f64,
}

impl UpstreamView {
    /// Returns what orders upstreams by age, the oldest first.
    fn age_key(&self) -> (u64, u64) {
        (self.incarnation, self.tag)
    }

    /// Tells whether the upstream takes new flows, cold or not.
    #[must_use]
    pub fn accepts_flows(&self, now: Duration) -> bool {
        now < self.accepts_until
    }

    /// Tells whether the upstream is still cold.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
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
    pub plan: RoutePlan,
    /// Services that the route leads to or led to before; open flows may be there.
    pub allowed_services: HashSet<ServiceId>,
}

/// `CookieSnapshot` is all that a traffic thread needs to know.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CookieSnapshot {
    /// Whether routes and upstreams are known.
    pub is_loaded: bool,
    /// Version of the manifest.
    pub manifest_version: u64,
    /// Revision of the store.
    pub store_revision: u64,
    /// Time after which a silent flow is forgotten.
    pub idle_timeout: Duration,
    /// Routes by address.
    pub routes: HashMap<SocketAddrV4, CookieRoute>,
    /// Addresses whose route a manifest dropped.
    pub dropped_routes: HashSet<SocketAddrV4>,
    /// All upstreams, gone ones included while flows may remember them.
    pub upstreams: Vec<UpstreamView>,
    /// Positions of upstreams by service.
    pub upstreams_by_service: HashMap<ServiceId, Vec<usize>>,
    /// Hosts of the fleet, for budgets that are shared; 0 while they are not counted yet.
    pub fleet_hosts: usize,
    /// Live hosts of the host's data centre, itself included.
    pub local_hosts: usize,
    upstreams_by_cookie: HashMap<FlowCookie, usize>,
}

impl CookieSnapshot {
    /// Returns the position of the upstream that a cookie names, if any is known.
    #[must_use]
    pub fn upstream_index(&self, cookie: FlowCookie) -> Option<usize> {
        self.upstreams_by_cookie.get(&cookie).copied()
    }
}

/// `SnapshotContext` is what a snapshot depends on besides the registry.
#[derive(Debug, Clone, Default)]
pub struct SnapshotContext {
    /// The data centre of the host.
    pub data_centre: Option<DataCentreId>,
    /// Live hosts of the fleet, this one included.
    pub fleet_hosts: usize,
    /// Live hosts of the data centre, this one included.
    pub local_hosts: usize,
    /// Every service that a route has led to, by the route's address.
    pub past_services: HashMap<SocketAddrV4, HashSet<ServiceId>>,
    /// Addresses whose route a manifest dropped.
    pub dropped_routes: HashSet<SocketAddrV4>,
    /// Ends of past evacuations, by data centre.
    pub evacuation_ends: HashMap<DataCentreId, Duration>,
}

/// Builds the snapshot of a registry.
#[must_use]
pub fn build_cookie_snapshot(book: &StateBook, context: &SnapshotContext) -> CookieSnapshot {
    let Some(manifest) = book.manifest() else { return CookieSnapshot::default() };
    let evacuated = evacuated_data_centres(book);
    let mut upstreams: Vec<UpstreamView> = book
        .items()
        .filter_map(|(_, item)| upstream_view(item, manifest, context, &evacuated))
        .collect();
    upstreams.sort_by_key(|view| (view.service, view.tag));
    close_superseded_upstreams(&mut upstreams);
    let upstreams_by_cookie = index_cookies(&mut upstreams, book);
    let mut upstreams_by_service: HashMap<ServiceId, Vec<usize>> = HashMap::new();
    for (index, view) in upstreams.iter().enumerate() {
        upstreams_by_service.entry(view.service).or_default().push(index);
    }
    CookieSnapshot {
        is_loaded: true,
        manifest_version: manifest.version,
        store_revision: book.revision(),
        idle_timeout: manifest.idle_timeout,
        // The last of several entries would win: the first route of an address shall.
        routes: manifest
            .routes
            .iter()
            .rev()
            .map(|p| (p.address, cookie_route(p, context)))
            .collect(),
        dropped_routes: context.dropped_routes.clone(),
        upstreams,
        upstreams_by_service,
        fleet_hosts: context.fleet_hosts,
        local_hosts: context.local_hosts,
        upstreams_by_cookie,
    }
}

fn cookie_route(plan: &RoutePlan, context: &SnapshotContext) -> CookieRoute {
    let mut allowed_services =
        context.past_services.get(&plan.address).cloned().unwrap_or_default();
    allowed_services.extend(plan.backends.iter().map(|backend: &RouteBackend| backend.service));
    CookieRoute { plan: plan.clone(), allowed_services }
}

fn evacuated_data_centres(book: &StateBook) -> HashSet<DataCentreId> {
    let evacuated = book.items().filter_map(|(key, item)| match (key, &item.value) {
        (StateKey::Evacuation(name), StateValue::Evacuated) => Some(DataCentreId::from_name(name)),
        _ => None,
    });
    evacuated.collect()
}

fn upstream_view(
    item: &StateItem,
    manifest: &Manifest,
    context: &SnapshotContext,
    evacuated: &HashSet<DataCentreId>,
) -> Option<UpstreamView> {
    let (report, removal_lapsed) = match &item.value {
        StateValue::Upstream(report) => (report, None),
        StateValue::Removed { lapsed } => (item.before.as_ref()?, Some(*lapsed)),
        StateValue::Unusable => (item.before.as_ref()?, Some(false)),
        StateValue::Manifest(_) | StateValue::Evacuated => return None,
    };
    let plan = manifest.service(report.service);
    let is_ready = report.state == ReportedState::Ready && !evacuated.contains(&report.data_centre);
    let accepts_until = match removal_lapsed {
        None if is_ready => Duration::MAX,
        Some(true) if is_ready => item.learned + LAPSED_GRACE_PERIOD,
        None | Some(_) => Duration::ZERO,
    };
    let is_gone = removal_lapsed.is_some() && !matches!(item.value, StateValue::Unusable);
    let report_cold_until = match report.cold_left.is_zero() || removal_lapsed.is_some() {
        true => Duration::ZERO,
        false => item.learned + report.cold_left,
    };
    let evacuation_end = context.evacuation_ends.get(&report.data_centre);
    let return_cold_until = evacuation_end.map_or(Duration::ZERO, |at| {
        *at + plan.map_or(Duration::ZERO, |plan| plan.cold_time) + MAX_COLD_REPORT_LAG
    });
    Some(UpstreamView {
        cookie: FlowCookie::derive(report.tag, report.incarnation),
        name: report.name.clone(),
        tag: report.tag,
        incarnation: report.incarnation,
        address: report.address,
        service: report.service,
        data_centre: report.data_centre,
        is_local: context.data_centre == Some(report.data_centre),
        slots: report.slots.max(1),
        cold_until: report_cold_until.max(return_cold_until),
        accepts_until,
        gone_at: is_gone.then_some(item.learned + REMOVED_GRACE_PERIOD),
        cold_rate: plan.map_or(0.0, |plan| plan.cold_rate),
    })
}

/// Keeps new flows from an upstream whose address a younger one has taken over.
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

/// Indexes cookies; of two upstreams with one cookie the older keeps it, the younger gets no flows.
fn index_cookies(upstreams: &mut [UpstreamView], book: &StateBook) -> HashMap<FlowCookie, usize> {
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
    index_previous_runs(&mut by_cookie, book);
    by_cookie
}

/// Leads cookies of an upstream's former run to its present one, which ends such flows itself.
fn index_previous_runs(by_cookie: &mut HashMap<FlowCookie, usize>, book: &StateBook) {
    for item in book.items().map(|(_, item)| item) {
        let (StateValue::Upstream(report), Some(before)) = (&item.value, &item.before) else {
            continue;
        };
        let current = FlowCookie::derive(report.tag, report.incarnation);
        let previous = FlowCookie::derive(before.tag, before.incarnation);
        let index = by_cookie.get(&current).copied();
        if let Some(index) = index.filter(|_| previous != current) {
            by_cookie.entry(previous).or_insert(index);
        }
    }
}
