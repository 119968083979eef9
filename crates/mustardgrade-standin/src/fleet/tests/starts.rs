//! Starting hosts, and calls to the store at rest.

use mustardgrade_core::registry::RegisteredState;

use super::super::store::StoreMood;
use super::{FleetWorld, everyone, secs};

/// Store calls a second that each data centre may make at rest.
const CALLS_PER_SECOND: f64 = 1.0;

#[test]
fn calls_at_rest_do_not_grow_with_hosts() {
    for hosts in [13, 120, 300] {
        let mut world = FleetWorld::at_rest(hosts, hosts as u64);
        let before = world.store.calls;
        world.run(secs(20.0));
        let rate = (world.store.calls - before) as f64 / 20.0;
        assert!(rate <= 3.0 * CALLS_PER_SECOND, "{hosts} hosts: {rate} calls a second");
    }
}

#[test]
fn messages_of_a_host_do_not_grow_with_hosts() {
    let rate = |hosts: usize| {
        let mut world = FleetWorld::at_rest(hosts, 7);
        let before = world.tally.control_messages;
        world.run(secs(10.0));
        (world.tally.control_messages - before) as f64 / 10.0 / hosts as f64
    };
    // 6 KB a second at 400 bytes a digest.
    for hosts in [13, 120, 300, 1_000] {
        assert!(rate(hosts) <= 15.0, "{hosts} hosts: {} messages a second each", rate(hosts));
    }
}

#[test]
fn all_hosts_start_within_a_second_together() {
    for (hosts, bound) in [(18, 1.0), (300, 3.0)] {
        for seed in 0..5 {
            let mut world = FleetWorld::at_rest(hosts, seed);
            for host in everyone(&world) {
                world.kill(host);
            }
            world.run(secs(1.0));
            world.start_all();
            world.run(secs(4.0));
            let slowest = world.slowest_start().expect("a host is not ready");
            assert!(slowest <= secs(bound), "{hosts} hosts, seed {seed}: {slowest:?}");
        }
    }
}

#[test]
fn host_starts_without_the_store_from_its_peers() {
    let mut world = FleetWorld::at_rest(13, 3);
    world.hosts.iter_mut().for_each(|host| host.mood = StoreMood::Silent);
    world.run(secs(3.0));
    world.kill(9);
    world.start(9, secs(0.1));
    world.run(secs(1.0));
    assert!(world.slowest_start().is_some_and(|slowest| slowest <= secs(0.3)));
}

#[test]
fn host_starts_from_the_store_without_peers() {
    let mut world = FleetWorld::of_hosts(13, 4);
    world.put_manifest(1);
    world.put_upstream(1, RegisteredState::Ready);
    world.start(9, secs(0.0));
    world.run(secs(1.0));
    assert!(world.slowest_start().is_some_and(|slowest| slowest <= secs(0.3)));
}

#[test]
fn hosts_wait_for_the_first_manifest_without_polling() {
    let mut world = FleetWorld::of_hosts(13, 5);
    world.start_all();
    world.run(secs(2.0));
    let before = world.store.calls;
    world.run(secs(8.0));
    assert!((world.store.calls - before) as f64 <= 8.0 * 3.0 * CALLS_PER_SECOND);
    let since = world.now;
    world.put_manifest(1);
    world.run(secs(2.0));
    assert!(world.in_force(&everyone(&world), 1, since) <= secs(1.0));
}

#[test]
fn hosts_start_although_the_store_is_slow() {
    let mut world = FleetWorld::at_rest(18, 6);
    everyone(&world).into_iter().for_each(|host| world.kill(host));
    world.store.time = secs(0.9);
    world.run(secs(0.5));
    world.start_all();
    world.run(secs(8.0));
    assert!(world.slowest_start().is_some_and(|slowest| slowest <= secs(5.0)));
}
