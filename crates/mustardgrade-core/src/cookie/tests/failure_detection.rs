//! Detection of failed upstreams, and retransmitted openings.

use std::sync::Arc;

use super::fixtures::{
    DESK_ROUTE, REGISTER_ROUTE, TestRegistry, cookie_of, cookie_of_upstream_1, established_packet,
    flow_key, install_reports, ms, report_of_1, routed_tag, syn_packet, upstream_registration,
};
use crate::cookie::{CookieRouter, CookieVerdict, FabricKind, FlowEvent};

/// Routes the acknowledgement that `caller` sends after upstream `tag` has answered its opening.
pub(super) fn answer_opening(router: &mut CookieRouter, caller: u32, tag: u64, at_ms: u64) {
    let packet = established_packet(
        flow_key(caller, DESK_ROUTE),
        cookie_of(&upstream_registration("desk", "a", tag)),
        101,
        1,
        0,
    );
    assert_eq!(routed_tag(router, &packet, ms(at_ms)), tag);
}

/// Opens a flow of `caller` to upstream 2, the only one not suspected, which answers.
fn open_and_answer(router: &mut CookieRouter, caller: u32, at_ms: u64) {
    assert_eq!(routed_tag(router, &syn_packet(flow_key(caller, DESK_ROUTE), 0), ms(at_ms - 4)), 2);
    answer_opening(router, caller, 2, at_ms);
}

/// Opens flows until `count` of them are assigned to upstream 1; the other upstreams answer.
pub(super) fn open_flows_at_upstream_1(
    router: &mut CookieRouter,
    count: usize,
    at_ms: u64,
) -> Vec<u32> {
    let mut callers = Vec::new();
    for caller in 0.. {
        let tag = routed_tag(router, &syn_packet(flow_key(caller, DESK_ROUTE), 0), ms(at_ms));
        match tag {
            1 => callers.push(caller),
            _ => answer_opening(router, caller, tag, at_ms + 3),
        }
        if callers.len() == count {
            return callers;
        }
    }
    unreachable!("the range of callers is unbounded")
}

#[test]
fn suspected_upstream_gets_no_flows_before_the_first_retransmission() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..4);
    let mut router = registry.router();
    router.process_timeouts(ms(990));
    let unanswered_callers = open_flows_at_upstream_1(&mut router, 2, 1_000);
    router.process_timeouts(ms(1_050));
    router.process_timeouts(ms(1_090));
    let mut events = Vec::new();
    router.take_events(&mut events);
    assert!(events.iter().any(|event| matches!(event, FlowEvent::Suspected { .. })));
    for caller in 100..140 {
        let tag = routed_tag(&mut router, &syn_packet(flow_key(caller, DESK_ROUTE), 0), ms(1_100));
        assert_ne!(tag, 1);
        answer_opening(&mut router, caller, tag, 1_103);
    }
    // Retransmissions of the unanswered openings are sent to other upstreams as well.
    for caller in &unanswered_callers {
        let tag = routed_tag(&mut router, &syn_packet(flow_key(*caller, DESK_ROUTE), 1), ms(1_200));
        assert_ne!(tag, 1);
        answer_opening(&mut router, *caller, tag, 1_203);
    }
    assert_eq!(router.counters().openings_redirected, 2);
}

#[test]
fn answer_clears_the_suspicion() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..3);
    let mut router = registry.router();
    router.process_timeouts(ms(990));
    let unanswered_callers = open_flows_at_upstream_1(&mut router, 2, 1_000);
    router.process_timeouts(ms(1_050));
    router.process_timeouts(ms(1_090));
    answer_opening(&mut router, unanswered_callers[0], 1, 1_095);
    let flows_at_1 = (200..220).filter(|caller| {
        routed_tag(&mut router, &syn_packet(flow_key(*caller, DESK_ROUTE), 0), ms(1_100)) == 1
    });
    assert!(flows_at_1.count() > 0);
}

#[test]
fn retransmission_stays_with_a_responsive_upstream() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..4);
    let mut router = registry.router();
    router.process_timeouts(ms(990));
    let unanswered_callers = open_flows_at_upstream_1(&mut router, 2, 1_000);
    answer_opening(&mut router, unanswered_callers[1], 1, 1_150);
    // If two upstreams answered the same opening, the caller could end up with the wrong cookie.
    assert_eq!(
        routed_tag(
            &mut router,
            &syn_packet(flow_key(unanswered_callers[0], DESK_ROUTE), 1),
            ms(1_200)
        ),
        1
    );
}

#[test]
fn cookie_decides_which_upstream_owns_a_redirected_flow() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..3);
    let mut router = registry.router();
    router.process_timeouts(ms(990));
    let unanswered_callers = open_flows_at_upstream_1(&mut router, 1, 1_000);
    assert_eq!(
        routed_tag(
            &mut router,
            &syn_packet(flow_key(unanswered_callers[0], DESK_ROUTE), 1),
            ms(1_200)
        ),
        2
    );
    answer_opening(&mut router, unanswered_callers[0], 1, 1_205);
    let packet = established_packet(
        flow_key(unanswered_callers[0], DESK_ROUTE),
        cookie_of(&upstream_registration("desk", "a", 1)),
        101,
        9,
        50,
    );
    assert_eq!(routed_tag(&mut router, &packet, ms(1_300)), 1);
}

#[test]
fn stall_of_the_host_raises_no_suspicion() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..3);
    let mut router = registry.router();
    router.process_timeouts(ms(990));
    open_flows_at_upstream_1(&mut router, 3, 1_000);
    router.process_timeouts(ms(4_000));
    assert_eq!(router.counters().suspicions_raised, 0);
}

/// Opens a flow of each caller to upstream 1, sends a request on it and retransmits the request.
pub(super) fn leave_requests_unanswered(
    router: &mut CookieRouter,
    callers: &[u32],
    route: std::net::SocketAddrV4,
) {
    let silent_cookie = cookie_of_upstream_1();
    for caller in callers {
        router.route(
            &established_packet(flow_key(*caller, route), silent_cookie, 101, 1, 0),
            ms(1_000),
        );
        router.route(
            &established_packet(flow_key(*caller, route), silent_cookie, 101, 1, 200),
            ms(1_010),
        );
    }
    router.process_timeouts(ms(1_205));
    for caller in callers {
        router.route(
            &established_packet(flow_key(*caller, route), silent_cookie, 101, 1, 200),
            ms(1_211),
        );
    }
}

#[test]
fn flows_of_a_silent_upstream_go_on() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..3);
    let mut router = registry.router();
    leave_requests_unanswered(&mut router, &[1, 2, 3, 4], DESK_ROUTE);
    leave_requests_unanswered(&mut router, &[5], REGISTER_ROUTE);
    let silent_cookie = cookie_of_upstream_1();
    let resent_request =
        |caller, route| established_packet(flow_key(caller, route), silent_cookie, 101, 1, 200);
    assert_eq!(routed_tag(&mut router, &resent_request(1, DESK_ROUTE), ms(1_900)), 1);
    open_and_answer(&mut router, 50, 1_900);
    assert_eq!(routed_tag(&mut router, &resent_request(2, DESK_ROUTE), ms(1_950)), 1);
    assert_eq!(routed_tag(&mut router, &resent_request(5, REGISTER_ROUTE), ms(1_950)), 1);
}

#[test]
fn upstream_that_answers_another_host_is_not_silent() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..3);
    let mut router = registry.router();
    leave_requests_unanswered(&mut router, &[1, 2, 3, 4], DESK_ROUTE);
    open_and_answer(&mut router, 50, 1_900);
    let silent_cookie = cookie_of_upstream_1();
    install_reports(&mut router, &[report_of_1(0, u16::MAX, 100)], 1_900);
    assert_eq!(
        routed_tag(
            &mut router,
            &established_packet(flow_key(1, DESK_ROUTE), silent_cookie, 101, 1, 200),
            ms(1_950)
        ),
        1
    );
}

#[test]
fn flow_without_a_pending_request_is_not_reset() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..3);
    let mut router = registry.router();
    leave_requests_unanswered(&mut router, &[1, 2, 3, 4], DESK_ROUTE);
    open_and_answer(&mut router, 50, 1_900);
    let silent_cookie = cookie_of_upstream_1();
    assert_eq!(
        routed_tag(
            &mut router,
            &established_packet(flow_key(9, DESK_ROUTE), silent_cookie, 101, 1, 0),
            ms(1_950)
        ),
        1
    );
}

#[test]
fn crashed_upstreams_do_not_attract_new_flows() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..31);
    let mut router = registry.router();
    router.process_timeouts(ms(990));
    // Long-lived flows at all upstreams; then six of them have crashed and do not answer openings.
    for caller in 0..90 {
        let tag = routed_tag(&mut router, &syn_packet(flow_key(caller, DESK_ROUTE), 0), ms(1_000));
        answer_opening(&mut router, caller, tag, 1_003);
    }
    let mut lost_openings = 0;
    for caller in 100..400 {
        let at_ms = 2_000 + u64::from(caller);
        let tag = routed_tag(&mut router, &syn_packet(flow_key(caller, DESK_ROUTE), 0), ms(at_ms));
        match tag <= 6 {
            true => lost_openings += 1,
            false => answer_opening(&mut router, caller, tag, at_ms),
        }
        router.process_timeouts(ms(at_ms));
    }
    // Two openings are needed to suspect each of the six, and one probe per second may follow.
    assert!(lost_openings <= 18, "{lost_openings} openings were sent to crashed upstreams");
}

#[test]
fn request_on_an_idle_flow_of_a_silent_upstream_is_forwarded() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..3);
    let mut router = registry.router();
    let silent_cookie = cookie_of_upstream_1();
    router.route(&established_packet(flow_key(7, DESK_ROUTE), silent_cookie, 101, 1, 0), ms(900));
    leave_requests_unanswered(&mut router, &[1, 2, 3, 4], DESK_ROUTE);
    open_and_answer(&mut router, 50, 1_600);
    let request = established_packet(flow_key(7, DESK_ROUTE), silent_cookie, 101, 1, 200);
    assert_eq!(routed_tag(&mut router, &request, ms(1_650)), 1);
}

#[test]
fn unreachable_data_centre_gets_few_probes() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "b", 1..6);
    registry.add_upstreams("desk", "c", 6..9);
    let mut router = registry.router();
    let mut lost_openings = 0;
    for caller in 0..1_000 {
        let at_ms = 1_000 + u64::from(caller) * 10;
        router.process_timeouts(ms(at_ms));
        let tag = routed_tag(&mut router, &syn_packet(flow_key(caller, DESK_ROUTE), 0), ms(at_ms));
        match tag < 6 {
            true => lost_openings += 1,
            false => answer_opening_from_c(&mut router, caller, tag, at_ms + 3),
        }
    }
    // In ten seconds: two openings at each of five upstreams, and probes after 1, 2 and 4 s.
    assert!(
        lost_openings <= 20,
        "{lost_openings} of 1000 openings were sent to the unreachable data centre"
    );
}

fn answer_opening_from_c(router: &mut CookieRouter, caller: u32, tag: u64, at_ms: u64) {
    let packet = established_packet(
        flow_key(caller, DESK_ROUTE),
        cookie_of(&upstream_registration("desk", "c", tag)),
        101,
        1,
        0,
    );
    assert_eq!(routed_tag(router, &packet, ms(at_ms)), tag);
}

#[test]
fn abandoned_openings_do_not_count_as_in_flight() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..3);
    let mut router = registry.router();
    router.process_timeouts(ms(990));
    for caller in 0..20 {
        router.route(&syn_packet(flow_key(caller, DESK_ROUTE), 0), ms(1_000));
    }
    for at_ms in (1_000..1_200).step_by(20) {
        router.process_timeouts(ms(at_ms));
    }
    assert_eq!(router.trackers().iter().map(|tracker| tracker.in_flight()).sum::<u32>(), 0);
    // A flow that opens after a retransmission, and flows that expire, are not counted either.
    let tag = first_upstream_of(&router, 3);
    answer_opening(&mut router, 3, tag, 1_210);
    for at_ms in (1_220..40_000).step_by(200) {
        router.process_timeouts(ms(at_ms));
    }
    let remaining: Vec<(u32, u32)> =
        router.trackers().iter().map(|tracker| (tracker.in_flight(), tracker.open_flows)).collect();
    assert_eq!(remaining, [(0, 0), (0, 0)]);
}

/// Returns the upstream that a caller's opening was sent to, as any host derives it by hash.
fn first_upstream_of(router: &CookieRouter, caller: u32) -> u64 {
    let mut new_router = CookieRouter::new(crate::cookie::CookieOptions::default());
    new_router.install_snapshot(Arc::clone(router.snapshot()));
    routed_tag(&mut new_router, &syn_packet(flow_key(caller, DESK_ROUTE), 0), ms(1_000))
}

#[test]
fn host_reports_that_all_upstreams_are_suspected() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "b", 1..3);
    let mut router = registry.router();
    for caller in 0..100 {
        let at = ms(1_000 + u64::from(caller) * 10);
        router.process_timeouts(at);
        routed_tag(&mut router, &syn_packet(flow_key(caller, DESK_ROUTE), 0), at);
    }
    assert!(router.load_report(ms(2_000)).all_suspected);
    assert!(!router.load_report(ms(2_500)).all_suspected);
}

#[test]
fn per_packet_fabric_raises_no_suspicion() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..5);
    let mut routers: Vec<CookieRouter> =
        (0..13).map(|_| registry.router_with_fabric(FabricKind::Any)).collect();
    let mut sequence = 0;
    let mut next_host = || {
        sequence += 7;
        sequence % 13
    };
    for caller in 0..2_000_u32 {
        let at_ms = 1_000 + u64::from(caller) * 5;
        let flow = flow_key(caller, DESK_ROUTE);
        let verdict = routers[next_host()].route(&syn_packet(flow, 0), ms(at_ms));
        let CookieVerdict::Forward { cookie, .. } = verdict else { panic!("{verdict:?}") };
        routers[next_host()].route(&established_packet(flow, cookie, 101, 1, 0), ms(at_ms + 2));
        routers[next_host()].route(&established_packet(flow, cookie, 101, 1, 90), ms(at_ms + 3));
        routers[next_host()].route(&established_packet(flow, cookie, 191, 900, 0), ms(at_ms + 70));
        for router in &mut routers {
            router.process_timeouts(ms(at_ms + 4));
        }
    }
    let suspicions: u64 = routers.iter().map(|router| router.counters().suspicions_raised).sum();
    assert_eq!(suspicions, 0, "healthy upstreams were suspected");
}

#[test]
fn peer_reports_older_than_the_last_answer_are_ignored() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..3);
    let mut router = registry.router();
    leave_requests_unanswered(&mut router, &[1], DESK_ROUTE);
    let silent_cookie = cookie_of_upstream_1();
    // The other hosts have waited since 1,100 ms; the upstream answers this host at 1,300 ms.
    install_reports(&mut router, &[report_of_1(9, 900, u16::MAX)], 2_000);
    router
        .route(&established_packet(flow_key(1, DESK_ROUTE), silent_cookie, 301, 700, 0), ms(1_300));
    open_and_answer(&mut router, 50, 1_990);
    assert_eq!(
        routed_tag(
            &mut router,
            &established_packet(flow_key(1, DESK_ROUTE), silent_cookie, 301, 700, 90),
            ms(2_000)
        ),
        1
    );
}

// The hosts that have seen the upstream fail probe it; a probe costs its caller a retransmission.
#[test]
fn upstream_that_only_peers_suspect_gets_no_openings_of_this_host_as_probes() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..4);
    let mut router = registry.router();
    let mut openings_at_suspect = 0;
    for caller in 0..400 {
        let at_ms = 2_000 + u64::from(caller) * 10;
        install_reports(&mut router, &[report_of_1(4, 500, u16::MAX)], at_ms);
        router.process_timeouts(ms(at_ms));
        let tag = routed_tag(&mut router, &syn_packet(flow_key(caller, DESK_ROUTE), 0), ms(at_ms));
        match tag {
            1 => openings_at_suspect += 1,
            _ => answer_opening(&mut router, caller, tag, at_ms + 3),
        }
    }
    assert_eq!(openings_at_suspect, 0);
}

#[test]
fn hosts_that_have_seen_an_upstream_fail_do_not_all_probe_it_each_second() {
    const HOST_COUNT: usize = 7;
    let mut registry = TestRegistry::new();
    registry.context.local_hosts = HOST_COUNT;
    registry.add_upstreams("desk", "a", 1..4);
    let mut probes = 0;
    for host in 0..HOST_COUNT as u64 {
        let mut router = registry.router();
        router.process_timeouts(ms(990));
        let failed_at_ms = 1_000 + host * 13;
        open_flows_at_upstream_1(&mut router, 2, failed_at_ms);
        router.process_timeouts(ms(failed_at_ms + 90));
        for step in 0..300_u32 {
            let at_ms = failed_at_ms + 100 + u64::from(step) * 10;
            router.process_timeouts(ms(at_ms));
            let caller = 1_000 + step;
            let packet = syn_packet(flow_key(caller, DESK_ROUTE), 0);
            match routed_tag(&mut router, &packet, ms(at_ms)) {
                1 => probes += 1,
                tag => answer_opening(&mut router, caller, tag, at_ms + 3),
            }
        }
    }
    // Three seconds: about one probe a second of the whole data centre, not of each host.
    assert!((1..=HOST_COUNT).contains(&probes), "{probes} probes of {HOST_COUNT} hosts in 3 s");
}
