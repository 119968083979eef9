//! Admission control of all services of a host.

use std::time::Duration;

use super::mode::AdmissionMode;
use super::route_demand::RouteDemand;
use super::scope::controlled_services;
use super::service::{AdmissionDecision, ServiceAdmission};
use crate::cookie::snapshot::CookieSnapshot;
use crate::flow::{FlowKey, FlowPacket};
use crate::identity::ServiceId;

/// `AdmissionController` decides on openings of services whose upstreams cannot serve all requests.
///
/// Its state is soft: without it, openings are decided by load until enough answers were seen.
#[derive(Debug, Clone)]
pub(in crate::cookie) struct AdmissionController {
    mode: AdmissionMode,
    services: Vec<ServiceAdmission>,
}

impl AdmissionController {
    pub(in crate::cookie) fn new(mode: AdmissionMode) -> Self {
        Self { mode, services: Vec::new() }
    }

    /// Takes over the routes of a snapshot; what is known of unchanged services is kept.
    pub(in crate::cookie) fn configure(&mut self, snapshot: &CookieSnapshot) {
        if self.mode == AdmissionMode::Load {
            return;
        }
        let mut known = std::mem::take(&mut self.services);
        for (service, routes) in controlled_services(snapshot) {
            let is_same =
                |other: &ServiceAdmission| other.service == service && other.has_routes(&routes);
            let position = known.iter().position(is_same);
            let kept = position.map(|position| known.swap_remove(position));
            self.services.push(kept.unwrap_or_else(|| ServiceAdmission::new(service, &routes)));
        }
    }

    /// Counts the first transmission of an opening.
    pub(super) fn add_opening(&mut self, service: ServiceId, key: &FlowKey) {
        if let Some(demand) = self.demand_mut(service, key) {
            demand.add_opening(*key.caller.ip());
        }
    }

    /// Counts a request that is forwarded to a service.
    pub(super) fn add_request(&mut self, service: ServiceId, key: &FlowKey, is_first: bool) {
        if let Some(demand) = self.demand_mut(service, key) {
            demand.add_request(is_first);
        }
    }

    /// Adds the time from a request to the acknowledgement of its answer.
    pub(super) fn add_answer(&mut self, service: ServiceId, key: &FlowKey, latency: Duration) {
        if let Some(demand) = self.demand_mut(service, key) {
            demand.add_answer(latency);
        }
    }

    fn demand_mut(&mut self, service: ServiceId, key: &FlowKey) -> Option<&mut RouteDemand> {
        let controlled = self.services.iter_mut().find(|other| other.service == service)?;
        controlled.route_mut(key.service)
    }

    /// Counts an opening that is about to be placed at a service, and decides on it.
    pub(in crate::cookie) fn decide_opening(
        &mut self,
        service: ServiceId,
        opening: &FlowPacket,
        fingerprint: u64,
    ) -> AdmissionDecision {
        // Callers number the retransmissions of an opening in its acknowledgement field.
        if opening.acknowledgement == 0 {
            self.add_opening(service, &opening.key);
        }
        self.decide(service, &opening.key, fingerprint)
    }

    /// Decides on an opening.
    pub(super) fn decide(
        &mut self,
        service: ServiceId,
        key: &FlowKey,
        fingerprint: u64,
    ) -> AdmissionDecision {
        let controlled = self.services.iter_mut().find(|other| other.service == service);
        controlled.map_or(AdmissionDecision::ByLoad, |controlled| {
            controlled.decide(key.service, *key.caller.ip(), fingerprint)
        })
    }

    /// Returns the state of a service, if admission control applies to it.
    pub(super) fn service(&self, service: ServiceId) -> Option<&ServiceAdmission> {
        self.services.iter().find(|other| other.service == service)
    }

    pub(super) fn is_active(&self) -> bool {
        !self.services.is_empty()
    }

    pub(super) fn services_mut(&mut self) -> impl Iterator<Item = &mut ServiceAdmission> {
        self.services.iter_mut()
    }
}

impl Default for AdmissionController {
    fn default() -> Self {
        Self::new(AdmissionMode::default())
    }
}
