//! The parts of a trial.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use mustardgrade_core::flow::PlacementMode;
use mustardgrade_core::rule::{RuleSet, ServiceClass, ServiceRule};
use mustardgrade_node::host::EntryHost;
use mustardgrade_node::settings::{FlowSettings, HostSettings, PortSettings};
use mustardgrade_node::store::{RULES_KEY, RulesDocument, StoreClient, decode_rules, encode_rules};
use mustardgrade_wire::peer::{FleetKey, FleetKeys};

use super::errors::{Result, TrialError};
use crate::caller::{
    FlowCallerSettings, FlowCallers, RequestCallerSettings, RequestCallers, caller_group_address,
    start_flow_callers, start_request_callers,
};
use crate::fabric::{FabricHandle, start_fabric};
use crate::platform::{CatalogueEntry, PlatformHandle, start_platform};
use crate::upstream::{RequestCapacity, UpstreamHandle, UpstreamSettings, start_upstream};

/// Port of the platform.
const PLATFORM_PORT: u16 = 8500;

/// Secret of the trial's fleet.
const SECRET: &[u8] = b"the secret of a trial on loopback";

/// Service time of request upstreams when warm.
const SERVICE_TIME: Duration = Duration::from_millis(30);

/// Requests after which an upstream is warm.
const COLD_REQUESTS: u32 = 20;

/// Time for which moved buckets collect old flows; feeds speak ten times a second.
const COLLECT_TIME: Duration = Duration::from_secs(3);

/// Groups of feed callers.
const CALLER_GROUPS: u8 = 4;

/// `TrialParts` are the running parts of a trial.
#[derive(Debug)]
pub(super) struct TrialParts {
    pub(super) network: u8,
    pub(super) placement: PlacementMode,
    pub(super) platform: PlatformHandle,
    pub(super) fabric: FabricHandle,
    pub(super) store: StoreClient,
    pub(super) hosts: BTreeMap<String, RunningHost>,
    pub(super) upstreams: Vec<UpstreamHandle>,
    pub(super) flows: Vec<FlowCallers>,
    pub(super) requests: Vec<RequestCallers>,
}

/// `RunningHost` is an entry host of the trial.
#[derive(Debug)]
pub(super) struct RunningHost {
    pub(super) host: EntryHost,
    pub(super) data_centre: String,
    pub(super) address: Ipv4Addr,
}

impl TrialParts {
    /// Starts platform, fabric and upstreams.
    pub(super) async fn start(
        network: u8,
        placement: PlacementMode,
        rules: &RuleSet,
    ) -> Result<Self> {
        let shared = Ipv4Addr::new(127, network, 0, 1);
        let platform = start_platform(SocketAddr::from((shared, PLATFORM_PORT))).await?;
        let ports = PortSettings::default();
        let fabric_address = SocketAddrV4::new(shared, ports.gue);
        let fabric = start_fabric(fabric_address)?;
        let store = StoreClient::new(&format!("http://{shared}:{PLATFORM_PORT}"), None)?;
        let mut parts = Self {
            network,
            placement,
            platform,
            fabric,
            store,
            hosts: BTreeMap::new(),
            upstreams: Vec::new(),
            flows: Vec::new(),
            requests: Vec::new(),
        };
        parts.start_upstreams(rules)?;
        Ok(parts)
    }

    fn fabric_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.network, 0, 1), PortSettings::default().gue)
    }

    fn start_upstreams(&mut self, rules: &RuleSet) -> Result<()> {
        let mut settings: BTreeMap<Ipv4Addr, UpstreamSettings> = BTreeMap::new();
        for rule in &rules.upstreams {
            let service = rules.services.iter().find(|service| service.name == rule.service);
            let Some(service) = service else { continue };
            let entry = settings.entry(rule.address).or_insert_with(|| UpstreamSettings {
                name: rule.name.clone(),
                address: rule.address,
                flow_service: None,
                request_capacity: None,
                fabric_return: self.fabric_address(),
                ports: PortSettings::default(),
            });
            match service.class {
                ServiceClass::Flow => {
                    entry.flow_service = Some(service.address);
                    entry.name.clone_from(&rule.name);
                }
                ServiceClass::Request => {
                    entry.request_capacity = Some(RequestCapacity {
                        slots: usize::from(rule.slots),
                        service_time: SERVICE_TIME,
                        warm_up_requests: COLD_REQUESTS,
                    });
                }
            }
        }
        for settings in settings.into_values() {
            self.upstreams.push(start_upstream(settings)?);
        }
        Ok(())
    }

    /// Starts an entry host and lists it at the platform.
    pub(super) fn start_host(
        &mut self,
        name: &str,
        data_centre: &str,
        address: Ipv4Addr,
    ) -> Result<()> {
        let shared = Ipv4Addr::new(127, self.network, 0, 1);
        let seed_hosts = self.hosts.values().map(|running| running.address).collect();
        let settings = HostSettings {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            address,
            fabric_return: self.fabric_address(),
            platform_url: format!("http://{shared}:{PLATFORM_PORT}"),
            platform_token: None,
            keys: FleetKeys { current: FleetKey::derive(SECRET)?, previous: None },
            fleet_secret: SECRET.to_vec(),
            seed_hosts,
            ports: PortSettings::default(),
            flow: FlowSettings {
                placement_mode: self.placement,
                flow_capacity: 16_384,
                record_capacity: 65_536,
                collecting_duration: COLLECT_TIME,
                ..FlowSettings::default()
            },
        };
        let host = EntryHost::start(settings)?;
        let entry = CatalogueEntry {
            name: name.to_owned(),
            address,
            data_centre: data_centre.to_owned(),
            leaving: false,
        };
        self.platform.register_host(entry);
        let running = RunningHost { host, data_centre: data_centre.to_owned(), address };
        self.hosts.insert(name.to_owned(), running);
        Ok(())
    }

    /// Hands packets to the hosts that `wanted` accepts.
    pub(super) fn spray_over(&self, wanted: impl Fn(&str, &RunningHost) -> bool) {
        let gue = PortSettings::default().gue;
        let hosts = self.hosts.iter().filter(|(name, running)| wanted(name, running));
        let hosts = hosts.map(|(_, running)| SocketAddrV4::new(running.address, gue));
        self.fabric.set_hosts(hosts.collect());
    }

    /// Starts the callers.
    pub(super) fn start_callers(&mut self, rules: &RuleSet, feeds: usize) -> Result<()> {
        let flow = service_of(rules, ServiceClass::Flow, 0, "a flow service")?;
        let registrations = service_of(rules, ServiceClass::Request, 0, "a request service")?;
        let archive = service_of(rules, ServiceClass::Request, 1, "two request services")?;
        for group in 0..CALLER_GROUPS {
            let own = Ipv4Addr::new(127, self.network, 9, group + 1);
            self.flows.push(start_flow_callers(FlowCallerSettings {
                source_address: caller_group_address(group + 1),
                bind_address: SocketAddrV4::new(own, 7_000),
                fabric_address: self.fabric_address(),
                service_address: flow.address,
                feed_count: feeds / usize::from(CALLER_GROUPS),
            })?);
            self.requests.push(start_request_callers(RequestCallerSettings {
                source_address: SocketAddrV4::new(caller_group_address(group + 101), 5_683),
                bind_address: SocketAddrV4::new(own, 7_001),
                fabric_address: self.fabric_address(),
                registration_service: registrations.address,
                download_service: archive.address,
                request_interval: Duration::from_millis(50),
            })?);
        }
        Ok(())
    }

    /// Writes rules to the store as the next revision; returns the revision.
    pub(super) async fn apply(&self, rules: &RuleSet) -> Result<u64> {
        let read = self.store.read(RULES_KEY).await?;
        let held = match &read.value {
            Some(stored) => Some(decode_rules(&stored.value)?),
            None => None,
        };
        let revision = held.map_or(1, |held| held.revision + 1);
        let document = RulesDocument {
            revision,
            edit: rand::random(),
            recent_edits: Vec::new(),
            text: rules.to_text(),
        };
        let expected = read.value.map_or(0, |stored| stored.modify_index);
        self.store.write(RULES_KEY, &encode_rules(&document), expected).await?;
        Ok(revision)
    }
}

fn service_of<'a>(
    rules: &'a RuleSet,
    class: ServiceClass,
    index: usize,
    what: &'static str,
) -> Result<&'a ServiceRule> {
    let mut services = rules.services.iter().filter(|service| service.class == class);
    services.nth(index).ok_or(TrialError::Unsuitable(what))
}
