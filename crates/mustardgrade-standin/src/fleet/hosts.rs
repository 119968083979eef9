//! Hosts: their controllers and routers, and what passes between them.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use mustardgrade_core::cookie::{
    CookieOptions, CookiePacket, CookieRouter, CookieVerdict, FabricKind,
};
use mustardgrade_core::identity::{DataCentreId, HostId, HostIncarnation};
use mustardgrade_core::watch::{
    FleetMemberState, WatchController, WatchInput, WatchOptions, WatchOutput, WatchSchedule,
};
use mustardgrade_wire::peer::{FleetKey, FleetKeys, FrameSealer, PeerBody};
use rand::RngExt;

use super::FleetWorld;
use super::callers::{CallerWord, FlowRun};
use super::event::FleetEvent;
use super::store::StoreMood;

/// Time between two ticks of a controller.
const TICK: Duration = Duration::from_millis(100);

/// Time between two looks of a router.
const LOOK: Duration = Duration::from_millis(50);

/// One way between two machines.
pub(super) const HOP: Duration = Duration::from_millis(1);

/// Time after which a call to a host that is out of reach fails.
const CALL_TIME: Duration = Duration::from_secs(1);

/// Time between two questions of the fabric whether a host is ready.
pub(super) const POLL: Duration = Duration::from_millis(500);

/// Questions without a good answer after which the fabric hands a host no more packets.
const MOST_MISSES: u32 = 2;

/// `FleetHost` is a host.
pub(super) struct FleetHost {
    pub(super) name: String,
    pub(super) data_centre: usize,
    pub(super) controller: Option<WatchController>,
    router: CookieRouter,
    sealer: FrameSealer,
    pub(super) run: u64,
    pub(super) call: u64,
    pub(super) frozen_until: Duration,
    pub(super) started: Duration,
    pub(super) ready_at: Option<Duration>,
    /// Versions of the manifest that were in force in this run, and since when.
    pub(super) versions: Vec<(Duration, u64)>,
    pub(super) mood: StoreMood,
    pub(super) in_fabric: bool,
    misses: u32,
    /// Until when something keeps the host from hearing of changes.
    pub(super) excused_until: Duration,
}

impl FleetWorld {
    /// Adds a host that does not run yet.
    pub(super) fn add_host(&mut self, name: &str, data_centre: usize) -> usize {
        let id = HostIncarnation { host: HostId::from_name(name), incarnation: 1 };
        let key = FleetKey::derive(b"the secret of a scenario").expect("the secret is long enough");
        self.hosts.push(FleetHost {
            name: name.to_owned(),
            data_centre,
            controller: None,
            router: CookieRouter::new(self.router_options()),
            sealer: FrameSealer::new(id, 0, FleetKeys { current: key, previous: None }),
            run: 0,
            call: 0,
            frozen_until: Duration::ZERO,
            started: Duration::ZERO,
            ready_at: None,
            versions: Vec::new(),
            mood: StoreMood::Well,
            in_fabric: false,
            misses: 0,
            excused_until: Duration::ZERO,
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

    fn address(host: usize) -> Ipv4Addr {
        Ipv4Addr::from(0x0a00_0001 + host as u32)
    }

    fn index(address: Ipv4Addr) -> usize {
        (u32::from(address) - 0x0a00_0001) as usize
    }

    /// Starts a host after a delay.
    pub(super) fn start(&mut self, host: usize, delay: Duration) {
        let at = self.now + delay;
        let run = self.hosts[host].run + 1;
        let options = WatchOptions {
            address: Self::address(host),
            data_centre: self.data_centre_id(self.hosts[host].data_centre),
            incarnation: run,
            cpu_millicores: 100,
            seed_hosts: [0, 1, 2].map(Self::address).to_vec(),
            schedule: WatchSchedule::default(),
            rng_seed: self.random.random(),
        };
        let router = CookieRouter::new(self.router_options());
        let entry = &mut self.hosts[host];
        entry.run = run;
        entry.controller = Some(WatchController::new(options, at));
        entry.router = router;
        entry.ready_at = None;
        entry.versions.clear();
        entry.started = at;
        entry.excused_until = at;
        self.queue.push(at, FleetEvent::Tick { host, run });
        if !self.servers.is_empty() {
            self.queue.push(at, FleetEvent::Look { host, run });
        }
    }

    /// Ends a host without a word.
    pub(super) fn kill(&mut self, host: usize) {
        let entry = &mut self.hosts[host];
        entry.controller = None;
        entry.run += 1;
    }

    /// Stops a host from running for a while.
    pub(super) fn freeze(&mut self, host: usize, time: Duration) {
        self.hosts[host].frozen_until = self.now + time;
        self.excuse(host, self.now + time);
    }

    pub(super) fn excuse(&mut self, host: usize, until: Duration) {
        let excused = &mut self.hosts[host].excused_until;
        *excused = until.max(*excused);
    }

    pub(super) fn controller(&self, host: usize) -> Option<&WatchController> {
        self.hosts[host].controller.as_ref()
    }

    /// Returns the hosts that watch the store.
    pub(super) fn watchers(&self) -> Vec<usize> {
        let watches =
            |host: &usize| self.controller(*host).is_some_and(|c| c.status(self.now).watching);
        (0..self.hosts.len()).filter(watches).collect()
    }

    /// Returns the event if it can happen now; one of a host that does not run is lost, and one of
    /// a host that is frozen happens when it wakes.
    pub(super) fn hold_back(&mut self, event: FleetEvent) -> Option<FleetEvent> {
        let Some((host, run)) = event.host() else { return Some(event) };
        let entry = &self.hosts[host];
        if entry.run != run || entry.controller.is_none() {
            return None;
        }
        let woken = entry.frozen_until;
        if woken > self.now {
            self.queue.push(woken, event);
            return None;
        }
        Some(event)
    }

    pub(super) fn tick_host(&mut self, host: usize) {
        let run = self.hosts[host].run;
        self.later(TICK, FleetEvent::Tick { host, run });
        self.feed(host, WatchInput::Tick);
    }

    /// Lets a router conclude from what is missing, and its controller hear of it.
    pub(super) fn look(&mut self, host: usize) {
        let run = self.hosts[host].run;
        self.later(LOOK, FleetEvent::Look { host, run });
        let router = &mut self.hosts[host].router;
        router.process_timeouts(self.now);
        let report = router.load_report(self.now);
        router.take_events(&mut Vec::new());
        self.feed(host, WatchInput::LocalLoad(report));
    }

    /// Feeds a host's controller.
    pub(super) fn feed(&mut self, host: usize, input: WatchInput) {
        let now = self.now;
        if now < self.hosts[host].started {
            return;
        }
        let mut outputs = Vec::new();
        let entry = &mut self.hosts[host];
        let Some(controller) = entry.controller.as_mut() else { return };
        controller.handle(input, now, &mut outputs);
        let status = controller.status(now);
        if outputs.contains(&WatchOutput::InstallSnapshot) {
            entry.router.install_snapshot(Arc::new(controller.snapshot()));
        }
        if status.state == FleetMemberState::Ready && entry.ready_at.is_none() {
            entry.ready_at = Some(now);
        }
        if entry.versions.last().is_none_or(|(_, version)| *version != status.manifest_version) {
            entry.versions.push((now, status.manifest_version));
        }
        for output in outputs {
            self.carry_out(host, output);
        }
    }

    fn carry_out(&mut self, host: usize, output: WatchOutput) {
        let run = self.hosts[host].run;
        match output {
            WatchOutput::Send { to, message } => {
                let other = Self::index(to);
                let lost = self.random.random::<f64>() < self.loss;
                let frame = self.hosts[host].sealer.seal(&PeerBody::Fleet(message.clone()), &[]);
                self.tally.control_messages += 1;
                self.tally.control_bytes += frame.len() as u64;
                if !lost && self.reaches(host, other) {
                    let run = self.hosts[other].run;
                    let input = Box::new(WatchInput::Message(message));
                    self.later(HOP, FleetEvent::Input { host: other, run, input });
                }
            }
            WatchOutput::RequestChanges { to, after_revision: after } => {
                self.later(HOP * 2, FleetEvent::Ask { host, run, to, after });
            }
            WatchOutput::CallStore(kind) => {
                self.hosts[host].call += 1;
                let call = self.hosts[host].call;
                self.later(Duration::ZERO, FleetEvent::Call { host, run, call, kind });
            }
            WatchOutput::InstallPeerLoads(loads) => {
                self.hosts[host].router.install_peer_loads(Arc::new(loads))
            }
            WatchOutput::InstallSnapshot | WatchOutput::Event(_) => {}
        }
    }

    /// Answers a host that asks another one for its state.
    pub(super) fn answer_peer(&mut self, host: usize, run: u64, to: Ipv4Addr, after: u64) {
        let other = Self::index(to);
        let reach = self.reaches(host, other) && self.hosts[other].frozen_until <= self.now;
        let batch = match reach {
            true => self.controller(other).map(|c| c.changes_after(after, self.now)),
            false => None,
        };
        let input = Box::new(WatchInput::Changes { from: to, batch });
        let delay = if reach { HOP } else { CALL_TIME };
        self.later(delay, FleetEvent::Input { host, run, input });
    }

    pub(super) fn reaches(&self, from: usize, to: usize) -> bool {
        self.connects(self.hosts[from].data_centre, self.hosts[to].data_centre)
    }

    /// Tells whether packets pass between two data centres.
    pub(super) fn connects(&self, one: usize, other: usize) -> bool {
        !self.cuts.contains(&(one, other)) && !self.cuts.contains(&(other, one))
    }

    /// Lets a host decide on a caller's packet.
    pub(super) fn route(&mut self, host: usize, flow: FlowRun, packet: &CookiePacket) {
        let entry = &mut self.hosts[host];
        match entry.router.route(packet, self.now) {
            CookieVerdict::Forward { index, cookie } => {
                let view = &entry.router.snapshot().upstreams[index];
                let address = view.address;
                let there = self.server_at(address).map(|server| self.servers[server].data_centre);
                let here = self.hosts[host].data_centre;
                if there.is_some_and(|there| self.connects(here, there)) {
                    let packet = CookiePacket { cookie, ..*packet };
                    self.later(HOP, FleetEvent::Arrive { address, flow, packet });
                }
            }
            CookieVerdict::Reset(cause) => {
                let word = CallerWord::HostReset(cause);
                self.later(HOP, FleetEvent::Caller { flow, word });
            }
            CookieVerdict::Drop(_) => self.tally.dropped += 1,
        }
    }

    /// Asks all hosts whether they are ready, as the fabric does.
    pub(super) fn poll_hosts(&mut self) {
        self.later(POLL, FleetEvent::Poll);
        let now = self.now;
        for entry in &mut self.hosts {
            let ready = entry.frozen_until <= now
                && entry.controller.as_ref().is_some_and(|controller| {
                    controller.status(now).state == FleetMemberState::Ready
                        && !controller.is_isolated()
                });
            entry.misses = if ready { 0 } else { entry.misses + 1 };
            entry.in_fabric = entry.misses == 0 || (entry.in_fabric && entry.misses < MOST_MISSES);
        }
    }
}
