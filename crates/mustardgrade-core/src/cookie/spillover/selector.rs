//! Choice of the backend for an opening.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use super::service::ServiceState;
use crate::cookie::admission::{AdmissionController, AdmissionDecision};
use crate::cookie::counters::CookieCounters;
use crate::cookie::packet::FlowEvent;
use crate::cookie::picker::{PickOutcome, PickedUpstream, UpstreamPicker};
use crate::cookie::snapshot::{CookieRoute, CookieSnapshot};
use crate::flow::FlowPacket;
use crate::identity::{ServiceId, rendezvous_score};

/// Load limit of the receiving backend where the counts of requests in flight are taken literally:
/// each slot has one request.
const FULL_LOAD: f64 = 1.0;

/// Load limit of the receiving backend, as a fraction of the load at which the other one refuses
/// requests. Counts may overstate the load, but do so alike for requests of the same route; the
/// difference is left to the receiver's own routes.
const LIMIT_FRACTION: f64 = 0.85;

/// Load limit of the receiving backend if the other one has no usable upstream.
const LIMIT_WITHOUT_UPSTREAM: f64 = 2.0;

/// Time without a moved opening after which the spillover of a route has ended.
const END_DELAY: Duration = Duration::from_secs(5);

/// Seed of the hash by which openings are selected, independent of the choice of the upstream.
const SHARE_SEED: u64 = 0x5350_494c_4c4f_5645;

/// Granularity of shares.
const SHARE_UNITS: u64 = 1 << 16;

/// `RouteState` counts the openings of a route that went to another backend.
#[derive(Debug, Clone, Copy, Default)]
struct RouteState {
    is_active: bool,
    /// Openings moved since the spillover began.
    moved: u64,
    last_moved_at: Duration,
}

/// `SpilloverLog` receives what the selector counts and reports.
pub(in crate::cookie) struct SpilloverLog<'a> {
    pub(in crate::cookie) counters: &'a mut CookieCounters,
    pub(in crate::cookie) events: &'a mut Vec<FlowEvent>,
}

/// `SplitOpening` is an opening of a route with several backends.
pub(in crate::cookie) struct SplitOpening<'a> {
    pub(in crate::cookie) route: &'a CookieRoute,
    pub(in crate::cookie) segment: &'a FlowPacket,
    pub(in crate::cookie) fingerprint: u64,
    /// Upstream to which an earlier transmission went.
    pub(in crate::cookie) exclude: Option<usize>,
}

/// `BackendSelector` places the openings of routes with several backends.
///
/// Openings follow the weights. While upstreams of a backend refuse requests, or it has no room or
/// no upstream for an opening, openings go to another backend within that one's spare capacity.
#[derive(Debug, Clone, Default)]
pub(in crate::cookie) struct BackendSelector {
    pub(super) services: BTreeMap<ServiceId, ServiceState>,
    routes: BTreeMap<SocketAddrV4, RouteState>,
    pub(super) updated_at: Duration,
}

impl BackendSelector {
    /// Keeps the state of the routes with several backends of a snapshot, and of their services.
    pub(in crate::cookie) fn install_snapshot(&mut self, snapshot: &CookieSnapshot) {
        let (services, routes) = (std::mem::take(&mut self.services), &mut self.routes);
        routes.retain(|address, _| snapshot.routes.get(address).is_some_and(CookieRoute::is_split));
        for (address, route) in snapshot.routes.iter().filter(|(_, route)| route.is_split()) {
            routes.entry(*address).or_default();
            for service in route.weighted_services() {
                let known = services.get(&service).copied().unwrap_or_default();
                self.services.insert(service, known);
            }
        }
    }

    /// Returns whether the selector places the openings of a route.
    pub(in crate::cookie) fn places(&self, address: &SocketAddrV4) -> bool {
        self.routes.contains_key(address)
    }

    /// Returns the share of a service's openings that go to another backend.
    pub(in crate::cookie) fn moved_share(&self, service: ServiceId) -> f64 {
        self.services.get(&service).map_or(0.0, |state| state.share)
    }

    /// Records that an upstream of `service` has answered a request, possibly with a refusal.
    pub(in crate::cookie) fn record_answer(&mut self, service: ServiceId, is_refusal: bool) {
        if let Some(state) = self.services.get_mut(&service) {
            state.evidence.record(is_refusal);
        }
    }

    /// Takes back that an upstream of `service` has refused a request.
    pub(in crate::cookie) fn retract_refusal(&mut self, service: ServiceId, age: Duration) {
        if let Some(state) = self.services.get_mut(&service) {
            state.evidence.retract(age);
        }
    }

    /// Selects an upstream of one of the backends of a route.
    ///
    /// Admission control decides on the openings that are tried at the backend of the weights, and
    /// counts them as demand on it even if they are moved afterwards.
    pub(in crate::cookie) fn pick(
        &mut self,
        picker: &mut UpstreamPicker<'_>,
        admission: &mut AdmissionController,
        opening: &SplitOpening<'_>,
        log: &mut SpilloverLog<'_>,
    ) -> PickOutcome {
        let (route, fingerprint) = (opening.route, opening.fingerprint);
        let Some(weighted) = UpstreamPicker::pick_service(route, fingerprint) else {
            return PickOutcome::NoUpstream;
        };
        let other = self.receiver(route, weighted, fingerprint);
        let is_in_share = is_selected(fingerprint, self.moved_share(weighted));
        if let Some(other) = other.filter(|_| is_in_share)
            && let Some(picked) = self.pick_moved(picker, opening, other, log)
        {
            return PickOutcome::Picked(picked);
        }
        picker.admission = admission.decide_opening(weighted, opening.segment, fingerprint);
        let outcome = picker.pick(weighted, fingerprint, route.config.priority, opening.exclude);
        let is_served =
            matches!(outcome, PickOutcome::Picked(PickedUpstream { all_suspected: false, .. }));
        if let Some(other) = other.filter(|_| !is_served && !is_in_share)
            && let Some(picked) = self.pick_moved(picker, opening, other, log)
        {
            return PickOutcome::Picked(picked);
        }
        outcome
    }

    /// Returns a backend of the route other than `weighted` to which this host may move openings.
    fn receiver(
        &self,
        route: &CookieRoute,
        weighted: ServiceId,
        fingerprint: u64,
    ) -> Option<ServiceId> {
        let may_receive = |service: &ServiceId| {
            *service != weighted
                && self.services.get(service).is_some_and(|s| s.allowance.is_available())
        };
        route
            .weighted_services()
            .filter(may_receive)
            .max_by_key(|service| rendezvous_score(fingerprint, service.0))
    }

    /// Selects an upstream of `other` for an opening that the weights assign to another backend.
    /// The least urgent priority leaves room for the openings that `other` gets by weight.
    fn pick_moved(
        &mut self,
        picker: &mut UpstreamPicker<'_>,
        opening: &SplitOpening<'_>,
        other: ServiceId,
        log: &mut SpilloverLog<'_>,
    ) -> Option<PickedUpstream> {
        let now = picker.now;
        picker.admission = AdmissionDecision::ByLoad;
        let picked = match picker.pick(other, opening.fingerprint, u32::MAX, opening.exclude) {
            PickOutcome::Picked(picked) if !picked.all_suspected => picked,
            PickOutcome::Picked(_) | PickOutcome::NoRoom | PickOutcome::NoUpstream => return None,
        };
        let address = opening.route.config.address;
        self.services.get_mut(&other)?.allowance.use_one();
        let state = self.routes.get_mut(&address)?;
        if !state.is_active {
            *state = RouteState { is_active: true, ..RouteState::default() };
            log.events.push(FlowEvent::SpilloverBegan { route: address });
        }
        state.moved += 1;
        state.last_moved_at = now;
        log.counters.openings_moved += 1;
        log.events.push(FlowEvent::OpeningMoved { route: address });
        Some(picked)
    }

    /// Updates shares and limits from the services' new loads.
    pub(super) fn update_limits(&mut self, snapshot: &CookieSnapshot, elapsed: Duration) {
        let mut limits: BTreeMap<ServiceId, f64> = BTreeMap::new();
        for route in snapshot.routes.values().filter(|route| route.is_split()) {
            for (from, to) in route.weighted_services().flat_map(|from| {
                route.weighted_services().filter(move |to| *to != from).map(move |to| (from, to))
            }) {
                let limit = limits.entry(to).or_insert(FULL_LOAD);
                *limit = limit.max(self.load_limit(from));
            }
        }
        for (service, limit) in &limits {
            if let Some(state) = self.services.get_mut(service) {
                let draw = rendezvous_score(self.updated_at.as_nanos() as u64, service.0);
                let draw = (draw % SHARE_UNITS) as f64 / SHARE_UNITS as f64;
                state.update_allowance(*limit, elapsed, draw);
            }
        }
        let receiving: Vec<ServiceId> = self
            .services
            .iter()
            .filter(|(_, state)| state.allowance.has_spare())
            .map(|(service, _)| *service)
            .collect();
        for (service, state) in &mut self.services {
            let other_has_room = receiving.iter().any(|receiver| receiver != service);
            state.update_share(other_has_room, elapsed);
        }
    }

    /// Returns the load up to which other backends take openings of `service`.
    fn load_limit(&self, service: ServiceId) -> f64 {
        let mark = self.services.get(&service).and_then(ServiceState::capacity_mark);
        mark.map_or(LIMIT_WITHOUT_UPSTREAM, |mark| mark * LIMIT_FRACTION)
    }

    /// Ends the spillover of routes that have moved no opening for a while.
    pub(super) fn end_idle(&mut self, events: &mut Vec<FlowEvent>, now: Duration) {
        for (address, state) in &mut self.routes {
            if state.is_active && now.saturating_sub(state.last_moved_at) >= END_DELAY {
                state.is_active = false;
                events.push(FlowEvent::SpilloverEnded { route: *address, moved: state.moved });
            }
        }
    }
}

/// Returns whether an opening is in the share of openings that are moved, by its hash, so that all
/// hosts select the same openings.
fn is_selected(fingerprint: u64, share: f64) -> bool {
    let units = (share * SHARE_UNITS as f64) as u64;
    rendezvous_score(fingerprint, SHARE_SEED) % SHARE_UNITS < units
}
