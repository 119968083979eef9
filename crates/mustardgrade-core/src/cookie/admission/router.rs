//! Observations that a router passes to its admission control, and the decisions it asks for.

use std::time::Duration;

use super::service::ServiceLoad;
use crate::cookie::observed_flows::ObservedFlow;
use crate::cookie::packet::FlowEvent;
use crate::cookie::router::CookieRouter;
use crate::cookie::snapshot::CookieSnapshot;
use crate::flow::FlowPacket;
use crate::identity::ServiceId;

impl CookieRouter {
    /// Counts a request that is forwarded to an upstream.
    pub(in crate::cookie) fn count_admission_request(
        &mut self,
        index: usize,
        request: &FlowPacket,
        is_first: bool,
    ) {
        if self.admission.is_active() {
            let service = self.snapshot.upstreams[index].service;
            self.admission.add_request(service, &request.key, is_first);
        }
    }

    /// Notes the time from a request to the acknowledgement of its answer.
    pub(in crate::cookie) fn record_admission_work(
        &mut self,
        index: usize,
        flow: &ObservedFlow,
        acknowledgement: &FlowPacket,
        sent_at: Duration,
        now: Duration,
    ) {
        if self.admission.is_active() && self.shows_answer_time(flow, acknowledgement, now) {
            let service = self.snapshot.upstreams[index].service;
            let latency = now.saturating_sub(sent_at);
            self.admission.add_answer(service, &acknowledgement.key, latency);
        }
    }

    /// Updates the capacity of each controlled service from the loads that are known.
    pub(in crate::cookie) fn update_admission(&mut self, now: Duration) {
        let mut admission = std::mem::take(&mut self.admission);
        for service in admission.services_mut() {
            let load = self.service_load(&self.snapshot, service.service, now);
            if service.update(load, now) {
                self.events.push(FlowEvent::AdmissionChanged {
                    service: service.service,
                    is_limiting: service.is_limiting(),
                    refused: service.refused_openings(),
                });
            }
        }
        self.admission = admission;
    }

    /// Returns the load of a service's upstreams, at which every host of the fleet may place flows.
    fn service_load(
        &self,
        snapshot: &CookieSnapshot,
        service: ServiceId,
        now: Duration,
    ) -> ServiceLoad {
        let indices = snapshot.upstreams_by_service.get(&service).map_or(&[][..], Vec::as_slice);
        let usable = indices.iter().copied().filter(|index| {
            let view = &snapshot.upstreams[*index];
            let merged = self.trackers[*index].merged_with_peers(self.peer_loads[*index]);
            let is_suspected = merged.is_suspected(&self.options.failure_detection);
            view.accepts_flows(now) && !view.is_cold(now) && !is_suspected
        });
        let load = ServiceLoad {
            reports: self.peers.complete_reports(),
            hosts: snapshot.fleet_hosts,
            ..ServiceLoad::default()
        };
        usable.fold(load, |load, index| ServiceLoad {
            slots: load.slots + u32::from(snapshot.upstreams[index].slots),
            own_in_flight: load.own_in_flight + self.trackers[index].in_flight(),
            peers_in_flight: load.peers_in_flight + self.peer_loads[index].in_flight,
            ..load
        })
    }
}
