//! Upstreams that fall silent, and copies of openings.

use std::sync::Arc;

use super::world::{DESK, REGISTER, World, cookie, data, key, ms, syn, target, upstream};
use crate::cookie::{
    CookieRouter, CookieVerdict, FabricKind, FlowEvent, LoadEntry, LoadReport, PeerLoads,
    ResetCause,
};

/// Lets upstream `tag` answer the opening of `caller`.
fn answer(router: &mut CookieRouter, caller: u32, tag: u64, at: u64) {
    let packet = data(key(caller, DESK), cookie(&upstream("desk", "a", tag)), 101, 1, 0);
    assert_eq!(target(router, &packet, ms(at)), tag);
}

/// Opens a flow of `caller` at the upstream that is not suspected, and lets that answer.
fn open_and_answer(router: &mut CookieRouter, caller: u32, at: u64) {
    assert_eq!(target(router, &syn(key(caller, DESK), 0), ms(at - 4)), 2);
    answer(router, caller, 2, at);
}

/// Opens flows until `count` of them are at upstream 1, and answers those at others.
fn open_at_first(router: &mut CookieRouter, count: usize, at: u64) -> Vec<u32> {
    let mut callers = Vec::new();
    for caller in 0.. {
        let tag = target(router, &syn(key(caller, DESK), 0), ms(at));
        match tag {
            1 => callers.push(caller),
            _ => answer(router, caller, tag, at + 3),
        }
        if callers.len() == count {
            return callers;
        }
    }
    unreachable!("callers are numbered without end")
}

#[test]
fn silent_upstream_gets_no_more_flows_before_the_second_copy() {
    let mut world = World::new();
    world.add("desk", "a", 1..4);
    let mut router = world.router();
    router.sweep(ms(990));
    let waiting = open_at_first(&mut router, 2, 1_000);
    router.sweep(ms(1_050));
    router.sweep(ms(1_090));
    let mut events = Vec::new();
    router.take_events(&mut events);
    assert!(events.iter().any(|event| matches!(event, FlowEvent::Suspected { .. })));
    for caller in 100..140 {
        let tag = target(&mut router, &syn(key(caller, DESK), 0), ms(1_100));
        assert_ne!(tag, 1);
        answer(&mut router, caller, tag, 1_103);
    }
    // The copies of the openings that wait go elsewhere as well.
    for caller in &waiting {
        let tag = target(&mut router, &syn(key(*caller, DESK), 1), ms(1_200));
        assert_ne!(tag, 1);
        answer(&mut router, *caller, tag, 1_203);
    }
    assert_eq!(router.counters().redirected, 2);
}

#[test]
fn sign_of_life_ends_the_suspicion() {
    let mut world = World::new();
    world.add("desk", "a", 1..3);
    let mut router = world.router();
    router.sweep(ms(990));
    let waiting = open_at_first(&mut router, 2, 1_000);
    router.sweep(ms(1_050));
    router.sweep(ms(1_090));
    answer(&mut router, waiting[0], 1, 1_095);
    let open = (200..220)
        .filter(|caller| target(&mut router, &syn(key(*caller, DESK), 0), ms(1_100)) == 1);
    assert!(open.count() > 0);
}

#[test]
fn copy_stays_with_an_upstream_that_shows_life() {
    let mut world = World::new();
    world.add("desk", "a", 1..4);
    let mut router = world.router();
    router.sweep(ms(990));
    let waiting = open_at_first(&mut router, 2, 1_000);
    answer(&mut router, waiting[1], 1, 1_150);
    // Two upstreams that answer one opening would leave the caller with a cookie of the wrong one.
    assert_eq!(target(&mut router, &syn(key(waiting[0], DESK), 1), ms(1_200)), 1);
}

#[test]
fn cookie_of_the_caller_decides_where_a_redirected_flow_opened() {
    let mut world = World::new();
    world.add("desk", "a", 1..3);
    let mut router = world.router();
    let waiting = open_at_first(&mut router, 1, 1_000);
    assert_eq!(target(&mut router, &syn(key(waiting[0], DESK), 1), ms(1_200)), 2);
    answer(&mut router, waiting[0], 1, 1_205);
    let packet = data(key(waiting[0], DESK), cookie(&upstream("desk", "a", 1)), 101, 9, 50);
    assert_eq!(target(&mut router, &packet, ms(1_300)), 1);
}

#[test]
fn pause_of_the_host_itself_raises_no_suspicion() {
    let mut world = World::new();
    world.add("desk", "a", 1..3);
    let mut router = world.router();
    router.sweep(ms(990));
    open_at_first(&mut router, 3, 1_000);
    router.sweep(ms(4_000));
    assert_eq!(router.counters().suspicions, 0);
}

/// Lets `callers` open flows at upstream 1, send a request each, and send it again.
fn stuck_flows(router: &mut CookieRouter, callers: &[u32], service: std::net::SocketAddrV4) {
    let first = cookie(&upstream("desk", "a", 1));
    for caller in callers {
        router.route(&data(key(*caller, service), first, 101, 1, 0), ms(1_000));
        router.route(&data(key(*caller, service), first, 101, 1, 200), ms(1_010));
    }
    for caller in callers {
        router.route(&data(key(*caller, service), first, 101, 1, 200), ms(1_211));
    }
}

#[test]
fn flows_at_a_silent_upstream_are_reset_where_a_repeat_is_safe() {
    let mut world = World::new();
    world.add("desk", "a", 1..3);
    let mut router = world.router();
    stuck_flows(&mut router, &[1, 2, 3, 4], DESK);
    stuck_flows(&mut router, &[5], REGISTER);
    let first = cookie(&upstream("desk", "a", 1));
    let again = |caller, service| data(key(caller, service), first, 101, 1, 200);
    // Without an upstream that answers, this host's own links may be at fault.
    assert_eq!(target(&mut router, &again(1, DESK), ms(1_900)), 1);
    open_and_answer(&mut router, 50, 1_900);
    let verdict = router.route(&again(2, DESK), ms(1_950));
    assert_eq!(verdict, CookieVerdict::Reset(ResetCause::UpstreamSilent));
    assert_eq!(target(&mut router, &again(5, REGISTER), ms(1_950)), 1);
}

#[test]
fn upstream_that_answers_another_host_is_not_silent() {
    let mut world = World::new();
    world.add("desk", "a", 1..3);
    let mut router = world.router();
    stuck_flows(&mut router, &[1, 2, 3, 4], DESK);
    open_and_answer(&mut router, 50, 1_900);
    let first = cookie(&upstream("desk", "a", 1));
    let entry =
        LoadEntry { cookie: first, work: 1, unanswered: 0, waiting_ms: u16::MAX, alive_ms: 100 };
    let mut loads = PeerLoads::default();
    loads.add(
        &LoadReport { pressed: false, whole: true, stranded: false, entries: vec![entry] },
        ms(1_900),
    );
    router.install_loads(Arc::new(loads));
    assert_eq!(target(&mut router, &data(key(1, DESK), first, 101, 1, 200), ms(1_950)), 1);
}

#[test]
fn flow_without_a_request_out_is_never_reset() {
    let mut world = World::new();
    world.add("desk", "a", 1..3);
    let mut router = world.router();
    stuck_flows(&mut router, &[1, 2, 3, 4], DESK);
    open_and_answer(&mut router, 50, 1_900);
    let first = cookie(&upstream("desk", "a", 1));
    assert_eq!(target(&mut router, &data(key(9, DESK), first, 101, 1, 0), ms(1_950)), 1);
}

#[test]
fn ended_upstreams_do_not_draw_openings() {
    let mut world = World::new();
    world.add("desk", "a", 1..31);
    let mut router = world.router();
    router.sweep(ms(990));
    // Long flows everywhere; six upstreams have ended and leave openings without an answer.
    for caller in 0..90 {
        let tag = target(&mut router, &syn(key(caller, DESK), 0), ms(1_000));
        answer(&mut router, caller, tag, 1_003);
    }
    let mut lost = 0;
    for caller in 100..400 {
        let at = 2_000 + u64::from(caller);
        let tag = target(&mut router, &syn(key(caller, DESK), 0), ms(at));
        match tag <= 6 {
            true => lost += 1,
            false => answer(&mut router, caller, tag, at),
        }
        router.sweep(ms(at));
    }
    // Each of the six may be found out by two openings, and by one more a second.
    assert!(lost <= 18, "{lost} openings went to upstreams that had ended");
}

#[test]
fn new_request_on_an_idle_flow_of_a_silent_upstream_does_not_wait() {
    let mut world = World::new();
    world.add("desk", "a", 1..3);
    let mut router = world.router();
    let first = cookie(&upstream("desk", "a", 1));
    router.route(&data(key(7, DESK), first, 101, 1, 0), ms(900));
    stuck_flows(&mut router, &[1, 2, 3, 4], DESK);
    open_and_answer(&mut router, 50, 1_600);
    let request = data(key(7, DESK), first, 101, 1, 200);
    let verdict = router.route(&request, ms(1_650));
    assert_eq!(verdict, CookieVerdict::Reset(ResetCause::UpstreamSilent));
}

#[test]
fn data_centre_that_is_cut_off_costs_few_trials() {
    let mut world = World::new();
    world.add("desk", "b", 1..6);
    world.add("desk", "c", 6..9);
    let mut router = world.router();
    let mut lost = 0;
    for caller in 0..1_000 {
        let at = 1_000 + u64::from(caller) * 10;
        router.sweep(ms(at));
        let tag = target(&mut router, &syn(key(caller, DESK), 0), ms(at));
        match tag < 6 {
            true => lost += 1,
            false => answer_far(&mut router, caller, tag, at + 3),
        }
    }
    // Ten seconds of a cut: two openings at each of five upstreams, and trials after 1, 2, 4 s.
    assert!(lost <= 20, "{lost} of 1000 openings went into the cut");
}

fn answer_far(router: &mut CookieRouter, caller: u32, tag: u64, at: u64) {
    let packet = data(key(caller, DESK), cookie(&upstream("desk", "c", tag)), 101, 1, 0);
    assert_eq!(target(router, &packet, ms(at)), tag);
}

#[test]
fn openings_whose_callers_are_gone_are_no_work() {
    let mut world = World::new();
    world.add("desk", "a", 1..3);
    let mut router = world.router();
    router.sweep(ms(990));
    for caller in 0..20 {
        router.route(&syn(key(caller, DESK), 0), ms(1_000));
    }
    for at in (1_000..1_200).step_by(20) {
        router.sweep(ms(at));
    }
    assert_eq!(router.tracks().iter().map(|track| track.work()).sum::<u32>(), 0);
    // Neither counts a flow whose copy opens after all, nor one that is forgotten.
    let tag = router_target(&router, 3);
    answer(&mut router, 3, tag, 1_210);
    for at in (1_220..40_000).step_by(200) {
        router.sweep(ms(at));
    }
    let left: Vec<(u32, u32)> = router.tracks().iter().map(|t| (t.work(), t.open)).collect();
    assert_eq!(left, [(0, 0), (0, 0)]);
}

/// Returns the upstream that a caller's opening went to, by the hash that any host computes.
fn router_target(router: &CookieRouter, caller: u32) -> u64 {
    let mut fresh = CookieRouter::new(crate::cookie::CookieOptions::default());
    fresh.install(Arc::clone(router.snapshot()));
    target(&mut fresh, &syn(key(caller, DESK), 0), ms(1_000))
}

#[test]
fn host_that_reaches_no_upstream_says_so() {
    let mut world = World::new();
    world.add("desk", "b", 1..3);
    let mut router = world.router();
    for caller in 0..100 {
        let at = ms(1_000 + u64::from(caller) * 10);
        router.sweep(at);
        target(&mut router, &syn(key(caller, DESK), 0), at);
    }
    assert!(router.load_report(ms(2_000)).stranded);
    assert!(!router.load_report(ms(2_500)).stranded);
}

#[test]
fn fabric_that_scatters_packets_raises_no_suspicion() {
    let mut world = World::new();
    world.add("desk", "a", 1..5);
    let mut routers: Vec<CookieRouter> =
        (0..13).map(|_| world.router_behind(FabricKind::Any)).collect();
    let mut count = 0;
    let mut any = || {
        count += 7;
        count % 13
    };
    for caller in 0..2_000_u32 {
        let at = 1_000 + u64::from(caller) * 5;
        let flow = key(caller, DESK);
        let verdict = routers[any()].route(&syn(flow, 0), ms(at));
        let CookieVerdict::Forward { cookie, .. } = verdict else { panic!("{verdict:?}") };
        routers[any()].route(&data(flow, cookie, 101, 1, 0), ms(at + 2));
        routers[any()].route(&data(flow, cookie, 101, 1, 90), ms(at + 3));
        routers[any()].route(&data(flow, cookie, 191, 900, 0), ms(at + 70));
        for router in &mut routers {
            router.sweep(ms(at + 4));
        }
    }
    let late: u64 = routers.iter().map(|router| router.counters().suspicions).sum();
    assert_eq!(late, 0, "suspicions of upstreams that are well");
}

#[test]
fn what_others_waited_for_before_a_sign_of_life_counts_no_more() {
    let mut world = World::new();
    world.add("desk", "a", 1..3);
    let mut router = world.router();
    stuck_flows(&mut router, &[1], DESK);
    let first = cookie(&upstream("desk", "a", 1));
    // The others have waited since 1,100 ms; this host hears the upstream at 1,300 ms.
    let entry =
        LoadEntry { cookie: first, work: 1, unanswered: 9, waiting_ms: 900, alive_ms: u16::MAX };
    let mut peers = PeerLoads::default();
    let entries = vec![entry];
    let report = LoadReport { pressed: false, whole: false, stranded: false, entries };
    peers.add(&report, ms(2_000));
    router.install_loads(Arc::new(peers));
    router.route(&data(key(1, DESK), first, 301, 700, 0), ms(1_300));
    open_and_answer(&mut router, 50, 1_990);
    assert_eq!(target(&mut router, &data(key(1, DESK), first, 301, 700, 90), ms(2_000)), 1);
}
