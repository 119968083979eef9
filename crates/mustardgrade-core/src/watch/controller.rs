//! The controller: one for each host, free of I/O.

use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::duty::is_first;
use super::events::{StoreCall, StoreFailure, WatchInput, WatchNote, WatchOutput};
use super::gossip::SpreadReach;
use super::loads::LoadBoard;
use super::members::FleetView;
use super::message::{FleetDigest, FleetMessage, FleetState, StateBatch, millis};
use super::schedule::WatchSchedule;
use crate::cookie::{CookieSnapshot, SnapshotContext, build_cookie_snapshot};
use crate::identity::{DataCentreId, ServiceId};
use crate::registry::{ApplyOutcome, Manifest, StateBook, StateKey, StateValue};

/// Time between two digests of a host at rest.
const DIGEST_INTERVAL: Duration = Duration::from_millis(400);

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

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallInProgress {
    pub(super) call: StoreCall,
    pub(super) since: Duration,
    pub(super) stalled: bool,
}

/// `WatchController` decides what a host reads, believes and passes on.
#[derive(Debug)]
pub struct WatchController {
    pub(super) options: WatchOptions,
    pub(super) state: FleetState,
    pub(super) book: StateBook,
    pub(super) view: FleetView,
    pub(super) loads: LoadBoard,
    pub(super) sharing: bool,
    pub(super) isolated: Option<Duration>,
    pub(super) rng: ChaCha8Rng,
    pub(super) started: Duration,
    pub(super) ticked: Duration,
    pub(super) confirmed: Option<Duration>,
    pub(super) call: Option<CallInProgress>,
    pub(super) next_call: Duration,
    pub(super) next_digest: Duration,
    pub(super) next_seek: Duration,
    pub(super) next_pull: Duration,
    pub(super) watching: bool,
    pub(super) failures: u32,
    pub(super) regained: Option<Duration>,
    pub(super) asked: HashMap<Ipv4Addr, Duration>,
    pub(super) boot_read: Duration,
    pub(super) scope: SnapshotContext,
    pub(super) most_hosts: (usize, Duration),
    pub(super) hint_at: usize,
    pub(super) calls: u64,
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
        let scope = SnapshotContext {
            data_centre: Some(options.data_centre),
            ..SnapshotContext::default()
        };
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

    pub(super) fn take_store(
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
            StoreCall::ReadAll { .. } => self.complete(batch, now),
            StoreCall::Watch { .. } => self.flag_lapsed(batch, now),
        };
        let changed = self.put_in_force(&batch, now, outputs);
        let stale = matches!(call.call, StoreCall::ReadAll { stale: true });
        if !stale && !call.stalled {
            self.confirmed = Some(now);
        }
        let pause =
            if batch.changes.is_empty() { Duration::ZERO } else { self.options.schedule.gather };
        self.next_call = now + if stale { Duration::ZERO } else { pause };
        let batch = (changed && batch.after > 0).then_some(batch);
        self.spread(batch, SpreadReach::All, now, outputs);
    }

    /// Adds the removals that a whole read implies.
    fn complete(&self, mut batch: StateBatch, now: Duration) -> StateBatch {
        let lapsed = self.follows_outage(now);
        let missing = self.book.missing_from(&batch.changes, batch.upto, lapsed);
        batch.changes.extend(missing);
        batch
    }

    /// Marks removals that an outage of the store may have caused.
    fn flag_lapsed(&self, mut batch: StateBatch, now: Duration) -> StateBatch {
        if self.follows_outage(now) {
            for change in &mut batch.changes {
                if let StateValue::Removed { lapsed } = &mut change.value {
                    *lapsed = true;
                }
            }
        }
        batch
    }

    /// Tells whether the store came back only just now.
    fn follows_outage(&self, now: Duration) -> bool {
        self.regained.is_some_and(|at| now.saturating_sub(at) < OUTAGE_ECHO)
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
                // The store has accepted it: it is in force, whatever is odd about one of its routes.
                let cause = error.to_string();
                outputs.push(WatchOutput::Note(WatchNote::Doubtful { cause }));
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
            self.scope.evacuation_ends.insert(DataCentreId::from_name(name), now);
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
            self.scope.past_services.entry(route.address).or_default().extend(services);
            if !present.contains(&route.address) {
                self.scope.dropped_routes.insert(route.address);
            }
        }
        self.scope.dropped_routes.retain(|address| !present.contains(address));
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
        if self.scope.fleet_hosts != self.most_hosts.0 {
            self.scope.fleet_hosts = self.most_hosts.0;
            outputs.push(WatchOutput::Install);
        }
    }
}
