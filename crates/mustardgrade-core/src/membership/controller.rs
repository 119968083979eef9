//! The controller: control decisions of one host.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use super::digest::{HostDigest, HostState};
use super::member::{ListedHost, MemberOptions, MemberTable};
use crate::flow::{HostRoute, PlacementMode, RoutingSnapshot};
use crate::identity::{DataCentreId, HostId, HostIncarnation, ServiceId, rendezvous_order};
use crate::placement::{
    BucketIndex, BucketPhase, ClusterProgress, PlacementMap, PlacementPlanner, PlannerOptions,
};
use crate::rule::RuleBook;

/// Rendezvous key of the host that proposes placements.
pub(super) const PROPOSER_KEY: u64 = 0x7072_6f70_6f73_6572;

/// Rendezvous key of the hosts that watch the store.
pub(super) const WATCHER_KEY: u64 = 0x7761_7463_6865_7273;

/// Hosts of a data centre that watch the store; one alone would leave a gap when it dies.
pub(super) const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Time for which a host waits for those before it in proposer order.
pub(super) const PROPOSER_PATIENCE: Duration = Duration::from_secs(3);

/// Time between two looks at the placement while nothing has changed.
pub(super) const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a fetch from a peer is tried again.
pub(super) const FETCH_RETRY: Duration = Duration::from_millis(300);

/// Longest wait of a joining host for all views to agree.
pub(super) const JOIN_PATIENCE: Duration = Duration::from_secs(3);

/// Least time for which a leaving host keeps routing after all views agree.
pub(super) const LEAVE_GRACE: Duration = Duration::from_millis(500);

/// Longest time that a leaving host takes.
pub(super) const LEAVE_PATIENCE: Duration = Duration::from_secs(8);

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
pub type StoredPlacement = Arc<PlacementMap>;

/// `FetchedState` is what a peer hands to a host that asks for the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchedState {
    /// The peer's rules.
    pub rules: Option<StoredRules>,
    /// The peer's placement.
    pub placement: Option<StoredPlacement>,
    /// Addresses of the hosts that the peer knows.
    pub hosts: Vec<Ipv4Addr>,
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
    /// A peer has named the hosts that it knows.
    Introduced(Vec<Ipv4Addr>),
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
pub(super) enum JoinStep {
    Out,
    Configuration,
    Exceptions(Duration),
    Views(Duration),
    Records,
    Done,
}

/// `MergeStep` is how far a host has come in gathering what others placed without it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct MergeStep {
    pub(super) since: Duration,
    pub(super) started: bool,
    pub(super) missing: BTreeSet<Ipv4Addr>,
}

/// `LeaveStep` is how far a stopping host has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaveStep {
    Staying,
    Leaving { since: Duration, converged_at: Option<Duration> },
    Stopped,
}

/// `SnapshotView` is what a snapshot depends on; an unchanged view needs no new snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SnapshotView {
    pub(super) revision: u64,
    pub(super) echoed: bool,
    pub(super) generation: u64,
    pub(super) members: Vec<HostRoute>,
    pub(super) cut_off: Vec<DataCentreId>,
    pub(super) converged: bool,
}

/// `PlanInputs` is what a plan without guards depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PlanInputs {
    pub(super) revision: u64,
    pub(super) generation: u64,
}

/// `HostController` takes all control decisions of one host.
///
/// It performs no I/O: inputs come in by [`HostController::handle`], and the returned outputs are
/// carried out by the edge of the process.
#[derive(Debug)]
pub struct HostController {
    pub(super) options: ControllerOptions,
    pub(super) members: MemberTable,
    pub(super) planner: PlacementPlanner,
    pub(super) rules: Option<StoredRules>,
    pub(super) placement: StoredPlacement,
    pub(super) covered: BTreeMap<ServiceId, BTreeSet<BucketIndex>>,
    pub(super) exceptions_complete: bool,
    pub(super) merge: Option<MergeStep>,
    pub(super) is_settling: bool,
    pub(super) settled: u64,
    pub(super) sequence: u64,
    pub(super) join: JoinStep,
    pub(super) leave: LeaveStep,
    pub(super) started: Option<Duration>,
    pub(super) last_digest: Duration,
    pub(super) last_fetch: Option<Duration>,
    pub(super) last_settle_fetch: Option<Duration>,
    pub(super) last_plan: Duration,
    pub(super) wanted_since: Option<Duration>,
    pub(super) last_echo: Option<ClusterProgress>,
    pub(super) last_snapshot: Option<Arc<RoutingSnapshot>>,
    pub(super) last_view: Option<SnapshotView>,
    pub(super) idle_plan: Option<PlanInputs>,
    pub(super) dirty: bool,
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
            placement: Arc::new(PlacementMap::default()),
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

    /// Returns what a host needs that starts from this one.
    #[must_use]
    pub fn fetched_state(&self) -> FetchedState {
        FetchedState {
            rules: self.rules.clone(),
            placement: Some(Arc::clone(&self.placement)),
            hosts: self.members.targets(),
        }
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
            ControllerInput::Introduced(addresses) => self.members.introduce(addresses),
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

    pub(super) fn tick(&mut self, now: Duration, out: &mut Vec<ControllerOutput>) {
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

    pub(super) fn receive(
        &mut self,
        digest: &HostDigest,
        now: Duration,
        out: &mut Vec<ControllerOutput>,
    ) {
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

    pub(super) fn fetch_if_behind(
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
    pub(super) fn take_rules(&mut self, rules: StoredRules) {
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
    pub(super) fn take_placement(&mut self, placement: StoredPlacement, now: Duration) {
        if placement.generation <= self.placement.generation {
            return;
        }
        self.last_fetch = None;
        self.check_exceptions(&placement);
        self.planner.track_collecting_buckets(&placement, now);
        self.is_settling = placement
            .tables
            .iter()
            .any(|table| table.buckets.iter().any(|slot| slot.phase == BucketPhase::Settling));
        self.placement = placement;
        self.wanted_since = None;
        self.dirty = true;
        self.update_settled();
    }

    /// Does what follows from a change, whatever the input was.
    pub(super) fn follow_up(
        &mut self,
        before: &HostDigest,
        now: Duration,
        out: &mut Vec<ControllerOutput>,
    ) {
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
}
