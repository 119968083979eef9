//! Propagation of changes while watchers fail, data centres are partitioned, or the store fails.
//!
//! The deadline is a user requirement: a manifest is in force within 3 s at every host that is
//! connected.

use mustardgrade_core::registry::{RegisteredState, RegistryKey, RegistryValue};

use super::super::store::StoreAvailability;
use super::{FleetSimulation, all_hosts, secs};
use crate::scenario::StoreFault;

/// Time within which a manifest has to be in force at all connected hosts.
const MANIFEST_DEADLINE_SECS: f64 = 3.0;

/// Number of seeds with which each case runs.
const SEED_COUNT: u64 = 12;

/// Publishes a manifest right after `inject_fault`, and asserts that every host that `inject_fault`
/// returns applies it within the deadline and none reverts to an older one, with each seed.
fn assert_manifest_applies(
    host_count: usize,
    fault: &str,
    mut inject_fault: impl FnMut(&mut FleetSimulation) -> Vec<usize>,
) {
    for seed in 0..SEED_COUNT {
        let mut sim = FleetSimulation::in_steady_state(host_count, seed);
        // Each seed injects the fault at a different phase of the periodic timers.
        sim.advance(secs(0.13 * seed as f64));
        let reachable_hosts = inject_fault(&mut sim);
        let published_at = sim.now;
        sim.publish_manifest(2);
        sim.advance(secs(6.0));
        let slowest = sim.manifest_delay(&reachable_hosts, 2, published_at);
        assert!(
            slowest <= secs(MANIFEST_DEADLINE_SECS),
            "{fault}, seed {seed}: manifest in force after {slowest:?}"
        );
        assert!(
            !sim.any_manifest_regressed(),
            "{fault}, seed {seed}: a host reverted to an older manifest"
        );
    }
}

#[test]
fn manifest_applies_within_one_second_in_steady_state() {
    for host_count in [13, 120, 300] {
        let mut sim = FleetSimulation::in_steady_state(host_count, 1);
        let published_at = sim.now;
        sim.publish_manifest(2);
        sim.advance(secs(3.0));
        let slowest = sim.manifest_delay(&all_hosts(&sim), 2, published_at);
        assert!(slowest <= secs(1.0), "{host_count} hosts: manifest in force after {slowest:?}");
    }
}

#[test]
fn manifest_applies_when_all_watchers_are_killed() {
    assert_manifest_applies(13, "watchers killed", |sim| {
        let watchers = sim.watchers();
        watchers.iter().for_each(|host| sim.kill_host(*host));
        all_hosts(sim).into_iter().filter(|host| !watchers.contains(host)).collect()
    });
}

#[test]
fn manifest_applies_when_all_watchers_are_paused() {
    assert_manifest_applies(13, "watchers paused", |sim| {
        let watchers = sim.watchers();
        watchers.iter().for_each(|host| sim.pause_host(*host, secs(8.0)));
        all_hosts(sim).into_iter().filter(|host| !watchers.contains(host)).collect()
    });
}

#[test]
fn manifest_applies_when_store_does_not_answer_watchers() {
    assert_manifest_applies(13, "store does not answer watchers", |sim| {
        for host in sim.watchers() {
            sim.hosts[host].store_availability = StoreAvailability::Unresponsive;
        }
        all_hosts(sim)
    });
}

#[test]
fn manifest_applies_when_store_rejects_watchers() {
    assert_manifest_applies(18, "store rejects watchers", |sim| {
        for host in sim.watchers() {
            sim.hosts[host].store_availability = StoreAvailability::Failing;
        }
        all_hosts(sim)
    });
}

#[test]
fn manifest_applies_when_store_answers_a_third_of_the_hosts() {
    assert_manifest_applies(13, "store does not answer two thirds of the hosts", |sim| {
        for host in (0..sim.hosts.len()).filter(|host| host % 3 != 1) {
            sim.hosts[host].store_availability = StoreAvailability::Unresponsive;
        }
        all_hosts(sim)
    });
}

#[test]
fn manifest_applies_while_data_centres_are_partitioned() {
    assert_manifest_applies(13, "data centres partitioned", |sim| {
        sim.partitions.extend([(0, 1), (1, 2), (0, 2)]);
        all_hosts(sim)
    });
}

#[test]
fn manifest_reaches_a_partitioned_data_centre_through_the_third() {
    assert_manifest_applies(18, "one partition and no store in the first data centre", |sim| {
        sim.partitions.insert((0, 1));
        let hosts_in_first: Vec<usize> =
            all_hosts(sim).into_iter().filter(|host| sim.data_centre_of(*host) == 0).collect();
        for host in hosts_in_first {
            sim.hosts[host].store_availability = StoreAvailability::Unresponsive;
        }
        all_hosts(sim)
    });
}

#[test]
fn manifest_applies_after_history_is_compacted() {
    assert_manifest_applies(13, "history compacted", |sim| {
        sim.register_test_upstream(3, RegisteredState::Draining);
        sim.store.oldest_watch_revision = u64::MAX;
        all_hosts(sim)
    });
}

#[test]
fn changes_during_a_store_outage_apply_after_recovery() {
    for seed in 0..SEED_COUNT {
        let mut sim = FleetSimulation::in_steady_state(13, seed);
        sim.hosts.iter_mut().for_each(|host| host.store_availability = StoreAvailability::Failing);
        sim.advance(secs(4.5));
        sim.publish_manifest(2);
        sim.register_test_upstream(3, RegisteredState::Draining);
        sim.advance(secs(0.5));
        let calls_before = sim.store.call_count;
        sim.advance(secs(5.0));
        // Rejected calls are charged for as well, so the hosts must not all keep retrying.
        assert!(
            sim.store.call_count - calls_before <= 100,
            "seed {seed}: {} store calls in 5 s",
            sim.store.call_count - calls_before
        );
        sim.hosts
            .iter_mut()
            .for_each(|host| host.store_availability = StoreAvailability::Available);
        let recovered_at = sim.now;
        sim.advance(secs(6.0));
        let slowest = sim.manifest_delay(&all_hosts(&sim), 2, recovered_at);
        assert!(
            slowest <= secs(MANIFEST_DEADLINE_SECS),
            "seed {seed}: manifest in force after {slowest:?}"
        );
    }
}

#[test]
fn removal_during_a_store_outage_is_marked_possibly_spurious() {
    let mut sim = FleetSimulation::in_steady_state(13, 2);
    sim.hosts.iter_mut().for_each(|host| host.store_availability = StoreAvailability::Failing);
    sim.advance(secs(3.0));
    let key = RegistryKey::Upstream("i-3".to_owned());
    sim.write_entry(key.clone(), RegistryValue::Removed { possibly_spurious: false });
    sim.hosts.iter_mut().for_each(|host| host.store_availability = StoreAvailability::Available);
    sim.advance(secs(4.0));
    for host in all_hosts(&sim) {
        let registry = sim.controller(host).map(|controller| controller.registry());
        let value =
            registry.and_then(|registry| registry.entry(&key)).map(|entry| entry.value.clone());
        assert_eq!(value, Some(RegistryValue::Removed { possibly_spurious: true }), "host {host}");
    }
}

// A host that was paused must not trust the last confirmation of its registry, which may be
// outdated by then, but ask again.
#[test]
fn paused_host_catches_up_within_one_second_of_resuming() {
    let mut sim = FleetSimulation::in_steady_state(13, 6);
    sim.pause_host(7, secs(5.0));
    sim.advance(secs(1.0));
    sim.publish_manifest(2);
    sim.advance(secs(3.9));
    // 0.1 s before the host resumes.
    let before_resume = sim.now;
    sim.advance(secs(2.0));
    assert!(sim.manifest_delay(&[7], 2, before_resume) <= secs(1.0));
}

#[test]
fn host_without_reachable_upstreams_is_isolated_only_during_a_partition() {
    let mut sim = FleetSimulation::in_steady_state(13, 8);
    let isolated_after_report = |sim: &mut FleetSimulation| {
        sim.report_upstreams_unreachable(4);
        sim.controller(4).is_some_and(|controller| controller.is_isolated())
    };
    sim.advance(secs(1.0));
    // The host still hears hosts of other data centres, which reach no more upstreams than it does.
    assert!(!isolated_after_report(&mut sim));
    sim.partitions.extend([(0, 1), (1, 2)]);
    sim.advance(secs(1.0));
    assert!(isolated_after_report(&mut sim));
    sim.partitions.clear();
    sim.advance(secs(1.5));
    let isolated = sim.controller(4).map(|controller| controller.is_isolated());
    assert_eq!(isolated, Some(false));
}

#[test]
fn hosts_rediscover_each_other_after_a_long_partition() {
    let mut sim = FleetSimulation::in_steady_state(13, 9);
    sim.partitions.extend([(0, 1), (1, 2), (0, 2)]);
    sim.advance(secs(10.0));
    sim.partitions.clear();
    sim.advance(secs(3.0));
    for host in all_hosts(&sim) {
        let status = sim.controller(host).map(|controller| controller.status(sim.now));
        assert!(status.is_some_and(|status| status.live_hosts >= 12), "host {host}: {status:?}");
    }
}

#[test]
fn data_centre_that_is_cut_off_stays_so_when_a_store_outage_ends() {
    let mut sim = FleetSimulation::in_steady_state(13, 10);
    sim.isolate_data_centre("0", secs(8.0));
    sim.inject_store_fault(StoreFault::Down, secs(2.0));
    sim.advance(secs(3.0));
    let availability_of = |sim: &FleetSimulation, data_centre: usize| {
        let host = all_hosts(sim).into_iter().find(|host| sim.data_centre_of(*host) == data_centre);
        host.map(|host| sim.hosts[host].store_availability)
    };
    assert_eq!(availability_of(&sim, 0), Some(StoreAvailability::Unresponsive));
    assert_eq!(availability_of(&sim, 1), Some(StoreAvailability::Available));
    sim.inject_store_fault(StoreFault::Down, secs(9.0));
    sim.advance(secs(6.0));
    // The partition has healed, but the store is still down.
    assert_eq!(availability_of(&sim, 0), Some(StoreAvailability::Failing));
}
