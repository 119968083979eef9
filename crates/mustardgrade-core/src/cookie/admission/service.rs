//! Admission control of one service.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use super::demand::sample_weight;
use super::route_demand::RouteDemand;
use super::scope::ControlledRoute;
use crate::identity::ServiceId;

/// Time without a limit after which admission control ends; shorter gaps belong to one overload.
const END_DELAY: Duration = Duration::from_secs(2);

/// Resolution of the hash by which openings are admitted.
const HASH_STEPS: u64 = 1_024;

/// Work that may be offered to a service, relative to its slots. One host's estimate is uncertain,
/// and slots that stay idle are lost, while an upstream refuses the excess with "not run". With two
/// retries, a fifth refused by chance costs an urgent request less than one time in a hundred.
const MAX_OFFERED_WORK: f64 = 1.25;

/// Time constant of the ratio of all hosts' requests in flight to those of one. A host has only a
/// few in flight, and its share of the traffic changes slowly.
const RATIO_WINDOW: Duration = Duration::from_secs(5);

/// Maximum ratio of the demand of all hosts to that of one, as a multiple of the number of hosts.
const MAX_DEMAND_RATIO_PER_HOST: f64 = 4.0;

/// `AdmissionDecision` is the answer on an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::cookie) enum AdmissionDecision {
    /// Admission control does not apply; the load of the least loaded upstream decides.
    ByLoad,
    /// The service has capacity for the opening.
    Admit,
    /// The opening's request would displace a more urgent one or that of another caller.
    Refuse,
}

/// `ServiceLoad` is the load of a service's upstreams as this host knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct ServiceLoad {
    /// Slots of the upstreams that accept flows.
    pub(super) slots: u32,
    /// Requests in flight that this host has forwarded.
    pub(super) own_in_flight: u32,
    /// Requests in flight that the other hosts report.
    pub(super) peers_in_flight: u32,
    /// Number of reports.
    pub(super) reports: usize,
    /// Number of hosts that share the upstreams.
    pub(super) hosts: usize,
}

/// `ServiceAdmission` decides on the openings of one service.
///
/// It compares the work that is demanded with the slots. Rates of requests and the work of one
/// request give the demand; the counts of requests in flight, which include some of them for longer
/// than the work takes, give only the ratio of all hosts to this one.
#[derive(Debug, Clone)]
pub(super) struct ServiceAdmission {
    pub(super) service: ServiceId,
    /// The most urgent routes first.
    routes: Vec<RouteDemand>,
    /// Whether the work of a request is known.
    has_evidence: bool,
    own_average: f64,
    total_average: f64,
    updated_at: Duration,
    /// When an opening was last limited.
    limited_at: Option<Duration>,
    refused_openings: u64,
}

impl ServiceAdmission {
    pub(super) fn new(service: ServiceId, routes: &[ControlledRoute]) -> Self {
        Self {
            service,
            routes: routes.iter().copied().map(RouteDemand::new).collect(),
            has_evidence: false,
            own_average: 0.0,
            total_average: 0.0,
            updated_at: Duration::ZERO,
            limited_at: None,
            refused_openings: 0,
        }
    }

    /// Returns whether the service still has the same routes.
    pub(super) fn has_routes(&self, routes: &[ControlledRoute]) -> bool {
        self.routes.iter().map(|demand| demand.route).eq(routes.iter().copied())
    }

    /// Returns the demands of the routes, the most urgent ones first.
    pub(super) fn routes(&self) -> &[RouteDemand] {
        &self.routes
    }

    pub(super) fn route_mut(&mut self, address: SocketAddrV4) -> Option<&mut RouteDemand> {
        self.routes.iter_mut().find(|demand| demand.route.address == address)
    }

    /// Returns whether openings are or were recently limited.
    pub(super) fn is_limiting(&self) -> bool {
        self.limited_at.is_some()
    }

    /// Decides on an opening by a hash of its flow, so that all its transmissions are decided
    /// alike.
    pub(super) fn decide(
        &mut self,
        address: SocketAddrV4,
        caller: Ipv4Addr,
        fingerprint: u64,
    ) -> AdmissionDecision {
        let Some(demand) = self.routes.iter().find(|demand| demand.route.address == address) else {
            return AdmissionDecision::ByLoad;
        };
        if !self.has_evidence {
            return AdmissionDecision::ByLoad;
        }
        let offset = (fingerprint >> 32) % HASH_STEPS;
        match (offset as f64) < demand.admitted_share(caller) * HASH_STEPS as f64 {
            true => AdmissionDecision::Admit,
            false => {
                self.refused_openings += 1;
                AdmissionDecision::Refuse
            }
        }
    }

    /// Updates the work of a request of each route; a route without evidence counts with the
    /// average of the others. Returns false if there is no evidence at all.
    fn update_work(&mut self) -> bool {
        let known = self.routes.iter().filter_map(RouteDemand::measured_work_secs);
        let (sum, count) = known.fold((0.0, 0_u32), |(sum, count), secs| (sum + secs, count + 1));
        for demand in &mut self.routes {
            demand.set_assumed_work(sum / f64::from(count.max(1)));
        }
        count > 0
    }

    /// Divides the capacity among the routes; returns whether limiting has begun or ended.
    pub(super) fn update(&mut self, load: ServiceLoad, now: Duration) -> bool {
        let updated_at = std::mem::replace(&mut self.updated_at, now);
        let elapsed = now.saturating_sub(updated_at);
        if updated_at.is_zero() || elapsed.is_zero() {
            return false;
        }
        for demand in &mut self.routes {
            demand.update(elapsed);
        }
        // Without an upstream that is known to be warm and alive, capacity is unknown.
        self.has_evidence = self.update_work() && load.slots > 0;
        let ratio = self.update_ratio(load, sample_weight(elapsed, RATIO_WINDOW));
        let is_limited = self.has_evidence && self.divide(f64::from(load.slots) / ratio);
        self.note_limit(is_limited, now)
    }

    /// Notes whether openings are limited; returns whether admission control begins or ends.
    fn note_limit(&mut self, is_limited: bool, now: Duration) -> bool {
        let was_limiting = self.is_limiting();
        match self.limited_at {
            _ if is_limited => self.limited_at = Some(now),
            Some(at) if now.saturating_sub(at) >= END_DELAY => self.limited_at = None,
            Some(_) | None => {}
        }
        if !was_limiting {
            self.refused_openings = 0;
        }
        was_limiting != self.is_limiting()
    }

    /// Returns the openings refused since limiting last began.
    pub(super) fn refused_openings(&self) -> u64 {
        self.refused_openings
    }

    /// Returns the ratio of the demand of all hosts to that of this one: the number of hosts,
    /// unless reports say more.
    fn update_ratio(&mut self, load: ServiceLoad, weight: f64) -> f64 {
        let hosts = load.hosts.max(1) as f64;
        if load.reports > 0 {
            let known_hosts = (load.reports + 1) as f64;
            let known = f64::from(load.own_in_flight + load.peers_in_flight);
            let total = known * (hosts / known_hosts).max(1.0);
            self.own_average += (f64::from(load.own_in_flight) - self.own_average) * weight;
            self.total_average += (total - self.total_average) * weight;
        }
        match self.own_average > 0.0 && load.reports > 0 {
            true => (self.total_average / self.own_average)
                .clamp(1.0, hosts * MAX_DEMAND_RATIO_PER_HOST),
            false => hosts,
        }
    }

    /// Divides this host's share of the slots among the routes; returns whether any is limited.
    ///
    /// Requests on open flows are not refused, so what they occupy is not available to openings of
    /// their priority and of less urgent ones. More urgent openings come first.
    fn divide(&mut self, own_slots: f64) -> bool {
        let limit = own_slots * MAX_OFFERED_WORK;
        let sent = sum_slots(&self.routes, RouteDemand::sent_slots);
        let refused_share = 1.0 - own_slots / sent.max(own_slots);
        let (mut more_urgent, mut less_urgent) = (0.0, sent);
        let mut is_limited = false;
        let is_same = |a: &RouteDemand, b: &RouteDemand| a.route.priority == b.route.priority;
        for group in self.routes.chunk_by_mut(is_same) {
            less_urgent -= sum_slots(group, RouteDemand::sent_slots);
            // Upstreams refuse a share of what is sent, and callers send it again. What less urgent
            // requests displace so is not the demand of this priority.
            let distinct = 1.0 - refused_share * (less_urgent / sent.max(own_slots)).max(0.0);
            let open = sum_slots(group, RouteDemand::open_flow_slots);
            let wanted = sum_slots(group, RouteDemand::opening_slots);
            let left = (limit - (more_urgent + open) * distinct).max(0.0);
            let share = (wanted * distinct > left).then(|| left / (wanted * distinct));
            for demand in group {
                let admitted = share.map(|share| demand.openings_per_sec() * share);
                demand.limit_openings(admitted);
            }
            more_urgent += open + wanted;
            is_limited |= share.is_some();
        }
        is_limited
    }
}

fn sum_slots(routes: &[RouteDemand], slots: impl Fn(&RouteDemand) -> f64) -> f64 {
    routes.iter().map(slots).sum()
}
