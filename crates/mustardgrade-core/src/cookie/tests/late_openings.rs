//! Openings that cannot be forwarded, whose flow may be open through another host.

use super::fixtures::{
    ARCHIVE_ROUTE, DESK_ROUTE, TestRegistry, cookie_of, established_packet, flow_key, ms,
    routed_tag, syn_packet, upstream_registration,
};
use crate::cookie::{CookieDropCause, CookieRouter, CookieVerdict, ResetCause};
use crate::flow::FlowKey;

const SILENCE: CookieVerdict = CookieVerdict::Drop(CookieDropCause::MayBeOpen);
const NO_UPSTREAM: CookieVerdict = CookieVerdict::Reset(ResetCause::NoUpstream);

/// Returns a router with upstreams of `desk` only; its socket was empty at 1,000 ms.
fn router_without_archive() -> CookieRouter {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..3);
    let mut router = registry.router();
    router.process_timeouts(ms(1_000));
    router
}

fn archive_flow() -> FlowKey {
    flow_key(1, ARCHIVE_ROUTE)
}

/// Guards against a reset by a stalled host of a flow that a retransmission has opened elsewhere.
#[test]
fn refused_opening_that_waited_at_a_stalled_host_is_not_reset() {
    let mut router = router_without_archive();
    assert_eq!(router.route(&syn_packet(archive_flow(), 0), ms(1_160)), SILENCE);
    router.process_timeouts(ms(1_170));
    // This host has received all transmissions, and the latest has not waited.
    assert_eq!(router.route(&syn_packet(archive_flow(), 1), ms(1_180)), NO_UPSTREAM);
}

/// Guards against a reset of a flow whose original was delayed at the host that had it before.
#[test]
fn refused_retransmission_of_an_opening_that_passed_another_host_is_not_reset() {
    let mut router = router_without_archive();
    assert_eq!(router.route(&syn_packet(archive_flow(), 1), ms(1_010)), SILENCE);
    assert_eq!(router.route(&syn_packet(archive_flow(), 2), ms(1_020)), SILENCE);
    let unknown_route = flow_key(2, "198.18.0.9:443".parse().expect("valid socket address"));
    assert_eq!(router.route(&syn_packet(unknown_route, 1), ms(1_030)), SILENCE);
}

#[test]
fn refused_opening_that_did_not_wait_is_reset_each_time() {
    let mut router = router_without_archive();
    for retransmission in [0, 0, 1, 2] {
        let opening = syn_packet(archive_flow(), retransmission);
        assert_eq!(router.route(&opening, ms(1_010)), NO_UPSTREAM);
    }
    assert_eq!(router.counters().flows_refused, 4);
}

/// Guards against a memory of refused openings that ends the attempt of a later flow, or grows.
#[test]
fn refused_openings_are_forgotten() {
    let mut router = router_without_archive();
    assert_eq!(router.route(&syn_packet(archive_flow(), 0), ms(1_010)), NO_UPSTREAM);
    router.process_timeouts(ms(5_000));
    assert_eq!(router.route(&syn_packet(archive_flow(), 1), ms(5_010)), SILENCE);
}

/// Guards against a second upstream that answers an open flow, since its original came late.
#[test]
fn original_opening_of_an_open_flow_is_not_assigned_again() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..9);
    let mut router = registry.router();
    router.process_timeouts(ms(1_000));
    for caller in 0..32 {
        let key = flow_key(caller, DESK_ROUTE);
        let cookie = cookie_of(&upstream_registration("desk", "a", 3));
        router.route(&established_packet(key, cookie, 101, 1, 10), ms(1_010));
        let late_verdict = router.route(&syn_packet(key, 0), ms(1_020));
        assert_eq!(late_verdict, CookieVerdict::Drop(CookieDropCause::AlreadyOpen));
        let mut reused = syn_packet(key, 0);
        reused.segment.sequence = 0x7000_0000;
        routed_tag(&mut router, &reused, ms(1_030));
    }
}

#[test]
fn busy_host_still_refuses_at_once() {
    let mut router = router_without_archive();
    // The host has never rested since 1,000 ms: a packet is routed each 5 ms, as soon as it has come.
    for step in 1..81 {
        let cookie = cookie_of(&upstream_registration("desk", "a", 1));
        let packet = established_packet(flow_key(9, DESK_ROUTE), cookie, 101, 1, 0);
        router.route_received(&packet, ms(995 + step * 5), ms(1_000 + step * 5));
    }
    let opening = syn_packet(archive_flow(), 0);
    assert_eq!(router.route_received(&opening, ms(1_395), ms(1_400)), NO_UPSTREAM);
}

/// Guards against a reset by an overloaded host of a flow that a retransmission has opened elsewhere.
#[test]
fn refused_opening_that_waited_at_an_overloaded_host_is_not_reset() {
    let mut router = router_without_archive();
    for step in 0..80 {
        let cookie = cookie_of(&upstream_registration("desk", "a", 1));
        let packet = established_packet(flow_key(9, DESK_ROUTE), cookie, 101, 1, 0);
        router.route(&packet, ms(1_000 + step * 5));
    }
    assert_eq!(router.route(&syn_packet(archive_flow(), 0), ms(1_400)), SILENCE);
}

#[test]
fn shed_opening_is_refused_at_its_retransmission() {
    let mut router = router_without_archive();
    router.shed_opening(&syn_packet(archive_flow(), 0), ms(1_120));
    let retransmission = syn_packet(archive_flow(), 1);
    assert_eq!(router.route_received(&retransmission, ms(1_200), ms(1_205)), NO_UPSTREAM);
}
