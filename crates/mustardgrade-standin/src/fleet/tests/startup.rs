//! Startup of hosts, and the rates of store calls and messages in steady state.

use mustardgrade_core::registry::RegisteredState;

use super::super::store::StoreAvailability;
use super::{FleetSimulation, all_hosts, secs};

/// Maximum number of store calls a second for each data centre in steady state.
const MAX_CALLS_PER_SEC_PER_DATA_CENTRE: f64 = 1.0;

#[test]
fn store_call_rate_does_not_grow_with_host_count() {
    for host_count in [13, 120, 300] {
        let mut sim = FleetSimulation::in_steady_state(host_count, host_count as u64);
        let calls_before = sim.store.call_count;
        sim.advance(secs(20.0));
        let calls_per_sec = (sim.store.call_count - calls_before) as f64 / 20.0;
        assert!(
            calls_per_sec <= 3.0 * MAX_CALLS_PER_SEC_PER_DATA_CENTRE,
            "{host_count} hosts: {calls_per_sec} store calls a second"
        );
    }
}

#[test]
fn message_rate_per_host_does_not_grow_with_host_count() {
    let messages_per_host_sec = |host_count: usize| {
        let mut sim = FleetSimulation::in_steady_state(host_count, 7);
        let messages_before = sim.measurements.control_messages;
        sim.advance(secs(10.0));
        (sim.measurements.control_messages - messages_before) as f64 / 10.0 / host_count as f64
    };
    // 15 messages a second are 6 KB/s at 400 bytes a digest.
    for host_count in [13, 120, 300, 1_000] {
        assert!(
            messages_per_host_sec(host_count) <= 15.0,
            "{host_count} hosts: {} messages a second from each host",
            messages_per_host_sec(host_count)
        );
    }
}

#[test]
fn hosts_that_start_simultaneously_are_ready_in_time() {
    for (host_count, max_secs) in [(18, 1.0), (300, 3.0)] {
        for seed in 0..5 {
            let mut sim = FleetSimulation::in_steady_state(host_count, seed);
            for host in all_hosts(&sim) {
                sim.kill_host(host);
            }
            sim.advance(secs(1.0));
            sim.start_all_hosts();
            sim.advance(secs(4.0));
            let slowest = sim.max_start_duration().expect("a host did not become ready");
            assert!(
                slowest <= secs(max_secs),
                "{host_count} hosts, seed {seed}: ready after {slowest:?}"
            );
        }
    }
}

#[test]
fn host_starts_from_peers_when_store_does_not_answer() {
    let mut sim = FleetSimulation::in_steady_state(13, 3);
    sim.hosts.iter_mut().for_each(|host| host.store_availability = StoreAvailability::Unresponsive);
    sim.advance(secs(3.0));
    sim.kill_host(9);
    sim.start_host(9, secs(0.1));
    sim.advance(secs(1.0));
    assert!(sim.max_start_duration().is_some_and(|slowest| slowest <= secs(0.3)));
}

#[test]
fn host_starts_from_store_without_peers() {
    let mut sim = FleetSimulation::with_stopped_hosts(13, 4);
    sim.publish_manifest(1);
    sim.register_test_upstream(1, RegisteredState::Ready);
    sim.start_host(9, secs(0.0));
    sim.advance(secs(1.0));
    assert!(sim.max_start_duration().is_some_and(|slowest| slowest <= secs(0.3)));
}

#[test]
fn hosts_await_first_manifest_without_extra_store_calls() {
    let mut sim = FleetSimulation::with_stopped_hosts(13, 5);
    sim.start_all_hosts();
    sim.advance(secs(2.0));
    let calls_before = sim.store.call_count;
    sim.advance(secs(8.0));
    assert!(
        (sim.store.call_count - calls_before) as f64
            <= 8.0 * 3.0 * MAX_CALLS_PER_SEC_PER_DATA_CENTRE
    );
    let published_at = sim.now;
    sim.publish_manifest(1);
    sim.advance(secs(2.0));
    assert!(sim.manifest_delay(&all_hosts(&sim), 1, published_at) <= secs(1.0));
}

#[test]
fn hosts_start_when_store_responds_slowly() {
    let mut sim = FleetSimulation::in_steady_state(18, 6);
    all_hosts(&sim).into_iter().for_each(|host| sim.kill_host(host));
    sim.store.response_time = secs(0.9);
    sim.advance(secs(0.5));
    sim.start_all_hosts();
    sim.advance(secs(8.0));
    assert!(sim.max_start_duration().is_some_and(|slowest| slowest <= secs(5.0)));
}
