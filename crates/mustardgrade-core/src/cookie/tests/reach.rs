//! Data centres that are cut off, told from upstreams that fail one by one.

use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::world::{DESK, World, cookie, data, key, ms, syn, target, upstream};
use crate::cookie::{CookieRouter, CookieVerdict, FlowEvent, PeerLoads, ResetCause};

/// Upstreams of data centre `b`; those of `c` follow them.
const IN_B: std::ops::Range<u64> = 1..41;
const IN_C: std::ops::Range<u64> = 41..81;

/// A host in `a`, where nothing runs, with upstreams in `b` and `c`.
fn world() -> World {
    let mut world = World::new();
    world.add("desk", "b", IN_B);
    world.add("desk", "c", IN_C);
    world
}

fn router(world: &World) -> CookieRouter {
    let mut router = world.router();
    router.sweep(ms(990));
    router
}

/// Lets the router conclude from what it has seen.
fn look(router: &mut CookieRouter, at: u64) {
    let _report = router.load_report(ms(at));
}

/// Opens a flow; the upstream answers if `lives` says so. Returns the upstream.
fn open(router: &mut CookieRouter, caller: u32, at: u64, lives: impl Fn(u64) -> bool) -> u64 {
    let tag = target(router, &syn(key(caller, DESK), 0), ms(at));
    if lives(tag) {
        let service = if IN_B.contains(&tag) { "b" } else { "c" };
        let cookie = cookie(&upstream("desk", service, tag));
        router.route(&data(key(caller, DESK), cookie, 101, 1, 0), ms(at + 3));
    }
    tag
}

/// Opens `count` flows within 20 ms and looks at what is missing 90 ms later.
fn first_flows(router: &mut CookieRouter, count: u32, lives: impl Fn(u64) -> bool + Copy) {
    for caller in 0..count {
        open(router, caller, 1_000 + u64::from(caller % 20), lives);
    }
    router.sweep(ms(1_060));
    router.sweep(ms(1_110));
    look(router, 1_111);
}

/// Returns how many of 60 new flows go to `b`.
fn flows_to_b(router: &mut CookieRouter, at: u64, lives: impl Fn(u64) -> bool + Copy) -> usize {
    let tags = (0..60).map(|step| open(router, 5_000 + step, at + u64::from(step), lives));
    tags.filter(|tag| IN_B.contains(tag)).count()
}

#[test]
fn few_flows_show_that_a_data_centre_is_cut_off() {
    let world = world();
    let mut router = router(&world);
    let lives = |tag| IN_C.contains(&tag);
    first_flows(&mut router, 14, lives);
    let mut events = Vec::new();
    router.take_events(&mut events);
    let lost = events.iter().any(|event| matches!(event, FlowEvent::CentreLost { .. }));
    assert!(lost, "{events:?}");
    assert!(flows_to_b(&mut router, 1_120, lives) <= 1);
}

#[test]
fn hosts_of_a_data_centre_put_together_what_each_has_seen() {
    let world = world();
    let (mut one, mut other) = (router(&world), router(&world));
    let mut next = 0;
    for router in [&mut one, &mut other] {
        let mut silent = 0;
        while silent < 2 {
            silent += usize::from(IN_B.contains(&open(router, next, 1_000, |t| IN_C.contains(&t))));
            next += 1;
        }
        router.sweep(ms(1_060));
        router.sweep(ms(1_090));
    }
    let report = other.load_report(ms(1_091));
    look(&mut one, 1_092);
    let mut alone = Vec::new();
    one.take_events(&mut alone);
    assert!(!alone.iter().any(|event| matches!(event, FlowEvent::CentreLost { .. })));
    let mut peers = PeerLoads::default();
    peers.add(&report, ms(1_093));
    one.install_loads(Arc::new(peers));
    look(&mut one, 1_142);
    assert!(flows_to_b(&mut one, 1_150, |tag| IN_C.contains(&tag)) <= 1);
}

#[test]
fn one_answer_speaks_for_a_whole_data_centre() {
    let world = world();
    let mut router = router(&world);
    let lives = |tag| IN_C.contains(&tag);
    first_flows(&mut router, 14, lives);
    // The cut ends: the next trial is answered.
    let tags: Vec<u64> = (100..400)
        .map(|caller| open(&mut router, caller, 1_900 + u64::from(caller), |_| true))
        .collect();
    assert!(tags.iter().any(|tag| IN_B.contains(tag)));
    look(&mut router, 2_400);
    assert!(flows_to_b(&mut router, 2_401, |_| true) >= 15);
}

#[test]
fn answer_that_is_acknowledged_late_is_no_sign_of_life() {
    let world = world();
    let mut router = router(&world);
    // An answer of before the cut, which the caller acknowledges with its next request only.
    let chatty = key(9_000, DESK);
    let tag = target(&mut router, &syn(chatty, 0), ms(500));
    let home = cookie(&upstream("desk", "b", tag));
    router.route(&data(chatty, home, 101, 1, 0), ms(502));
    router.route(&data(chatty, home, 101, 1, 90), ms(503));
    let same = if IN_B.contains(&tag) { IN_B } else { IN_C };
    let lives = |tag| !same.contains(&tag);
    first_flows(&mut router, 14, lives);
    router.route(&data(chatty, home, 191, 2_001, 90), ms(1_115));
    look(&mut router, 1_116);
    let tags = (0..60).map(|step| open(&mut router, 5_000 + step, 1_120 + u64::from(step), lives));
    assert!(tags.filter(|tag| same.contains(tag)).count() <= 1);
}

#[test]
fn request_on_an_idle_flow_into_the_cut_does_not_wait() {
    let world = world();
    let mut router = router(&world);
    // An idle flow at an upstream that nobody has asked since the cut.
    let idle = key(9_000, DESK);
    let tag = target(&mut router, &syn(idle, 0), ms(992));
    let home = cookie(&upstream("desk", "b", tag));
    router.route(&data(idle, home, 101, 1, 0), ms(994));
    let same = if IN_B.contains(&tag) { IN_B } else { IN_C };
    let lives = |tag| !same.contains(&tag);
    first_flows(&mut router, 90, lives);
    for step in 0..8 {
        open(&mut router, 700 + step, 1_120 + u64::from(step) * 50, lives);
        router.sweep(ms(1_130 + u64::from(step) * 50));
        look(&mut router, 1_131 + u64::from(step) * 50);
    }
    let verdict = router.route(&data(idle, home, 101, 1, 90), ms(1_500));
    assert_eq!(verdict, CookieVerdict::Reset(ResetCause::UpstreamSilent));
}

/// Plays a third of all upstreams crashing at once, with a new flow each `pause` milliseconds or so
/// and requests on idle flows at living upstreams; returns whether a data centre was taken for cut
/// off.
fn crash_of_a_third(seed: u64, pause: u64) -> bool {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let world = world();
    let mut router = router(&world);
    let crashed: Vec<bool> = (0..81).map(|_| rng.random_ratio(1, 3)).collect();
    let (mut open_flows, mut at) = (Vec::new(), 1_000);
    for caller in 0..600 {
        at += rng.random_range(pause..pause * 6);
        let lives = |tag: u64| at < 1_500 || !crashed[tag as usize];
        open_flows.push((caller, open(&mut router, caller, at, lives)));
        let (caller, tag) = open_flows[rng.random_range(0..open_flows.len())];
        if lives(tag) {
            let home = cookie(&upstream("desk", "b", tag));
            let flow = key(caller, DESK);
            let verdict = router.route(&data(flow, home, 101, 1, 90), ms(at));
            assert!(matches!(verdict, CookieVerdict::Forward { .. }), "seed {seed}, {at} ms");
            router.route(&data(flow, home, 191, 2_001, 0), ms(at + 1));
        }
        router.sweep(ms(at + 1));
        look(&mut router, at + 1);
    }
    router.counters().centres_lost > 0
}

#[test]
fn upstreams_that_crash_together_do_not_speak_for_the_living() {
    for seed in 0..200 {
        assert!(!crash_of_a_third(seed, 2), "seed {seed}");
        // With few flows the data centre may look lost for a while, but no open flow is given up.
        crash_of_a_third(seed, 40);
    }
}
