//! Set-up of a scenario, and its scripted events.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use mustardgrade_core::identity::ServiceId;
use mustardgrade_core::registry::{
    Manifest, RegisteredState, RegistryKey, RegistryValue, RetryPolicy, RouteBackend, RouteConfig,
    ServiceConfig,
};
use mustardgrade_core::rule::{DataCentreState, ServiceClass};
use mustardgrade_core::watch::WatchInput;
use rand::RngExt;

use super::callers::{AT_MOST_ONCE_PORT, IDEMPOTENT_PORT};
use super::event::FleetEvent;
use super::power_on::{LATENCY_OBJECTIVE, PowerLoss};
use super::store::StoreAvailability;
use super::upstreams::{COLD_START_DURATION, MAX_COLD_REQUESTS_PER_SEC};
use super::{FleetSimulation, SIMULATION_START};
use crate::scenario::{EventAction, ServiceSpec, StoreFault};

/// Maximum random delay of each of the hosts that start together.
const HOST_START_SPREAD: Duration = Duration::from_millis(300);

/// Time from the start of a simulation until callers send traffic. Meanwhile, hosts start and
/// discover each other.
const TRAFFIC_START_DELAY: Duration = Duration::from_secs(6);

/// Response time of the store during a slow fault.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(900);

/// Time for which a host that stops gracefully continues to route packets.
const SHUTDOWN_DURATION: Duration = Duration::from_millis(1_600);

/// Delay between the end of an upstream and the start of another one at its address.
const ADDRESS_REUSE_DELAY: Duration = Duration::from_secs(2);

impl FleetSimulation {
    /// Creates the hosts, upstreams and callers of the scenario, and schedules its events.
    pub(super) fn set_up(&mut self) {
        for (data_centre, spec) in self.scenario.data_centres.clone().iter().enumerate() {
            for number in 1..=spec.host_count {
                self.add_host(&format!("{}-{number}", spec.name), data_centre);
            }
        }
        self.publish_next_manifest();
        let services = self.scenario.services.clone();
        for (service, spec) in services.iter().enumerate() {
            for number in 1..=spec.upstream_count {
                self.add_upstream(service, &format!("{}-{number}", spec.name), false);
            }
        }
        self.start_all_hosts();
        self.schedule_after(Duration::ZERO, FleetEvent::HealthCheck);
        self.schedule_after(self.scenario.warm_up_duration, FleetEvent::WarmUpEnd);
        self.start_traffic(&services);
        for (event_index, event) in self.scenario.events.iter().enumerate() {
            self.event_queue
                .push(SIMULATION_START + event.at, FleetEvent::ScriptedAction(event_index));
        }
    }

    fn start_traffic(&mut self, services: &[ServiceSpec]) {
        let flow_service = services.iter().position(|spec| spec.class == ServiceClass::Flow);
        let flow_load = self.scenario.flow_load;
        for _ in 0..flow_service.map_or(0, |_| flow_load.held_flows) {
            let caller = self.add_caller(flow_service.unwrap_or_default(), true, true);
            let first_request_delay =
                flow_load.mean_packet_interval.mul_f64(self.rng.random::<f64>());
            self.schedule_after(
                TRAFFIC_START_DELAY + first_request_delay,
                FleetEvent::NextRequest { caller },
            );
        }
        if self.scenario.request_load.requests_per_sec > 0.0 {
            self.schedule_after(TRAFFIC_START_DELAY, FleetEvent::SingleRequestFlow);
        }
    }

    /// Returns the services of class request, whose requests each use a flow of their own.
    pub(super) fn request_services(&self) -> Vec<usize> {
        let services = self.scenario.services.iter().enumerate();
        services
            .filter(|(_, spec)| spec.class == ServiceClass::Request)
            .map(|(service, _)| service)
            .collect()
    }

    /// Starts all hosts at random times within [`HOST_START_SPREAD`].
    pub(super) fn start_all_hosts(&mut self) {
        for host in 0..self.hosts.len() {
            let delay = HOST_START_SPREAD.mul_f64(self.rng.random::<f64>());
            self.start_host(host, delay);
        }
    }

    /// Writes a manifest to the store that differs from the previous one in its version only.
    pub(super) fn publish_next_manifest(&mut self) {
        let services = &self.scenario.services;
        let routes = services.iter().enumerate().flat_map(|(index, spec)| {
            [
                (IDEMPOTENT_PORT, RetryPolicy::Idempotent),
                (AT_MOST_ONCE_PORT, RetryPolicy::AtMostOnce),
            ]
            .map(|(port, retry_policy)| RouteConfig {
                name: format!("{}-{port}", spec.name),
                address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1 + index as u8), port),
                backends: vec![RouteBackend {
                    service: ServiceId::from_name(&spec.name),
                    weight: 1,
                }],
                retry_policy,
                request_timeout: self.scenario.request_load.caller_timeout,
                latency_objective: LATENCY_OBJECTIVE,
                priority: 1,
            })
        });
        let service_config = |spec: &ServiceSpec| ServiceConfig {
            name: spec.name.clone(),
            max_connections: 4_000,
            cold_start_duration: COLD_START_DURATION,
            max_cold_requests_per_sec: MAX_COLD_REQUESTS_PER_SEC,
        };
        let manifest = Manifest {
            version: self.manifest.version + 1,
            routes: routes.collect(),
            services: services.iter().map(service_config).collect(),
            idle_timeout: Duration::from_secs(15),
        };
        self.manifest = manifest.clone();
        self.measurements.accepted_manifests.push((manifest.version, self.now));
        self.write_entry(RegistryKey::Manifest, RegistryValue::Manifest(Arc::new(manifest)));
    }

    /// Performs the action of the scripted event with this index.
    pub(super) fn perform_action(&mut self, event_index: usize) {
        match self.scenario.events[event_index].action.clone() {
            EventAction::DrainUpstream(name) => self.with_upstream(&name, |sim, upstream| {
                sim.upstreams[upstream].draining_since = Some(sim.now);
                sim.register_upstream(upstream, RegisteredState::Draining);
            }),
            EventAction::ServeUpstream(name) => self.with_upstream(&name, |sim, upstream| {
                sim.upstreams[upstream].draining_since = None;
                sim.register_upstream(upstream, RegisteredState::Ready);
            }),
            EventAction::RemoveUpstream(name) => self.with_upstream(&name, Self::stop_upstream),
            EventAction::AddUpstream { service, upstream } => {
                match self.scenario.services.iter().position(|spec| spec.name == service) {
                    Some(service) => {
                        self.add_upstream(service, &upstream, true);
                    }
                    None => self.measurements.unknown_names += 1,
                }
            }
            EventAction::ReuseUpstreamAddress { upstream, service } => {
                self.reuse_address(&upstream, &service);
            }
            EventAction::TurnUpstreamCold(name) | EventAction::RestartUpstream(name) => {
                self.with_upstream(&name, |sim, upstream| sim.start_upstream(upstream, true));
            }
            EventAction::KillHost(name) => self.with_host(&name, Self::kill_host),
            EventAction::KillWatchingHosts => {
                self.watchers().into_iter().for_each(|host| self.kill_host(host));
            }
            EventAction::StopHost(name) => self.with_host(&name, Self::stop_host),
            EventAction::ReplaceHost(name) => self.with_host(&name, |sim, host| {
                let (data_centre, name) =
                    (sim.hosts[host].data_centre, sim.hosts[host].name.clone());
                let replacement = sim.add_host(&format!("{name}+"), data_centre);
                sim.start_host(replacement, Duration::ZERO);
                sim.stop_host(host);
            }),
            EventAction::StartHost { host, data_centre } => {
                self.start_new_host(&host, &data_centre)
            }
            EventAction::PauseHost { host, duration } => {
                self.with_host(&host, |sim, host| sim.pause_host(host, duration));
            }
            EventAction::PowerLoss(duration) => self.cut_power(duration),
            EventAction::IsolateDataCentre { data_centre, duration } => {
                self.isolate_data_centre(&data_centre, duration)
            }
            EventAction::SetDataCentreState { data_centre, state } => {
                let key = RegistryKey::Evacuation(data_centre);
                let value = match state {
                    DataCentreState::Out => RegistryValue::Evacuated,
                    DataCentreState::In => RegistryValue::Removed { possibly_spurious: false },
                };
                self.write_entry(key, value);
            }
            EventAction::InjectStoreFault { fault, duration } => {
                self.inject_store_fault(fault, duration)
            }
            EventAction::RestoreStore { copy_age, downtime } => {
                self.restore_store(copy_age, downtime)
            }
            EventAction::PublishManifest => self.publish_next_manifest(),
        }
    }

    fn with_host(&mut self, name: &str, action: impl FnOnce(&mut Self, usize)) {
        match self.hosts.iter().rposition(|host| host.name == name) {
            Some(host) => action(self, host),
            None => self.measurements.unknown_names += 1,
        }
    }

    fn with_upstream(&mut self, name: &str, action: impl FnOnce(&mut Self, usize)) {
        match self.upstreams.iter().rposition(|upstream| upstream.name == name) {
            Some(upstream) => action(self, upstream),
            None => self.measurements.unknown_names += 1,
        }
    }

    fn data_centre_index(&self, name: &str) -> Option<usize> {
        self.scenario.data_centres.iter().position(|spec| spec.name == name)
    }

    fn start_new_host(&mut self, host_name: &str, data_centre_name: &str) {
        match self.data_centre_index(data_centre_name) {
            Some(data_centre) => {
                let host = self.add_host(host_name, data_centre);
                self.start_host(host, Duration::ZERO);
            }
            None => self.measurements.unknown_names += 1,
        }
    }

    /// Stops a host gracefully: it announces that it leaves, and routes packets until its process
    /// exits.
    fn stop_host(&mut self, host: usize) {
        self.handle_controller_input(host, WatchInput::Leave);
        let incarnation = self.hosts[host].incarnation;
        self.schedule_after(SHUTDOWN_DURATION, FleetEvent::ProcessExit { host, incarnation });
    }

    /// Stops an upstream and later starts one of the given service at its address.
    fn reuse_address(&mut self, upstream_name: &str, service_name: &str) {
        let service = self.scenario.services.iter().position(|spec| spec.name == service_name);
        let Some(service) = service else {
            self.measurements.unknown_names += 1;
            return;
        };
        self.with_upstream(upstream_name, |sim, upstream| {
            let address = sim.upstreams[upstream].address;
            sim.stop_upstream(upstream);
            sim.schedule_after(ADDRESS_REUSE_DELAY, FleetEvent::StartUpstream { service, address });
        });
    }

    /// Kills all hosts, and starts them again together after `duration`.
    fn cut_power(&mut self, duration: Duration) {
        self.measurements.power_loss = Some(PowerLoss {
            lost_at: self.now,
            on_at: self.now + duration,
            first_packet: None,
            first_opening: None,
        });
        for host in 0..self.hosts.len() {
            self.kill_host(host);
            self.hosts[host].in_rotation = false;
            let delay = duration + HOST_START_SPREAD.mul_f64(self.rng.random::<f64>());
            self.schedule_after(delay, FleetEvent::StartHost { host });
        }
    }

    /// Disconnects a data centre from the others and from the store.
    pub(super) fn isolate_data_centre(&mut self, name: &str, duration: Duration) {
        let Some(data_centre) = self.data_centre_index(name) else {
            self.measurements.unknown_names += 1;
            return;
        };
        for other in (0..self.scenario.data_centres.len()).filter(|other| *other != data_centre) {
            self.partitions.insert((data_centre, other));
        }
        self.isolated_data_centres.insert(data_centre);
        let fault_end = self.now + duration;
        for host in 0..self.hosts.len() {
            if self.hosts[host].data_centre == data_centre {
                self.hosts[host].store_availability = StoreAvailability::Unresponsive;
                self.exempt_host(host, fault_end);
            }
        }
        for upstream in &mut self.upstreams {
            upstream.stable_since = fault_end;
        }
        self.schedule_after(duration, FleetEvent::PartitionEnd { data_centre });
    }

    /// Reconnects a data centre to the others and to the store.
    pub(super) fn heal_partition(&mut self, data_centre: usize) {
        self.partitions.retain(|(first, second)| *first != data_centre && *second != data_centre);
        self.isolated_data_centres.remove(&data_centre);
        for host in self.hosts.iter_mut().filter(|host| host.data_centre == data_centre) {
            host.store_availability = self.store.availability;
        }
    }

    pub(super) fn inject_store_fault(&mut self, fault: StoreFault, duration: Duration) {
        let availability = match fault {
            StoreFault::Down => StoreAvailability::Failing,
            StoreFault::LostAnswer => StoreAvailability::Unresponsive,
            StoreFault::Slow => StoreAvailability::Available,
        };
        if fault == StoreFault::Slow {
            self.store.response_time = SLOW_RESPONSE_TIME;
        }
        self.set_store_availability(availability);
        let fault_end = self.now + duration;
        for host in 0..self.hosts.len() {
            self.exempt_host(host, fault_end);
        }
        self.schedule_after(duration, FleetEvent::StoreFaultEnd);
    }

    /// Sets how the store responds to all hosts that are not cut off from it.
    fn set_store_availability(&mut self, availability: StoreAvailability) {
        self.store.availability = availability;
        for host in &mut self.hosts {
            if !self.isolated_data_centres.contains(&host.data_centre) {
                host.store_availability = availability;
            }
        }
    }

    /// Ends all faults of the store.
    pub(super) fn end_store_faults(&mut self) {
        self.store.response_time = super::store::NORMAL_RESPONSE_TIME;
        self.set_store_availability(StoreAvailability::Available);
    }
}
