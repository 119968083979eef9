//! Detection of unreachable data centres, as opposed to single upstreams that fail.

use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixtures::{
    DESK_ROUTE, TestRegistry, cookie_of, established_packet, flow_key, ms, routed_tag, syn_packet,
    upstream_registration,
};
use crate::cookie::{CookiePacket, CookieRouter, CookieVerdict, FlowEvent, PeerLoads};

/// Tags of the upstreams in data centre `b`; those in `c` follow.
const TAGS_IN_B: std::ops::Range<u64> = 1..41;
const TAGS_IN_C: std::ops::Range<u64> = 41..81;

/// Creates a registry with upstreams in `b` and `c` and none in `a`, where the host runs.
fn registry() -> TestRegistry {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "b", TAGS_IN_B);
    registry.add_upstreams("desk", "c", TAGS_IN_C);
    registry
}

fn router(registry: &TestRegistry) -> CookieRouter {
    let mut router = registry.router();
    router.process_timeouts(ms(990));
    router
}

/// Updates the router's view of reachability, which it does as part of a load report.
fn update_reachability(router: &mut CookieRouter, at_ms: u64) {
    let _report = router.load_report(ms(at_ms));
}

/// Opens a flow, which the upstream answers if `responds` is true for it; returns the upstream's
/// tag.
fn open_flow(
    router: &mut CookieRouter,
    caller: u32,
    at_ms: u64,
    responds: impl Fn(u64) -> bool,
) -> u64 {
    let tag = routed_tag(router, &syn_packet(flow_key(caller, DESK_ROUTE), 0), ms(at_ms));
    if responds(tag) {
        let data_centre = if TAGS_IN_B.contains(&tag) { "b" } else { "c" };
        let cookie = cookie_of(&upstream_registration("desk", data_centre, tag));
        router.route(
            &established_packet(flow_key(caller, DESK_ROUTE), cookie, 101, 1, 0),
            ms(at_ms + 3),
        );
    }
    tag
}

/// Opens `count` flows within 20 ms and processes missing answers 90 ms later.
fn open_initial_flows(
    router: &mut CookieRouter,
    count: u32,
    responds: impl Fn(u64) -> bool + Copy,
) {
    for caller in 0..count {
        open_flow(router, caller, 1_000 + u64::from(caller % 20), responds);
    }
    router.process_timeouts(ms(1_060));
    router.process_timeouts(ms(1_110));
    update_reachability(router, 1_111);
}

/// Opens 60 flows and returns how many of them are assigned to `b`.
fn count_flows_to_b(
    router: &mut CookieRouter,
    at_ms: u64,
    responds: impl Fn(u64) -> bool + Copy,
) -> usize {
    let tags =
        (0..60).map(|step| open_flow(router, 5_000 + step, at_ms + u64::from(step), responds));
    tags.filter(|tag| TAGS_IN_B.contains(tag)).count()
}

#[test]
fn unreachable_data_centre_is_detected_from_few_flows() {
    let registry = registry();
    let mut router = router(&registry);
    let responds = |tag| TAGS_IN_C.contains(&tag);
    open_initial_flows(&mut router, 14, responds);
    let mut events = Vec::new();
    router.take_events(&mut events);
    let is_detected =
        events.iter().any(|event| matches!(event, FlowEvent::DataCentreUnreachable { .. }));
    assert!(is_detected, "{events:?}");
    assert!(count_flows_to_b(&mut router, 1_120, responds) <= 1);
}

#[test]
fn hosts_combine_reports_to_detect_an_unreachable_data_centre() {
    let registry = registry();
    let (mut first_router, mut second_router) = (router(&registry), router(&registry));
    let mut next_caller = 0;
    for router in [&mut first_router, &mut second_router] {
        let mut unanswered = 0;
        while unanswered < 2 {
            unanswered +=
                usize::from(TAGS_IN_B.contains(&open_flow(router, next_caller, 1_000, |tag| {
                    TAGS_IN_C.contains(&tag)
                })));
            next_caller += 1;
        }
        router.process_timeouts(ms(1_060));
        router.process_timeouts(ms(1_090));
    }
    let report = second_router.load_report(ms(1_091));
    update_reachability(&mut first_router, 1_092);
    let mut events_before_reports = Vec::new();
    first_router.take_events(&mut events_before_reports);
    assert!(
        !events_before_reports
            .iter()
            .any(|event| matches!(event, FlowEvent::DataCentreUnreachable { .. }))
    );
    let mut peers = PeerLoads::default();
    peers.add(&report, ms(1_093));
    first_router.install_peer_loads(Arc::new(peers));
    update_reachability(&mut first_router, 1_142);
    assert!(count_flows_to_b(&mut first_router, 1_150, |tag| TAGS_IN_C.contains(&tag)) <= 1);
}

#[test]
fn one_answer_restores_the_whole_data_centre() {
    let registry = registry();
    let mut router = router(&registry);
    let responds = |tag| TAGS_IN_C.contains(&tag);
    open_initial_flows(&mut router, 14, responds);
    // The network recovers, so the next probe is answered.
    let tags: Vec<u64> = (100..400)
        .map(|caller| open_flow(&mut router, caller, 1_900 + u64::from(caller), |_| true))
        .collect();
    assert!(tags.iter().any(|tag| TAGS_IN_B.contains(tag)));
    update_reachability(&mut router, 2_400);
    assert!(count_flows_to_b(&mut router, 2_401, |_| true) >= 15);
}

#[test]
fn late_acknowledgement_is_not_evidence_of_liveness() {
    let registry = registry();
    let mut router = router(&registry);
    // An answer sent before the failure, which the caller acknowledges only with its next request.
    let busy_flow = flow_key(9_000, DESK_ROUTE);
    let tag = routed_tag(&mut router, &syn_packet(busy_flow, 0), ms(500));
    let flow_cookie = cookie_of(&upstream_registration("desk", "b", tag));
    router.route(&established_packet(busy_flow, flow_cookie, 101, 1, 0), ms(502));
    router.route(&established_packet(busy_flow, flow_cookie, 101, 1, 90), ms(503));
    let unreachable_tags = if TAGS_IN_B.contains(&tag) { TAGS_IN_B } else { TAGS_IN_C };
    let responds = |tag| !unreachable_tags.contains(&tag);
    open_initial_flows(&mut router, 14, responds);
    router.route(&established_packet(busy_flow, flow_cookie, 191, 2_001, 90), ms(1_115));
    update_reachability(&mut router, 1_116);
    let tags =
        (0..60).map(|step| open_flow(&mut router, 5_000 + step, 1_120 + u64::from(step), responds));
    assert!(tags.filter(|tag| unreachable_tags.contains(tag)).count() <= 1);
}

/// Opens one flow at each of `count` upstreams of the data centre of the first one before all of
/// them fall silent; returns the flows' requests and the range of the upstreams' tags.
fn open_flows_before_outage(
    router: &mut CookieRouter,
    count: usize,
) -> (Vec<CookiePacket>, std::ops::Range<u64>) {
    let (mut requests, mut silent_tags, mut seen) = (Vec::new(), None, Vec::new());
    for caller in 9_000.. {
        let tag = open_flow(router, caller, 992, |_| true);
        let tags = if TAGS_IN_B.contains(&tag) { TAGS_IN_B } else { TAGS_IN_C };
        let silent_tags = silent_tags.get_or_insert(tags).clone();
        if silent_tags.contains(&tag) && !seen.contains(&tag) {
            seen.push(tag);
            let cookie = cookie_of(&upstream_registration("desk", "b", tag));
            let key = flow_key(caller, DESK_ROUTE);
            requests.push(established_packet(key, cookie, 101, 1, 90));
        }
        if requests.len() == count {
            return (requests, silent_tags);
        }
    }
    unreachable!("the range of callers is unbounded")
}

/// Lets a whole data centre leave openings unanswered until 1,682 ms, and the given requests, which
/// are sent at 1,131 ms and retransmitted at 1,431 ms.
fn leave_data_centre_silent(
    router: &mut CookieRouter,
    requests: &[CookiePacket],
    silent_tags: &std::ops::Range<u64>,
) {
    let responds = |tag: u64| !silent_tags.contains(&tag);
    open_initial_flows(router, 90, responds);
    for step in 0..12 {
        let at_ms = 1_120 + u64::from(step) * 50;
        open_flow(router, 700 + step, at_ms, responds);
        router.process_timeouts(ms(at_ms + 10));
        for request in requests.iter().filter(|_| [0, 6].contains(&step)) {
            routed_tag(router, request, ms(at_ms + 11));
        }
        update_reachability(router, at_ms + 12);
    }
}

#[test]
fn request_on_an_idle_flow_to_an_unreachable_data_centre_is_forwarded() {
    let registry = registry();
    let mut router = router(&registry);
    let (requests, silent_tags) = open_flows_before_outage(&mut router, 5);
    leave_data_centre_silent(&mut router, &requests[1..], &silent_tags);
    let verdict = router.route(&requests[0], ms(1_690));
    assert!(matches!(verdict, CookieVerdict::Forward { .. }), "{verdict:?}");
}

/// Guards against resets of live flows that pause while a data centre leaves openings unanswered.
#[test]
fn unanswered_openings_at_a_whole_data_centre_reset_no_open_flow() {
    let registry = registry();
    let mut router = router(&registry);
    let (requests, silent_tags) = open_flows_before_outage(&mut router, 2);
    leave_data_centre_silent(&mut router, &requests[1..], &silent_tags);
    for (step, at_ms) in [1_690, 1_890].into_iter().enumerate() {
        open_flow(&mut router, 800 + step as u32, at_ms - 5, |tag| !silent_tags.contains(&tag));
        router.process_timeouts(ms(at_ms - 1));
        update_reachability(&mut router, at_ms - 1);
        let verdict = router.route(&requests[0], ms(at_ms));
        assert!(matches!(verdict, CookieVerdict::Forward { .. }), "{verdict:?}");
    }
}

/// Simulates a simultaneous crash of a third of all upstreams, with new flows at random intervals
/// of at least `min_gap_ms` and requests on idle flows to the remaining upstreams; returns whether
/// a data centre was declared unreachable.
fn crash_one_third(seed: u64, min_gap_ms: u64) -> bool {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let registry = registry();
    let mut router = router(&registry);
    let crashed: Vec<bool> = (0..81).map(|_| rng.random_ratio(1, 3)).collect();
    let (mut open_flows, mut at_ms) = (Vec::new(), 1_000);
    for caller in 0..600 {
        at_ms += rng.random_range(min_gap_ms..min_gap_ms * 6);
        let responds = |tag: u64| at_ms < 1_500 || !crashed[tag as usize];
        open_flows.push((caller, open_flow(&mut router, caller, at_ms, responds)));
        let (caller, tag) = open_flows[rng.random_range(0..open_flows.len())];
        if responds(tag) {
            let flow_cookie = cookie_of(&upstream_registration("desk", "b", tag));
            let flow = flow_key(caller, DESK_ROUTE);
            let verdict =
                router.route(&established_packet(flow, flow_cookie, 101, 1, 90), ms(at_ms));
            assert!(matches!(verdict, CookieVerdict::Forward { .. }), "seed {seed}, {at_ms} ms");
            router.route(&established_packet(flow, flow_cookie, 191, 2_001, 0), ms(at_ms + 1));
        }
        router.process_timeouts(ms(at_ms + 1));
        update_reachability(&mut router, at_ms + 1);
    }
    router.counters().data_centre_outages > 0
}

#[test]
fn simultaneous_crashes_do_not_reset_flows_of_responsive_upstreams() {
    for seed in 0..200 {
        assert!(!crash_one_third(seed, 2), "seed {seed}");
        // With few flows the data centre may look unreachable for a while, but no open flow is
        // reset.
        crash_one_third(seed, 40);
    }
}
