//! Tests of fleets in steady state, at startup and during faults.

mod outages;
mod power_on;
mod restores;
mod route_services;
mod startup;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use mustardgrade_core::cookie::LoadReport;
use mustardgrade_core::identity::{DataCentreId, ServiceId};
use mustardgrade_core::registry::{
    Manifest, RegisteredState, RegistryKey, RegistryValue, UpstreamRegistration,
};
use mustardgrade_core::watch::WatchInput;

use super::FleetSimulation;
use crate::scenario::{DataCentreSpec, Scenario};

/// Number of data centres in these tests, to which hosts are assigned round-robin.
const DATA_CENTRE_COUNT: usize = 3;

/// Probability that a datagram between hosts is lost.
const DATAGRAM_LOSS: f64 = 0.002;

impl FleetSimulation {
    /// Creates a simulation of hosts without traffic, all of which are down.
    fn with_stopped_hosts(host_count: usize, seed: u64) -> Self {
        let data_centre_spec =
            |number: usize| DataCentreSpec { name: number.to_string(), host_count: 0 };
        let mut scenario = Scenario {
            data_centres: (0..DATA_CENTRE_COUNT).map(data_centre_spec).collect(),
            ..Scenario::default()
        };
        scenario.network.loss_ratio = DATAGRAM_LOSS;
        let mut sim = Self::without_hosts(scenario, seed);
        for host in 0..host_count {
            sim.add_host(&format!("h-{host}"), host % DATA_CENTRE_COUNT);
        }
        sim
    }

    /// Creates a simulation whose hosts have applied a first manifest and 14 upstreams.
    fn in_steady_state(host_count: usize, seed: u64) -> Self {
        let mut sim = Self::with_stopped_hosts(host_count, seed);
        sim.publish_manifest(1);
        for tag in 1..15 {
            sim.register_test_upstream(tag, RegisteredState::Ready);
        }
        sim.start_all_hosts();
        sim.advance(Duration::from_secs(6));
        sim
    }

    fn publish_manifest(&mut self, version: u64) {
        let manifest = Manifest { version, ..Manifest::default() };
        self.write_entry(RegistryKey::Manifest, RegistryValue::Manifest(Arc::new(manifest)));
    }

    fn register_test_upstream(&mut self, tag: u64, state: RegisteredState) {
        let registration = UpstreamRegistration {
            name: format!("i-{tag:x}"),
            tag,
            incarnation: 1,
            service: ServiceId::from_name("desk"),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, tag as u8), 80),
            data_centre: DataCentreId::from_name("0"),
            slots: 4,
            state,
            cold_remaining: Duration::ZERO,
        };
        let key = RegistryKey::Upstream(registration.name.clone());
        self.write_entry(key, RegistryValue::Upstream(Arc::new(registration)));
    }

    /// Passes a load report to a host's controller that says that the host reaches no upstream.
    fn report_upstreams_unreachable(&mut self, host: usize) {
        let load_report = LoadReport {
            saturated: false,
            complete: true,
            all_suspected: true,
            entries: Vec::new(),
            speeds: Vec::new(),
            outcomes: Vec::new(),
            holders: Vec::new(),
        };
        self.handle_controller_input(host, WatchInput::LocalLoad(load_report));
    }

    /// Returns the time from `since` until the last of `hosts` had manifest `version` in force.
    fn manifest_delay(&self, hosts: &[usize], version: u64, since: Duration) -> Duration {
        let delay = |host: &usize| {
            let manifest_versions = &self.hosts[*host].manifest_versions;
            let applied =
                manifest_versions.iter().find(|(_, applied_version)| *applied_version >= version);
            applied.map_or(Duration::MAX, |(at, _)| at.saturating_sub(since))
        };
        hosts.iter().map(delay).max().unwrap_or_default()
    }

    fn data_centre_of(&self, host: usize) -> usize {
        self.hosts[host].data_centre
    }
}

/// Returns the indices of all hosts, including those that are down.
fn all_hosts(sim: &FleetSimulation) -> Vec<usize> {
    (0..sim.hosts.len()).collect()
}

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}
