//! Hosts: their controllers and routers, the messages between them, and the health checks of the
//! fabric.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use mustardgrade_core::cookie::{
    CookieOptions, CookiePacket, CookieRouter, CookieVerdict, FabricKind,
};
use mustardgrade_core::identity::{DataCentreId, HostId, HostIncarnation};
use mustardgrade_core::registry::StorePosition;
use mustardgrade_core::watch::{
    FleetMemberState, WatchController, WatchInput, WatchOptions, WatchOutput, WatchSchedule,
};
use mustardgrade_wire::peer::{FleetKey, FleetKeys, FrameSealer, PeerMessage};
use rand::RngExt;

use super::FleetSimulation;
use super::event::{CallerEvent, FleetEvent, FlowId};
use super::processor::HostProcessor;
use super::store::StoreAvailability;

/// Interval between ticks of a controller.
const CONTROLLER_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between ticks of a router.
const ROUTER_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time in which a resumed host routes the packets that have waited for it.
const BACKLOG_DURATION: Duration = Duration::from_millis(1);

/// One-way network delay between two machines.
pub(super) const ONE_WAY_DELAY: Duration = Duration::from_millis(1);

/// Time after which a request for changes to an unreachable host fails.
const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between health checks of the fabric.
pub(super) const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of consecutive failed health checks after which the fabric sends a host no more packets.
const UNHEALTHY_THRESHOLD: u32 = 2;

/// `SimulatedHost` is a host with its controller and router; without a controller, it is down.
pub(super) struct SimulatedHost {
    pub(super) name: String,
    pub(super) data_centre: usize,
    pub(super) controller: Option<WatchController>,
    router: CookieRouter,
    frame_sealer: FrameSealer,
    pub(super) incarnation: u64,
    pub(super) store_call_id: u64,
    pub(super) paused_until: Duration,
    pub(super) started_at: Duration,
    pub(super) ready_at: Option<Duration>,
    /// Versions of the manifest that this incarnation has put in force, each with the time.
    pub(super) manifest_versions: Vec<(Duration, u64)>,
    pub(super) store_availability: StoreAvailability,
    pub(super) in_rotation: bool,
    failed_health_checks: u32,
    pub(super) processor: HostProcessor,
    /// End of the last fault that keeps the host from receiving changes; delays of manifests count
    /// from here at the earliest.
    pub(super) exempt_until: Duration,
}

impl FleetSimulation {
    /// Adds a host that is down.
    pub(super) fn add_host(&mut self, name: &str, data_centre: usize) -> usize {
        let host_id = HostIncarnation { host: HostId::from_name(name), incarnation: 1 };
        let fleet_key =
            FleetKey::derive(b"the secret of a scenario").expect("the secret is long enough");
        self.hosts.push(SimulatedHost {
            name: name.to_owned(),
            data_centre,
            controller: None,
            router: CookieRouter::new(self.router_options()),
            frame_sealer: FrameSealer::new(
                host_id,
                0,
                FleetKeys { current: fleet_key, previous: None },
            ),
            incarnation: 0,
            store_call_id: 0,
            paused_until: Duration::ZERO,
            started_at: Duration::ZERO,
            ready_at: None,
            manifest_versions: Vec::new(),
            store_availability: StoreAvailability::Available,
            in_rotation: false,
            failed_health_checks: 0,
            processor: HostProcessor::default(),
            exempt_until: Duration::ZERO,
        });
        self.hosts.len() - 1
    }

    fn router_options(&self) -> CookieOptions {
        let fabric = match self.scenario.options.fabric_sprays {
            true => FabricKind::Any,
            false => FabricKind::Hash,
        };
        CookieOptions { fabric, ..CookieOptions::default() }
    }

    pub(super) fn data_centre_id(&self, data_centre: usize) -> DataCentreId {
        let spec = self.scenario.data_centres.get(data_centre);
        DataCentreId::from_name(spec.map_or("", |spec| &spec.name))
    }

    fn host_address(host: usize) -> Ipv4Addr {
        Ipv4Addr::from(0x0a00_0001 + host as u32)
    }

    fn host_index(address: Ipv4Addr) -> usize {
        (u32::from(address) - 0x0a00_0001) as usize
    }

    /// Starts a new incarnation of a host after a delay.
    pub(super) fn start_host(&mut self, host: usize, delay: Duration) {
        let start_at = self.now + delay + self.process_start_duration(host);
        self.reset_processor(host);
        let incarnation = self.hosts[host].incarnation + 1;
        let options = WatchOptions {
            address: Self::host_address(host),
            data_centre: self.data_centre_id(self.hosts[host].data_centre),
            incarnation,
            cpu_millicores: self.processor_millicores(host),
            seed_hosts: [0, 1, 2].map(Self::host_address).to_vec(),
            schedule: WatchSchedule::default(),
            rng_seed: self.rng.random(),
        };
        let router = CookieRouter::new(self.router_options());
        let host_state = &mut self.hosts[host];
        host_state.incarnation = incarnation;
        host_state.controller = Some(WatchController::new(options, start_at));
        host_state.router = router;
        host_state.ready_at = None;
        host_state.manifest_versions.clear();
        host_state.started_at = start_at;
        host_state.exempt_until = start_at;
        self.event_queue.push(start_at, FleetEvent::ControllerTick { host, incarnation });
        if !self.upstreams.is_empty() {
            self.event_queue.push(start_at, FleetEvent::RouterTick { host, incarnation });
        }
    }

    /// Ends a host's process; its peers are not notified, and its pending events become void.
    pub(super) fn kill_host(&mut self, host: usize) {
        let host_state = &mut self.hosts[host];
        host_state.controller = None;
        host_state.incarnation += 1;
    }

    /// Suspends a host's process; events for the host are deferred until it resumes.
    pub(super) fn pause_host(&mut self, host: usize, duration: Duration) {
        self.hosts[host].paused_until = self.now + duration;
        self.exempt_host(host, self.now + duration);
    }

    /// Excludes the time before `until` from the manifest delays of a host.
    pub(super) fn exempt_host(&mut self, host: usize, until: Duration) {
        let current = &mut self.hosts[host].exempt_until;
        *current = until.max(*current);
    }

    pub(super) fn controller(&self, host: usize) -> Option<&WatchController> {
        self.hosts[host].controller.as_ref()
    }

    /// Returns the hosts that currently watch the store.
    pub(super) fn watchers(&self) -> Vec<usize> {
        let is_watching = |host: &usize| {
            self.controller(*host).is_some_and(|controller| controller.status(self.now).watching)
        };
        (0..self.hosts.len()).filter(is_watching).collect()
    }

    /// Returns the event if it can be handled now. Events for an incarnation that has ended are
    /// discarded; those for a paused host are deferred until it resumes.
    pub(super) fn if_deliverable(&mut self, event: FleetEvent) -> Option<FleetEvent> {
        let Some((host, incarnation)) = event.required_incarnation() else { return Some(event) };
        let host_state = &self.hosts[host];
        if host_state.incarnation != incarnation || host_state.controller.is_none() {
            return None;
        }
        let resumes_at = host_state.paused_until;
        if resumes_at > self.now {
            // A router's timeouts are processed once no packet is waiting.
            let is_router_tick = matches!(event, FleetEvent::RouterTick { .. });
            let delay = if is_router_tick { BACKLOG_DURATION } else { Duration::ZERO };
            self.event_queue.push(resumes_at + delay, event);
            return None;
        }
        Some(event)
    }

    pub(super) fn tick_controller(&mut self, host: usize) {
        let incarnation = self.hosts[host].incarnation;
        self.schedule_after(
            CONTROLLER_TICK_INTERVAL,
            FleetEvent::ControllerTick { host, incarnation },
        );
        self.handle_controller_input(host, WatchInput::Tick);
    }

    /// Processes the timeouts of a host's router, and passes its load report to the controller.
    pub(super) fn tick_router(&mut self, host: usize) {
        let incarnation = self.hosts[host].incarnation;
        self.schedule_after(ROUTER_TICK_INTERVAL, FleetEvent::RouterTick { host, incarnation });
        let router = &mut self.hosts[host].router;
        router.process_timeouts(self.now);
        let load_report = router.load_report(self.now);
        router.take_events(&mut Vec::new());
        self.handle_controller_input(host, WatchInput::LocalLoad(load_report));
    }

    /// Passes an input to a host's controller and carries out the resulting actions.
    pub(super) fn handle_controller_input(&mut self, host: usize, input: WatchInput) {
        let now = self.now;
        if now < self.hosts[host].started_at {
            return;
        }
        let mut outputs = Vec::new();
        let host_state = &mut self.hosts[host];
        let Some(controller) = host_state.controller.as_mut() else { return };
        controller.handle(input, now, &mut outputs);
        let status = controller.status(now);
        let confirmed_at = status.confirmation_age.map(|age| now.saturating_sub(age));
        host_state.router.confirm_registry(confirmed_at);
        if outputs.contains(&WatchOutput::InstallSnapshot) {
            host_state.router.install_snapshot(Arc::new(controller.snapshot()));
        }
        if status.state == FleetMemberState::Ready && host_state.ready_at.is_none() {
            host_state.ready_at = Some(now);
        }
        if host_state
            .manifest_versions
            .last()
            .is_none_or(|(_, version)| *version != status.manifest_version)
        {
            host_state.manifest_versions.push((now, status.manifest_version));
        }
        for output in outputs {
            self.handle_controller_output(host, output);
        }
    }

    fn handle_controller_output(&mut self, host: usize, output: WatchOutput) {
        let incarnation = self.hosts[host].incarnation;
        self.spend_on_output(host, &output);
        match output {
            WatchOutput::Send { to, message } => {
                let peer = Self::host_index(to);
                let is_lost = self.rng.random::<f64>() < self.datagram_loss;
                let frame =
                    self.hosts[host].frame_sealer.seal(&PeerMessage::Fleet(message.clone()), &[]);
                self.measurements.control_messages += 1;
                self.measurements.control_bytes += frame.len() as u64;
                if !is_lost && self.host_reaches(host, peer) {
                    let incarnation = self.hosts[peer].incarnation;
                    let input = Box::new(WatchInput::Message(message));
                    self.schedule_after(
                        ONE_WAY_DELAY,
                        FleetEvent::PeerInput { host: peer, incarnation, input },
                    );
                }
            }
            WatchOutput::RequestChanges { to, after } => {
                self.schedule_after(
                    ONE_WAY_DELAY * 2,
                    FleetEvent::ChangesRequest { host, incarnation, to, after },
                );
            }
            WatchOutput::CallStore(call) => {
                self.hosts[host].store_call_id += 1;
                let call_id = self.hosts[host].store_call_id;
                self.schedule_after(
                    Duration::ZERO,
                    FleetEvent::StoreRequest { host, incarnation, call_id, call },
                );
            }
            WatchOutput::WriteRouteServices(write) => {
                let write = Box::new(write);
                self.schedule_after(
                    Duration::ZERO,
                    FleetEvent::StoreWriteRequest { host, incarnation, write },
                );
            }
            WatchOutput::InstallPeerLoads(loads) => {
                self.hosts[host].router.install_peer_loads(Arc::new(loads))
            }
            WatchOutput::InstallSnapshot | WatchOutput::Event(_) => {}
        }
    }

    /// Handles a request of `host` for the registry changes that the host at `to` knows.
    pub(super) fn answer_changes_request(
        &mut self,
        host: usize,
        incarnation: u64,
        to: Ipv4Addr,
        after: StorePosition,
    ) {
        let peer = Self::host_index(to);
        let reachable = self.host_reaches(host, peer) && self.hosts[peer].paused_until <= self.now;
        let batch = match reachable {
            true => {
                self.controller(peer).map(|controller| controller.changes_after(after, self.now))
            }
            false => None,
        };
        let entry_count = batch.as_ref().map_or(0, |batch| batch.changes.len());
        let input = Box::new(WatchInput::Changes { from: to, batch });
        let delay = match reachable {
            true => ONE_WAY_DELAY + self.spend_on_answer(peer, entry_count),
            false => PEER_CALL_TIMEOUT,
        };
        self.schedule_after(delay, FleetEvent::PeerInput { host, incarnation, input });
    }

    pub(super) fn host_reaches(&self, from: usize, to: usize) -> bool {
        self.data_centres_connected(self.hosts[from].data_centre, self.hosts[to].data_centre)
    }

    /// Returns whether two data centres are connected.
    pub(super) fn data_centres_connected(&self, first: usize, second: usize) -> bool {
        !self.partitions.contains(&(first, second)) && !self.partitions.contains(&(second, first))
    }

    /// Routes a caller's packet at a host, and forwards it or resets the flow.
    pub(super) fn route_packet(&mut self, host: usize, flow: FlowId, packet: &CookiePacket) {
        let host_state = &mut self.hosts[host];
        let verdict = host_state.router.route(packet, self.now);
        if matches!(verdict, CookieVerdict::Forward { .. }) {
            self.record_forwarded(packet.segment.opens_flow());
        }
        let host_state = &self.hosts[host];
        match verdict {
            CookieVerdict::Forward { index, cookie } => {
                let upstream = &host_state.router.snapshot().upstreams[index];
                let address = upstream.address;
                let upstream_data_centre =
                    self.upstream_at(address).map(|upstream| self.upstreams[upstream].data_centre);
                let host_data_centre = self.hosts[host].data_centre;
                if upstream_data_centre.is_some_and(|upstream_data_centre| {
                    self.data_centres_connected(host_data_centre, upstream_data_centre)
                }) {
                    let packet = CookiePacket { cookie, ..*packet };
                    self.schedule_after(
                        ONE_WAY_DELAY,
                        FleetEvent::PacketAtUpstream { address, flow, packet },
                    );
                }
            }
            CookieVerdict::Reset(cause) => {
                let event = CallerEvent::HostReset(cause);
                self.schedule_after(ONE_WAY_DELAY, FleetEvent::CallerEvent { flow, event });
            }
            CookieVerdict::Drop(_) => self.measurements.dropped_packets += 1,
        }
    }

    /// Checks the health of all hosts, and adds them to or removes them from the fabric's rotation.
    pub(super) fn check_host_health(&mut self) {
        self.schedule_after(HEALTH_CHECK_INTERVAL, FleetEvent::HealthCheck);
        let now = self.now;
        for host_state in &mut self.hosts {
            let healthy = host_state.paused_until <= now
                && host_state.controller.as_ref().is_some_and(|controller| {
                    controller.status(now).state == FleetMemberState::Ready
                        && !controller.is_isolated()
                });
            host_state.failed_health_checks =
                if healthy { 0 } else { host_state.failed_health_checks + 1 };
            host_state.in_rotation = host_state.failed_health_checks == 0
                || (host_state.in_rotation
                    && host_state.failed_health_checks < UNHEALTHY_THRESHOLD);
        }
    }
}
