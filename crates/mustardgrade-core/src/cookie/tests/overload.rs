//! Load after a power loss, compared with rendezvous hashing over warm upstreams.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use super::fixtures::{
    DESK_ROUTE, TestRegistry, cookie_of, established_packet, flow_key, ms, syn_packet,
    upstream_registration,
};
use crate::cookie::{CookieRouter, CookieVerdict, LoadEntry, LoadReport, PeerLoads, ResetCause};
use crate::identity::rendezvous_score;

/// Service time of a request, in microseconds.
const SERVICE_TIME_US: u64 = 60_000;

/// Maximum number of requests that wait at an upstream while all its slots are in use.
const QUEUE_LENGTH: usize = 16;

/// Number of requests that an upstream runs concurrently.
const SLOTS: usize = 4;

/// Latency objective of a request, in microseconds.
const LATENCY_OBJECTIVE_US: u64 = 250_000;

/// `ResponseCounts` are the outcomes of the callers' requests.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct ResponseCounts {
    in_time: u32,
    late: u32,
    shed: u32,
    refused: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    Hash,
    Router,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    RequestDone { tag: u64, host: usize, caller: u32, arrived_us: u64 },
    FlowArrives { host: usize, caller: u32 },
    ExchangeReports,
}

/// `SimulatedUpstreams` run requests, queue them while all slots are in use, and shed the excess.
#[derive(Default)]
struct SimulatedUpstreams {
    in_service: HashMap<u64, usize>,
    queued: HashMap<u64, std::collections::VecDeque<(usize, u32, u64)>>,
}

/// Simulates four hosts, two in each data centre, of which `a` has three upstreams and `b` five.
/// Each new flow carries one request.
fn simulate(strategy: Strategy, arrivals: &[(u64, usize)]) -> ResponseCounts {
    let mut registry_a = TestRegistry::new();
    registry_a.add_upstreams("desk", "a", 1..4);
    registry_a.add_upstreams("desk", "b", 4..9);
    let mut registry_b = TestRegistry::new();
    registry_b.add_upstreams("desk", "a", 1..4);
    registry_b.add_upstreams("desk", "b", 4..9);
    registry_b.context.data_centre = Some(crate::identity::DataCentreId::from_name("b"));
    let mut routers: Vec<CookieRouter> =
        vec![registry_a.router(), registry_a.router(), registry_b.router(), registry_b.router()];
    let mut events: BinaryHeap<Reverse<(u64, Event)>> = BinaryHeap::new();
    for (caller, (arrival_us, host)) in arrivals.iter().enumerate() {
        events.push(Reverse((
            *arrival_us,
            Event::FlowArrives { host: *host, caller: caller as u32 },
        )));
    }
    events.push(Reverse((0, Event::ExchangeReports)));
    let mut upstreams = SimulatedUpstreams::default();
    let mut counts = ResponseCounts::default();
    while let Some(Reverse((now_us, event))) = events.pop() {
        match event {
            Event::ExchangeReports => {
                exchange_reports(&mut routers, now_us);
                if !events.is_empty() {
                    events.push(Reverse((now_us + 100_000, Event::ExchangeReports)));
                }
            }
            Event::FlowArrives { host, caller } => {
                let Some(tag) = select_upstream(strategy, &mut routers[host], caller, now_us)
                else {
                    counts.refused += 1;
                    continue;
                };
                enqueue(
                    &mut upstreams,
                    &mut events,
                    &mut counts,
                    tag,
                    (host, caller, now_us),
                    now_us,
                );
            }
            Event::RequestDone { tag, host, caller, arrived_us } => {
                close_flow(&mut routers[host], caller, tag, now_us);
                match now_us - arrived_us <= LATENCY_OBJECTIVE_US {
                    true => counts.in_time += 1,
                    false => counts.late += 1,
                }
                *upstreams.in_service.entry(tag).or_default() -= 1;
                if let Some(request) = upstreams.queued.entry(tag).or_default().pop_front() {
                    begin_service(&mut upstreams, &mut events, tag, request, now_us);
                }
            }
        }
    }
    counts
}

fn sim_time(now_us: u64) -> Duration {
    Duration::from_micros(1_000_000 + now_us)
}

fn select_upstream(
    strategy: Strategy,
    router: &mut CookieRouter,
    caller: u32,
    now_us: u64,
) -> Option<u64> {
    let key = flow_key(caller, DESK_ROUTE);
    if strategy == Strategy::Hash {
        let fingerprint = key.fingerprint(0);
        return (1..9).max_by_key(|tag| rendezvous_score(fingerprint, *tag));
    }
    let index = match router.route(&syn_packet(key, 0), sim_time(now_us)) {
        CookieVerdict::Forward { index, .. } => index,
        CookieVerdict::Reset(ResetCause::NoRoom) => return None,
        verdict => panic!("{verdict:?}"),
    };
    let view = router.snapshot().upstreams[index].clone();
    let packet = established_packet(key, view.cookie, 101, 1, 200);
    router.route(&packet, sim_time(now_us + 4_000));
    Some(view.tag)
}

fn enqueue(
    upstreams: &mut SimulatedUpstreams,
    events: &mut BinaryHeap<Reverse<(u64, Event)>>,
    counts: &mut ResponseCounts,
    tag: u64,
    request: (usize, u32, u64),
    now_us: u64,
) {
    if upstreams.in_service.get(&tag).copied().unwrap_or_default() < SLOTS {
        return begin_service(upstreams, events, tag, request, now_us);
    }
    let queued = upstreams.queued.entry(tag).or_default();
    match queued.len() < QUEUE_LENGTH {
        true => queued.push_back(request),
        false => counts.shed += 1,
    }
}

fn begin_service(
    upstreams: &mut SimulatedUpstreams,
    events: &mut BinaryHeap<Reverse<(u64, Event)>>,
    tag: u64,
    (host, caller, arrived_us): (usize, u32, u64),
    now_us: u64,
) {
    *upstreams.in_service.entry(tag).or_default() += 1;
    events.push(Reverse((
        now_us + SERVICE_TIME_US,
        Event::RequestDone { tag, host, caller, arrived_us },
    )));
}

fn close_flow(router: &mut CookieRouter, caller: u32, tag: u64, now_us: u64) {
    let route: SocketAddrV4 = DESK_ROUTE;
    let mut packet = established_packet(
        flow_key(caller, route),
        cookie_of(&upstream_registration("desk", "a", tag)),
        301,
        900,
        0,
    );
    packet.segment.flags.fin = true;
    router.route(&packet, sim_time(now_us));
}

/// Installs the load reports of all other hosts in each router.
fn exchange_reports(routers: &mut [CookieRouter], now_us: u64) {
    let reports: Vec<_> =
        routers.iter_mut().map(|router| router.load_report(sim_time(now_us))).collect();
    for (host, router) in routers.iter_mut().enumerate() {
        let mut loads = PeerLoads::default();
        for (other_host, report) in reports.iter().enumerate() {
            if other_host != host {
                loads.add(report, sim_time(now_us));
            }
        }
        router.install_peer_loads(Arc::new(loads));
        router.process_timeouts(sim_time(now_us));
    }
}

#[test]
fn burst_meets_the_latency_objective_more_often_than_with_hashing() {
    // 80 openings within 40 ms in the small data centre, then 380 per second over both.
    let mut arrivals: Vec<(u64, usize)> = (0..80).map(|n| (n * 500, (n % 2) as usize)).collect();
    arrivals.extend((0..380).map(|n| (40_000 + n * 2_631, (n % 4) as usize)));
    let with_hashing = simulate(Strategy::Hash, &arrivals);
    let with_router = simulate(Strategy::Router, &arrivals);
    assert_eq!(
        (with_router.shed, with_router.refused),
        (0, 0),
        "router: {with_router:?}, hashing: {with_hashing:?}"
    );
    assert!(
        with_router.in_time > with_hashing.in_time,
        "router: {with_router:?}, hashing: {with_hashing:?}"
    );
    assert!(
        with_router.late + with_router.shed < (with_hashing.late + with_hashing.shed) / 2,
        "router: {with_router:?}, hashing: {with_hashing:?}"
    );
}

#[test]
fn steady_load_meets_the_latency_objective() {
    let arrivals: Vec<(u64, usize)> = (0..900).map(|n| (n * 3_700, (n % 4) as usize)).collect();
    let with_router = simulate(Strategy::Router, &arrivals);
    assert_eq!((with_router.late, with_router.shed, with_router.refused), (0, 0, 0));
}

#[test]
fn overload_refuses_excess_flows_and_serves_the_rest_in_time() {
    // Eight upstreams can serve 533 requests per second; 900 per second arrive for three seconds.
    let arrivals: Vec<(u64, usize)> = (0..2_700).map(|n| (n * 1_111, (n % 4) as usize)).collect();
    let with_hashing = simulate(Strategy::Hash, &arrivals);
    let with_router = simulate(Strategy::Router, &arrivals);
    let capacity = 1_600;
    assert!(
        with_router.in_time >= capacity * 85 / 100,
        "router: {with_router:?}, hashing: {with_hashing:?}"
    );
    assert!(
        with_router.late * 20 <= with_router.in_time,
        "router: {with_router:?}, hashing: {with_hashing:?}"
    );
    assert_eq!(with_router.shed, 0, "router: {with_router:?}, hashing: {with_hashing:?}");
    assert!(
        with_router.in_time > with_hashing.in_time * 2,
        "router: {with_router:?}, hashing: {with_hashing:?}"
    );
}

#[test]
fn host_with_above_average_load_does_not_report_saturation() {
    let mut registry = TestRegistry::new();
    registry.context.fleet_hosts = 4;
    registry.context.local_hosts = 4;
    registry.add_upstreams("desk", "a", 1..5);
    let mut router = registry.router();
    // This host has more than half of the load: 6 of 10 requests in flight, at 16 slots.
    for caller in 0..6 {
        let flow = flow_key(caller, DESK_ROUTE);
        let verdict = router.route(&syn_packet(flow, 0), ms(1_000));
        let CookieVerdict::Forward { cookie, .. } = verdict else { panic!("{verdict:?}") };
        router.route(&established_packet(flow, cookie, 101, 1, 90), ms(1_002));
    }
    let count_saturated = |router: &mut CookieRouter, from_ms: u64| {
        (0..60).filter(|step| router.load_report(ms(from_ms + step)).saturated).count()
    };
    // Without reports it assumes that its own load is a quarter of the total.
    assert!(count_saturated(&mut router, 1_010) > 0);
    let mut peers = PeerLoads::default();
    let first_cookie = router.snapshot().upstreams[0].cookie;
    for in_flight in [2, 1, 1] {
        let entry = LoadEntry {
            cookie: first_cookie,
            in_flight,
            unanswered_flows: 0,
            unanswered_age_ms: 0,
            alive_age_ms: u16::MAX,
        };
        let entries = vec![entry];
        let report = LoadReport {
            saturated: false,
            complete: true,
            all_suspected: false,
            entries,
            speeds: Vec::new(),
            outcomes: Vec::new(),
            holders: Vec::new(),
        };
        peers.add(&report, ms(1_070));
    }
    router.install_peer_loads(std::sync::Arc::new(peers));
    count_saturated(&mut router, 1_070);
    assert_eq!(count_saturated(&mut router, 1_130), 0);
    // It keeps the measured ratio after the reports have ended.
    router.install_peer_loads(std::sync::Arc::default());
    assert_eq!(count_saturated(&mut router, 1_190), 0);
}
