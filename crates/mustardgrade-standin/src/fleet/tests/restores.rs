//! Propagation of changes after the store returned from an older copy of itself.
//!
//! The deadlines are user requirements: a manifest is in force within 3 s of its acceptance, and an
//! upstream that drains gets no new flows 3 s after it reported so, at every host that is connected.

use std::time::Duration;

use mustardgrade_core::registry::{RegisteredState, RegistryKey, RegistryValue};

use super::super::store::StoreAvailability;
use super::{FleetSimulation, all_hosts, secs};

/// Time within which an accepted change has to be in force at all connected hosts.
const CHANGE_DEADLINE_SECS: f64 = 3.0;

/// Number of seeds with which each case runs.
const SEED_COUNT: u64 = 12;

/// Time for which the store is down before it returns.
const DOWNTIME_SECS: f64 = 2.0;

/// Time after the store's return until its writers have repeated what it lost.
const REPEAT_SECS: f64 = 2.0;

/// Time after a disturbance from which no open flow of a living upstream may be ended.
const STABILITY_SECS: f64 = 4.0;

/// Number of the upstream that drains or lapses.
const DRAINING_TAG: u64 = 3;

impl FleetSimulation {
    /// Creates a fleet whose store is about to be restored from a copy that lacks manifests 2 and 3.
    fn with_changes_after_the_copy(seed: u64) -> Self {
        let mut sim = Self::in_steady_state(13, seed);
        // Each seed restores the store at a different phase of the periodic timers.
        sim.advance(secs(0.13 * seed as f64));
        sim.advance(secs(1.0));
        sim.publish_manifest(2);
        sim.advance(secs(2.0));
        sim.publish_manifest(3);
        sim.advance(secs(3.0));
        sim
    }

    /// Restores the store from a copy that lacks manifests 2 and 3, and waits until it is back.
    fn restore_before_manifest_2(&mut self) {
        self.restore_store(secs(5.5), secs(DOWNTIME_SECS));
        self.advance(secs(DOWNTIME_SECS));
    }

    /// Makes the store reject the calls of all hosts of a data centre.
    fn reject_store_calls_of(&mut self, data_centre: usize) {
        let hosts = self.hosts.iter_mut().filter(|host| host.data_centre == data_centre);
        hosts.for_each(|host| host.store_availability = StoreAvailability::Failing);
    }

    /// Asserts that no host offers new flows to an upstream for the next 6 s.
    fn assert_never_offered(&mut self, tag: u64, seed: u64) {
        for _ in 0..60 {
            self.advance(secs(0.1));
            assert!(!self.any_host_offers(tag), "seed {seed}: offered at {:?}", self.now);
        }
    }

    /// Returns whether an upstream counts as gone at any running host.
    fn counts_as_gone_anywhere(&self, tag: u64) -> bool {
        all_hosts(self).into_iter().any(|host| {
            let snapshot = self.controller(host).map(|controller| controller.snapshot());
            snapshot.is_some_and(|snapshot| {
                let mut views = snapshot.upstreams.iter();
                views.any(|view| view.tag == tag && view.is_gone(self.now))
            })
        })
    }

    /// Returns whether any running host offers new flows to an upstream.
    fn any_host_offers(&self, tag: u64) -> bool {
        all_hosts(self).into_iter().any(|host| {
            let snapshot = self.controller(host).map(|controller| controller.snapshot());
            snapshot.is_some_and(|snapshot| {
                let mut views = snapshot.upstreams.iter();
                views.any(|view| view.tag == tag && view.accepts_flows(self.now))
            })
        })
    }
}

fn assert_manifest_in_force(sim: &FleetSimulation, version: u64, since: Duration) {
    let slowest = sim.manifest_delay(&all_hosts(sim), version, since);
    assert!(slowest <= secs(CHANGE_DEADLINE_SECS), "manifest {version} in force after {slowest:?}");
    assert!(!sim.any_manifest_regressed(), "a host reverted to an older manifest");
}

#[test]
fn manifest_with_a_revision_of_the_lost_history_is_in_force_in_time() {
    for seed in 0..SEED_COUNT {
        let mut sim = FleetSimulation::with_changes_after_the_copy(seed);
        sim.restore_before_manifest_2();
        sim.advance(secs(REPEAT_SECS + 0.4 * seed as f64));
        let published_at = sim.now;
        sim.publish_manifest(4);
        sim.advance(secs(6.0));
        assert_manifest_in_force(&sim, 4, published_at);
    }
}

#[test]
fn drain_with_a_revision_of_the_lost_history_is_in_force_in_time() {
    for seed in 0..SEED_COUNT {
        let mut sim = FleetSimulation::with_changes_after_the_copy(seed);
        sim.restore_before_manifest_2();
        sim.advance(secs(REPEAT_SECS + 0.4 * seed as f64));
        sim.register_test_upstream(DRAINING_TAG, RegisteredState::Draining);
        sim.advance(secs(CHANGE_DEADLINE_SECS));
        assert!(!sim.any_host_offers(DRAINING_TAG), "seed {seed}");
    }
}

#[test]
fn manifest_after_two_restores_is_in_force_in_time() {
    for seed in 0..SEED_COUNT {
        let mut sim = FleetSimulation::with_changes_after_the_copy(seed);
        sim.restore_before_manifest_2();
        sim.advance(secs(REPEAT_SECS));
        sim.publish_manifest(4);
        sim.advance(secs(2.0));
        sim.restore_store(secs(1.0 + 0.5 * seed as f64), secs(DOWNTIME_SECS));
        sim.advance(secs(DOWNTIME_SECS + REPEAT_SECS));
        let published_at = sim.now;
        sim.publish_manifest(5);
        sim.advance(secs(6.0));
        assert_manifest_in_force(&sim, 5, published_at);
    }
}

#[test]
fn data_centre_cut_off_during_a_restore_catches_up_in_time() {
    for seed in 0..SEED_COUNT {
        let mut sim = FleetSimulation::with_changes_after_the_copy(seed);
        sim.partitions.extend([(0, 1), (0, 2)]);
        sim.restore_before_manifest_2();
        sim.reject_store_calls_of(0);
        sim.advance(secs(REPEAT_SECS));
        sim.publish_manifest(4);
        sim.register_test_upstream(DRAINING_TAG, RegisteredState::Draining);
        sim.advance(secs(3.0));
        let healed_at = sim.now;
        sim.heal_partition(0);
        sim.advance(secs(CHANGE_DEADLINE_SECS));
        assert_manifest_in_force(&sim, 4, healed_at);
        assert!(!sim.any_host_offers(DRAINING_TAG), "seed {seed}");
    }
}

#[test]
fn data_centre_that_reaches_only_peers_catches_up_after_a_restore() {
    for seed in 0..SEED_COUNT {
        let mut sim = FleetSimulation::with_changes_after_the_copy(seed);
        sim.restore_before_manifest_2();
        sim.reject_store_calls_of(0);
        sim.advance(secs(REPEAT_SECS));
        let published_at = sim.now;
        sim.publish_manifest(4);
        sim.advance(secs(6.0));
        assert_manifest_in_force(&sim, 4, published_at);
    }
}

#[test]
fn host_that_starts_while_the_store_is_older_gets_the_newest_manifest_from_peers() {
    for seed in 0..SEED_COUNT {
        let mut sim = FleetSimulation::with_changes_after_the_copy(seed);
        let started = sim.add_host("h-new", 1);
        sim.restore_before_manifest_2();
        sim.advance(secs(0.05 * seed as f64));
        sim.start_host(started, secs(0.0));
        sim.advance(secs(CHANGE_DEADLINE_SECS));
        let started_at = sim.hosts[started].started_at;
        let delay = sim.manifest_delay(&[started], 3, started_at);
        assert!(delay <= secs(1.0), "seed {seed}: manifest 3 in force after {delay:?}");
    }
}

#[test]
fn upstream_whose_drain_the_store_lost_gets_no_new_flows() {
    for seed in 0..SEED_COUNT {
        let mut sim = FleetSimulation::with_changes_after_the_copy(seed);
        sim.register_test_upstream(DRAINING_TAG, RegisteredState::Draining);
        sim.advance(secs(1.0));
        sim.restore_store(secs(2.0), secs(DOWNTIME_SECS));
        sim.assert_never_offered(DRAINING_TAG, seed);
    }
}

#[test]
fn upstream_that_left_before_a_restore_gets_no_new_flows() {
    for seed in 0..SEED_COUNT {
        let mut sim = FleetSimulation::with_changes_after_the_copy(seed);
        sim.register_test_upstream(DRAINING_TAG, RegisteredState::Draining);
        sim.advance(secs(1.0));
        let key = RegistryKey::Upstream(format!("i-{DRAINING_TAG:x}"));
        sim.write_entry(key, RegistryValue::Removed { possibly_spurious: false });
        sim.advance(secs(1.0));
        sim.restore_store(secs(4.0), secs(DOWNTIME_SECS));
        sim.assert_never_offered(DRAINING_TAG, seed);
    }
}

#[test]
fn evacuation_that_the_store_lost_stays_in_force() {
    for seed in 0..SEED_COUNT {
        let mut sim = FleetSimulation::with_changes_after_the_copy(seed);
        let key = RegistryKey::Evacuation("0".to_owned());
        sim.write_entry(key, RegistryValue::Evacuated);
        sim.advance(secs(1.0));
        // All test upstreams are in data centre 0.
        sim.restore_store(secs(2.0), secs(DOWNTIME_SECS));
        sim.assert_never_offered(1, seed);
    }
}

#[test]
fn store_calls_after_a_restore_return_to_those_at_rest() {
    for seed in 0..SEED_COUNT {
        let mut sim = FleetSimulation::with_changes_after_the_copy(seed);
        // The copy is so old that the store stays behind the revision that the hosts had seen.
        sim.restore_store(secs(30.0), secs(DOWNTIME_SECS));
        sim.advance(secs(DOWNTIME_SECS + REPEAT_SECS + 1.0));
        let calls_before = sim.store.call_count;
        sim.advance(secs(6.0));
        let calls = sim.store.call_count - calls_before;
        // At rest one call a second and data centre.
        assert!(calls <= 18, "seed {seed}: {calls} store calls in 6 s");
    }
}

/// Guards against resets by hosts that enter a restored store's epoch after an upstream's return.
#[test]
fn upstream_that_lapsed_and_returned_across_a_restore_keeps_its_open_flows() {
    for seed in 0..SEED_COUNT {
        let mut sim = FleetSimulation::with_changes_after_the_copy(seed);
        sim.partitions.extend([(0, 1), (0, 2)]);
        sim.reject_store_calls_of(0);
        let key = RegistryKey::Upstream(format!("i-{DRAINING_TAG:x}"));
        sim.write_entry(key, RegistryValue::Removed { possibly_spurious: false });
        sim.advance(secs(3.0));
        sim.restore_before_manifest_2();
        sim.register_test_upstream(DRAINING_TAG, RegisteredState::Ready);
        sim.advance(secs(0.3 * seed as f64));
        sim.heal_partition(0);
        sim.advance(secs(STABILITY_SECS));
        for _ in 0..20 {
            assert!(!sim.counts_as_gone_anywhere(DRAINING_TAG), "seed {seed}: {:?}", sim.now);
            sim.advance(secs(0.1));
        }
    }
}
