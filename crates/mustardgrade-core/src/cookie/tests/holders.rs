//! The upstream that holds a flow whose opening two upstreams have answered.

use std::sync::Arc;

use super::fixtures::{
    DESK_ROUTE, TestRegistry, cookie_of, established_packet, flow_key, ms, routed_tag, syn_packet,
    upstream_registration,
};
use crate::cookie::{
    CookiePacket, CookieRouter, FlowCookie, FlowEvent, FlowHolder, PeerHolders, PeerLoads,
};
use crate::flow::FlowKey;

/// Number of the first byte that the holder has sent after its answer to the opening.
const HOLDER_NUMBER: u32 = 5_001;

/// `DoubleOpening` is a flow whose transmissions have been forwarded to two upstreams.
struct DoubleOpening {
    router: CookieRouter,
    key: FlowKey,
    first_tag: u64,
    second_tag: u64,
}

impl DoubleOpening {
    /// Opens a flow whose first transmission is not answered; the copy goes elsewhere.
    fn new() -> Self {
        let mut registry = TestRegistry::new();
        registry.add_upstreams("desk", "a", 1..9);
        let mut router = registry.router();
        router.process_timeouts(ms(1_000));
        let key = flow_key(1, DESK_ROUTE);
        let first_tag = routed_tag(&mut router, &syn_packet(key, 0), ms(1_000));
        router.process_timeouts(ms(1_199));
        let second_tag = routed_tag(&mut router, &syn_packet(key, 1), ms(1_200));
        assert_ne!(first_tag, second_tag);
        Self { router, key, first_tag, second_tag }
    }

    fn packet(&self, tag: u64, sequence: u32, number: u32, payload: u16) -> CookiePacket {
        established_packet(self.key, cookie_of_tag(tag), sequence, number, payload)
    }

    /// Routes a packet that carries the cookie of `tag`; returns the upstream it is forwarded to.
    fn route(&mut self, tag: u64, sequence: u32, number: u32, payload: u16, at_ms: u64) -> u64 {
        let packet = self.packet(tag, sequence, number, payload);
        self.router.process_timeouts(ms(at_ms - 1));
        routed_tag(&mut self.router, &packet, ms(at_ms))
    }
}

fn cookie_of_tag(tag: u64) -> FlowCookie {
    cookie_of(&upstream_registration("desk", "a", tag))
}

/// Guards against an open flow that is led to the upstream of the copy, which resets it, since that
/// of the first transmission has answered late and was accepted.
#[test]
fn flow_stays_with_the_upstream_of_the_first_transmission() {
    let mut flow = DoubleOpening::new();
    let (first, second) = (flow.first_tag, flow.second_tag);
    assert_eq!(flow.route(first, 101, HOLDER_NUMBER, 0, 1_203), first);
    assert_eq!(flow.route(first, 101, HOLDER_NUMBER, 50, 1_204), first);
    assert_eq!(flow.route(first, 151, HOLDER_NUMBER + 90, 0, 1_260), first);
    // The other upstream repeats its answer to the opening; then the caller pauses.
    assert_eq!(flow.route(second, 151, HOLDER_NUMBER + 90, 50, 6_760), first);
    let mut events = Vec::new();
    flow.router.take_events(&mut events);
    let (key, from, to) = (flow.key, cookie_of_tag(second), cookie_of_tag(first));
    assert!(events.contains(&FlowEvent::CookieCorrected { key, from, to }));
    assert_eq!(flow.router.counters().cookies_corrected, 1);
}

/// Guards against the same if the copy was accepted.
#[test]
fn flow_stays_with_the_upstream_of_the_copy() {
    let mut flow = DoubleOpening::new();
    let (first, second) = (flow.first_tag, flow.second_tag);
    assert_eq!(flow.route(second, 101, HOLDER_NUMBER, 0, 1_203), second);
    assert_eq!(flow.route(first, 101, HOLDER_NUMBER, 50, 6_760), second);
}

/// Guards against the same if this host has forwarded the copy only: the routers have moved the
/// flow from another host, which forwarded the first transmission.
#[test]
fn flow_stays_with_the_upstream_that_another_host_has_chosen() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..9);
    for retransmission in [0, 1, 2] {
        let mut router = registry.router();
        router.process_timeouts(ms(1_000));
        let key = flow_key(1, DESK_ROUTE);
        let own_tag = routed_tag(&mut router, &syn_packet(key, retransmission), ms(1_000));
        let holder = own_tag % 8 + 1;
        let accept = established_packet(key, cookie_of_tag(holder), 101, HOLDER_NUMBER, 0);
        assert_eq!(routed_tag(&mut router, &accept, ms(1_010)), holder);
        let request = established_packet(key, cookie_of_tag(own_tag), 101, HOLDER_NUMBER, 50);
        assert_eq!(routed_tag(&mut router, &request, ms(6_000)), holder);
    }
}

/// Guards against the same if this host has seen neither the opening nor its acceptance: it has
/// forwarded a request, which the upstream has answered.
#[test]
fn flow_stays_with_the_upstream_that_has_answered_a_request() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..9);
    let mut router = registry.router();
    router.process_timeouts(ms(1_000));
    let key = flow_key(1, DESK_ROUTE);
    let mut route = |tag, sequence, number, payload, at_ms| {
        let packet = established_packet(key, cookie_of_tag(tag), sequence, number, payload);
        router.process_timeouts(ms(at_ms - 1));
        routed_tag(&mut router, &packet, ms(at_ms))
    };
    assert_eq!(route(3, 901, 7_000, 50, 1_010), 3);
    // Without an answer, the cookie alone says nothing.
    assert_eq!(route(4, 901, 7_000, 50, 1_210), 4);
    assert_eq!(route(3, 901, 7_000, 50, 1_610), 3);
    assert_eq!(route(3, 951, 7_200, 0, 1_660), 3);
    assert_eq!(route(4, 951, 7_200, 50, 5_000), 3);
}

/// Guards against a reset of a slow request: its upstream has not answered for over a second, and
/// the caller repeats the packet with the cookie of the other one.
#[test]
fn slow_request_stays_with_the_holder() {
    let mut flow = DoubleOpening::new();
    let (first, second) = (flow.first_tag, flow.second_tag);
    flow.route(first, 101, HOLDER_NUMBER, 0, 1_203);
    for at_ms in [3_000, 3_200, 3_600, 4_400, 6_000, 7_600] {
        assert_eq!(flow.route(second, 101, HOLDER_NUMBER, 50, at_ms), first, "{at_ms}");
    }
}

/// Guards against a reset because of a packet that was overtaken by a later one.
#[test]
fn overtaken_packet_goes_to_the_holder() {
    let mut flow = DoubleOpening::new();
    let (first, second) = (flow.first_tag, flow.second_tag);
    flow.route(first, 101, HOLDER_NUMBER, 0, 1_203);
    assert_eq!(flow.route(first, 101, HOLDER_NUMBER + 2_400, 0, 1_300), first);
    assert_eq!(flow.route(second, 101, HOLDER_NUMBER + 1_200, 0, 1_301), first);
}

/// Guards against packets of a later flow from the same port at the upstream of the earlier one.
#[test]
fn later_flow_from_the_port_goes_to_its_own_upstream() {
    for (sequence, number) in [(0x7000_0101, HOLDER_NUMBER), (101, 0x7000_0101)] {
        let mut flow = DoubleOpening::new();
        let (first, second) = (flow.first_tag, flow.second_tag);
        flow.route(first, 101, HOLDER_NUMBER, 0, 1_203);
        assert_eq!(flow.route(second, sequence, number, 50, 1_300), second);
    }
}

/// Guards against a wrong holder if the caller's packet has waited at this host: the flow may have
/// been opened through another host meanwhile.
#[test]
fn delayed_packet_is_no_acceptance() {
    let mut flow = DoubleOpening::new();
    let (first, second) = (flow.first_tag, flow.second_tag);
    let packet = flow.packet(first, 101, HOLDER_NUMBER, 0);
    flow.router.route_received(&packet, ms(1_203), ms(1_503));
    assert_eq!(flow.route(second, 101, HOLDER_NUMBER, 50, 1_510), second);
}

/// Installs holders that another host has told of at 1,300 ms.
fn install_holders(router: &mut CookieRouter, holders: &[FlowHolder]) {
    let mut known = PeerHolders::default();
    known.record(holders, ms(1_300));
    let mut loads = PeerLoads::default();
    loads.set_holders(&Arc::new(known));
    router.install_peer_loads(Arc::new(loads));
}

/// Guards against a reset of a flow that the fabric has moved to another host, while its caller
/// returns the cookie of the upstream that does not hold it.
#[test]
fn flow_that_moves_to_another_host_stays_with_its_holder() {
    let mut flow = DoubleOpening::new();
    let (first, second) = (flow.first_tag, flow.second_tag);
    flow.route(first, 101, HOLDER_NUMBER, 0, 1_203);
    let holders = flow.router.load_report(ms(1_300)).holders;
    assert_eq!(holders.len(), 1);
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..9);
    for (knows_holder, sequence, expected) in
        [(true, 151, first), (false, 151, second), (true, 0x7000_0151, second)]
    {
        let mut other_host = registry.router();
        if knows_holder {
            install_holders(&mut other_host, &holders);
        }
        let packet = flow.packet(second, sequence, HOLDER_NUMBER + 90, 50);
        let tag = routed_tag(&mut other_host, &packet, ms(6_760));
        assert_eq!(tag, expected, "{knows_holder} {sequence}");
    }
}

/// Guards against the same if the other host has forwarded a transmission of the opening.
#[test]
fn acceptance_that_passed_another_host_names_the_holder() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..9);
    let (mut host, mut other_host) = (registry.router(), registry.router());
    host.process_timeouts(ms(1_000));
    let key = flow_key(1, DESK_ROUTE);
    let tag = routed_tag(&mut host, &syn_packet(key, 1), ms(1_000));
    let holder = tag % 8 + 1;
    let accept = established_packet(key, cookie_of_tag(holder), 101, HOLDER_NUMBER, 0);
    routed_tag(&mut host, &accept, ms(1_010));
    routed_tag(&mut other_host, &syn_packet(key, 2), ms(1_020));
    install_holders(&mut other_host, &host.load_report(ms(1_100)).holders);
    let request = established_packet(key, cookie_of_tag(tag), 101, HOLDER_NUMBER, 50);
    assert_eq!(routed_tag(&mut other_host, &request, ms(1_400)), holder);
}

/// Guards against messages about flows of which one upstream only has received the opening, and
/// against holders that other hosts miss since one datagram is lost.
#[test]
fn holders_of_contested_flows_only_are_told_three_times() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..9);
    let mut router = registry.router();
    router.process_timeouts(ms(1_000));
    let open = |router: &mut CookieRouter, caller, transmissions: &[u32]| {
        let key = flow_key(caller, DESK_ROUTE);
        let mut tag = 0;
        for transmission in transmissions {
            let at_ms = 1_000 + u64::from(*transmission) * 200;
            router.process_timeouts(ms(at_ms - 1));
            tag = routed_tag(router, &syn_packet(key, *transmission), ms(at_ms));
        }
        let accept = established_packet(key, cookie_of_tag(tag), 101, HOLDER_NUMBER, 0);
        router.process_timeouts(ms(1_449));
        routed_tag(router, &accept, ms(1_450));
        key
    };
    open(&mut router, 1, &[0]);
    let redirected = open(&mut router, 2, &[0, 1]);
    let moved_here = open(&mut router, 3, &[2]);
    for at_ms in [1_500, 1_600, 1_700] {
        let holders = router.load_report(ms(at_ms)).holders;
        let keys: Vec<FlowKey> = holders.iter().map(|holder| holder.key).collect();
        assert_eq!(keys, [redirected, moved_here], "{at_ms}");
    }
    assert_eq!(router.load_report(ms(1_800)).holders, []);
}

/// Guards against messages that exceed a datagram when many openings are sent to a second upstream.
#[test]
fn many_holders_are_told_in_several_messages() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..9);
    let mut router = registry.router();
    router.process_timeouts(ms(1_000));
    for caller in 0..100 {
        let key = flow_key(caller, DESK_ROUTE);
        let tag = routed_tag(&mut router, &syn_packet(key, 1), ms(1_000));
        let accept = established_packet(key, cookie_of_tag(tag), 101, HOLDER_NUMBER, 0);
        routed_tag(&mut router, &accept, ms(1_010));
    }
    let mut times_told = std::collections::HashMap::new();
    for message in 0..12 {
        let holders = router.load_report(ms(1_100 + message * 100)).holders;
        assert!(holders.len() <= 32);
        for holder in holders {
            *times_told.entry(holder.key).or_insert(0) += 1;
        }
    }
    assert_eq!(times_told.len(), 100);
    assert!(times_told.values().all(|times| *times == 3));
}
