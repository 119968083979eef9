//! Where new flows go.

use std::collections::BTreeMap;
use std::time::Duration;

use super::world::{
    ARCHIVE, DESK, World, cookie, data, key, ms, open_and_close, route, syn, target, upstream,
};
use crate::cookie::{CookieVerdict, LoadEntry, LoadReport, PeerLoads, ResetCause};
use crate::identity::{DataCentreId, ServiceId};
use crate::registry::{RegisteredState, RegistryKey, RegistryValue, RetryPolicy, RouteBackend};

#[test]
fn own_data_centre_comes_first() {
    let mut world = World::new();
    world.add("desk", "a", 1..4);
    world.add("desk", "b", 4..9);
    let mut router = world.router();
    for caller in 0..3 {
        assert!(target(&mut router, &syn(key(caller, DESK), 0), ms(10)) < 4);
    }
}

#[test]
fn full_data_centre_spills_over() {
    let mut world = World::new();
    world.add("desk", "a", 1..2);
    world.add("desk", "b", 4..6);
    let mut router = world.router();
    let mut counts: BTreeMap<u64, u32> = BTreeMap::new();
    for caller in 0..24 {
        *counts.entry(target(&mut router, &syn(key(caller, DESK), 0), ms(10))).or_default() += 1;
    }
    // Seven requests at four slots are still served in time; the rest finds the same elsewhere.
    let most = counts.values().max().copied().unwrap_or_default();
    let least = counts.values().min().copied().unwrap_or_default();
    assert!(counts[&1] >= 7 && most - least <= 3, "{counts:?}");
}

#[test]
fn work_of_other_hosts_counts() {
    let mut world = World::new();
    world.add("desk", "a", 1..3);
    let mut router = world.router();
    let busy = LoadEntry {
        cookie: cookie(&upstream("desk", "a", 1)),
        work: 6,
        unanswered: 0,
        waiting_ms: u16::MAX,
        alive_ms: 10,
    };
    let mut loads = PeerLoads::default();
    loads.add(
        &LoadReport { pressed: true, whole: true, stranded: false, entries: vec![busy] },
        ms(5),
    );
    router.install_loads(std::sync::Arc::new(loads));
    for caller in 0..6 {
        assert_eq!(target(&mut router, &syn(key(caller, DESK), 0), ms(10)), 2);
    }
}

#[test]
fn weights_share_out_new_flows() {
    let mut world = World::new();
    world.add("desk", "a", 1..2);
    world.add("archive", "a", 8..9);
    let mut split = route("desk", DESK, "desk", RetryPolicy::Idempotent);
    split.backends[0].weight = 90;
    split.backends.push(RouteBackend { service: ServiceId::from_name("archive"), weight: 10 });
    world.manifest(&[split]);
    let mut router = world.router();
    let mut archive = 0;
    for caller in 0..4_000 {
        archive += u32::from(open_and_close(&mut router, key(caller, DESK), ms(10)) == 8);
    }
    assert!((320..=480).contains(&archive), "{archive} of 4000 instead of 400");
}

#[test]
fn draining_and_evacuated_upstreams_get_no_new_flow_and_keep_their_flows() {
    let mut world = World::new();
    let mut draining = upstream("desk", "a", 1);
    draining.state = RegisteredState::Draining;
    world.report(&draining, ms(0));
    world.report(&upstream("desk", "b", 2), ms(0));
    world.report(&upstream("desk", "c", 3), ms(0));
    world.change(RegistryKey::Evacuation("b".to_owned()), RegistryValue::Evacuated, ms(1));
    let mut router = world.router();
    for caller in 0..16 {
        assert_eq!(open_and_close(&mut router, key(caller, DESK), ms(10)), 3);
    }
    for report in [&draining, &upstream("desk", "b", 2)] {
        let packet = data(key(99, DESK), cookie(report), 101, 1, 10);
        assert_eq!(target(&mut router, &packet, ms(20)), report.tag);
    }
}

#[test]
fn upstream_that_lapsed_in_an_outage_may_come_back() {
    let mut world = World::new();
    world.add("desk", "a", 1..2);
    world.remove(1, true, ms(1_000));
    let mut router = world.router();
    assert_eq!(target(&mut router, &syn(key(1, DESK), 0), ms(3_000)), 1);
    let late = router.route(&syn(key(2, DESK), 0), ms(3_300));
    assert_eq!(late, CookieVerdict::Reset(ResetCause::NoUpstream));
}

#[test]
fn cold_upstream_gets_nothing_while_a_warm_one_is_there() {
    let mut world = World::new();
    let mut cold = upstream("desk", "a", 1);
    cold.cold_remaining = Duration::from_secs(2);
    world.report(&cold, ms(0));
    world.add("desk", "b", 2..3);
    let mut router = world.router();
    for caller in 0..40 {
        assert_eq!(open_and_close(&mut router, key(caller, DESK), ms(10)), 2);
    }
    assert_eq!(target(&mut router, &syn(key(41, DESK), 0), ms(2_001)), 1);
}

#[test]
fn budget_of_a_cold_upstream_holds_over_all_hosts() {
    let mut world = World::new();
    let mut cold = upstream("archive", "a", 1);
    cold.cold_remaining = Duration::from_secs(60);
    world.report(&cold, ms(0));
    world.scope.hosts = 13;
    let mut routers: Vec<_> = (0..13).map(|_| world.router()).collect();
    let mut sent: Vec<u64> = Vec::new();
    for at in (0..20_000).step_by(20) {
        for (host, router) in routers.iter_mut().enumerate() {
            let key = key((at * 13 + host as u64) as u32, ARCHIVE);
            let verdict = router.route(&syn(key, 0), ms(at));
            if matches!(verdict, CookieVerdict::Forward { .. }) {
                sent.push(at);
            }
        }
    }
    let busiest = sent
        .iter()
        .map(|from| sent.iter().filter(|at| (*from..*from + 1_000).contains(*at)).count());
    // RULES, FAILBACK: the stated rate of 0 times 1.5, and 5.
    assert!(busiest.max().unwrap_or_default() <= 5 && !sent.is_empty());
}

#[test]
fn cold_upstreams_wait_until_the_hosts_are_counted() {
    let mut world = World::new();
    let mut cold = upstream("archive", "a", 1);
    cold.cold_remaining = Duration::from_secs(60);
    world.report(&cold, ms(0));
    world.scope.hosts = 0;
    let mut router = world.router();
    for at in 0..50 {
        let verdict = router.route(&syn(key(at, ARCHIVE), 0), ms(u64::from(at) * 100));
        assert_eq!(verdict, CookieVerdict::Reset(ResetCause::NoUpstream));
    }
}

#[test]
fn data_centre_that_returns_counts_as_cold() {
    let mut world = World::new();
    world.add("desk", "a", 1..2);
    world.add("desk", "b", 2..3);
    world.scope.returned.insert(DataCentreId::from_name("a"), ms(1_000));
    let mut router = world.router();
    assert_eq!(target(&mut router, &syn(key(1, DESK), 0), ms(1_100)), 2);
    assert_eq!(target(&mut router, &syn(key(2, DESK), 0), ms(3_600)), 1);
}
