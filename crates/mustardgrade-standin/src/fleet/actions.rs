//! Setting up a scenario, and its scripted events.

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

use super::callers::{ONCE_PORT, SAFE_PORT};
use super::event::FleetEvent;
use super::servers::{COLD_RATE, COLD_TIME};
use super::store::StoreMood;
use super::{EPOCH, FleetWorld};
use crate::scenario::{EventAction, ServiceSpec, StoreFault};

/// Span within which hosts start together.
const START_SPAN: Duration = Duration::from_millis(300);

/// Time before the traffic, in which hosts start and find each other.
const LEAD_TIME: Duration = Duration::from_secs(6);

/// Time that a slow store takes for an answer.
const SLOW_TIME: Duration = Duration::from_millis(900);

/// Time for which a leaving host routes on.
const LEAVE_TIME: Duration = Duration::from_millis(1_600);

/// Time from the end of an upstream until another one uses its address.
const REUSE_TIME: Duration = Duration::from_secs(2);

impl FleetWorld {
    /// Builds everything that the scenario names.
    pub(super) fn set_up(&mut self) {
        for (place, spec) in self.scenario.data_centres.clone().iter().enumerate() {
            for number in 1..=spec.host_count {
                self.add_host(&format!("{}-{number}", spec.name), place);
            }
        }
        self.put_next_manifest();
        let services = self.scenario.services.clone();
        for (service, spec) in services.iter().enumerate() {
            for number in 1..=spec.upstream_count {
                self.add_server(service, &format!("{}-{number}", spec.name), false);
            }
        }
        self.start_all();
        self.later(Duration::ZERO, FleetEvent::Poll);
        self.later(self.scenario.warm_up_duration, FleetEvent::WarmedUp);
        self.start_load(&services);
        for (index, event) in self.scenario.events.iter().enumerate() {
            self.queue.push(EPOCH + event.at, FleetEvent::Action(index));
        }
    }

    fn start_load(&mut self, services: &[ServiceSpec]) {
        let long = services.iter().position(|spec| spec.class == ServiceClass::Flow);
        let load = self.scenario.flow_load;
        for _ in 0..long.map_or(0, |_| load.held_flows) {
            let flow = self.add_flow(long.unwrap_or_default(), true, true);
            let first = load.mean_packet_interval.mul_f64(self.random.random::<f64>());
            self.later(LEAD_TIME + first, FleetEvent::NextRequest { flow });
        }
        if self.scenario.request_load.requests_per_sec > 0.0 {
            self.later(LEAD_TIME, FleetEvent::OpenRequest);
        }
    }

    /// Returns the services whose requests have flows of their own.
    pub(super) fn request_services(&self) -> Vec<usize> {
        let services = self.scenario.services.iter().enumerate();
        services
            .filter(|(_, spec)| spec.class == ServiceClass::Request)
            .map(|(service, _)| service)
            .collect()
    }

    /// Starts all hosts within 0.3 s of each other.
    pub(super) fn start_all(&mut self) {
        for host in 0..self.hosts.len() {
            let delay = START_SPAN.mul_f64(self.random.random::<f64>());
            self.start(host, delay);
        }
    }

    /// The operators put a manifest in force that differs in its version only.
    pub(super) fn put_next_manifest(&mut self) {
        let services = &self.scenario.services;
        let routes = services.iter().enumerate().flat_map(|(index, spec)| {
            [(SAFE_PORT, RetryPolicy::Idempotent), (ONCE_PORT, RetryPolicy::AtMostOnce)].map(
                |(port, repeat)| RouteConfig {
                    name: format!("{}-{port}", spec.name),
                    address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1 + index as u8), port),
                    backends: vec![RouteBackend {
                        service: ServiceId::from_name(&spec.name),
                        weight: 1,
                    }],
                    retry_policy: repeat,
                    request_timeout: self.scenario.request_load.caller_timeout,
                    latency_objective: Duration::from_millis(500),
                    priority: 1,
                },
            )
        });
        let plan = |spec: &ServiceSpec| ServiceConfig {
            name: spec.name.clone(),
            max_connections: 4_000,
            cold_start_duration: COLD_TIME,
            max_cold_requests_per_sec: COLD_RATE,
        };
        let manifest = Manifest {
            version: self.manifest.version + 1,
            routes: routes.collect(),
            services: services.iter().map(plan).collect(),
            idle_timeout: Duration::from_secs(15),
        };
        self.manifest = manifest.clone();
        self.tally.accepted.push((manifest.version, self.now));
        self.put(RegistryKey::Manifest, RegistryValue::Manifest(Arc::new(manifest)));
    }

    /// Carries out a scripted event.
    pub(super) fn act(&mut self, index: usize) {
        match self.scenario.events[index].action.clone() {
            EventAction::DrainUpstream(name) => self.with_server(&name, |world, server| {
                world.servers[server].draining_since = Some(world.now);
                world.register(server, RegisteredState::Draining);
            }),
            EventAction::ServeUpstream(name) => self.with_server(&name, |world, server| {
                world.servers[server].draining_since = None;
                world.register(server, RegisteredState::Ready);
            }),
            EventAction::RemoveUpstream(name) => self.with_server(&name, Self::end_server),
            EventAction::AddUpstream { service, upstream } => {
                match self.scenario.services.iter().position(|spec| spec.name == service) {
                    Some(service) => {
                        self.add_server(service, &upstream, true);
                    }
                    None => self.tally.unknown_names += 1,
                }
            }
            EventAction::ReuseUpstreamAddress { upstream, service } => {
                self.reuse_address(&upstream, &service);
            }
            EventAction::TurnUpstreamCold(name) | EventAction::RestartUpstream(name) => {
                self.with_server(&name, |world, server| world.start_server(server, true));
            }
            EventAction::KillHost(name) => self.with_host(&name, Self::kill),
            EventAction::KillWatchingHosts => {
                self.watchers().into_iter().for_each(|host| self.kill(host));
            }
            EventAction::StopHost(name) => self.with_host(&name, Self::leave),
            EventAction::ReplaceHost(name) => self.with_host(&name, |world, host| {
                let (place, fresh) =
                    (world.hosts[host].data_centre, world.hosts[host].name.clone());
                let fresh = world.add_host(&format!("{fresh}+"), place);
                world.start(fresh, Duration::ZERO);
                world.leave(host);
            }),
            EventAction::StartHost { host, data_centre } => self.start_named(&host, &data_centre),
            EventAction::PauseHost { host, duration } => {
                self.with_host(&host, |world, host| world.freeze(host, duration));
            }
            EventAction::PowerLoss(length) => self.lose_power(length),
            EventAction::IsolateDataCentre { data_centre, duration } => {
                self.cut_off(&data_centre, duration)
            }
            EventAction::SetDataCentreState { data_centre, state } => {
                let key = RegistryKey::Evacuation(data_centre);
                let value = match state {
                    DataCentreState::Out => RegistryValue::Evacuated,
                    DataCentreState::In => RegistryValue::Removed { possibly_spurious: false },
                };
                self.put(key, value);
            }
            EventAction::InjectStoreFault { fault, duration } => {
                self.disturb_store(fault, duration)
            }
            EventAction::PublishManifest => self.put_next_manifest(),
        }
    }

    fn with_host(&mut self, name: &str, act: impl FnOnce(&mut Self, usize)) {
        match self.hosts.iter().rposition(|host| host.name == name) {
            Some(host) => act(self, host),
            None => self.tally.unknown_names += 1,
        }
    }

    fn with_server(&mut self, name: &str, act: impl FnOnce(&mut Self, usize)) {
        match self.servers.iter().rposition(|server| server.name == name) {
            Some(server) => act(self, server),
            None => self.tally.unknown_names += 1,
        }
    }

    fn place(&self, name: &str) -> Option<usize> {
        self.scenario.data_centres.iter().position(|spec| spec.name == name)
    }

    fn start_named(&mut self, host: &str, data_centre: &str) {
        match self.place(data_centre) {
            Some(place) => {
                let host = self.add_host(host, place);
                self.start(host, Duration::ZERO);
            }
            None => self.tally.unknown_names += 1,
        }
    }

    /// Asks a host to stop; it routes on until its process ends.
    fn leave(&mut self, host: usize) {
        self.feed(host, WatchInput::Leave);
        let run = self.hosts[host].run;
        self.later(LEAVE_TIME, FleetEvent::End { host, run });
    }

    /// Lets an upstream end and, later, one of another service come up at its address.
    fn reuse_address(&mut self, upstream: &str, service: &str) {
        let service = self.scenario.services.iter().position(|spec| spec.name == service);
        let Some(service) = service else {
            self.tally.unknown_names += 1;
            return;
        };
        self.with_server(upstream, |world, server| {
            let address = world.servers[server].address;
            world.end_server(server);
            world.later(REUSE_TIME, FleetEvent::ComeUp { service, address });
        });
    }

    /// Lets all hosts lose power, and start again together after `length`.
    fn lose_power(&mut self, length: Duration) {
        for host in 0..self.hosts.len() {
            self.kill(host);
            self.hosts[host].in_fabric = false;
            let delay = length + START_SPAN.mul_f64(self.random.random::<f64>());
            self.later(delay, FleetEvent::Start { host });
        }
    }

    /// Cuts a data centre off from the others and from the store.
    fn cut_off(&mut self, name: &str, length: Duration) {
        let Some(place) = self.place(name) else {
            self.tally.unknown_names += 1;
            return;
        };
        for other in (0..self.scenario.data_centres.len()).filter(|other| *other != place) {
            self.cuts.insert((place, other));
        }
        let end = self.now + length;
        for host in 0..self.hosts.len() {
            if self.hosts[host].data_centre == place {
                self.hosts[host].mood = StoreMood::Silent;
                self.excuse(host, end);
            }
        }
        for server in &mut self.servers {
            server.disturbed = end;
        }
        self.later(length, FleetEvent::Heal { data_centre: place });
    }

    /// Ends the cut of a data centre.
    pub(super) fn heal(&mut self, place: usize) {
        self.cuts.retain(|(one, other)| *one != place && *other != place);
        for host in self.hosts.iter_mut().filter(|host| host.data_centre == place) {
            host.mood = StoreMood::Well;
        }
    }

    fn disturb_store(&mut self, fault: StoreFault, length: Duration) {
        let mood = match fault {
            StoreFault::Down => StoreMood::Busy,
            StoreFault::LostAnswer => StoreMood::Silent,
            StoreFault::Slow => StoreMood::Well,
        };
        if fault == StoreFault::Slow {
            self.store.time = SLOW_TIME;
        }
        let end = self.now + length;
        for host in 0..self.hosts.len() {
            self.hosts[host].mood = mood;
            self.excuse(host, end);
        }
        self.later(length, FleetEvent::StoreWorks);
    }

    /// Ends a disturbance of the store.
    pub(super) fn store_works(&mut self) {
        self.store.time = super::store::ANSWER_TIME;
        for host in &mut self.hosts {
            host.mood = StoreMood::Well;
        }
    }
}
