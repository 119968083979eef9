//! Rate-limited log lines for routing decisions.

use std::net::SocketAddrV4;
use std::time::Duration;

use mustardgrade_core::cookie::{CookieSnapshot, FlowCookie, FlowEvent};
use mustardgrade_core::flow::FlowKey;
use mustardgrade_core::identity::ServiceId;
use mustardgrade_core::registry::RouteConfig;

use crate::logging::{LogDecision, LogRateLimiter};

/// Maximum number of lines per second of a kind that tells of a fault or a change of state.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Maximum number of lines per second of a kind that grows with the load. They share the log with
/// the others, which must not be lost in an overload.
const MAX_ROUTINE_LINES_PER_SECOND: u32 = 5;

/// `FlowLog` writes the decisions of a traffic thread to the log, with a rate limit per kind.
#[derive(Debug)]
pub(super) struct FlowLog {
    opened: LogRateLimiter,
    redirected: LogRateLimiter,
    refused: LogRateLimiter,
    reset: LogRateLimiter,
    liveness: LogRateLimiter,
    speed: LogRateLimiter,
    outliers: LogRateLimiter,
    reachability: LogRateLimiter,
    pace: LogRateLimiter,
    dropped: LogRateLimiter,
    spillover: LogRateLimiter,
    admission: LogRateLimiter,
    ended: LogRateLimiter,
}

impl FlowLog {
    pub(super) fn new() -> Self {
        let limiter = LogRateLimiter::new(MAX_LINES_PER_SECOND);
        let routine = LogRateLimiter::new(MAX_ROUTINE_LINES_PER_SECOND);
        Self {
            opened: routine,
            redirected: limiter,
            refused: routine,
            reset: limiter,
            liveness: limiter,
            speed: routine,
            outliers: limiter,
            reachability: limiter,
            pace: limiter,
            dropped: routine,
            spillover: limiter,
            admission: limiter,
            ended: limiter,
        }
    }

    /// Writes a line for `event` if the rate limit of its kind allows it. Answer latencies are not
    /// logged; they are recorded in histograms only.
    pub(super) fn write(&mut self, event: &FlowEvent, snapshot: &CookieSnapshot, now: Duration) {
        let limiter = match event {
            FlowEvent::Opened { .. } => &mut self.opened,
            FlowEvent::Redirected { .. } | FlowEvent::CookieCorrected { .. } => {
                &mut self.redirected
            }
            FlowEvent::Reset { cause, .. } if cause.ends_open_flow() => &mut self.reset,
            FlowEvent::Reset { .. } => &mut self.refused,
            FlowEvent::Suspected { .. } | FlowEvent::Recovered { .. } => &mut self.liveness,
            FlowEvent::SpeedChanged { .. } => &mut self.speed,
            FlowEvent::Ejected { .. } | FlowEvent::Readmitted { .. } => &mut self.outliers,
            FlowEvent::DataCentreUnreachable { .. } | FlowEvent::DataCentreReachable { .. } => {
                &mut self.reachability
            }
            FlowEvent::RampBegun { .. } | FlowEvent::RampEnded { .. } => &mut self.pace,
            FlowEvent::Dropped { .. } => &mut self.dropped,
            FlowEvent::AdmissionChanged { .. } => &mut self.admission,
            FlowEvent::UpstreamEnded { .. } | FlowEvent::EndWithdrawn { .. } => &mut self.ended,
            FlowEvent::SpilloverBegan { .. } | FlowEvent::SpilloverEnded { .. } => {
                &mut self.spillover
            }
            FlowEvent::Answered { .. } | FlowEvent::OpeningMoved { .. } => return,
        };
        let LogDecision::Write { omitted } = limiter.admit(now) else { return };
        let version = snapshot.manifest_version;
        let revision = snapshot.store_position.revision;
        let upstream = |cookie| upstream_name(snapshot, cookie);
        match event {
            FlowEvent::Opened {
                key,
                cookie,
                in_flight: work,
                retransmission: copy,
                cold,
                spilled,
            } => log::info!(
                flow = flow_id(key), key:% = key, upstream = upstream(*cookie), cookie:% = cookie,
                work, copy, cold, spilled, version, revision, omitted; "flow opened"
            ),
            FlowEvent::Redirected { key, from, to } => log::info!(
                flow = flow_id(key), key:% = key, from = upstream(*from), to = upstream(*to),
                version, revision, omitted; "opening redirected"
            ),
            FlowEvent::CookieCorrected { key, from, to } => log::info!(
                flow = flow_id(key), key:% = key, from = upstream(*from), to = upstream(*to),
                version, revision, omitted; "cookie corrected"
            ),
            FlowEvent::Reset { key, cookie, cause } => log::info!(
                flow = flow_id(key), key:% = key, upstream = upstream(*cookie), cause:% = cause,
                version, revision, omitted; "flow reset"
            ),
            FlowEvent::Suspected { cookie, unanswered_flows: unanswered, silence } => log::info!(
                upstream = upstream(*cookie), unanswered, silent_ms = silence.as_millis() as u64,
                revision, omitted; "upstream suspected"
            ),
            FlowEvent::Recovered { cookie } => log::info!(
                upstream = upstream(*cookie), revision, omitted; "upstream recovered"
            ),
            FlowEvent::SpeedChanged { cookie, is_slow: slow, answer_time_percent } => log::info!(
                upstream = upstream(*cookie), slow, answer_time_percent, revision, omitted;
                "upstream speed changed"
            ),
            FlowEvent::Ejected { cookie, failed, observed, expected_percent, hold } => log::info!(
                upstream = upstream(*cookie), failed, observed, expected_percent,
                hold_ms = hold.as_millis() as u64, revision, omitted; "upstream ejected"
            ),
            FlowEvent::Readmitted { cookie, failed, observed, ejected_for } => log::info!(
                upstream = upstream(*cookie), failed, observed,
                ejected_ms = ejected_for.as_millis() as u64, revision, omitted;
                "upstream readmitted"
            ),
            FlowEvent::DataCentreUnreachable { data_centre, silent_upstreams: silent, silence } => {
                log::info!(
                    data_centre:% = data_centre, silent, silent_ms = silence.as_millis() as u64,
                    revision, omitted; "data centre unreachable"
                )
            }
            FlowEvent::DataCentreReachable { data_centre } => log::info!(
                data_centre:% = data_centre, revision, omitted; "data centre reachable"
            ),
            FlowEvent::UpstreamEnded { cookie, successor, position, open_flows } => log::info!(
                upstream = upstream(*cookie), address = upstream_address(snapshot, *cookie),
                successor = upstream(*successor), epoch = position.epoch,
                successor_revision = position.revision, open_flows, revision, omitted;
                "upstream ended"
            ),
            FlowEvent::EndWithdrawn { cookie, successor, cause } => log::info!(
                upstream = upstream(*cookie), successor = upstream(*successor), cause:% = cause,
                revision, omitted; "upstream not ended"
            ),
            FlowEvent::RampBegun { cookie, cause } => log::info!(
                upstream = upstream(*cookie), cause:% = cause, revision, omitted; "slow start begun"
            ),
            FlowEvent::RampEnded { cookie, duration, phase } => log::info!(
                upstream = upstream(*cookie), phase:% = phase, took_ms = duration.as_millis() as u64,
                revision, omitted; "slow start ended"
            ),
            FlowEvent::Dropped { key, cookie, cause } => log::info!(
                flow = flow_id(key), key:% = key, cookie:% = cookie, cause:% = cause,
                version, revision, omitted; "packet dropped"
            ),
            FlowEvent::AdmissionChanged { service, is_limiting: true, refused: _ } => log::info!(
                service = service_name(snapshot, *service), routes = routes_of(snapshot, *service),
                version, revision, omitted; "admission control begins"
            ),
            FlowEvent::AdmissionChanged { service, is_limiting: false, refused } => log::info!(
                service = service_name(snapshot, *service), routes = routes_of(snapshot, *service),
                refused, version, revision, omitted; "admission control ends"
            ),
            FlowEvent::SpilloverBegan { route } => log::info!(
                route = route_name(snapshot, route), version, revision, omitted;
                "spillover began"
            ),
            FlowEvent::SpilloverEnded { route, moved } => log::info!(
                route = route_name(snapshot, route), moved, version, revision, omitted;
                "spillover ended"
            ),
            FlowEvent::Answered { .. } | FlowEvent::OpeningMoved { .. } => {}
        }
    }
}

/// Returns the names of the routes with flows to a service, the most urgent ones first.
fn routes_of(snapshot: &CookieSnapshot, service: ServiceId) -> String {
    let configs = snapshot.routes.values().map(|route| &route.config);
    let is_backend = |config: &&RouteConfig| {
        config.backends.iter().any(|backend| backend.service == service && backend.weight > 0)
    };
    let mut routes: Vec<&RouteConfig> = configs.filter(is_backend).collect();
    routes.sort_by_key(|config| (config.priority, &config.name));
    let names: Vec<&str> = routes.iter().map(|config| config.name.as_str()).collect();
    names.join(",")
}

/// Returns a short identifier of a flow that is equal on all hosts.
fn flow_id(key: &FlowKey) -> String {
    format!("{:016x}", key.fingerprint(0))
}

/// Returns the name of a service; `-` if the snapshot has none.
fn service_name(snapshot: &CookieSnapshot, service: ServiceId) -> &str {
    snapshot.service_names.get(&service).map_or("-", String::as_str)
}

/// Returns the name of the route with an address; `-` if the snapshot has none.
fn route_name<'a>(snapshot: &'a CookieSnapshot, address: &SocketAddrV4) -> &'a str {
    snapshot.routes.get(address).map_or("-", |route| &route.config.name)
}

/// Returns the name of the upstream with a cookie; `-` if the snapshot has none.
fn upstream_name(snapshot: &CookieSnapshot, cookie: FlowCookie) -> &str {
    snapshot.upstream_index(cookie).map_or("-", |index| &snapshot.upstreams[index].name)
}

/// Returns the address of the upstream with a cookie; `-` if the snapshot has none.
fn upstream_address(snapshot: &CookieSnapshot, cookie: FlowCookie) -> String {
    let address = snapshot.upstream_index(cookie).map(|index| snapshot.upstreams[index].address);
    address.map_or_else(|| "-".to_owned(), |address| address.to_string())
}
