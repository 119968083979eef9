//! What the routes of a controlled service demand, and which part of it is admitted.

use std::net::{Ipv4Addr, SocketAddrV4};

use super::controller::AdmissionController;
use super::route_demand::RouteDemand;
use crate::identity::ServiceId;

/// `RouteShare` is the demand of one route on a service, as this host measures it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(in crate::cookie) struct RouteShare {
    pub(in crate::cookie) address: SocketAddrV4,
    pub(in crate::cookie) priority: u32,
    /// Openings, refused ones included.
    pub(in crate::cookie) openings_per_sec: f64,
    /// Requests that were forwarded.
    pub(in crate::cookie) requests_per_sec: f64,
    /// Share of the caller's openings that is admitted.
    pub(in crate::cookie) admitted_share: f64,
}

impl AdmissionController {
    /// Returns the demands of the routes of a controlled service, the most urgent one first, with
    /// the share of a caller's openings that each admits; empty for other services.
    pub(in crate::cookie) fn route_shares(
        &self,
        service: ServiceId,
        caller: Ipv4Addr,
    ) -> Vec<RouteShare> {
        let routes = self.service(service).map_or(&[][..], |controlled| controlled.routes());
        let share = |demand: &RouteDemand| RouteShare {
            address: demand.route.address,
            priority: demand.route.priority,
            openings_per_sec: demand.openings_per_sec(),
            requests_per_sec: demand.requests_per_sec(),
            admitted_share: demand.admitted_share(caller),
        };
        routes.iter().map(share).collect()
    }
}
