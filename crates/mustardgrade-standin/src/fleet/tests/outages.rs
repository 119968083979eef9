//! Changes while watchers die, hosts are cut off, and the store is away.
//!
//! The bounds are the users': a manifest is in force within 3 s at every host in touch.

use mustardgrade_core::registry::{RegisteredState, RegistryKey, RegistryValue};

use super::super::store::StoreMood;
use super::{FleetWorld, everyone, secs};

/// Time in which a manifest has to be in force.
const APPLY_SECS: f64 = 3.0;

/// Seeds that each case plays.
const SEEDS: u64 = 12;

/// Plays a case over seeds: after `disturb`, a manifest is put at once, and every host that
/// `disturb` returns has it in time.
fn applies_in_time(
    hosts: usize,
    name: &str,
    mut disturb: impl FnMut(&mut FleetWorld) -> Vec<usize>,
) {
    for seed in 0..SEEDS {
        let mut world = FleetWorld::at_rest(hosts, seed);
        world.run(secs(0.13 * seed as f64));
        let in_touch = disturb(&mut world);
        let since = world.now;
        world.put_manifest(2);
        world.run(secs(6.0));
        let slowest = world.in_force(&in_touch, 2, since);
        assert!(slowest <= secs(APPLY_SECS), "{name}, seed {seed}: {slowest:?}");
        assert!(!world.went_back(), "{name}, seed {seed}: a host went back");
    }
}

#[test]
fn change_is_in_force_within_a_second_at_rest() {
    for hosts in [13, 120, 300] {
        let mut world = FleetWorld::at_rest(hosts, 1);
        let since = world.now;
        world.put_manifest(2);
        world.run(secs(3.0));
        let slowest = world.in_force(&everyone(&world), 2, since);
        assert!(slowest <= secs(1.0), "{hosts} hosts: {slowest:?}");
    }
}

#[test]
fn all_watchers_die_at_the_change() {
    applies_in_time(13, "watchers killed", |world| {
        let watchers = world.watchers();
        watchers.iter().for_each(|host| world.kill(*host));
        everyone(world).into_iter().filter(|host| !watchers.contains(host)).collect()
    });
}

#[test]
fn all_watchers_freeze_at_the_change() {
    applies_in_time(13, "watchers frozen", |world| {
        let watchers = world.watchers();
        watchers.iter().for_each(|host| world.freeze(*host, secs(8.0)));
        everyone(world).into_iter().filter(|host| !watchers.contains(host)).collect()
    });
}

#[test]
fn watchers_are_cut_off_from_the_store() {
    applies_in_time(13, "watchers silent", |world| {
        for host in world.watchers() {
            world.hosts[host].mood = StoreMood::Silent;
        }
        everyone(world)
    });
}

#[test]
fn store_turns_the_watchers_away() {
    applies_in_time(18, "watchers refused", |world| {
        for host in world.watchers() {
            world.hosts[host].mood = StoreMood::Busy;
        }
        everyone(world)
    });
}

#[test]
fn store_serves_a_third_of_the_hosts() {
    applies_in_time(13, "two thirds silent", |world| {
        for host in (0..world.hosts.len()).filter(|host| host % 3 != 1) {
            world.hosts[host].mood = StoreMood::Silent;
        }
        everyone(world)
    });
}

#[test]
fn data_centres_are_cut_off_from_each_other() {
    applies_in_time(13, "cut", |world| {
        world.cuts.extend([(0, 1), (1, 2), (0, 2)]);
        everyone(world)
    });
}

#[test]
fn two_data_centres_reach_each_other_by_the_third() {
    applies_in_time(18, "bridge", |world| {
        world.cuts.insert((0, 1));
        let alone: Vec<usize> =
            everyone(world).into_iter().filter(|host| world.data_centre(*host) == 0).collect();
        for host in alone {
            world.hosts[host].mood = StoreMood::Silent;
        }
        everyone(world)
    });
}

#[test]
fn history_is_dropped() {
    applies_in_time(13, "history dropped", |world| {
        world.put_upstream(3, RegisteredState::Draining);
        world.store.history_from = u64::MAX;
        everyone(world)
    });
}

#[test]
fn outage_delays_changes_and_loses_none() {
    for seed in 0..SEEDS {
        let mut world = FleetWorld::at_rest(13, seed);
        world.hosts.iter_mut().for_each(|host| host.mood = StoreMood::Busy);
        world.run(secs(4.5));
        world.put_manifest(2);
        world.put_upstream(3, RegisteredState::Draining);
        world.run(secs(0.5));
        let calls = world.store.calls;
        world.run(secs(5.0));
        // Refused calls are priced as well: hosts do not all press on.
        assert!(
            world.store.calls - calls <= 100,
            "seed {seed}: {} calls",
            world.store.calls - calls
        );
        world.hosts.iter_mut().for_each(|host| host.mood = StoreMood::Well);
        let since = world.now;
        world.run(secs(6.0));
        let slowest = world.in_force(&everyone(&world), 2, since);
        assert!(slowest <= secs(APPLY_SECS), "seed {seed}: {slowest:?}");
    }
}

#[test]
fn removal_after_an_outage_counts_as_lapsed() {
    let mut world = FleetWorld::at_rest(13, 2);
    world.hosts.iter_mut().for_each(|host| host.mood = StoreMood::Busy);
    world.run(secs(3.0));
    let key = RegistryKey::Upstream("i-3".to_owned());
    world.put(key.clone(), RegistryValue::Removed { possibly_spurious: false });
    world.hosts.iter_mut().for_each(|host| host.mood = StoreMood::Well);
    world.run(secs(4.0));
    for host in everyone(&world) {
        let book = world.controller(host).map(|controller| controller.registry());
        let value = book.and_then(|book| book.entry(&key)).map(|item| item.value.clone());
        assert_eq!(value, Some(RegistryValue::Removed { possibly_spurious: true }), "host {host}");
    }
}

#[test]
fn frozen_host_that_wakes_asks_before_it_trusts() {
    let mut world = FleetWorld::at_rest(13, 6);
    world.freeze(7, secs(5.0));
    world.run(secs(1.0));
    world.put_manifest(2);
    world.run(secs(3.9));
    let since = world.now;
    world.run(secs(2.0));
    assert!(world.in_force(&[7], 2, since) <= secs(1.0));
}

#[test]
fn stranded_host_leaves_the_rotation_only_in_a_cut() {
    let mut world = FleetWorld::at_rest(13, 8);
    let stranded = |world: &mut FleetWorld| {
        world.strand(4);
        world.controller(4).is_some_and(|controller| controller.is_isolated())
    };
    world.run(secs(1.0));
    // Other data centres are heard: their hosts reach no more than this one.
    assert!(!stranded(&mut world));
    world.cuts.extend([(0, 1), (1, 2)]);
    world.run(secs(1.0));
    assert!(stranded(&mut world));
    world.cuts.clear();
    world.run(secs(1.5));
    let isolated = world.controller(4).map(|controller| controller.is_isolated());
    assert_eq!(isolated, Some(false));
}

#[test]
fn hosts_hear_each_other_again_after_a_long_cut() {
    let mut world = FleetWorld::at_rest(13, 9);
    world.cuts.extend([(0, 1), (1, 2), (0, 2)]);
    world.run(secs(10.0));
    world.cuts.clear();
    world.run(secs(3.0));
    for host in everyone(&world) {
        let status = world.controller(host).map(|controller| controller.status(world.now));
        assert!(status.is_some_and(|status| status.live_hosts >= 12), "host {host}: {status:?}");
    }
}
