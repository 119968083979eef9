//! The controller: one for each host, free of I/O.

use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use derive_more::Display;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::loads::LoadBoard;
use super::members::FleetView;
use super::message::{FleetDigest, FleetMessage, FleetState, MemberHint, StateBatch, millis};
use super::schedule::WatchSchedule;
use crate::cookie::{CookieSnapshot, LoadReport, PeerLoads, SnapshotScope, build_cookie_snapshot};
use crate::identity::{DataCentreId, ServiceId};
use crate::registry::{ApplyOutcome, Manifest, StateBook, StateKey, StateValue};

/// Time between two digests of a host at rest.
const DIGEST_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two introductions of a host that knows nothing yet.
const INTRODUCE_INTERVAL: Duration = Duration::from_millis(100);

/// Time before a takeover at which a host asks others whether it has only missed a confirmation.
const PULL_LEAD: Duration = Duration::from_millis(350);

/// Hosts that are asked so.
const PULLS: usize = 3;

/// Time between two introductions to the configured peers of a host that hears nobody.
const SEEK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Silence of every host of every other data centre that stands for a cut; digests come from each
/// data centre several times in it.
const CUT_SILENCE: Duration = Duration::from_millis(700);

/// Time after which an isolated host tries again whether it can serve.
const ISOLATION_TIME: Duration = Duration::from_secs(10);

/// Hosts named in a digest; digests stay below 400 bytes.
const HINTS: usize = 6;

/// Hosts that a change or a confirmation is sent to at once; gossip does the rest.
const FANOUT: usize = 24;

/// Hosts that a change is passed on to in a data centre of more than [`FANOUT`] hosts.
const RUMOUR_FANOUT: usize = 3;

/// Hosts of each other data centre that a change is sent to at once.
const RELAYS: usize = 1;

/// Silence of the controller after which it trusts no earlier confirmation.
const STALL_TIME: Duration = Duration::from_millis(1_000);

/// Time after the store's return in which removals may be an effect of its outage.
const OUTAGE_ECHO: Duration = Duration::from_millis(2_500);

/// Time between two requests for state to the same peer.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// Time from the start before the number of hosts is known well enough to share a budget.
const COUNT_TIME: Duration = Duration::from_secs(3);

/// Time for which the largest number of hosts seen is kept for budgets.
const COUNT_MEMORY: Duration = Duration::from_secs(60);

/// `StoreCall` is a call to the store.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads everything.
    #[display("read, stale={stale}")]
    ReadAll {
        /// An answer that is seconds old will do.
        stale: bool,
    },
    /// Waits for changes.
    #[display("watch after {after}")]
    Watch {
        /// Revision after which changes count.
        after: u64,
        /// Time to wait for one.
        wait: Duration,
    },
}

/// `StoreFailure` says why a call to the store brought nothing.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum StoreFailure {
    /// The store does not hold the history after the watch's revision any more.
    #[display("history is gone")]
    HistoryGone,
    /// The call failed or was refused.
    #[display("{_0}")]
    Failed(String),
}

/// `WatchInput` is what happens to a host.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchInput {
    /// Time has passed.
    Tick,
    /// A datagram of another host, found authentic.
    Message(FleetMessage),
    /// Another host's answer to a request for state.
    State {
        /// The host.
        from: Ipv4Addr,
        /// Its state; none if it did not answer.
        batch: Option<StateBatch>,
    },
    /// The store's answer to the call in progress.
    Store(std::result::Result<StateBatch, StoreFailure>),
    /// What the host's traffic thread has inferred of upstreams.
    Load(LoadReport),
    /// The configured peers have changed.
    Seeds(Vec<Ipv4Addr>),
    /// The host shall stop.
    Leave,
}

/// `WatchOutput` is what a host does.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchOutput {
    /// Sends a datagram to another host.
    Send {
        /// The host.
        to: Ipv4Addr,
        /// The message.
        message: FleetMessage,
    },
    /// Asks another host for its state after a revision.
    Ask {
        /// The host.
        to: Ipv4Addr,
        /// The revision.
        after: u64,
    },
    /// Calls the store; any call in progress is given up.
    Call(StoreCall),
    /// What traffic threads need to know has changed.
    Install,
    /// What the other hosts have inferred of upstreams has changed.
    Loads(PeerLoads),
    /// Something worth a line in the log has happened.
    Note(WatchNote),
}

/// `WatchNote` is a change of what a host believes.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum WatchNote {
    /// A manifest is in force.
    #[display("manifest in force version={version} revision={revision}")]
    Manifest {
        /// Its version.
        version: u64,
        /// Its revision.
        revision: u64,
    },
    /// A manifest is refused.
    #[display("manifest refused: {cause}")]
    Refused {
        /// Why.
        cause: String,
    },
    /// An item other than the manifest has changed.
    #[display("{key} {state} revision={revision}")]
    Item {
        /// The item.
        key: StateKey,
        /// What has become of it.
        state: &'static str,
        /// Its revision.
        revision: u64,
    },
    /// The store answers again.
    #[display("store regained after {failures} failed calls")]
    StoreRegained {
        /// Calls that failed in a row.
        failures: u32,
    },
    /// The store does not answer.
    #[display("store lost: {cause}")]
    StoreLost {
        /// What the call brought.
        cause: String,
    },
    /// The host takes up or gives up the watch.
    #[display("watching={watching} rank={rank} confirmed_ms={confirmed_ms:?}")]
    Duty {
        /// Whether it watches from now on.
        watching: bool,
        /// Its place in the order of its data centre.
        rank: usize,
        /// Age of the last confirmation in milliseconds.
        confirmed_ms: Option<u32>,
    },
    /// The host leaves or rejoins the rotation of the platform.
    #[display("isolated={isolated}")]
    Isolated {
        /// Whether callers are better served elsewhere.
        isolated: bool,
    },
    /// The host begins or ends to tell others of load and silence.
    #[display("sharing={sharing} pressed={pressed} suspects={suspects}")]
    Sharing {
        /// Whether it tells others.
        sharing: bool,
        /// Whether its upstreams have little room left.
        pressed: bool,
        /// Whether it suspects an upstream itself.
        suspects: bool,
    },
    /// The host did not run for a while.
    #[display("stalled for {ms} ms")]
    Stalled {
        /// For how long, in milliseconds.
        ms: u32,
    },
    /// Another host was heard for the first time, or again.
    #[display("host {address} heard")]
    Joined {
        /// Its address.
        address: Ipv4Addr,
    },
}

/// `WatchOptions` are the settings of a [`WatchController`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchOptions {
    /// Address of the host.
    pub address: Ipv4Addr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Number of its run.
    pub incarnation: u64,
    /// Its strength; stronger hosts watch first.
    pub strength: u16,
    /// Configured peers; they may be down or gone.
    pub seeds: Vec<Ipv4Addr>,
    /// When to call the store.
    pub schedule: WatchSchedule,
    /// Seed of the random choices.
    pub seed: u64,
}

/// `WatchStatus` is what a host can tell of its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchStatus {
    /// The step of its life.
    pub state: FleetState,
    /// Revision up to which it knows every change.
    pub revision: u64,
    /// Version of the manifest in force.
    pub version: u64,
    /// Age of the last confirmation that nothing newer existed.
    pub confirmed: Option<Duration>,
    /// Whether it watches the store.
    pub watching: bool,
    /// Live hosts, itself included.
    pub hosts: usize,
    /// Calls to the store since the start.
    pub calls: u64,
}

/// `SpreadReach` says how far a change is sent at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SpreadReach {
    /// To the own data centre and to a relay in each other one.
    All,
    /// To the own data centre.
    DataCentre,
    /// To a few hosts of a data centre that is too large for the first sender.
    Few,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CallInProgress {
    call: StoreCall,
    since: Duration,
    stalled: bool,
}

/// `WatchController` decides what a host reads, believes and passes on.
#[derive(Debug)]
pub struct WatchController {
    options: WatchOptions,
    state: FleetState,
    book: StateBook,
    view: FleetView,
    loads: LoadBoard,
    sharing: bool,
    isolated: Option<Duration>,
    rng: ChaCha8Rng,
    started: Duration,
    ticked: Duration,
    confirmed: Option<Duration>,
    call: Option<CallInProgress>,
    next_call: Duration,
    next_digest: Duration,
    next_seek: Duration,
    next_pull: Duration,
    watching: bool,
    failures: u32,
    regained: Option<Duration>,
    asked: HashMap<Ipv4Addr, Duration>,
    boot_read: Duration,
    scope: SnapshotScope,
    most_hosts: (usize, Duration),
    hint_at: usize,
    calls: u64,
}

impl WatchController {
    /// Creates the controller of a host that starts now.
    #[must_use]
    pub fn new(options: WatchOptions, now: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let patience = options.schedule.boot_patience;
        let boot_read = match is_first(&options) {
            true => now,
            false => now + patience.mul_f64(0.5 + rng.random::<f64>()),
        };
        let scope =
            SnapshotScope { data_centre: Some(options.data_centre), ..SnapshotScope::default() };
        Self {
            options,
            state: FleetState::Starting,
            book: StateBook::default(),
            view: FleetView::default(),
            loads: LoadBoard::default(),
            sharing: false,
            isolated: None,
            rng,
            started: now,
            ticked: now,
            confirmed: None,
            call: None,
            next_call: now,
            next_digest: now,
            next_seek: now,
            next_pull: now,
            watching: false,
            failures: 0,
            regained: None,
            asked: HashMap::new(),
            boot_read,
            scope,
            most_hosts: (0, now),
            hint_at: 0,
            calls: 0,
        }
    }

    /// Returns what the host can tell of its state.
    #[must_use]
    pub fn status(&self, now: Duration) -> WatchStatus {
        WatchStatus {
            state: self.state,
            revision: self.book.revision(),
            version: self.book.manifest().map_or(0, |manifest| manifest.version),
            confirmed: self.confirmed.map(|at| now.saturating_sub(at)),
            watching: self.watching,
            hosts: self.view.live(now).count() + 1,
            calls: self.calls,
        }
    }

    /// Returns the items in force.
    #[must_use]
    pub fn book(&self) -> &StateBook {
        &self.book
    }

    /// Returns what traffic threads need to know.
    #[must_use]
    pub fn snapshot(&self) -> CookieSnapshot {
        build_cookie_snapshot(&self.book, &self.scope)
    }

    /// Returns the answer to another host's request for state.
    #[must_use]
    pub fn answer(&self, after: u64, now: Duration) -> StateBatch {
        let (changes, partial) = self.book.changes_since(after, now);
        let after = if partial { after } else { 0 };
        StateBatch { after, upto: self.book.revision(), changes }
    }

    /// Takes in what happened and appends what is to be done.
    pub fn handle(&mut self, input: WatchInput, now: Duration, outputs: &mut Vec<WatchOutput>) {
        match input {
            WatchInput::Tick => self.tick(now, outputs),
            WatchInput::Message(message) => self.take_message(&message, now, outputs),
            WatchInput::State { from, batch } => self.take_state(from, batch, now, outputs),
            WatchInput::Store(answer) => self.take_store(answer, now, outputs),
            WatchInput::Load(report) => self.report_load(report, now, outputs),
            WatchInput::Seeds(seeds) => {
                self.options.seeds = seeds;
                self.next_seek = now;
            }
            WatchInput::Leave => {
                self.state = FleetState::Leaving;
                self.watching = false;
                self.spread(None, SpreadReach::All, now, outputs);
            }
        }
        self.plan_call(now, outputs);
    }

    fn tick(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let gap = now.saturating_sub(self.ticked);
        self.ticked = now;
        if gap > STALL_TIME {
            self.note_stall(gap, outputs);
        }
        self.give_up_call(now, outputs);
        if self.loads.forget(now) {
            outputs.push(WatchOutput::Loads(self.loads.sum()));
        }
        self.seek(now, outputs);
        self.pull(now, outputs);
        if self.isolated.is_some() {
            self.follow_isolation(false, now, outputs);
        }
        if now >= self.next_digest {
            self.next_digest = now + DIGEST_INTERVAL;
            self.gossip(now, outputs);
            self.view.forget(now);
            self.book.forget(now);
        }
        self.count_hosts(now, outputs);
    }

    /// Trusts nothing that was confirmed before a pause of the host itself.
    fn note_stall(&mut self, gap: Duration, outputs: &mut Vec<WatchOutput>) {
        self.confirmed = None;
        self.next_call = self.ticked;
        if let Some(call) = &mut self.call {
            call.stalled = true;
        }
        outputs.push(WatchOutput::Note(WatchNote::Stalled { ms: millis(gap) }));
    }

    fn give_up_call(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let Some(call) = self.call else { return };
        let wait = match call.call {
            StoreCall::Watch { wait, .. } => wait,
            StoreCall::ReadAll { .. } => Duration::ZERO,
        };
        if now.saturating_sub(call.since) > wait + self.options.schedule.call_patience {
            let failure = StoreFailure::Failed("no answer in time".to_owned());
            self.take_store(Err(failure), now, outputs);
        }
    }

    /// Introduces the host to its configured peers while it hears nobody.
    fn seek(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let alone = self.view.live(now).next().is_none();
        let starting = self.state == FleetState::Starting;
        if now < self.next_seek || !(alone || starting) {
            return;
        }
        let pause = if starting { INTRODUCE_INTERVAL } else { SEEK_INTERVAL };
        self.next_seek = now + pause;
        let mut digest = self.digest(now);
        digest.introduce = true;
        let me = self.options.address;
        for to in self.options.seeds.iter().copied().filter(|seed| *seed != me) {
            outputs.push(WatchOutput::Send { to, message: FleetMessage::Digest(digest.clone()) });
        }
    }

    /// Asks some hosts for a digest before the store is called in the watchers' place: a call to the
    /// store is dear, and a digest that was lost or is slow to spread is no reason for one.
    fn pull(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let age = now.saturating_sub(self.confirmed.unwrap_or(self.started));
        let rank = self.view.rank(&self.me(), now);
        let due = self.options.schedule.takeover_age(rank).saturating_sub(PULL_LEAD);
        if self.state != FleetState::Ready || rank == 0 || age < due || now < self.next_pull {
            return;
        }
        self.next_pull = now + PULL_LEAD;
        let mut digest = self.digest(now);
        digest.introduce = true;
        let live = self.view.live(now).map(|member| member.address);
        for to in live.sample(&mut self.rng, PULLS) {
            outputs.push(WatchOutput::Send { to, message: FleetMessage::Digest(digest.clone()) });
        }
    }

    /// Tells the other hosts what this one has inferred of upstreams, while that matters.
    fn report_load(&mut self, report: LoadReport, now: Duration, outputs: &mut Vec<WatchOutput>) {
        self.follow_isolation(report.stranded, now, outputs);
        let (pressed, suspects) = (report.pressed, report.suspects());
        let asked = self.loads.suspected();
        let report = match pressed || suspects || self.loads.pressed() {
            true => report,
            // What another host takes for silent may answer this one.
            false => report.only(&asked),
        };
        let sharing = pressed || suspects || !report.entries.is_empty();
        if sharing != self.sharing {
            self.sharing = sharing;
            outputs.push(WatchOutput::Note(WatchNote::Sharing { sharing, pressed, suspects }));
        }
        if !sharing {
            return;
        }
        let live = self.view.live(now).filter(|member| member.state == FleetState::Ready);
        let near = self.options.data_centre;
        let small = self.view.live(now).count() <= FANOUT;
        let targets: Vec<Ipv4Addr> = live
            .filter(|member| small || member.data_centre == near)
            .map(|member| member.address)
            .sample(&mut self.rng, FANOUT);
        for to in targets {
            let message = FleetMessage::Load(self.options.address, report.clone());
            outputs.push(WatchOutput::Send { to, message });
        }
    }

    /// Tells whether callers are better served by another data centre's hosts.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.isolated.is_some()
    }

    /// Takes the host for isolated while its new flows find nothing but silent upstreams and no host
    /// of another data centre is heard: the platform then turns to hosts that reach more.
    fn follow_isolation(&mut self, stranded: bool, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let near = self.options.data_centre;
        let mut others = self.view.known().filter(|member| member.data_centre != near).peekable();
        let cut_off = others.peek().is_some()
            && others.all(|member| now.saturating_sub(member.heard) >= CUT_SILENCE);
        let isolated = match self.isolated {
            Some(since) => cut_off && now.saturating_sub(since) < ISOLATION_TIME,
            None => cut_off && stranded,
        };
        if isolated != self.isolated.is_some() {
            self.isolated = isolated.then_some(now);
            outputs.push(WatchOutput::Note(WatchNote::Isolated { isolated }));
        }
    }

    fn me(&self) -> MemberHint {
        MemberHint {
            address: self.options.address,
            data_centre: self.options.data_centre,
            incarnation: self.options.incarnation,
            strength: self.options.strength,
            state: self.state,
            watching: self.watching,
            heard_ms: 0,
        }
    }

    fn digest(&mut self, now: Duration) -> FleetDigest {
        self.hint_at = self.hint_at.wrapping_add(HINTS);
        FleetDigest {
            sender: self.me(),
            revision: self.book.revision(),
            confirmed_ms: self.confirmed.map(|at| millis(now.saturating_sub(at))),
            introduce: false,
            members: self.view.hints(self.hint_at, HINTS, now),
        }
    }

    /// Sends a digest to one host of the own data centre, one of any, and one that has fallen silent:
    /// the end of a cut shows by an answer.
    fn gossip(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let message = FleetMessage::Digest(self.digest(now));
        let near = self.view.peers(self.options.data_centre, now).choose(&mut self.rng);
        let near = near.map(|member| member.address);
        let far = self.view.live(now).choose(&mut self.rng).map(|member| member.address);
        let lost = self.view.known().filter(|member| !member.is_live(now)).choose(&mut self.rng);
        let lost = lost.map(|member| member.address);
        for to in [near, far.filter(|far| Some(*far) != near), lost].into_iter().flatten() {
            outputs.push(WatchOutput::Send { to, message: message.clone() });
        }
    }

    /// Sends a digest, with changes if there are any, to many hosts at once.
    fn spread(
        &mut self,
        batch: Option<StateBatch>,
        reach: SpreadReach,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        let digest = self.digest(now);
        let message = match batch {
            Some(batch) => FleetMessage::Changes(digest, batch),
            None => FleetMessage::Digest(digest),
        };
        let mut targets: Vec<Ipv4Addr> = self
            .view
            .peers(self.options.data_centre, now)
            .map(|member| member.address)
            .sample(&mut self.rng, FANOUT);
        if reach == SpreadReach::Few && targets.len() < FANOUT {
            return;
        }
        if reach == SpreadReach::Few {
            targets.truncate(RUMOUR_FANOUT);
        }
        let mut far: HashMap<DataCentreId, Vec<Ipv4Addr>> = HashMap::new();
        for member in self.view.live(now).filter(|_| reach == SpreadReach::All) {
            if member.data_centre != self.options.data_centre {
                far.entry(member.data_centre).or_default().push(member.address);
            }
        }
        let mut far: Vec<_> = far.into_iter().collect();
        far.sort_unstable();
        for (_, addresses) in far {
            targets.extend(addresses.into_iter().sample(&mut self.rng, RELAYS));
        }
        for to in targets {
            outputs.push(WatchOutput::Send { to, message: message.clone() });
        }
    }

    fn take_message(
        &mut self,
        message: &FleetMessage,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        if let FleetMessage::Load(from, report) = message {
            self.loads.learn(*from, report.clone(), now);
            outputs.push(WatchOutput::Loads(self.loads.sum()));
        }
        let Some(digest) = message.digest() else { return };
        let from = digest.sender.address;
        if from == self.options.address {
            return;
        }
        let fresh = self.view.learn(&digest.sender, now);
        for hint in digest.members.iter().filter(|hint| hint.address != self.options.address) {
            self.view.learn(hint, now);
        }
        if fresh {
            outputs.push(WatchOutput::Note(WatchNote::Joined { address: from }));
        }
        if digest.introduce || fresh {
            let message = FleetMessage::Digest(self.digest(now));
            outputs.push(WatchOutput::Send { to: from, message });
        }
        if let FleetMessage::Changes(_, batch) = message
            && batch.after <= self.book.revision()
            && self.put_in_force(batch, now, outputs)
        {
            let reach = match digest.sender.data_centre == self.options.data_centre {
                true => SpreadReach::Few,
                false => SpreadReach::DataCentre,
            };
            self.spread(Some(batch.clone()), reach, now, outputs);
        }
        self.compare(digest, now, outputs);
    }

    /// Compares a digest's revision with the own one: asks, or takes over the confirmation.
    fn compare(&mut self, digest: &FleetDigest, now: Duration, outputs: &mut Vec<WatchOutput>) {
        if digest.revision > self.book.revision() {
            self.ask(digest.sender.address, now, outputs);
        } else if let Some(age) = digest.confirmed_ms {
            let at = now.saturating_sub(Duration::from_millis(u64::from(age)));
            self.confirmed = Some(self.confirmed.map_or(at, |known| known.max(at)));
        }
    }

    fn ask(&mut self, to: Ipv4Addr, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let recently = |at: &Duration| now.saturating_sub(*at) < ASK_INTERVAL;
        self.asked.retain(|_, at| recently(at));
        if self.asked.len() < 2 && !self.asked.contains_key(&to) {
            self.asked.insert(to, now);
            outputs.push(WatchOutput::Ask { to, after: self.book.revision() });
        }
    }

    fn take_state(
        &mut self,
        from: Ipv4Addr,
        batch: Option<StateBatch>,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        self.asked.remove(&from);
        let Some(batch) = batch.filter(|batch| batch.after <= self.book.revision()) else { return };
        let starting = self.state == FleetState::Starting;
        self.put_in_force(&batch, now, outputs);
        if starting && self.state == FleetState::Ready {
            self.spread(None, SpreadReach::All, now, outputs);
        }
    }

    fn take_store(
        &mut self,
        answer: std::result::Result<StateBatch, StoreFailure>,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        let Some(call) = self.call.take() else { return };
        let batch = match answer {
            Ok(batch) => batch,
            Err(StoreFailure::HistoryGone) => {
                self.call(StoreCall::ReadAll { stale: false }, now, outputs);
                return;
            }
            Err(StoreFailure::Failed(cause)) => return self.note_failure(cause, now, outputs),
        };
        if self.failures > 0 {
            let failures = std::mem::take(&mut self.failures);
            self.regained = Some(now);
            outputs.push(WatchOutput::Note(WatchNote::StoreRegained { failures }));
        } else if !self.is_covered(now) {
            // Nobody has confirmed the registry for a while: the store may have been away.
            self.regained = Some(now);
        }
        let batch = match call.call {
            StoreCall::ReadAll { .. } => self.complete(batch),
            StoreCall::Watch { .. } => self.flag_lapsed(batch, now),
        };
        let changed = self.put_in_force(&batch, now, outputs);
        let stale = matches!(call.call, StoreCall::ReadAll { stale: true });
        if !stale && !call.stalled {
            self.confirmed = Some(now);
        }
        let pause = if batch.changes.is_empty() { Duration::ZERO } else { self.gather_pause() };
        self.next_call = now + if stale { Duration::ZERO } else { pause };
        let batch = (changed && batch.after > 0).then_some(batch);
        self.spread(batch, SpreadReach::All, now, outputs);
    }

    fn gather_pause(&self) -> Duration {
        self.options.schedule.gather
    }

    fn note_failure(&mut self, cause: String, now: Duration, outputs: &mut Vec<WatchOutput>) {
        if self.failures == 0 {
            outputs.push(WatchOutput::Note(WatchNote::StoreLost { cause }));
        }
        self.failures += 1;
        let rank = self.view.rank(&self.me(), now);
        let covered = self.is_covered(now);
        let pause = self.options.schedule.retry_pause(self.failures, rank, covered);
        let jitter = 0.75 + 0.5 * self.rng.random::<f64>();
        self.next_call = now + pause.mul_f64(jitter);
    }

    /// Adds the removals that a whole read implies.
    fn complete(&self, mut batch: StateBatch) -> StateBatch {
        let lapsed = self.regained.is_some() || self.failures > 0;
        let missing = self.book.missing_from(&batch.changes, batch.upto, lapsed);
        batch.changes.extend(missing);
        batch
    }

    /// Marks removals that an outage of the store may have caused.
    fn flag_lapsed(&self, mut batch: StateBatch, now: Duration) -> StateBatch {
        let echo = |at: Duration| now.saturating_sub(at) < OUTAGE_ECHO;
        if self.regained.is_some_and(echo) {
            for change in &mut batch.changes {
                if let StateValue::Removed { lapsed } = &mut change.value {
                    *lapsed = true;
                }
            }
        }
        batch
    }

    /// Puts a batch in force; returns whether anything changed.
    fn put_in_force(
        &mut self,
        batch: &StateBatch,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) -> bool {
        let mut changed = false;
        for change in &batch.changes {
            if let StateValue::Manifest(manifest) = &change.value
                && let Err(error) = manifest.check()
            {
                let cause = error.to_string();
                outputs.push(WatchOutput::Note(WatchNote::Refused { cause }));
                continue;
            }
            let former = self.book.manifest().cloned();
            if self.book.apply(change.clone(), now) == ApplyOutcome::Known {
                continue;
            }
            changed = true;
            self.note_change(&change.key, &change.value, change.revision, now, outputs);
            if let StateValue::Manifest(manifest) = &change.value {
                self.follow_manifest(former.as_deref(), manifest);
            }
        }
        self.book.confirm(batch.upto);
        if self.book.manifest().is_some() && self.state == FleetState::Starting {
            self.state = FleetState::Ready;
            changed = true;
        }
        if changed {
            outputs.push(WatchOutput::Install);
        }
        changed
    }

    fn note_change(
        &mut self,
        key: &StateKey,
        value: &StateValue,
        revision: u64,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        let state = match value {
            StateValue::Manifest(manifest) => {
                let version = manifest.version;
                outputs.push(WatchOutput::Note(WatchNote::Manifest { version, revision }));
                return;
            }
            StateValue::Evacuated => "evacuated",
            StateValue::Upstream(report) => match report.state {
                crate::registry::ReportedState::Ready => "ready",
                crate::registry::ReportedState::Draining => "draining",
            },
            StateValue::Unusable => "unusable",
            StateValue::Removed { lapsed: true } => "lapsed",
            StateValue::Removed { lapsed: false } => "removed",
        };
        if let (StateKey::Evacuation(name), StateValue::Removed { .. }) = (key, value) {
            self.scope.returned.insert(DataCentreId::from_name(name), now);
        }
        outputs.push(WatchOutput::Note(WatchNote::Item { key: key.clone(), state, revision }));
    }

    /// Remembers where open flows may be although the manifest in force does not lead there.
    fn follow_manifest(&mut self, former: Option<&Manifest>, manifest: &Manifest) {
        let present: HashSet<SocketAddrV4> =
            manifest.routes.iter().map(|route| route.address).collect();
        let before = former.map(|former| former.routes.as_slice()).unwrap_or_default();
        for route in before {
            let services: HashSet<ServiceId> = route.backends.iter().map(|b| b.service).collect();
            self.scope.led_to.entry(route.address).or_default().extend(services);
            if !present.contains(&route.address) {
                self.scope.dropped.insert(route.address);
            }
        }
        self.scope.dropped.retain(|address| !present.contains(address));
    }

    /// Keeps the largest number of hosts seen lately, for budgets that all hosts share.
    fn count_hosts(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let local = self.view.peers(self.options.data_centre, now).count() + 1;
        if self.scope.local_hosts != local {
            self.scope.local_hosts = local;
            outputs.push(WatchOutput::Install);
        }
        if now.saturating_sub(self.started) < COUNT_TIME {
            return;
        }
        let hosts = self.view.live(now).count() + 1;
        let (most, since) = self.most_hosts;
        if hosts >= most || now.saturating_sub(since) > COUNT_MEMORY {
            self.most_hosts = (hosts, now);
        }
        if self.scope.hosts != self.most_hosts.0 {
            self.scope.hosts = self.most_hosts.0;
            outputs.push(WatchOutput::Install);
        }
    }

    /// Tells whether the registry is known to be current without this host's own calls.
    fn is_covered(&self, now: Duration) -> bool {
        let limit = self.options.schedule.takeover;
        self.confirmed.is_some_and(|at| now.saturating_sub(at) < limit)
    }

    /// Calls the store if it is this host's turn.
    fn plan_call(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        if self.call.is_some() || self.state == FleetState::Leaving {
            return;
        }
        if self.book.revision() == 0 {
            if now >= self.boot_read && now >= self.next_call {
                self.call(StoreCall::ReadAll { stale: self.failures == 0 }, now, outputs);
            }
            return;
        }
        let rank = self.view.rank(&self.me(), now);
        let watching = self.is_on_duty(rank, now);
        if watching != self.watching {
            self.watching = watching;
            let confirmed_ms = self.confirmed.map(|at| millis(now.saturating_sub(at)));
            outputs.push(WatchOutput::Note(WatchNote::Duty { watching, rank, confirmed_ms }));
        }
        if watching && now >= self.next_call {
            let wait = match self.is_covered(now) {
                true => self.options.schedule.watch_wait,
                // Whether anything has changed is asked first, then waited for.
                false => Duration::from_millis(1),
            };
            self.call(StoreCall::Watch { after: self.book.revision(), wait }, now, outputs);
        }
    }

    /// Tells whether the host calls the store now.
    ///
    /// One host of each data centre does; the others do when nothing confirms the registry in time.
    fn is_on_duty(&self, rank: usize, now: Duration) -> bool {
        let age = now.saturating_sub(self.confirmed.unwrap_or(self.started));
        if age >= self.options.schedule.takeover_age(rank) {
            return true;
        }
        if self.watching {
            return !self.view.has_watcher(&self.me(), true, now);
        }
        let settled = now.saturating_sub(self.started) >= self.options.schedule.settle;
        let vacant = rank == 0 && settled && !self.view.has_watcher(&self.me(), false, now);
        vacant || (self.confirmed.is_none() && is_first(&self.options))
    }

    fn call(&mut self, call: StoreCall, now: Duration, outputs: &mut Vec<WatchOutput>) {
        self.calls += 1;
        self.call = Some(CallInProgress { call, since: now, stalled: false });
        outputs.push(WatchOutput::Call(call));
    }
}

/// Tells whether other hosts turn to this one while they start.
fn is_first(options: &WatchOptions) -> bool {
    options.seeds.contains(&options.address) || options.seeds.is_empty()
}
