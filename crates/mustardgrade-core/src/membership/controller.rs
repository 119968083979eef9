//! The controller: control decisions of one host.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use super::digest::{HostDigest, HostState};
use super::member::{ListedHost, MemberTable, MemberTableOptions};
use crate::flow::{PlacementMode, RouteMember, RoutingSnapshot};
use crate::identity::{DataCentreId, HostId, HostIncarnation, ServiceId, rendezvous_order};
use crate::placement::{
    BucketIndex, BucketPhase, EchoState, PlacementBook, PlacementPlanner, PlannerOptions,
};
use crate::rule::RuleSet;

/// Rendezvous key of the host that proposes placements.
pub(super) const PROPOSER_RENDEZVOUS_KEY: u64 = 0x7072_6f70_6f73_6572;

/// Rendezvous key of the hosts that watch the store.
pub(super) const WATCHER_RENDEZVOUS_KEY: u64 = 0x7761_7463_6865_7273;

/// Hosts of a data centre that watch the store; one alone would leave a gap when it dies.
pub(super) const STORE_WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Time for which a host waits for those before it in proposer order.
pub(super) const PROPOSER_RANK_DELAY: Duration = Duration::from_secs(3);

/// Time between two looks at the placement while nothing has changed.
pub(super) const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a fetch from a peer is tried again.
pub(super) const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Longest wait of a joining host for all views to agree.
pub(super) const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Least time for which a leaving host keeps routing after all views agree.
pub(super) const LEAVE_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// Longest time that a leaving host takes.
pub(super) const LEAVE_TIMEOUT: Duration = Duration::from_secs(8);

/// `ControllerOptions` holds the settings of a [`HostController`].
#[derive(Debug, Clone)]
pub struct ControllerOptions {
    /// This run of this host.
    pub own_incarnation: HostIncarnation,
    /// Its address.
    pub address: Ipv4Addr,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Other hosts to start from when the platform's list cannot be read.
    pub seeds: Vec<Ipv4Addr>,
    /// How flows stay with their upstream.
    pub placement_mode: PlacementMode,
    /// Settings of the member table.
    pub member_table: MemberTableOptions,
    /// Settings of the planner.
    pub planner: PlannerOptions,
}

/// `StoredRules` is an accepted revision of the rules.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRules {
    /// Number of the revision.
    pub revision: u64,
    /// The rules.
    pub rule_set: Arc<RuleSet>,
}

/// `StoredPlacement` is a published generation of the placement.
pub type StoredPlacement = Arc<PlacementBook>;

/// `PeerConfiguration` is what a peer hands to a host that asks for the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerConfiguration {
    /// The peer's rules.
    pub rules: Option<StoredRules>,
    /// The peer's placement.
    pub placement: Option<StoredPlacement>,
    /// Addresses of the hosts that the peer knows.
    pub host_addresses: Vec<Ipv4Addr>,
}

/// `ControllerInput` is an event that the controller decides on.
#[derive(Debug, Clone)]
pub enum ControllerInput {
    /// Time has passed.
    Tick,
    /// A digest has arrived and its sender is authenticated.
    DigestReceived(HostDigest),
    /// The platform's host list has been read.
    HostListRead(Vec<ListedHost>),
    /// A peer has named the hosts that it knows.
    PeerAddressesReceived(Vec<Ipv4Addr>),
    /// Rules have been read from the store or a peer.
    RulesReceived(StoredRules),
    /// A placement has been read from the store or a peer.
    PlacementReceived(StoredPlacement),
    /// A peer has handed over all settled exceptions.
    AllExceptionsFetched {
        /// The peer.
        peer: Ipv4Addr,
        /// The peer's generation.
        generation: u64,
    },
    /// A peer has handed over the settled exceptions of buckets that it owns.
    BucketExceptionsFetched {
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
    LeaveRequested,
}

/// `ControllerOutput` is what the edge of the process must do.
#[derive(Debug, Clone, PartialEq)]
pub enum ControllerOutput {
    /// Send a digest.
    SendDigest {
        /// Receivers.
        recipients: Vec<Ipv4Addr>,
        /// What is sent.
        digest: HostDigest,
    },
    /// Fetch rules and placement from a peer.
    FetchConfiguration(Ipv4Addr),
    /// Fetch all settled exceptions from a peer.
    FetchAllExceptions(Ipv4Addr),
    /// Fetch the settled exceptions of the buckets that a host owns; the host may be this one.
    FetchBucketExceptions {
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
    InstallSnapshot(Arc<RoutingSnapshot>),
    /// Tell the traffic threads that the tables were current at this time; zero revokes it.
    SetTablesCurrentAt(Duration),
    /// The host has handed everything over and may exit.
    Exit,
}

/// `JoinStep` is how far a starting host has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JoinStep {
    DataCentreOutOfService,
    FetchingConfiguration,
    FetchingExceptions(Duration),
    AwaitingConvergence(Duration),
    FetchingRecords,
    Joined,
}

/// `PartitionRecovery` is how far a host has come in gathering what others placed without it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PartitionRecovery {
    pub(super) since: Duration,
    pub(super) fetch_started: bool,
    pub(super) pending_peers: BTreeSet<Ipv4Addr>,
}

/// `LeaveStep` is how far a stopping host has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaveStep {
    NotLeaving,
    Leaving { since: Duration, converged_at: Option<Duration> },
    Stopped,
}

/// `SnapshotDependencies` is what a snapshot depends on; an unchanged view needs no new snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SnapshotDependencies {
    pub(super) rules_revision: u64,
    pub(super) rules_applied_by_all: bool,
    pub(super) generation: u64,
    pub(super) members: Vec<RouteMember>,
    pub(super) unreachable_data_centres: Vec<DataCentreId>,
    pub(super) views_converged: bool,
}

/// `PlanDependencies` is what a plan without guards depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PlanDependencies {
    pub(super) rules_revision: u64,
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
    pub(super) covered_buckets: BTreeMap<ServiceId, BTreeSet<BucketIndex>>,
    pub(super) has_all_exceptions: bool,
    pub(super) partition_recovery: Option<PartitionRecovery>,
    pub(super) has_settling_buckets: bool,
    pub(super) settled_generation: u64,
    pub(super) digest_sequence: u64,
    pub(super) join_step: JoinStep,
    pub(super) leave_step: LeaveStep,
    pub(super) started_at: Option<Duration>,
    pub(super) last_digest_at: Duration,
    pub(super) last_fetch_at: Option<Duration>,
    pub(super) last_bucket_fetch_at: Option<Duration>,
    pub(super) last_plan_at: Duration,
    pub(super) proposal_pending_since: Option<Duration>,
    pub(super) last_apply_progress: Option<EchoState>,
    pub(super) last_snapshot: Option<Arc<RoutingSnapshot>>,
    pub(super) last_snapshot_dependencies: Option<SnapshotDependencies>,
    pub(super) unchanged_plan: Option<PlanDependencies>,
    pub(super) has_pending_changes: bool,
}

impl HostController {
    /// Creates the controller of a host that starts now.
    #[must_use]
    pub fn new(options: ControllerOptions) -> Self {
        Self {
            members: MemberTable::new(
                options.own_incarnation.host,
                options.data_centre,
                options.member_table,
            ),
            planner: PlacementPlanner::new(options.planner),
            options,
            rules: None,
            placement: Arc::new(PlacementBook::default()),
            covered_buckets: BTreeMap::new(),
            has_all_exceptions: false,
            partition_recovery: None,
            has_settling_buckets: false,
            settled_generation: 0,
            digest_sequence: 0,
            join_step: JoinStep::FetchingConfiguration,
            leave_step: LeaveStep::NotLeaving,
            started_at: None,
            last_digest_at: Duration::ZERO,
            last_fetch_at: None,
            last_bucket_fetch_at: None,
            last_plan_at: Duration::ZERO,
            proposal_pending_since: None,
            last_apply_progress: None,
            last_snapshot: None,
            last_snapshot_dependencies: None,
            unchanged_plan: None,
            has_pending_changes: false,
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
        match (self.leave_step, self.join_step) {
            (LeaveStep::Stopped, _) => HostState::Stopped,
            (LeaveStep::Leaving { .. }, _) => HostState::Leaving,
            (LeaveStep::NotLeaving, JoinStep::Joined) => HostState::Serving,
            (LeaveStep::NotLeaving, _) => HostState::Joining,
        }
    }

    /// Returns the digest that the host would send now.
    #[must_use]
    pub fn digest(&self) -> HostDigest {
        let mut digest = HostDigest {
            sender: self.options.own_incarnation,
            sequence: self.digest_sequence,
            state: self.state(),
            data_centre: self.options.data_centre,
            address: self.options.address,
            rules_revision: self.rules.as_ref().map_or(0, |rules| rules.revision),
            generation: self.placement.generation,
            settled_generation: self.settled_generation,
            view_hash: 0,
        };
        digest.view_hash = self.members.view_hash(&digest);
        digest
    }

    /// Tells whether this host watches the store for its data centre.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let own_digest = self.digest();
        let is_local = |digest: &&HostDigest| {
            digest.data_centre == self.options.data_centre && digest.state != HostState::Stopped
        };
        let digests = self
            .members
            .live_members()
            .map(|member| &member.digest)
            .chain([&own_digest])
            .filter(is_local);
        let hosts: Vec<HostId> = digests.map(|digest| digest.sender.host).collect();
        let order = rendezvous_order(WATCHER_RENDEZVOUS_KEY, &hosts);
        order
            .iter()
            .take(STORE_WATCHERS_PER_DATA_CENTRE)
            .any(|host| *host == self.options.own_incarnation.host)
    }

    /// Returns what a host needs that starts from this one.
    #[must_use]
    pub fn peer_configuration(&self) -> PeerConfiguration {
        PeerConfiguration {
            rules: self.rules.clone(),
            placement: Some(Arc::clone(&self.placement)),
            host_addresses: self.members.digest_targets(),
        }
    }

    // Commands.

    /// Takes in one event and appends what must be done to `out`.
    pub fn handle(
        &mut self,
        input: ControllerInput,
        now: Duration,
        outputs: &mut Vec<ControllerOutput>,
    ) {
        let digest_before = self.digest();
        match input {
            ControllerInput::Tick => self.tick(now, outputs),
            ControllerInput::DigestReceived(digest) => self.receive_digest(&digest, now, outputs),
            ControllerInput::HostListRead(listed) => self.members.set_listed_hosts(listed),
            ControllerInput::PeerAddressesReceived(addresses) => {
                self.members.set_learned_addresses(addresses)
            }
            ControllerInput::RulesReceived(rules) => self.apply_rules(rules),
            ControllerInput::PlacementReceived(placement) => self.apply_placement(placement, now),
            ControllerInput::AllExceptionsFetched { peer, generation } => {
                self.complete_exceptions_fetch(peer, generation);
            }
            ControllerInput::BucketExceptionsFetched { service, generation, buckets } => {
                self.complete_bucket_fetch(service, generation, &buckets);
            }
            ControllerInput::RecordsFetched => {
                if self.join_step == JoinStep::FetchingRecords {
                    self.join_step = JoinStep::Joined;
                }
            }
            ControllerInput::LeaveRequested => self.start_leave(now),
        }
        self.process_changes(&digest_before, now, outputs);
    }

    pub(super) fn tick(&mut self, now: Duration, outputs: &mut Vec<ControllerOutput>) {
        self.started_at.get_or_insert(now);
        self.members.tick(now);
        self.has_pending_changes = true;
        self.advance_join(now, outputs);
        self.advance_leave(now, outputs);
        if now >= self.last_digest_at + self.options.member_table.heartbeat_interval {
            self.send_digest(now, outputs);
        }
        self.probe_silent_host(outputs);
    }

    pub(super) fn receive_digest(
        &mut self,
        digest: &HostDigest,
        now: Duration,
        outputs: &mut Vec<ControllerOutput>,
    ) {
        let was_timed_out = self.members.has_timed_out(digest.sender);
        if !self.members.record_digest(digest) {
            return;
        }
        // Hosts that did not hear each other may have placed flows on their own.
        if was_timed_out
            && self.join_step == JoinStep::Joined
            && self.options.placement_mode == PlacementMode::Guarded
        {
            self.start_partition_recovery();
            outputs.push(ControllerOutput::SetTablesCurrentAt(Duration::ZERO));
        }
        self.has_pending_changes = true;
        self.fetch_configuration_if_behind(digest, now, outputs);
        // A peer that moved on twice has not waited for this host, so its tables may be wrong.
        if digest.generation > self.placement.generation + 1 {
            outputs.push(ControllerOutput::SetTablesCurrentAt(Duration::ZERO));
        }
    }

    pub(super) fn fetch_configuration_if_behind(
        &mut self,
        digest: &HostDigest,
        now: Duration,
        outputs: &mut Vec<ControllerOutput>,
    ) {
        let own_revision = self.rules.as_ref().map_or(0, |rules| rules.revision);
        let is_behind =
            digest.rules_revision > own_revision || digest.generation > self.placement.generation;
        let retry_due = self.last_fetch_at.is_none_or(|last| now >= last + FETCH_RETRY_INTERVAL);
        if is_behind && retry_due {
            self.last_fetch_at = Some(now);
            outputs.push(ControllerOutput::FetchConfiguration(digest.address));
        }
    }

    /// Puts rules in force unless the host has seen newer ones.
    pub(super) fn apply_rules(&mut self, rules: StoredRules) {
        if self.rules.as_ref().is_some_and(|known| known.revision >= rules.revision) {
            return;
        }
        self.last_fetch_at = None;
        let out_of_service = rules.rule_set.out_of_service_data_centres();
        if out_of_service.contains(&self.options.data_centre) {
            // Moves pass this host by while its data centre is out, so it joins anew afterwards.
            self.join_step = JoinStep::DataCentreOutOfService;
            self.has_all_exceptions = false;
        } else if self.join_step == JoinStep::DataCentreOutOfService {
            self.join_step = JoinStep::FetchingConfiguration;
        }
        self.members.set_out_of_service(out_of_service);
        self.rules = Some(rules);
        self.has_pending_changes = true;
    }

    /// Puts a placement in force unless the host has seen a newer one.
    pub(super) fn apply_placement(&mut self, placement: StoredPlacement, now: Duration) {
        if placement.generation <= self.placement.generation {
            return;
        }
        self.last_fetch_at = None;
        self.detect_missed_exceptions(&placement);
        self.planner.observe(&placement, now);
        self.has_settling_buckets = placement
            .tables
            .iter()
            .any(|table| table.slots.iter().any(|slot| slot.phase == BucketPhase::Settling));
        self.placement = placement;
        self.proposal_pending_since = None;
        self.has_pending_changes = true;
        self.update_settled_generation();
    }

    /// Does what follows from a change, whatever the input was.
    pub(super) fn process_changes(
        &mut self,
        digest_before: &HostDigest,
        now: Duration,
        outputs: &mut Vec<ControllerOutput>,
    ) {
        if !self.has_pending_changes {
            return;
        }
        self.has_pending_changes = false;
        self.install_snapshot(outputs);
        self.report_tables_current(now, outputs);
        self.fetch_bucket_exceptions(now, outputs);
        self.propose_placement_if_due(now, outputs);
        let digest_after = self.digest();
        let reported = |digest: &HostDigest| {
            (digest.state, digest.rules_revision, digest.generation, digest.settled_generation)
        };
        if reported(digest_before) != reported(&digest_after) {
            self.send_digest(now, outputs);
        }
    }
}
