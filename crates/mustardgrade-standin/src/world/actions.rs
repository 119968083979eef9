//! Scripted events of scenarios.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use mustardgrade_core::identity::{DataCentreId, UpstreamId};
use mustardgrade_core::rule::{
    DataCentreRule, DataCentreState, RuleComment, ServiceRule, UpstreamRule, UpstreamState,
};

use super::Simulation;
use super::event::SimulationEvent;
use crate::scenario::EventAction;

impl Simulation {
    /// Adds the data centres, services and upstreams of the scenario to the rules.
    pub(super) fn build_rules(&mut self) {
        let comment = RuleComment("scenario".to_owned());
        for data_centre in &self.scenario.data_centres {
            self.rules.data_centres.push(DataCentreRule {
                name: data_centre.name.clone(),
                state: DataCentreState::In,
                comment: comment.clone(),
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
                customer: service.name.clone(),
                comment: comment.clone(),
                line: 0,
            });
            for number in 1..=service.upstream_count {
                self.add_upstream(&service.name, &format!("{}-{number}", service.name));
            }
        }
    }

    fn add_upstream(&mut self, service: &str, name: &str) {
        let service_spec = self.scenario.services.iter().find(|spec| spec.name == service);
        let slots = service_spec.map_or(1, |spec| spec.slots_per_upstream);
        let index = self.rules.upstreams.len();
        let data_centres = &self.scenario.data_centres;
        let rule = UpstreamRule {
            name: name.to_owned(),
            service: service.to_owned(),
            address: Ipv4Addr::from(0x0B00_0001 + index as u32),
            data_centre: data_centres[index % data_centres.len()].name.clone(),
            slots,
            state: UpstreamState::Serving,
            comment: RuleComment("scenario".to_owned()),
            line: 0,
        };
        self.upstream_indices.insert(rule.id(), index);
        let upstream = super::request_upstreams::SimulatedUpstream::new(usize::from(rule.slots));
        self.request_tracker.request_upstreams.insert(rule.id(), upstream);
        self.rules.upstreams.push(rule);
    }

    /// Performs the action of the scripted event with this index.
    pub(super) fn perform_action(&mut self, index: usize) {
        let action = self.scenario.events[index].action.clone();
        match action {
            EventAction::DrainUpstream(name) => {
                self.set_upstream_state(&name, UpstreamState::Draining);
            }
            EventAction::ServeUpstream(name) => {
                self.set_upstream_state(&name, UpstreamState::Serving)
            }
            EventAction::RemoveUpstream(name) => {
                self.set_upstream_state(&name, UpstreamState::Gone)
            }
            EventAction::AddUpstream { service, upstream } => {
                self.add_upstream(&service, &upstream);
                self.publish_rules();
            }
            EventAction::KillHost(name) => self.with_host(&name, Self::kill_host),
            EventAction::StopHost(name) => self.with_host(&name, Self::stop_host),
            EventAction::ReplaceHost(name) => self.with_host(&name, |simulation, host| {
                let data_centre = simulation.hosts[host].data_centre_name.clone();
                let replacement = format!("{}+", simulation.hosts[host].name);
                simulation.start_host(&replacement, &data_centre);
                simulation.stop_host(host);
            }),
            EventAction::StartHost { host, data_centre } => self.start_host(&host, &data_centre),
            EventAction::PauseHost { host, duration } => {
                self.with_host(&host, |simulation, host| simulation.pause_host(host, duration));
            }
            EventAction::IsolateDataCentre { data_centre, duration } => {
                self.isolate_data_centre(&data_centre, duration)
            }
            EventAction::SetDataCentreState { data_centre, state } => {
                self.set_data_centre_state(&data_centre, state);
            }
            EventAction::InjectStoreFault { fault, duration } => {
                self.store.fault = Some(fault);
                self.event_queue.push(self.now + duration, SimulationEvent::ClearStoreFault);
            }
            EventAction::RestoreStore { copy_age, downtime } => {
                self.restore_store(copy_age, downtime)
            }
            EventAction::TurnUpstreamCold(name) => {
                self.with_request_upstream(
                    &name,
                    super::request_upstreams::SimulatedUpstream::turn_cold,
                );
            }
            // Not supported: this simulation has neither a manifest nor a registry of upstreams;
            // only that of cookie routing has them.
            EventAction::ReuseUpstreamAddress { .. }
            | EventAction::KillWatchingHosts
            | EventAction::PowerLoss(_)
            | EventAction::PublishManifest => self.counters.unknown_names += 1,
            EventAction::RestartUpstream(name) => {
                self.with_request_upstream(
                    &name,
                    super::request_upstreams::SimulatedUpstream::restart,
                );
            }
        }
    }

    /// Applies `action` to a host; an unknown name is counted as an error in the scenario.
    fn with_host(&mut self, name: &str, action: impl FnOnce(&mut Self, usize)) {
        match self.host_indices.get(name).copied() {
            Some(host) => action(self, host),
            None => self.counters.unknown_names += 1,
        }
    }

    /// Applies `action` to a request upstream; an unknown name is counted as an error in the
    /// scenario.
    fn with_request_upstream(
        &mut self,
        name: &str,
        action: impl FnOnce(&mut super::request_upstreams::SimulatedUpstream),
    ) {
        match self.request_tracker.request_upstreams.get_mut(&UpstreamId::from_name(name)) {
            Some(upstream) => action(upstream),
            None => self.counters.unknown_names += 1,
        }
    }

    fn set_upstream_state(&mut self, name: &str, state: UpstreamState) {
        let Some(rule) = self.rules.upstreams.iter_mut().find(|rule| rule.name == name) else {
            self.counters.unknown_names += 1;
            return;
        };
        rule.state = state;
        let id = rule.id();
        match state {
            UpstreamState::Draining => self.counters.draining_since.insert(id, self.now),
            UpstreamState::Serving | UpstreamState::Gone => {
                self.counters.draining_since.remove(&id)
            }
        };
        self.publish_rules();
    }

    fn set_data_centre_state(&mut self, name: &str, state: DataCentreState) {
        let Some(rule) = self.rules.data_centres.iter_mut().find(|rule| rule.name == name) else {
            self.counters.unknown_names += 1;
            return;
        };
        rule.state = state;
        let id = DataCentreId::from_name(name);
        match state {
            DataCentreState::Out => self.counters.out_of_service_since.insert(id, self.now),
            DataCentreState::In => self.counters.out_of_service_since.remove(&id),
        };
        self.publish_rules();
    }

    /// Writes the current rules to the store as a new revision and notifies the watchers.
    fn publish_rules(&mut self) {
        let revision = self.store.put_rules(Arc::new(self.rules.clone()), self.now);
        self.counters.rules_accepted_at.insert(revision, self.now);
        self.notify_watchers();
    }

    fn isolate_data_centre(&mut self, name: &str, duration: Duration) {
        let data_centre = DataCentreId::from_name(name);
        self.network.isolate(data_centre);
        self.event_queue
            .push(self.now + duration, SimulationEvent::ReconnectDataCentre { data_centre });
    }
}
