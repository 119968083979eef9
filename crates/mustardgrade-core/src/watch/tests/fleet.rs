//! Hosts, a store and a network in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::cookie::LoadReport;
use crate::identity::{DataCentreId, ServiceId};
use crate::registry::{Manifest, ReportedState, StateChange, StateKey, StateValue, UpstreamReport};
use crate::watch::{
    FleetState, StateBatch, StoreCall, StoreFailure, WatchController, WatchInput, WatchOptions,
    WatchOutput, WatchSchedule,
};

/// Time between two ticks of a host.
const TICK: Duration = Duration::from_millis(100);

/// One way between two hosts.
const HOP: Duration = Duration::from_millis(1);

/// `StoreMood` is how the store answers a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreMood {
    Well,
    Silent,
    Busy,
}

#[derive(Debug, Clone, PartialEq)]
enum Event {
    Tick(usize),
    Input(usize, u64, Box<WatchInput>),
    /// An answer of the store to the call with a number.
    Answer(usize, u64, u64, Box<WatchInput>),
    /// A call to the store, by a host's run and the number of the call.
    Call(usize, u64, u64, StoreCall),
    /// A watch that ends without an event.
    WatchEnds(usize, u64, u64, u64),
    Ask(usize, u64, Ipv4Addr, u64),
}

struct Host {
    controller: Option<WatchController>,
    run: u64,
    call: u64,
    frozen_until: Duration,
    versions: Vec<(Duration, u64)>,
    ready_at: Option<Duration>,
    started: Duration,
}

struct Waiting {
    host: usize,
    run: u64,
    call: u64,
    after: u64,
}

/// `FleetWorld` plays hosts against a store.
pub(super) struct FleetWorld {
    pub(super) now: Duration,
    hosts: Vec<Host>,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    bodies: BTreeMap<u64, Event>,
    sequence: u64,
    items: BTreeMap<StateKey, StateChange>,
    log: Vec<StateChange>,
    /// Time that the store takes for an answer.
    pub(super) store_time: Duration,
    pub(super) history_from: u64,
    revision: u64,
    waiting: Vec<Waiting>,
    pub(super) moods: Vec<StoreMood>,
    /// Pairs of data centres that cannot reach each other.
    pub(super) cuts: HashSet<(usize, usize)>,
    pub(super) calls: usize,
    pub(super) sent: usize,
    data_centres: usize,
    rng: ChaCha8Rng,
    loss: f64,
}

impl FleetWorld {
    /// Creates a world of `hosts` hosts in three data centres, none of which runs yet.
    pub(super) fn new(hosts: usize, seed: u64) -> Self {
        let host = || Host {
            controller: None,
            run: 0,
            call: 0,
            frozen_until: Duration::ZERO,
            versions: Vec::new(),
            ready_at: None,
            started: Duration::ZERO,
        };
        Self {
            now: Duration::from_secs(100),
            hosts: (0..hosts).map(|_| host()).collect(),
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            sequence: 0,
            items: BTreeMap::new(),
            log: Vec::new(),
            store_time: Duration::from_millis(4),
            history_from: 0,
            revision: 1,
            waiting: Vec::new(),
            moods: vec![StoreMood::Well; hosts],
            cuts: HashSet::new(),
            calls: 0,
            sent: 0,
            data_centres: 3,
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.002,
        }
    }

    /// Creates a world whose hosts serve a first manifest and some upstreams, at rest.
    pub(super) fn at_rest(hosts: usize, seed: u64) -> Self {
        let mut world = Self::new(hosts, seed);
        world.put_manifest(1);
        for tag in 1..15 {
            world.put_upstream(tag, ReportedState::Ready);
        }
        world.start_all();
        world.run(Duration::from_secs(6));
        world
    }

    pub(super) fn count(&self) -> usize {
        self.hosts.len()
    }

    pub(super) fn data_centre(&self, host: usize) -> usize {
        host % self.data_centres
    }

    fn address(host: usize) -> Ipv4Addr {
        Ipv4Addr::from(0x0a00_0001 + host as u32)
    }

    fn index(address: Ipv4Addr) -> usize {
        (u32::from(address) - 0x0a00_0001) as usize
    }

    /// Starts all hosts within 0.3 s of each other.
    pub(super) fn start_all(&mut self) {
        for host in 0..self.hosts.len() {
            let delay = Duration::from_millis(self.rng.random_range(0..300));
            self.start(host, delay);
        }
    }

    /// Starts a host after a delay.
    pub(super) fn start(&mut self, host: usize, delay: Duration) {
        let at = self.now + delay;
        let seeds = [0, 1, 2].map(Self::address).to_vec();
        let run = self.hosts[host].run + 1;
        let options = WatchOptions {
            address: Self::address(host),
            data_centre: DataCentreId::from_name(&self.data_centre(host).to_string()),
            incarnation: run,
            strength: 100,
            seeds,
            schedule: WatchSchedule::default(),
            seed: self.rng.random(),
        };
        let entry = &mut self.hosts[host];
        entry.run = run;
        entry.controller = Some(WatchController::new(options, at));
        entry.ready_at = None;
        entry.versions.clear();
        entry.started = at;
        self.push(at, Event::Tick(host));
    }

    /// Ends a host without a word.
    pub(super) fn kill(&mut self, host: usize) {
        self.hosts[host].controller = None;
        self.hosts[host].run += 1;
    }

    pub(super) fn freeze(&mut self, host: usize, time: Duration) {
        self.hosts[host].frozen_until = self.now + time;
    }

    /// Lets a host's traffic thread say that it reaches no upstream.
    pub(super) fn strand(&mut self, host: usize) {
        let report = LoadReport { pressed: false, stranded: true, entries: Vec::new() };
        self.feed(host, WatchInput::Load(report));
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

    /// Returns the longest time from a host's start until it was ready; none if one is not.
    pub(super) fn slowest_start(&self) -> Option<Duration> {
        let times = self.hosts.iter().filter(|host| host.controller.is_some());
        times
            .map(|host| host.ready_at.map(|at| at - host.started))
            .collect::<Option<Vec<_>>>()?
            .into_iter()
            .max()
    }

    /// Returns when each of `hosts` had manifest `version` in force, after `since`; the slowest.
    pub(super) fn in_force(&self, hosts: &[usize], version: u64, since: Duration) -> Duration {
        let at = |host: &usize| {
            let versions = &self.hosts[*host].versions;
            let seen = versions.iter().find(|(_, seen)| *seen >= version);
            seen.map_or(Duration::MAX, |(at, _)| at.saturating_sub(since))
        };
        hosts.iter().map(at).max().unwrap_or_default()
    }

    /// Tells whether any host has gone back to an older manifest within one run.
    pub(super) fn went_back(&self) -> bool {
        self.hosts.iter().any(|host| host.versions.windows(2).any(|pair| pair[0].1 > pair[1].1))
    }

    pub(super) fn put_manifest(&mut self, version: u64) {
        let manifest = Manifest { version, ..Manifest::default() };
        self.put(StateKey::Manifest, StateValue::Manifest(Arc::new(manifest)));
    }

    pub(super) fn put_upstream(&mut self, tag: u64, state: ReportedState) {
        let report = UpstreamReport {
            name: format!("i-{tag:x}"),
            tag,
            incarnation: 1,
            service: ServiceId::from_name("desk"),
            address: std::net::SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, tag as u8), 80),
            data_centre: DataCentreId::from_name("0"),
            slots: 4,
            state,
            cold_left: Duration::ZERO,
        };
        let key = StateKey::Upstream(report.name.clone());
        self.put(key, StateValue::Upstream(Arc::new(report)));
    }

    pub(super) fn put(&mut self, key: StateKey, value: StateValue) {
        self.revision += 1;
        let change =
            StateChange { key: key.clone(), revision: self.revision, value, age: Duration::ZERO };
        match change.value {
            StateValue::Removed { .. } => self.items.remove(&key),
            _ => self.items.insert(key, change.clone()),
        };
        self.log.push(change);
        for waiting in std::mem::take(&mut self.waiting) {
            if self.moods[waiting.host] != StoreMood::Silent {
                let batch = self.log_after(waiting.after);
                self.reply(waiting.host, waiting.run, waiting.call, Ok(batch));
            }
        }
    }

    fn log_after(&self, after: u64) -> StateBatch {
        let newer = self.log.iter().filter(|change| change.revision > after);
        StateBatch { after, upto: self.revision, changes: newer.cloned().collect() }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.bodies.insert(self.sequence, event);
        self.events.push(Reverse((at, self.sequence)));
    }

    fn reply(
        &mut self,
        host: usize,
        run: u64,
        call: u64,
        answer: Result<StateBatch, StoreFailure>,
    ) {
        let input = Box::new(WatchInput::Store(answer));
        self.push(self.now + self.store_time, Event::Answer(host, run, call, input));
    }

    /// Lets time pass.
    pub(super) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            if let Some(event) = self.bodies.remove(&number) {
                self.play(event);
            }
        }
        self.now = end;
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Tick(host) => {
                if self.hosts[host].controller.is_none() {
                    return;
                }
                let woken = self.hosts[host].frozen_until;
                if woken > self.now {
                    return self.push(woken, Event::Tick(host));
                }
                self.push(self.now + TICK, Event::Tick(host));
                self.feed(host, WatchInput::Tick);
            }
            Event::Input(host, run, input) => {
                let woken = self.hosts[host].frozen_until;
                if woken > self.now {
                    return self.push(woken, Event::Input(host, run, input));
                }
                if self.hosts[host].run == run {
                    self.feed(host, *input);
                }
            }
            // An answer to a call that was given up is not read any more.
            Event::Answer(host, run, call, input) => {
                if self.hosts[host].call == call {
                    self.play(Event::Input(host, run, input));
                }
            }
            Event::Call(host, run, call, kind) => self.call(host, run, call, kind),
            Event::WatchEnds(host, run, call, after) => {
                let open = |w: &Waiting| (w.host, w.run, w.call) == (host, run, call);
                if self.waiting.iter().any(open) {
                    self.waiting.retain(|w| !open(w));
                    if self.moods[host] != StoreMood::Silent {
                        let batch = self.log_after(after);
                        self.reply(host, run, call, Ok(batch));
                    }
                }
            }
            Event::Ask(host, run, to, after) => {
                let other = Self::index(to);
                let reach = self.reaches(host, other) && self.hosts[other].frozen_until <= self.now;
                let batch = match reach {
                    true => self.controller(other).map(|c| c.answer(after, self.now)),
                    false => None,
                };
                let input = Box::new(WatchInput::State { from: to, batch });
                let delay = if reach { HOP } else { Duration::from_secs(1) };
                self.push(self.now + delay, Event::Input(host, run, input));
            }
        }
    }

    fn call(&mut self, host: usize, run: u64, call: u64, kind: StoreCall) {
        self.calls += 1;
        match self.moods[host] {
            StoreMood::Silent => return,
            StoreMood::Busy => {
                let failure = StoreFailure::Failed("store answered with status 503".to_owned());
                return self.reply(host, run, call, Err(failure));
            }
            StoreMood::Well => {}
        }
        match kind {
            StoreCall::ReadAll { .. } => {
                let changes = self.items.values().cloned().collect();
                let batch = StateBatch { after: 0, upto: self.revision, changes };
                self.reply(host, run, call, Ok(batch));
            }
            StoreCall::Watch { after, .. } if after < self.history_from => {
                self.reply(host, run, call, Err(StoreFailure::HistoryGone));
            }
            StoreCall::Watch { after, .. } if after < self.revision => {
                let batch = self.log_after(after);
                self.reply(host, run, call, Ok(batch));
            }
            StoreCall::Watch { after, wait } => {
                self.waiting.push(Waiting { host, run, call, after });
                self.push(self.now + wait, Event::WatchEnds(host, run, call, after));
            }
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let pair = (self.data_centre(from), self.data_centre(to));
        !self.cuts.contains(&pair) && !self.cuts.contains(&(pair.1, pair.0))
    }

    fn feed(&mut self, host: usize, input: WatchInput) {
        let mut outputs = Vec::new();
        let now = self.now;
        if now < self.hosts[host].started {
            return;
        }
        let Some(controller) = self.hosts[host].controller.as_mut() else { return };
        controller.handle(input, now, &mut outputs);
        let status = controller.status(now);
        let entry = &mut self.hosts[host];
        if status.state == FleetState::Ready && entry.ready_at.is_none() {
            entry.ready_at = Some(now);
        }
        if entry.versions.last().is_none_or(|(_, version)| *version != status.version) {
            entry.versions.push((now, status.version));
        }
        let run = entry.run;
        for output in outputs {
            self.carry_out(host, run, output);
        }
    }

    fn carry_out(&mut self, host: usize, run: u64, output: WatchOutput) {
        match output {
            WatchOutput::Send { to, message } => {
                self.sent += 1;
                let other = Self::index(to);
                let lost = self.rng.random::<f64>() < self.loss;
                if !lost && self.reaches(host, other) && self.hosts[other].controller.is_some() {
                    let run = self.hosts[other].run;
                    let input = Box::new(WatchInput::Message(message));
                    self.push(self.now + HOP, Event::Input(other, run, input));
                }
            }
            WatchOutput::Ask { to, after } => {
                self.push(self.now + HOP * 2, Event::Ask(host, run, to, after));
            }
            WatchOutput::Call(call) => {
                self.hosts[host].call += 1;
                let number = self.hosts[host].call;
                self.push(self.now, Event::Call(host, run, number, call));
            }
            WatchOutput::Install | WatchOutput::Loads(_) | WatchOutput::Note(_) => {}
        }
    }
}

/// Returns all hosts of a world.
pub(super) fn everyone(world: &FleetWorld) -> Vec<usize> {
    (0..world.count()).collect()
}

/// Returns a duration of seconds.
pub(super) fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}
