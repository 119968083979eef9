//! Fleets at rest, starting, and in outages.

mod outages;
mod starts;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use mustardgrade_core::cookie::LoadReport;
use mustardgrade_core::identity::{DataCentreId, ServiceId};
use mustardgrade_core::registry::{
    Manifest, RegisteredState, RegistryKey, RegistryValue, UpstreamRegistration,
};
use mustardgrade_core::watch::WatchInput;

use super::FleetWorld;
use crate::scenario::{DataCentreSpec, Scenario};

/// Data centres of the worlds in these tests; hosts stand in them in turn.
const DATA_CENTRES: usize = 3;

/// Share of the datagrams between hosts that are lost.
const LOSS: f64 = 0.002;

impl FleetWorld {
    /// Creates a world of hosts without traffic, none of which runs yet.
    fn of_hosts(hosts: usize, seed: u64) -> Self {
        let data_centre =
            |number: usize| DataCentreSpec { name: number.to_string(), host_count: 0 };
        let mut scenario = Scenario {
            data_centres: (0..DATA_CENTRES).map(data_centre).collect(),
            ..Scenario::default()
        };
        scenario.network.loss_ratio = LOSS;
        let mut world = Self::empty(scenario, seed);
        for host in 0..hosts {
            world.add_host(&format!("h-{host}"), host % DATA_CENTRES);
        }
        world
    }

    /// Creates a world whose hosts serve a first manifest and some upstreams, at rest.
    fn at_rest(hosts: usize, seed: u64) -> Self {
        let mut world = Self::of_hosts(hosts, seed);
        world.put_manifest(1);
        for tag in 1..15 {
            world.put_upstream(tag, RegisteredState::Ready);
        }
        world.start_all();
        world.run(Duration::from_secs(6));
        world
    }

    fn put_manifest(&mut self, version: u64) {
        let manifest = Manifest { version, ..Manifest::default() };
        self.put(RegistryKey::Manifest, RegistryValue::Manifest(Arc::new(manifest)));
    }

    fn put_upstream(&mut self, tag: u64, state: RegisteredState) {
        let report = UpstreamRegistration {
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
        let key = RegistryKey::Upstream(report.name.clone());
        self.put(key, RegistryValue::Upstream(Arc::new(report)));
    }

    /// Lets a host's traffic thread say that it reaches no upstream.
    fn strand(&mut self, host: usize) {
        let report = LoadReport {
            saturated: false,
            complete: true,
            all_suspected: true,
            entries: Vec::new(),
        };
        self.feed(host, WatchInput::LocalLoad(report));
    }

    /// Returns when the slowest of `hosts` had manifest `version` in force, after `since`.
    fn in_force(&self, hosts: &[usize], version: u64, since: Duration) -> Duration {
        let at = |host: &usize| {
            let versions = &self.hosts[*host].versions;
            let seen = versions.iter().find(|(_, seen)| *seen >= version);
            seen.map_or(Duration::MAX, |(at, _)| at.saturating_sub(since))
        };
        hosts.iter().map(at).max().unwrap_or_default()
    }

    fn data_centre(&self, host: usize) -> usize {
        self.hosts[host].data_centre
    }
}

/// Returns all hosts of a world.
fn everyone(world: &FleetWorld) -> Vec<usize> {
    (0..world.hosts.len()).collect()
}

/// Returns a duration of seconds.
fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}
