//! The environment of a trial: platform, fabric, hosts, upstreams and callers on loopback.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use mustardgrade_core::flow::PlacementMode;
use mustardgrade_core::rule::{RuleSet, ServiceClass, ServiceRule};
use mustardgrade_node::host::EntryHost;
use mustardgrade_node::settings::{FlowSettings, HostSettings, PortSettings};
use mustardgrade_node::store::{RULES_KEY, RulesDocument, StoreClient, decode_rules, encode_rules};
use mustardgrade_wire::peer::{FleetKey, FleetKeys};

use super::addresses::{LoopbackRange, platform_address};
use super::errors::{Result, TrialError};
use crate::caller::{
    FlowCallerSettings, FlowCallers, RequestCallerSettings, RequestCallers, caller_group_address,
    start_flow_callers, start_request_callers,
};
use crate::fabric::{FabricHandle, start_fabric};
use crate::platform::{CatalogueEntry, PlatformHandle, start_platform};
use crate::upstream::{RequestCapacity, UpstreamHandle, UpstreamSettings, start_upstream};

/// TCP port that the platform serves HTTP on.
const PLATFORM_PORT: u16 = 8500;

/// Secret that the hosts of the trial derive their keys from.
const FLEET_SECRET: &[u8] = b"the secret of a trial on loopback";

/// Time that a warm upstream takes to serve a request.
const WARM_SERVICE_TIME: Duration = Duration::from_millis(30);

/// Number of requests that a cold upstream serves until it is warm.
const REQUESTS_UNTIL_WARM: u32 = 20;

/// Duration of the collecting phase of a bucket that moves; flows without a packet for this time
/// are considered closed. Feeds send ten times a second, so an open one is never taken for closed.
const COLLECTING_DURATION: Duration = Duration::from_secs(3);

/// Number of groups of flow callers and of request callers; each has an address of its own.
const CALLER_GROUP_COUNT: u8 = 4;

/// `TrialEnvironment` holds everything that runs in a trial.
#[derive(Debug)]
pub(super) struct TrialEnvironment {
    pub(super) addresses: LoopbackRange,
    pub(super) placement_mode: PlacementMode,
    pub(super) platform: PlatformHandle,
    pub(super) fabric: FabricHandle,
    pub(super) store: StoreClient,
    pub(super) hosts: BTreeMap<String, RunningHost>,
    pub(super) upstreams: Vec<UpstreamHandle>,
    pub(super) flow_callers: Vec<FlowCallers>,
    pub(super) request_callers: Vec<RequestCallers>,
}

/// `RunningHost` is an entry host of the trial with its location.
#[derive(Debug)]
pub(super) struct RunningHost {
    pub(super) host: EntryHost,
    pub(super) data_centre: String,
    pub(super) address: Ipv4Addr,
}

impl TrialEnvironment {
    /// Starts the platform, the fabric and the upstreams of the rules.
    pub(super) async fn start(
        addresses: LoopbackRange,
        placement_mode: PlacementMode,
        rules: &RuleSet,
    ) -> Result<Self> {
        let platform_and_fabric_address = platform_address(addresses.second_octet());
        let platform =
            start_platform(SocketAddr::from((platform_and_fabric_address, PLATFORM_PORT))).await?;
        let ports = PortSettings::default();
        let fabric_address = SocketAddrV4::new(platform_and_fabric_address, ports.gue);
        let fabric = start_fabric(fabric_address)?;
        let store = StoreClient::new(
            &format!("http://{platform_and_fabric_address}:{PLATFORM_PORT}"),
            None,
        )?;
        let mut environment = Self {
            addresses,
            placement_mode,
            platform,
            fabric,
            store,
            hosts: BTreeMap::new(),
            upstreams: Vec::new(),
            flow_callers: Vec::new(),
            request_callers: Vec::new(),
        };
        environment.start_upstreams(rules)?;
        Ok(environment)
    }

    fn fabric_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(
            platform_address(self.addresses.second_octet()),
            PortSettings::default().gue,
        )
    }

    fn start_upstreams(&mut self, rules: &RuleSet) -> Result<()> {
        let mut settings_by_address: BTreeMap<Ipv4Addr, UpstreamSettings> = BTreeMap::new();
        for rule in &rules.upstreams {
            let service = rules.services.iter().find(|service| service.name == rule.service);
            let Some(service) = service else { continue };
            let settings =
                settings_by_address.entry(rule.address).or_insert_with(|| UpstreamSettings {
                    name: rule.name.clone(),
                    address: rule.address,
                    flow_service: None,
                    request_capacity: None,
                    fabric_return: self.fabric_address(),
                    ports: PortSettings::default(),
                });
            match service.class {
                ServiceClass::Flow => {
                    settings.flow_service = Some(service.address);
                    settings.name.clone_from(&rule.name);
                }
                ServiceClass::Request => {
                    settings.request_capacity = Some(RequestCapacity {
                        slots: usize::from(rule.slots),
                        service_time: WARM_SERVICE_TIME,
                        warm_up_requests: REQUESTS_UNTIL_WARM,
                    });
                }
            }
        }
        for settings in settings_by_address.into_values() {
            self.upstreams.push(start_upstream(settings)?);
        }
        Ok(())
    }

    /// Starts an entry host and registers it in the platform's catalogue.
    pub(super) fn start_host(
        &mut self,
        name: &str,
        data_centre: &str,
        address: Ipv4Addr,
    ) -> Result<()> {
        let platform_address = platform_address(self.addresses.second_octet());
        let seed_hosts = self.hosts.values().map(|running| running.address).collect();
        let settings = HostSettings {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            address,
            fabric_return: self.fabric_address(),
            platform_url: format!("http://{platform_address}:{PLATFORM_PORT}"),
            platform_token: None,
            keys: FleetKeys { current: FleetKey::derive(FLEET_SECRET)?, previous: None },
            fleet_secret: FLEET_SECRET.to_vec(),
            seed_hosts,
            ports: PortSettings::default(),
            flow: FlowSettings {
                placement_mode: self.placement_mode,
                flow_capacity: 16_384,
                record_capacity: 65_536,
                collecting_duration: COLLECTING_DURATION,
                ..FlowSettings::default()
            },
        };
        let host = EntryHost::start(settings)?;
        let catalogue_entry = CatalogueEntry {
            name: name.to_owned(),
            address,
            data_centre: data_centre.to_owned(),
            leaving: false,
        };
        self.platform.register_host(catalogue_entry);
        let running = RunningHost { host, data_centre: data_centre.to_owned(), address };
        self.hosts.insert(name.to_owned(), running);
        Ok(())
    }

    /// Makes the fabric distribute packets over the hosts that `is_eligible` accepts.
    pub(super) fn set_fabric_hosts(&self, is_eligible: impl Fn(&str, &RunningHost) -> bool) {
        let gue_port = PortSettings::default().gue;
        let eligible_hosts = self.hosts.iter().filter(|(name, running)| is_eligible(name, running));
        let addresses =
            eligible_hosts.map(|(_, running)| SocketAddrV4::new(running.address, gue_port));
        self.fabric.set_hosts(addresses.collect());
    }

    /// Starts the groups of callers, with `feed_count` feeds spread over the groups.
    pub(super) fn start_callers(&mut self, rules: &RuleSet, feed_count: usize) -> Result<()> {
        let flow_service = nth_service(rules, ServiceClass::Flow, 0, "a flow service")?;
        let registration_service =
            nth_service(rules, ServiceClass::Request, 0, "a request service")?;
        let download_service =
            nth_service(rules, ServiceClass::Request, 1, "two request services")?;
        for group in 0..CALLER_GROUP_COUNT {
            let group_address = Ipv4Addr::new(127, self.addresses.second_octet(), 9, group + 1);
            self.flow_callers.push(start_flow_callers(FlowCallerSettings {
                source_address: caller_group_address(group + 1),
                bind_address: SocketAddrV4::new(group_address, 7_000),
                fabric_address: self.fabric_address(),
                service_address: flow_service.address,
                feed_count: feed_count / usize::from(CALLER_GROUP_COUNT),
            })?);
            self.request_callers.push(start_request_callers(RequestCallerSettings {
                source_address: SocketAddrV4::new(caller_group_address(group + 101), 5_683),
                bind_address: SocketAddrV4::new(group_address, 7_001),
                fabric_address: self.fabric_address(),
                registration_service: registration_service.address,
                download_service: download_service.address,
                request_interval: Duration::from_millis(50),
            })?);
        }
        Ok(())
    }

    /// Writes rules to the store as the next revision and returns that revision.
    pub(super) async fn apply_rules(&self, rules: &RuleSet) -> Result<u64> {
        let stored = self.store.read(RULES_KEY).await?;
        let current_document = match &stored.value {
            Some(entry) => Some(decode_rules(&entry.value)?),
            None => None,
        };
        let document = RulesDocument::next(current_document.as_ref(), rand::random(), rules);
        let expected_index = stored.value.map_or(0, |entry| entry.modify_index);
        self.store.write(RULES_KEY, &encode_rules(&document), expected_index).await?;
        Ok(document.revision)
    }
}

fn nth_service<'a>(
    rules: &'a RuleSet,
    class: ServiceClass,
    position: usize,
    requirement: &'static str,
) -> Result<&'a ServiceRule> {
    let mut services = rules.services.iter().filter(|service| service.class == class);
    services.nth(position).ok_or(TrialError::MissingFromRules(requirement))
}
