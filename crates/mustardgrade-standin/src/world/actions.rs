//! Scripted events.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use mustardgrade_core::identity::{DataCentreId, UpstreamId};
use mustardgrade_core::rule::{
    DataCentreRule, DataCentreState, RuleComment, ServiceRule, UpstreamRule, UpstreamState,
};

use super::World;
use super::event::WorldEvent;
use crate::scenario::EventAction;

impl World {
    /// Builds the rules of the scenario's sizes.
    pub(super) fn build_rules(&mut self) {
        let requester = RuleComment("scenario".to_owned());
        for centre in &self.scenario.data_centres {
            self.rules.data_centres.push(DataCentreRule {
                name: centre.name.clone(),
                state: DataCentreState::In,
                comment: requester.clone(),
                line: 0,
            });
        }
        let services = self.scenario.services.clone();
        for (index, service) in services.iter().enumerate() {
            let ip = Ipv4Addr::new(203, 0, 113, 1 + index as u8);
            self.rules.services.push(ServiceRule {
                name: service.name.clone(),
                address: SocketAddrV4::new(ip, 7_000),
                class: service.class,
                tenant: service.name.clone(),
                comment: requester.clone(),
                line: 0,
            });
            for number in 1..=service.upstream_count {
                self.add_upstream(&service.name, &format!("{}-{number}", service.name));
            }
        }
    }

    fn add_upstream(&mut self, service: &str, name: &str) {
        let spec = self.scenario.services.iter().find(|spec| spec.name == service);
        let slots = spec.map_or(1, |spec| spec.slots_per_upstream);
        let index = self.rules.upstreams.len();
        let centres = &self.scenario.data_centres;
        let rule = UpstreamRule {
            name: name.to_owned(),
            service: service.to_owned(),
            address: Ipv4Addr::from(0x0B00_0001 + index as u32),
            data_centre: centres[index % centres.len()].name.clone(),
            slots,
            state: UpstreamState::Serving,
            comment: RuleComment("scenario".to_owned()),
            line: 0,
        };
        self.upstreams.insert(rule.id(), index);
        let server = super::servers::VirtualServer::new(usize::from(rule.slots));
        self.book.servers.insert(rule.id(), server);
        self.rules.upstreams.push(rule);
    }

    pub(super) fn act(&mut self, index: usize) {
        let action = self.scenario.events[index].action.clone();
        match action {
            EventAction::DrainUpstream(name) => {
                self.set_upstream(&name, UpstreamState::Draining);
            }
            EventAction::ServeUpstream(name) => self.set_upstream(&name, UpstreamState::Serving),
            EventAction::RemoveUpstream(name) => self.set_upstream(&name, UpstreamState::Gone),
            EventAction::AddUpstream { service, upstream } => {
                self.add_upstream(&service, &upstream);
                self.accept_rules();
            }
            EventAction::KillHost(name) => self.with_host(&name, Self::kill_host),
            EventAction::StopHost(name) => self.with_host(&name, Self::stop_host),
            EventAction::ReplaceHost(name) => self.with_host(&name, |world, host| {
                let centre = world.hosts[host].data_centre_name.clone();
                let fresh = format!("{}+", world.hosts[host].name);
                world.start_host(&fresh, &centre);
                world.stop_host(host);
            }),
            EventAction::StartHost { host, data_centre } => self.start_host(&host, &data_centre),
            EventAction::PauseHost { host, duration } => {
                self.with_host(&host, |world, host| world.pause_host(host, duration));
            }
            EventAction::IsolateDataCentre { data_centre, duration } => {
                self.cut(&data_centre, duration)
            }
            EventAction::SetDataCentreState { data_centre, state } => {
                self.set_data_centre(&data_centre, state);
            }
            EventAction::InjectStoreFault { fault, duration } => {
                self.store.fault = Some(fault);
                self.queue.push(self.now + duration, WorldEvent::StoreWorks);
            }
            EventAction::TurnUpstreamCold(name) => {
                self.with_server(&name, super::servers::VirtualServer::turn_cold);
            }
            // Worlds with rules know neither a manifest nor a register.
            EventAction::ReuseUpstreamAddress { .. }
            | EventAction::KillWatchingHosts
            | EventAction::PowerLoss(_)
            | EventAction::PublishManifest => self.tally.unknown_names += 1,
            EventAction::RestartUpstream(name) => {
                self.with_server(&name, super::servers::VirtualServer::restart);
            }
        }
    }

    /// Does something to a host; an unknown name is counted as a fault of the scenario.
    fn with_host(&mut self, name: &str, act: impl FnOnce(&mut Self, usize)) {
        match self.host_numbers.get(name).copied() {
            Some(host) => act(self, host),
            None => self.tally.unknown_names += 1,
        }
    }

    /// Does something to an upstream that serves requests.
    fn with_server(&mut self, name: &str, act: impl FnOnce(&mut super::servers::VirtualServer)) {
        match self.book.servers.get_mut(&UpstreamId::from_name(name)) {
            Some(server) => act(server),
            None => self.tally.unknown_names += 1,
        }
    }

    fn set_upstream(&mut self, name: &str, state: UpstreamState) {
        let Some(rule) = self.rules.upstreams.iter_mut().find(|rule| rule.name == name) else {
            self.tally.unknown_names += 1;
            return;
        };
        rule.state = state;
        let id = rule.id();
        match state {
            UpstreamState::Draining => self.tally.draining_since.insert(id, self.now),
            UpstreamState::Serving | UpstreamState::Gone => self.tally.draining_since.remove(&id),
        };
        self.accept_rules();
    }

    fn set_data_centre(&mut self, name: &str, state: DataCentreState) {
        let Some(rule) = self.rules.data_centres.iter_mut().find(|rule| rule.name == name) else {
            self.tally.unknown_names += 1;
            return;
        };
        rule.state = state;
        let id = DataCentreId::from_name(name);
        match state {
            DataCentreState::Out => self.tally.out_since.insert(id, self.now),
            DataCentreState::In => self.tally.out_since.remove(&id),
        };
        self.accept_rules();
    }

    /// The store accepts the rules as they stand now.
    fn accept_rules(&mut self) {
        let revision = self.store.accept_rules(Arc::new(self.rules.clone()));
        self.tally.accepted.insert(revision, self.now);
        self.notify_watchers();
    }

    fn cut(&mut self, name: &str, length: Duration) {
        let data_centre = DataCentreId::from_name(name);
        self.network.cut_off(data_centre);
        self.queue.push(self.now + length, WorldEvent::Heal { data_centre });
    }
}
