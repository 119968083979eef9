//! Answer times of the routes of one service, and their mean.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::answer_time::{RouteAnswerTime, time_of};
use super::{ASSUMED_ANSWER_DELAY, MAX_ANSWER_TIME};
use crate::cookie::snapshot::CookieSnapshot;
use crate::identity::ServiceId;

/// Factor by which the counts of requests fall at each refresh, by which routes are weighted; they
/// then cover about ten seconds.
const REQUEST_COUNT_DECAY: f32 = 0.98;

/// `ServiceTimes` estimates the answer times of a service.
#[derive(Debug, Clone)]
pub(super) struct ServiceTimes {
    service: ServiceId,
    /// The few routes of a service, by address.
    routes: Vec<(SocketAddrV4, RouteAnswerTime)>,
    /// Mean over the routes, weighted by their requests; `None` while no route is measured.
    mean: Option<Duration>,
    /// The same mean with [`ASSUMED_ANSWER_DELAY`] in place of answer times that callers do not
    /// acknowledge at once.
    unmodelled_mean: Option<Duration>,
}

impl ServiceTimes {
    pub(super) fn new(service: ServiceId) -> Self {
        Self { service, routes: Vec::new(), mean: None, unmodelled_mean: None }
    }

    pub(super) fn service(&self) -> ServiceId {
        self.service
    }

    /// Adopts the routes of a snapshot whose flows the service may have.
    pub(super) fn install_routes(&mut self, snapshot: &CookieSnapshot) {
        let known = std::mem::take(&mut self.routes);
        let routes = snapshot.routes.iter();
        let routes = routes.filter(|(_, route)| route.allowed_services.contains(&self.service));
        self.routes.extend(routes.map(|(address, route)| {
            let known = known.iter().find(|(known, _)| known == address);
            let mut times = known.map_or_else(RouteAnswerTime::default, |(_, times)| *times);
            times.timeout = route.config.request_timeout;
            (*address, times)
        }));
    }

    /// Returns the answer time of a route, if the service has the route's flows.
    pub(super) fn route_mut(&mut self, route: SocketAddrV4) -> Option<&mut RouteAnswerTime> {
        self.routes.iter_mut().find(|(address, _)| *address == route).map(|(_, times)| times)
    }

    /// Returns the answer time of a route, if it is measured.
    pub(super) fn route_time(&self, route: SocketAddrV4) -> Option<Duration> {
        self.routes.iter().find(|(address, _)| *address == route)?.1.time
    }

    /// Returns the mean answer time, if it is measured.
    pub(super) fn mean(&self) -> Option<Duration> {
        self.mean
    }

    /// Returns the mean time for which requests would count as in flight without the model.
    pub(super) fn unmodelled_mean(&self) -> Option<Duration> {
        self.unmodelled_mean
    }

    /// Updates the means and the weights of the routes.
    pub(super) fn refresh(&mut self) {
        // Integer sums do not depend on the iteration order of the routes.
        let (mut weights, mut weighted_micros, mut unmodelled_micros) = (0_u64, 0_u64, 0_u64);
        for (_, times) in &mut self.routes {
            times.time = times.log_ms().map(|log_ms| time_of(log_ms, MAX_ANSWER_TIME));
            if let Some(time) = times.time {
                // A route without recent requests counts little.
                let weight = (times.requests * 16.0) as u64 + 1;
                weights += weight;
                weighted_micros += time.as_micros() as u64 * weight;
                let unmodelled = if times.is_exact() { time } else { ASSUMED_ANSWER_DELAY };
                unmodelled_micros += unmodelled.as_micros() as u64 * weight;
            }
            times.requests *= REQUEST_COUNT_DECAY;
        }
        let mean = |micros: u64| micros.checked_div(weights).map(Duration::from_micros);
        self.mean = mean(weighted_micros);
        self.unmodelled_mean = mean(unmodelled_micros);
    }
}
