//! The controller: control decisions of one host.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use super::digest::{HostDigest, HostState};
use super::member::{ListedHost, MemberOptions, MemberTable};
use crate::flow::{PlacementMode, RouteMember, RoutingSnapshot, SnapshotInputs, build_snapshot};
use crate::identity::{DataCentreId, HostId, HostIncarnation, ServiceId, rendezvous_order};
use crate::placement::{
    BucketIndex, BucketPhase, EchoState, PlacementBook, PlacementPlanner, PlannerOptions,
    WARM_WEIGHT_PER_SLOT,
};
use crate::rule::{RuleBook, UpstreamRule};

/// Rendezvous key of the host that proposes placements.
const PROPOSER_KEY: u64 = 0x7072_6f70_6f73_6572;

/// Rendezvous key of the hosts that watch the store.
const WATCHER_KEY: u64 = 0x7761_7463_6865_7273;

/// Hosts of a data centre that watch the store; one alone would leave a gap when it dies.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Time for which a host waits for those before it in proposer order.
const PROPOSER_PATIENCE: Duration = Duration::from_secs(3);

/// Time between two looks at the placement while nothing has changed.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a fetch from a peer is tried again.
const FETCH_RETRY: Duration = Duration::from_millis(300);

/// Longest wait of a joining host for all views to agree.
const JOIN_PATIENCE: Duration = Duration::from_secs(3);

/// Least time for which a leaving host keeps routing after all views agree.
const LEAVE_GRACE: Duration = Duration::from_millis(500);

/// Longest time that a leaving host takes.
const LEAVE_PATIENCE: Duration = Duration::from_secs(8);

/// `ControllerOptions` holds the settings of a [`HostController`].
#[derive(Debug, Clone)]
pub struct ControllerOptions {
    /// This run of this host.
    pub me: HostIncarnation,
    /// Its address.
    pub address: Ipv4Addr,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Other hosts to start from when the platform's list cannot be read.
    pub seeds: Vec<Ipv4Addr>,
    /// How flows stay with their upstream.
    pub mode: PlacementMode,
    /// Settings of the member table.
    pub members: MemberOptions,
    /// Settings of the planner.
    pub planner: PlannerOptions,
}

/// `StoredRules` is an accepted revision of the rules.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRules {
    /// Number of the revision.
    pub revision: u64,
    /// The rules.
    pub book: Arc<RuleBook>,
}

/// `StoredPlacement` is a published generation of the placement.
pub type StoredPlacement = Arc<PlacementBook>;

/// `FetchedState` is what a peer hands to a host that asks for the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchedState {
    /// The peer's rules.
    pub rules: Option<StoredRules>,
    /// The peer's placement.
    pub placement: Option<StoredPlacement>,
}

/// `ControllerInput` is an event that the controller decides on.
#[derive(Debug, Clone)]
pub enum ControllerInput {
    /// Time has passed.
    Tick,
    /// A digest has arrived and its sender is authenticated.
    Digest(HostDigest),
    /// The platform's host list has been read.
    Listed(Vec<ListedHost>),
    /// Rules have been read from the store or a peer.
    Rules(StoredRules),
    /// A placement has been read from the store or a peer.
    Placement(StoredPlacement),
    /// A peer has handed over all settled exceptions.
    ExceptionsFetched {
        /// The peer.
        from: Ipv4Addr,
        /// The peer's generation.
        generation: u64,
    },
    /// A peer has handed over the settled exceptions of buckets that it owns.
    BucketsSettled {
        /// The service.
        service: ServiceId,
        /// Generation of the peer.
        generation: u64,
        /// The buckets.
        buckets: Vec<BucketIndex>,
    },
    /// Every live peer has been asked for the records that this host will own.
    RecordsFetched,
    /// The host is asked to stop.
    Leave,
}

/// `ControllerOutput` is what the edge of the process must do.
#[derive(Debug, Clone, PartialEq)]
pub enum ControllerOutput {
    /// Send a digest.
    SendDigest {
        /// Receivers.
        to: Vec<Ipv4Addr>,
        /// What is sent.
        digest: HostDigest,
    },
    /// Fetch rules and placement from a peer.
    FetchState(Ipv4Addr),
    /// Fetch all settled exceptions from a peer.
    FetchExceptions(Ipv4Addr),
    /// Fetch the settled exceptions of the buckets that a host owns; the host may be this one.
    FetchSettled {
        /// The owner.
        owner: HostId,
        /// Its address.
        address: Ipv4Addr,
        /// The service.
        service: ServiceId,
        /// Lowest generation at which the answer counts.
        generation: u64,
        /// The buckets.
        buckets: Vec<BucketIndex>,
    },
    /// Fetch the records that this host will own from these peers.
    FetchRecords(Vec<Ipv4Addr>),
    /// Read rules and placement from the store.
    ReadStore,
    /// Write a generation to the store if it still holds the one before.
    WritePlacement(StoredPlacement),
    /// Put a snapshot in force on the traffic threads.
    Install(Arc<RoutingSnapshot>),
    /// Tell the traffic threads that the tables were current at this time; zero revokes it.
    Heard(Duration),
    /// The host has handed everything over and may exit.
    Stopped,
}

/// `JoinStep` is how far a starting host has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JoinStep {
    Out,
    Configuration,
    Exceptions(Duration),
    Views(Duration),
    Records,
    Done,
}

/// `MergeStep` is how far a host has come in gathering what others placed without it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct MergeStep {
    since: Duration,
    started: bool,
    missing: BTreeSet<Ipv4Addr>,
}

/// `LeaveStep` is how far a stopping host has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaveStep {
    Staying,
    Leaving { since: Duration, converged_at: Option<Duration> },
    Stopped,
}

/// `SnapshotView` is what a snapshot depends on; an unchanged view needs no new snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SnapshotView {
    revision: u64,
    echoed: bool,
    generation: u64,
    members: Vec<RouteMember>,
    cut_off: Vec<DataCentreId>,
    converged: bool,
}

/// `PlanInputs` is what a plan without guards depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PlanInputs {
    revision: u64,
    generation: u64,
}

/// `HostController` takes all control decisions of one host.
///
/// It performs no I/O: inputs come in by [`HostController::handle`], and the returned outputs are
/// carried out by the edge of the process.
#[derive(Debug)]
pub struct HostController {
    options: ControllerOptions,
    members: MemberTable,
    planner: PlacementPlanner,
    rules: Option<StoredRules>,
    placement: StoredPlacement,
    covered: BTreeMap<ServiceId, BTreeSet<BucketIndex>>,
    exceptions_complete: bool,
    merge: Option<MergeStep>,
    is_settling: bool,
    settled: u64,
    sequence: u64,
    join: JoinStep,
    leave: LeaveStep,
    started: Option<Duration>,
    last_digest: Duration,
    last_fetch: Option<Duration>,
    last_settle_fetch: Option<Duration>,
    last_plan: Duration,
    wanted_since: Option<Duration>,
    last_echo: Option<EchoState>,
    last_snapshot: Option<Arc<RoutingSnapshot>>,
    last_view: Option<SnapshotView>,
    idle_plan: Option<PlanInputs>,
    dirty: bool,
}

impl HostController {
    /// Creates the controller of a host that starts now.
    #[must_use]
    pub fn new(options: ControllerOptions) -> Self {
        Self {
            members: MemberTable::new(options.me.host, options.data_centre, options.members),
            planner: PlacementPlanner::new(options.planner),
            options,
            rules: None,
            placement: Arc::new(PlacementBook::default()),
            covered: BTreeMap::new(),
            exceptions_complete: false,
            merge: None,
            is_settling: false,
            settled: 0,
            sequence: 0,
            join: JoinStep::Configuration,
            leave: LeaveStep::Staying,
            started: None,
            last_digest: Duration::ZERO,
            last_fetch: None,
            last_settle_fetch: None,
            last_plan: Duration::ZERO,
            wanted_since: None,
            last_echo: None,
            last_snapshot: None,
            last_view: None,
            idle_plan: None,
            dirty: false,
        }
    }

    // Queries.

    /// Returns the rules in force.
    #[must_use]
    pub fn rules(&self) -> Option<&StoredRules> {
        self.rules.as_ref()
    }

    /// Returns the placement in force.
    #[must_use]
    pub fn placement(&self) -> &StoredPlacement {
        &self.placement
    }

    /// Returns the member table.
    #[must_use]
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns the step of the host's life.
    #[must_use]
    pub fn state(&self) -> HostState {
        match (self.leave, self.join) {
            (LeaveStep::Stopped, _) => HostState::Stopped,
            (LeaveStep::Leaving { .. }, _) => HostState::Leaving,
            (LeaveStep::Staying, JoinStep::Done) => HostState::Serving,
            (LeaveStep::Staying, _) => HostState::Joining,
        }
    }

    /// Returns the digest that the host would send now.
    #[must_use]
    pub fn digest(&self) -> HostDigest {
        let mut digest = HostDigest {
            from: self.options.me,
            sequence: self.sequence,
            state: self.state(),
            data_centre: self.options.data_centre,
            address: self.options.address,
            rules_revision: self.rules.as_ref().map_or(0, |rules| rules.revision),
            generation: self.placement.generation,
            settled: self.settled,
            view: 0,
        };
        digest.view = self.members.view(&digest);
        digest
    }

    /// Tells whether this host watches the store for its data centre.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let own = self.digest();
        let local = |digest: &&HostDigest| {
            digest.data_centre == self.options.data_centre && digest.state != HostState::Stopped
        };
        let digests = self.members.live().map(|member| &member.digest).chain([&own]).filter(local);
        let hosts: Vec<HostId> = digests.map(|digest| digest.from.host).collect();
        let order = rendezvous_order(WATCHER_KEY, &hosts);
        order.iter().take(WATCHERS_PER_DATA_CENTRE).any(|host| *host == self.options.me.host)
    }

    // Commands.

    /// Takes in one event and appends what must be done to `out`.
    pub fn handle(
        &mut self,
        input: ControllerInput,
        now: Duration,
        out: &mut Vec<ControllerOutput>,
    ) {
        let before = self.digest();
        match input {
            ControllerInput::Tick => self.tick(now, out),
            ControllerInput::Digest(digest) => self.receive(&digest, now, out),
            ControllerInput::Listed(listed) => self.members.set_listed(listed),
            ControllerInput::Rules(rules) => self.take_rules(rules),
            ControllerInput::Placement(placement) => self.take_placement(placement, now),
            ControllerInput::ExceptionsFetched { from, generation } => {
                self.take_exceptions(from, generation);
            }
            ControllerInput::BucketsSettled { service, generation, buckets } => {
                self.take_settled(service, generation, &buckets);
            }
            ControllerInput::RecordsFetched => {
                if self.join == JoinStep::Records {
                    self.join = JoinStep::Done;
                }
            }
            ControllerInput::Leave => self.start_leave(now),
        }
        self.follow_up(&before, now, out);
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<ControllerOutput>) {
        self.started.get_or_insert(now);
        self.members.tick(now);
        self.dirty = true;
        self.advance_join(now, out);
        self.advance_leave(now, out);
        if now >= self.last_digest + self.options.members.heartbeat {
            self.send_digest(now, out);
        }
        self.probe_silent(out);
    }

    fn receive(&mut self, digest: &HostDigest, now: Duration, out: &mut Vec<ControllerOutput>) {
        let returns = self.members.was_silent(digest.from);
        if !self.members.receive(digest) {
            return;
        }
        // Hosts that did not hear each other may have placed flows on their own.
        if returns && self.join == JoinStep::Done && self.options.mode == PlacementMode::Guarded {
            self.start_merge();
            out.push(ControllerOutput::Heard(Duration::ZERO));
        }
        self.dirty = true;
        self.fetch_if_behind(digest, now, out);
        // A peer that moved on twice has not waited for this host, so its tables may be wrong.
        if digest.generation > self.placement.generation + 1 {
            out.push(ControllerOutput::Heard(Duration::ZERO));
        }
    }

    fn fetch_if_behind(
        &mut self,
        digest: &HostDigest,
        now: Duration,
        out: &mut Vec<ControllerOutput>,
    ) {
        let own_revision = self.rules.as_ref().map_or(0, |rules| rules.revision);
        let behind =
            digest.rules_revision > own_revision || digest.generation > self.placement.generation;
        let waited = self.last_fetch.is_none_or(|last| now >= last + FETCH_RETRY);
        if behind && waited {
            self.last_fetch = Some(now);
            out.push(ControllerOutput::FetchState(digest.address));
        }
    }

    /// Puts rules in force unless the host has seen newer ones.
    fn take_rules(&mut self, rules: StoredRules) {
        if self.rules.as_ref().is_some_and(|known| known.revision >= rules.revision) {
            return;
        }
        self.last_fetch = None;
        let out = rules.book.out_data_centres();
        if out.contains(&self.options.data_centre) {
            // Moves pass this host by while its data centre is out, so it joins anew afterwards.
            self.join = JoinStep::Out;
            self.exceptions_complete = false;
        } else if self.join == JoinStep::Out {
            self.join = JoinStep::Configuration;
        }
        self.members.set_out(out);
        self.rules = Some(rules);
        self.dirty = true;
    }

    /// Puts a placement in force unless the host has seen a newer one.
    fn take_placement(&mut self, placement: StoredPlacement, now: Duration) {
        if placement.generation <= self.placement.generation {
            return;
        }
        self.last_fetch = None;
        self.check_exceptions(&placement);
        self.planner.observe(&placement, now);
        self.is_settling = placement
            .tables
            .iter()
            .any(|table| table.slots.iter().any(|slot| slot.phase == BucketPhase::Settling));
        self.placement = placement;
        self.wanted_since = None;
        self.dirty = true;
        self.update_settled();
    }

    /// Finds out whether this host missed the exceptions of a guard that `next` ends.
    fn check_exceptions(&mut self, next: &PlacementBook) {
        for table in &next.tables {
            let old = self.placement.table(table.service);
            let covered = self.covered.entry(table.service).or_default();
            for (index, slot) in table.slots.iter().enumerate() {
                let bucket = BucketIndex(index as u32);
                let Some(old_slot) = old.and_then(|old| old.slots.get(index)) else {
                    continue;
                };
                let changed = old_slot.phase.is_guarded() || old_slot.current != slot.current;
                let ended = slot.phase == BucketPhase::Steady && changed;
                if ended && !covered.contains(&bucket) {
                    self.exceptions_complete = self.options.mode == PlacementMode::Computed;
                }
                if slot.phase != BucketPhase::Settling {
                    covered.remove(&bucket);
                }
            }
        }
    }

    fn take_exceptions(&mut self, from: Ipv4Addr, generation: u64) {
        if generation < self.placement.generation {
            return;
        }
        if let Some(merge) = &mut self.merge {
            merge.missing.remove(&from);
            let finished = merge.started && merge.missing.is_empty();
            if !finished {
                return;
            }
            self.merge = None;
        }
        self.exceptions_complete = true;
        if matches!(self.join, JoinStep::Exceptions(_)) {
            self.join = JoinStep::Views(self.members.active_time());
        }
    }

    /// Starts to gather what hosts placed while they did not hear each other.
    fn start_merge(&mut self) {
        self.exceptions_complete = false;
        let since = self.members.active_time();
        self.merge = Some(MergeStep { since, started: false, missing: BTreeSet::new() });
    }

    /// Asks all live hosts for their exceptions once their views agree.
    fn advance_merge(&mut self, now: Duration, waited: bool, out: &mut Vec<ControllerOutput>) {
        let view = self.digest().view;
        let converged = self.members.is_converged(view);
        let active = self.members.active_time();
        let live: BTreeSet<Ipv4Addr> = self.peer_addresses().into_iter().collect();
        let Some(merge) = &mut self.merge else { return };
        let patient = active < merge.since + JOIN_PATIENCE;
        if !merge.started && (converged || !patient) {
            merge.started = true;
            merge.missing.clone_from(&live);
        }
        merge.missing.retain(|address| live.contains(address));
        if merge.started && merge.missing.is_empty() {
            self.merge = None;
            self.exceptions_complete = true;
            return;
        }
        if merge.started && waited {
            self.last_fetch = Some(now);
            out.extend(merge.missing.iter().copied().map(ControllerOutput::FetchExceptions));
        }
    }

    fn take_settled(&mut self, service: ServiceId, generation: u64, buckets: &[BucketIndex]) {
        if generation < self.placement.generation {
            return;
        }
        let Some(table) = self.placement.table(service) else {
            return;
        };
        let settling =
            buckets.iter().filter(|bucket| table.slot(**bucket).phase == BucketPhase::Settling);
        self.covered.entry(service).or_default().extend(settling);
        self.last_settle_fetch = None;
        self.update_settled();
    }

    fn update_settled(&mut self) {
        let complete = !self.is_settling || self.uncovered().next().is_none();
        if complete && self.exceptions_complete {
            self.settled = self.placement.generation;
        }
    }

    /// Returns the settling buckets whose exceptions this host lacks.
    fn uncovered(&self) -> impl Iterator<Item = (ServiceId, BucketIndex)> {
        self.placement.tables.iter().flat_map(|table| {
            let covered = self.covered.get(&table.service);
            let slots = table.slots.iter().enumerate();
            slots.filter_map(move |(index, slot)| {
                let bucket = BucketIndex(index as u32);
                let lacks = slot.phase == BucketPhase::Settling
                    && !covered.is_some_and(|covered| covered.contains(&bucket));
                lacks.then_some((table.service, bucket))
            })
        })
    }

    fn advance_join(&mut self, now: Duration, out: &mut Vec<ControllerOutput>) {
        let waited = self.last_fetch.is_none_or(|last| now >= last + FETCH_RETRY);
        match self.join {
            JoinStep::Configuration => self.join_configuration(now, waited, out),
            JoinStep::Exceptions(since) => self.join_exceptions(since, now, waited, out),
            JoinStep::Views(since) => {
                let view = self.digest().view;
                let active = self.members.active_time();
                // One heartbeat must pass, so that every peer has had the chance to object.
                let settled = active >= since + self.options.members.heartbeat;
                let patient = active < since + JOIN_PATIENCE;
                if settled && (self.members.is_converged(view) || !patient) {
                    self.join = JoinStep::Records;
                    self.last_fetch = Some(now);
                    out.push(ControllerOutput::FetchRecords(self.peer_addresses()));
                }
            }
            JoinStep::Records if waited => {
                self.last_fetch = Some(now);
                out.push(ControllerOutput::FetchRecords(self.peer_addresses()));
            }
            JoinStep::Out | JoinStep::Records | JoinStep::Done => {}
        }
        if self.join == JoinStep::Done && self.merge.is_some() {
            self.advance_merge(now, waited, out);
        } else if self.join == JoinStep::Done && !self.exceptions_complete && waited {
            self.last_fetch = Some(now);
            self.fetch_exceptions(out);
        }
    }

    fn join_configuration(&mut self, now: Duration, waited: bool, out: &mut Vec<ControllerOutput>) {
        if self.rules.is_some() && self.placement.generation > 0 {
            self.join = JoinStep::Exceptions(self.members.active_time());
            self.last_fetch = None;
            return;
        }
        if waited {
            self.last_fetch = Some(now);
            let seeds = self.options.seeds.iter().copied();
            let peers = self.peer_addresses();
            let own = self.options.address;
            let candidates: Vec<Ipv4Addr> =
                peers.into_iter().chain(seeds).filter(|address| *address != own).collect();
            // A different peer is asked each time, since any of them may be gone.
            if !candidates.is_empty() {
                let index = (now.as_millis() / FETCH_RETRY.as_millis()) as usize % candidates.len();
                out.push(ControllerOutput::FetchState(candidates[index]));
            }
            out.push(ControllerOutput::ReadStore);
            // The first hosts of a fleet find no placement: they propose it.
            if self.rules.is_some() {
                self.plan(now, out);
            }
        }
    }

    fn join_exceptions(
        &mut self,
        since: Duration,
        now: Duration,
        waited: bool,
        out: &mut Vec<ControllerOutput>,
    ) {
        let active = self.members.active_time();
        if self.serving_peer().is_none() && active > since + self.options.members.dead_after {
            // Nobody serves yet, so there are no exceptions to miss.
            self.exceptions_complete = true;
            self.join = JoinStep::Views(active);
            self.update_settled();
            return;
        }
        if waited {
            self.last_fetch = Some(now);
            self.fetch_exceptions(out);
        }
    }

    fn fetch_exceptions(&self, out: &mut Vec<ControllerOutput>) {
        if let Some(address) = self.serving_peer() {
            out.push(ControllerOutput::FetchExceptions(address));
        }
    }

    /// Returns a serving peer that is not behind this host, another one with each digest sent.
    fn serving_peer(&self) -> Option<Ipv4Addr> {
        let ready = |digest: &&HostDigest| {
            digest.state == HostState::Serving && digest.generation >= self.placement.generation
        };
        let digests = self.members.live().map(|member| &member.digest).filter(ready);
        let addresses: Vec<Ipv4Addr> = digests.map(|digest| digest.address).collect();
        let index = self.sequence as usize % addresses.len().max(1);
        addresses.get(index).copied()
    }

    fn peer_addresses(&self) -> Vec<Ipv4Addr> {
        self.members.live().map(|member| member.digest.address).collect()
    }

    fn start_leave(&mut self, now: Duration) {
        if self.leave == LeaveStep::Staying {
            self.leave = LeaveStep::Leaving { since: now, converged_at: None };
            self.dirty = true;
        }
    }

    fn advance_leave(&mut self, now: Duration, out: &mut Vec<ControllerOutput>) {
        let LeaveStep::Leaving { since, converged_at } = self.leave else {
            return;
        };
        let view = self.digest().view;
        let converged_at = match self.members.is_converged(view) {
            true => converged_at.or(Some(now)),
            false => converged_at,
        };
        self.leave = LeaveStep::Leaving { since, converged_at };
        let handed_over = converged_at.is_some_and(|at| now >= at + LEAVE_GRACE);
        if handed_over || now >= since + LEAVE_PATIENCE {
            self.leave = LeaveStep::Stopped;
            self.send_digest(now, out);
            out.push(ControllerOutput::Stopped);
        }
    }

    /// Does what follows from a change, whatever the input was.
    fn follow_up(&mut self, before: &HostDigest, now: Duration, out: &mut Vec<ControllerOutput>) {
        if !self.dirty {
            return;
        }
        self.dirty = false;
        self.install_snapshot(out);
        self.report_heard(now, out);
        self.fetch_settled(now, out);
        self.plan_if_due(now, out);
        let after = self.digest();
        let echoed = |digest: &HostDigest| {
            (digest.state, digest.rules_revision, digest.generation, digest.settled)
        };
        if echoed(before) != echoed(&after) {
            self.send_digest(now, out);
        }
    }

    fn send_digest(&mut self, now: Duration, out: &mut Vec<ControllerOutput>) {
        self.sequence += 1;
        self.last_digest = now;
        let mut to = self.members.targets();
        // Seeds are only needed until the host knows its peers.
        if self.join == JoinStep::Configuration {
            to.extend(self.options.seeds.iter().copied());
        }
        to.retain(|address| *address != self.options.address);
        to.sort_unstable();
        to.dedup();
        out.push(ControllerOutput::SendDigest { to, digest: self.digest() });
    }

    /// Probes one silent host at each tick while a data centre is cut off, so that both sides learn
    /// of the healing soon.
    fn probe_silent(&mut self, out: &mut Vec<ControllerOutput>) {
        if self.members.cut_off().is_empty() {
            return;
        }
        self.sequence += 1;
        if let Some(target) = self.members.silent_target(self.sequence) {
            out.push(ControllerOutput::SendDigest { to: vec![target], digest: self.digest() });
        }
    }

    fn install_snapshot(&mut self, out: &mut Vec<ControllerOutput>) {
        let Some(rules) = &self.rules else { return };
        let view = SnapshotView {
            revision: rules.revision,
            echoed: self.members.rules_echoed(rules.revision),
            generation: self.placement.generation,
            members: self.members.route_members(&self.digest()),
            cut_off: self.members.cut_off(),
            converged: self.members.is_converged(self.digest().view),
        };
        let view = SnapshotView { converged: view.converged && !view.cut_off.is_empty(), ..view };
        if self.last_view.as_ref() == Some(&view) {
            return;
        }
        let snapshot = Arc::new(build_snapshot(SnapshotInputs {
            rules: &rules.book,
            rules_revision: view.revision,
            rules_echoed: view.echoed,
            book: &self.placement,
            members: &view.members,
            cut_off: &view.cut_off,
            converged: view.converged,
            guarded: self.options.mode == PlacementMode::Guarded,
        }));
        self.last_view = Some(view);
        self.last_snapshot = Some(Arc::clone(&snapshot));
        out.push(ControllerOutput::Install(snapshot));
    }

    fn report_heard(&self, now: Duration, out: &mut Vec<ControllerOutput>) {
        let behind =
            self.members.live().any(|member| member.digest.generation > self.placement.generation);
        let ready = self.state() != HostState::Joining && self.exceptions_complete;
        if ready && !behind && !self.members.is_fenced() {
            out.push(ControllerOutput::Heard(now));
        }
    }

    fn fetch_settled(&mut self, now: Duration, out: &mut Vec<ControllerOutput>) {
        if !self.is_settling {
            self.update_settled();
            return;
        }
        let waited = self.last_settle_fetch.is_none_or(|last| now >= last + FETCH_RETRY);
        let Some(snapshot) = self.last_snapshot.clone().filter(|_| waited) else {
            return;
        };
        let mut wanted: BTreeMap<(HostId, ServiceId), Vec<BucketIndex>> = BTreeMap::new();
        for (service, bucket) in self.uncovered() {
            let Some(route) = snapshot.service(service) else {
                continue;
            };
            let Some(chain) = snapshot.chain(route, bucket) else {
                continue;
            };
            wanted.entry((chain.owner, service)).or_default().push(bucket);
        }
        if wanted.is_empty() {
            self.update_settled();
            return;
        }
        self.last_settle_fetch = Some(now);
        for ((owner, service), buckets) in wanted {
            let Some(address) = snapshot.host_address(owner) else {
                continue;
            };
            let generation = self.placement.generation;
            out.push(ControllerOutput::FetchSettled {
                owner,
                address,
                service,
                generation,
                buckets,
            });
        }
    }

    fn plan_if_due(&mut self, now: Duration, out: &mut Vec<ControllerOutput>) {
        if self.join != JoinStep::Done {
            return;
        }
        let echo = self.members.echo_state(&self.digest());
        let changed = self.last_echo != Some(echo);
        if changed || now >= self.last_plan + PLAN_INTERVAL {
            self.last_echo = Some(echo);
            self.plan(now, out);
        }
    }

    fn plan(&mut self, now: Duration, out: &mut Vec<ControllerOutput>) {
        self.last_plan = now;
        let own = self.digest();
        let Some(rules) = &self.rules else { return };
        let inputs = PlanInputs { revision: rules.revision, generation: self.placement.generation };
        if self.idle_plan == Some(inputs) {
            return;
        }
        // Hosts that are further back in the order only step in when nothing happens.
        let rank = self.proposer_rank();
        let weight = |rule: &UpstreamRule| u32::from(rule.slots) * WARM_WEIGHT_PER_SLOT;
        let echo = self.members.echo_state(&own);
        let proposal =
            self.planner.propose(&self.placement, &rules.book, rules.revision, &weight, echo, now);
        let Some(book) = proposal else {
            self.wanted_since = None;
            self.idle_plan = (!self.placement.has_guards()).then_some(inputs);
            return;
        };
        let since = *self.wanted_since.get_or_insert(now);
        if now >= since + PROPOSER_PATIENCE * rank {
            out.push(ControllerOutput::WritePlacement(Arc::new(book)));
        }
    }

    fn proposer_rank(&self) -> u32 {
        let serving = |digest: &&HostDigest| digest.state == HostState::Serving;
        let digests = self.members.live().map(|member| &member.digest).filter(serving);
        let mut hosts: Vec<HostId> = digests.map(|digest| digest.from.host).collect();
        hosts.push(self.options.me.host);
        let order = rendezvous_order(PROPOSER_KEY, &hosts);
        let rank = order.iter().position(|host| *host == self.options.me.host);
        rank.unwrap_or_default() as u32
    }
}
