//! Evidence that an upstream is silent: what a stalled host, other hosts and the past contribute.

use super::fixtures::{
    DESK_ROUTE, TestRegistry, cookie_of, established_packet, flow_key, ms, routed_tag, syn_packet,
    upstream_registration,
};
use crate::cookie::{CookiePacket, CookieRouter, FlowCookie, LoadEntry, LoadReport};

fn cookie_of_upstream_1() -> FlowCookie {
    cookie_of(&upstream_registration("desk", "a", 1))
}

/// Returns a request of `caller` on an open flow to upstream 1.
fn request_to_1(caller: u32) -> CookiePacket {
    established_packet(flow_key(caller, DESK_ROUTE), cookie_of_upstream_1(), 101, 1, 200)
}

/// Returns a report that lists upstream 1 only.
fn report_of_1(unanswered_flows: u16, unanswered_age_ms: u16, alive_age_ms: u16) -> LoadReport {
    let entry = LoadEntry {
        cookie: cookie_of_upstream_1(),
        in_flight: 0,
        unanswered_flows,
        unanswered_age_ms,
        alive_age_ms,
    };
    LoadReport { entries: vec![entry], ..LoadReport::default() }
}

fn router_with_two_upstreams() -> CookieRouter {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..3);
    let mut router = registry.router();
    router.process_timeouts(ms(990));
    router
}

/// Guards against resets by other hosts after a host was suspended: callers of the openings that
/// waited in its socket are gone, so no answer to them ever shows.
#[test]
fn openings_that_waited_for_a_stalled_host_are_no_evidence() {
    let mut router = router_with_two_upstreams();
    for caller in 0..12 {
        router.route(&syn_packet(flow_key(caller, DESK_ROUTE), 0), ms(3_000));
    }
    for at_ms in [3_010, 3_050, 3_090, 3_130] {
        router.process_timeouts(ms(at_ms));
    }
    assert_eq!(router.counters().suspicions_raised, 0);
    assert_eq!(router.counters().openings_delayed, 12);
    assert!(!router.load_report(ms(3_130)).has_unanswered());
    assert_eq!(router.trackers().iter().map(|tracker| tracker.in_flight()).sum::<u32>(), 0);
}

/// Guards against an opening that a stalled host sends to two upstreams, since its retransmission
/// waited right behind it.
#[test]
fn retransmission_that_waited_with_its_opening_goes_to_the_same_upstream() {
    let mut router = router_with_two_upstreams();
    for caller in 0..12 {
        let tag = routed_tag(&mut router, &syn_packet(flow_key(caller, DESK_ROUTE), 0), ms(3_000));
        let retransmission = syn_packet(flow_key(caller, DESK_ROUTE), 1);
        assert_eq!(routed_tag(&mut router, &retransmission, ms(3_004)), tag);
    }
    assert_eq!(router.counters().openings_redirected, 0);
}

/// Guards against a host that is short of processor time and takes upstreams for silent because
/// requests and their retransmissions wait in its socket, before the callers' acknowledgements.
#[test]
fn retransmission_that_waited_with_its_request_is_no_evidence() {
    let mut router = router_with_two_upstreams();
    for caller in 1..9 {
        let ack =
            established_packet(flow_key(caller, DESK_ROUTE), cookie_of_upstream_1(), 101, 1, 0);
        router.route(&ack, ms(1_000));
        router.route(&request_to_1(caller), ms(1_000));
    }
    for caller in 1..9 {
        router.route(&request_to_1(caller), ms(1_200));
    }
    router.process_timeouts(ms(1_210));
    assert_eq!(router.counters().suspicions_raised, 0);
    // A retransmission that was received later than that is evidence.
    for caller in 1..3 {
        router.route(&request_to_1(caller), ms(1_220));
    }
    assert_eq!(router.counters().suspicions_raised, 1);
}

/// Guards against a woken host that tells others of an upstream as alive, although it crashed while
/// the host was suspended.
#[test]
fn delayed_answer_does_not_show_that_the_upstream_is_alive_now() {
    let mut router = router_with_two_upstreams();
    router.route(
        &established_packet(flow_key(1, DESK_ROUTE), cookie_of_upstream_1(), 101, 1, 0),
        ms(1_000),
    );
    router.process_timeouts(ms(1_010));
    router.route(
        &established_packet(flow_key(1, DESK_ROUTE), cookie_of_upstream_1(), 101, 900, 0),
        ms(3_000),
    );
    assert_eq!(router.trackers()[0].last_alive, ms(1_010));
}

#[test]
fn ages_in_a_report_grow_until_it_is_sent() {
    let mut report = report_of_1(4, 100, u16::MAX - 5);
    report.add_age(ms(250));
    let entry = report.entries[0];
    assert_eq!((entry.unanswered_age_ms, entry.alive_age_ms), (350, u16::MAX));
}
