//! Work that one route demands from a service.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::caller_shares::CallerShares;
use super::demand::EventRate;
use super::scope::ControlledRoute;
use super::work_estimate::WorkEstimate;

/// `RouteDemand` measures at one host what a route demands from the upstreams of a service.
#[derive(Debug, Clone)]
pub(super) struct RouteDemand {
    pub(super) route: ControlledRoute,
    /// First transmissions of openings, refused ones included.
    openings: EventRate,
    /// Requests on flows that are open.
    requests: EventRate,
    /// Requests that were the first of their flow.
    first_requests: EventRate,
    work: WorkEstimate,
    /// Work of a request by which its slots are counted.
    work_secs: f64,
    callers: CallerShares,
}

impl RouteDemand {
    pub(super) fn new(route: ControlledRoute) -> Self {
        Self {
            route,
            openings: EventRate::default(),
            requests: EventRate::default(),
            first_requests: EventRate::default(),
            work: WorkEstimate::default(),
            work_secs: 0.0,
            callers: CallerShares::new(),
        }
    }

    pub(super) fn add_opening(&mut self, caller: Ipv4Addr) {
        self.openings.add();
        self.callers.add(caller);
    }

    pub(super) fn add_request(&mut self, is_first: bool) {
        match is_first {
            true => self.first_requests.add(),
            false => self.requests.add(),
        }
    }

    pub(super) fn add_answer(&mut self, latency: Duration) {
        self.work.add(latency);
    }

    /// Averages what was counted within the last `elapsed`.
    pub(super) fn update(&mut self, elapsed: Duration) {
        for rate in [&mut self.openings, &mut self.requests, &mut self.first_requests] {
            rate.update(elapsed);
        }
        self.work.update(elapsed);
        self.callers.update(elapsed);
    }

    /// Returns the work of a request in seconds, if it is known.
    pub(super) fn measured_work_secs(&self) -> Option<f64> {
        self.work.secs(self.route.latency_objective)
    }

    /// Sets the work that counts while it is not known.
    pub(super) fn set_assumed_work(&mut self, secs: f64) {
        self.work_secs = self.measured_work_secs().unwrap_or(secs);
    }

    /// Returns the slots that requests on open flows occupy, those of new flows excluded.
    pub(super) fn open_flow_slots(&self) -> f64 {
        self.requests.per_sec() * self.work_secs
    }

    /// Returns the slots that all forwarded requests would occupy.
    pub(super) fn sent_slots(&self) -> f64 {
        self.requests_per_sec() * self.work_secs
    }

    /// Returns the slots that the first requests of all new flows would occupy.
    pub(super) fn opening_slots(&self) -> f64 {
        self.openings.per_sec() * self.work_secs
    }

    /// Returns the openings per second, refused ones included.
    pub(super) fn openings_per_sec(&self) -> f64 {
        self.openings.per_sec()
    }

    /// Returns the requests per second that were forwarded.
    pub(super) fn requests_per_sec(&self) -> f64 {
        self.requests.per_sec() + self.first_requests.per_sec()
    }

    /// Divides the admitted openings among the callers; `None` admits all.
    pub(super) fn limit_openings(&mut self, admitted_per_sec: Option<f64>) {
        self.callers.divide(admitted_per_sec);
    }

    /// Returns the share of a caller's openings that is admitted.
    pub(super) fn admitted_share(&self, caller: Ipv4Addr) -> f64 {
        self.callers.admitted_share(caller)
    }
}
