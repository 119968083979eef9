//! The controller, which makes the control decisions of one host.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use super::digest::{HostDigest, HostState};
use super::member::{ListedHost, MemberTable, MemberTableOptions};
use crate::flow::{HostRoute, PlacementMode, RoutingSnapshot};
use crate::identity::{DataCentreId, HostId, HostIncarnation, ServiceId, rendezvous_order};
use crate::placement::{
    BucketIndex, BucketPhase, ClusterProgress, PlacementMap, PlacementPlanner, PlannerOptions,
};
use crate::rule::RuleSet;

/// Rendezvous key that ranks hosts as proposers of placements.
pub(super) const PROPOSER_RENDEZVOUS_KEY: u64 = 0x7072_6f70_6f73_6572;

/// Rendezvous key that selects the hosts that watch the store.
pub(super) const WATCHER_RENDEZVOUS_KEY: u64 = 0x7761_7463_6865_7273;

/// Number of hosts per data centre that watch the store; with a single watcher, no host would watch
/// between its failure and the takeover by another host.
pub(super) const STORE_WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Delay per rank before a host publishes a placement that higher-ranked hosts have not published.
pub(super) const PROPOSER_RANK_DELAY: Duration = Duration::from_secs(3);

/// Interval between planner runs while the apply progress of the hosts does not change.
pub(super) const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// Interval after which an unanswered fetch from a peer or the store is retried.
pub(super) const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum time that a join or a partition recovery waits for the views of all hosts to agree.
pub(super) const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Minimum time for which a leaving host keeps routing after the views of all hosts agree.
pub(super) const LEAVE_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// Time after which a leaving host stops even if the views of the hosts have not agreed.
pub(super) const LEAVE_TIMEOUT: Duration = Duration::from_secs(8);

/// `ControllerOptions` holds the settings of a [`HostController`].
#[derive(Debug, Clone)]
pub struct ControllerOptions {
    /// Identity and current run of the local host.
    pub local_incarnation: HostIncarnation,
    /// Address of the local host.
    pub address: Ipv4Addr,
    /// Data centre of the local host.
    pub data_centre: DataCentreId,
    /// Addresses of hosts to contact until the configuration has been fetched, so that a host can
    /// start while the platform's host list cannot be read.
    pub seeds: Vec<Ipv4Addr>,
    /// Method that keeps the packets of a flow on one upstream.
    pub placement_mode: PlacementMode,
    /// Settings of the member table.
    pub member_table: MemberTableOptions,
    /// Settings of the planner.
    pub planner: PlannerOptions,
}

/// `StoredRules` is a revision of the rules that the store has accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRules {
    /// Revision number.
    pub revision: u64,
    /// Rules of this revision.
    pub rule_set: Arc<RuleSet>,
}

/// `StoredPlacement` is a published generation of the placement.
pub type StoredPlacement = Arc<PlacementMap>;

/// `PeerConfiguration` is the configuration in force on a host, as sent to peers that request it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerConfiguration {
    /// Rules in force on the peer, if it has any.
    pub rules: Option<StoredRules>,
    /// Placement in force on the peer.
    pub placement: Option<StoredPlacement>,
    /// Addresses to which the peer sends digests.
    pub host_addresses: Vec<Ipv4Addr>,
}

/// `ControllerInput` is an event that the controller processes.
#[derive(Debug, Clone)]
pub enum ControllerInput {
    /// The periodic timer has fired.
    Tick,
    /// A digest from an authenticated sender has been received.
    DigestReceived(HostDigest),
    /// The platform's host list has been read.
    HostListRead(Vec<ListedHost>),
    /// A peer has sent the addresses of the hosts that it knows.
    PeerAddressesReceived(Vec<Ipv4Addr>),
    /// Rules have been read from the store or a peer.
    RulesReceived(StoredRules),
    /// A placement has been read from the store or a peer.
    PlacementReceived(StoredPlacement),
    /// All settled exceptions that a peer knows have been fetched and installed.
    AllExceptionsFetched {
        /// Address of the peer.
        peer: Ipv4Addr,
        /// Placement generation in force on the peer.
        generation: u64,
    },
    /// The settled exceptions of some buckets have been fetched from their owner and installed.
    BucketExceptionsFetched {
        /// Service to which the buckets belong.
        service: ServiceId,
        /// Placement generation in force on the owner.
        generation: u64,
        /// Buckets whose exceptions are concerned.
        buckets: Vec<BucketIndex>,
    },
    /// All traffic threads route by a snapshot of this placement and these rules, or a later one.
    SnapshotInstalled {
        /// Placement generation of the snapshot.
        generation: u64,
        /// Rules revision of the snapshot.
        rules_revision: u64,
    },
    /// Every live peer has been asked for the flow records that this host will own.
    RecordsFetched,
    /// The host has been asked to stop.
    LeaveRequested,
}

/// `ControllerOutput` is an action that the I/O layer must perform.
#[derive(Debug, Clone, PartialEq)]
pub enum ControllerOutput {
    /// Send a digest to peers.
    SendDigest {
        /// Addresses of the recipients.
        recipients: Vec<Ipv4Addr>,
        /// Digest to send.
        digest: HostDigest,
    },
    /// Fetch the configuration in force from a peer.
    FetchConfiguration(Ipv4Addr),
    /// Fetch all settled exceptions that a peer knows.
    FetchAllExceptions(Ipv4Addr),
    /// Fetch the settled exceptions of buckets from every host that keeps their records. A host that
    /// has just become owner may know a record only by way of its replica.
    FetchBucketExceptions {
        /// Owner and replica of the buckets, one of which may be the local host.
        keepers: Vec<RecordKeeper>,
        /// Service to which the buckets belong.
        service: ServiceId,
        /// Minimum placement generation of the answers.
        generation: u64,
        /// Buckets whose exceptions are concerned.
        buckets: Vec<BucketIndex>,
    },
    /// Fetch the flow records that this host will own from the peers with these addresses.
    FetchRecords(Vec<Ipv4Addr>),
    /// Read rules and placement from the store.
    ReadStore,
    /// Write a placement generation to the store if the store still holds its predecessor.
    WritePlacement(StoredPlacement),
    /// Install a routing snapshot on the traffic threads.
    InstallSnapshot(Arc<RoutingSnapshot>),
    /// Tell the traffic threads at what time the tables were last confirmed to be up to date; zero
    /// revokes an earlier confirmation.
    SetTablesConfirmedAt(Duration),
    /// The handover is complete or has timed out, so the process may exit.
    Exit,
}

/// `RecordKeeper` is a host that keeps the records of a bucket, as its owner or replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordKeeper {
    /// Identity of the host.
    pub host: HostId,
    /// Address of the host.
    pub address: Ipv4Addr,
}

/// `JoinStep` is the progress of a host that joins.
///
/// Durations are the active time of the member table at the start of the step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JoinStep {
    /// The rules have taken the local data centre out of service.
    DataCentreOutOfService,
    /// Rules and placement are fetched from peers and the store.
    FetchingConfiguration,
    /// All settled exceptions are fetched from a serving peer.
    FetchingExceptions(Duration),
    /// The host waits until all live hosts report the same view, or the timeout has passed.
    AwaitingConvergence(Duration),
    /// The flow records that this host will own are fetched from all live peers.
    FetchingRecords,
    /// The host may serve.
    Joined,
}

/// `PartitionRecovery` is the progress of collecting exceptions that other hosts recorded while
/// this host did not receive their digests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PartitionRecovery {
    /// Active time of the member table at the start of the recovery.
    pub(super) since: Duration,
    /// Whether the exceptions have been requested from the live peers.
    pub(super) fetch_started: bool,
    /// Live peers that have not answered yet.
    pub(super) pending_peers: BTreeSet<Ipv4Addr>,
}

/// `LeaveStep` is the progress of a host that leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaveStep {
    NotLeaving,
    Leaving { since: Duration, converged_at: Option<Duration> },
    Stopped,
}

/// `SnapshotDependencies` are the inputs that determine a routing snapshot; no new snapshot is
/// built while they are unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SnapshotDependencies {
    pub(super) rules_revision: u64,
    pub(super) rules_applied_by_all: bool,
    pub(super) generation: u64,
    pub(super) members: Vec<HostRoute>,
    pub(super) unreachable_data_centres: Vec<DataCentreId>,
    /// Whether all views agree while a data centre is unreachable; false if none is unreachable.
    pub(super) views_converged: bool,
}

/// `PlanDependencies` are the inputs that determine a planner run if no bucket is guarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PlanDependencies {
    pub(super) rules_revision: u64,
    pub(super) generation: u64,
}

/// `HostController` makes all control decisions of one host.
///
/// It performs no I/O: [`HostController::handle`] processes events and appends the actions that the
/// I/O layer must perform.
#[derive(Debug)]
pub struct HostController {
    pub(super) options: ControllerOptions,
    pub(super) members: MemberTable,
    pub(super) planner: PlacementPlanner,
    pub(super) rules: Option<StoredRules>,
    pub(super) placement: StoredPlacement,
    /// Settling buckets whose exceptions are installed on this host.
    pub(super) covered_buckets: BTreeMap<ServiceId, BTreeSet<BucketIndex>>,
    /// Whether the exceptions of all completed moves are installed on this host.
    pub(super) has_all_exceptions: bool,
    pub(super) partition_recovery: Option<PartitionRecovery>,
    pub(super) has_settling_buckets: bool,
    /// Highest placement generation for which all settled exceptions are installed.
    pub(super) settled_generation: u64,
    /// Highest placement generation by which all traffic threads route.
    pub(super) routed_generation: u64,
    /// Highest rules revision by which all traffic threads route.
    pub(super) routed_revision: u64,
    pub(super) digest_sequence: u64,
    pub(super) join_step: JoinStep,
    pub(super) leave_step: LeaveStep,
    pub(super) started_at: Option<Duration>,
    pub(super) last_digest_at: Duration,
    pub(super) last_fetch_at: Option<Duration>,
    pub(super) last_bucket_fetch_at: Option<Duration>,
    pub(super) last_plan_at: Duration,
    /// Time since which the placement needs a change that no host has published.
    pub(super) proposal_pending_since: Option<Duration>,
    pub(super) last_apply_progress: Option<ClusterProgress>,
    pub(super) last_snapshot: Option<Arc<RoutingSnapshot>>,
    pub(super) last_snapshot_dependencies: Option<SnapshotDependencies>,
    /// Inputs of the last planner run that needed no change.
    pub(super) unchanged_plan: Option<PlanDependencies>,
    /// Whether the state has changed since the last call of `process_changes`.
    pub(super) has_pending_changes: bool,
}

impl HostController {
    /// Creates the controller of a host that starts now.
    #[must_use]
    pub fn new(options: ControllerOptions) -> Self {
        Self {
            members: MemberTable::new(
                options.local_incarnation.host,
                options.data_centre,
                options.member_table,
            ),
            planner: PlacementPlanner::new(options.planner),
            options,
            rules: None,
            placement: Arc::new(PlacementMap::default()),
            covered_buckets: BTreeMap::new(),
            has_all_exceptions: false,
            partition_recovery: None,
            has_settling_buckets: false,
            settled_generation: 0,
            routed_generation: 0,
            routed_revision: 0,
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

    /// Returns the table of the other hosts.
    #[must_use]
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns the lifecycle state that the host reports.
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
            sender: self.options.local_incarnation,
            sequence: self.digest_sequence,
            state: self.state(),
            data_centre: self.options.data_centre,
            address: self.options.address,
            rules_revision: self.routed_revision,
            generation: self.routed_generation,
            settled_generation: self.settled_generation,
            view_hash: 0,
        };
        digest.view_hash = self.members.view_hash(&digest);
        digest
    }

    /// Returns whether this host is one of the store watchers of its data centre.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let local_digest = self.digest();
        let is_local = |digest: &&HostDigest| {
            digest.data_centre == self.options.data_centre && digest.state != HostState::Stopped
        };
        let digests = self
            .members
            .live_members()
            .map(|member| &member.digest)
            .chain([&local_digest])
            .filter(is_local);
        let hosts: Vec<HostId> = digests.map(|digest| digest.sender.host).collect();
        let order = rendezvous_order(WATCHER_RENDEZVOUS_KEY, &hosts);
        order
            .iter()
            .take(STORE_WATCHERS_PER_DATA_CENTRE)
            .any(|host| *host == self.options.local_incarnation.host)
    }

    /// Returns the configuration that this host sends to peers that request it.
    #[must_use]
    pub fn peer_configuration(&self) -> PeerConfiguration {
        PeerConfiguration {
            rules: self.rules.clone(),
            placement: Some(Arc::clone(&self.placement)),
            host_addresses: self.members.digest_targets(),
        }
    }

    // Commands.

    /// Processes one event and appends the resulting actions to `outputs`.
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
            ControllerInput::SnapshotInstalled { generation, rules_revision } => {
                self.record_installed_snapshot(generation, rules_revision);
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
        let had_timed_out = self.members.has_timed_out(digest.sender);
        if !self.members.record_digest(digest) {
            return;
        }
        // Hosts that did not receive digests from each other may have placed flows independently.
        if had_timed_out
            && self.join_step == JoinStep::Joined
            && self.options.placement_mode == PlacementMode::Guarded
        {
            self.start_partition_recovery();
            outputs.push(ControllerOutput::SetTablesConfirmedAt(Duration::ZERO));
        }
        self.has_pending_changes = true;
        self.fetch_configuration_if_behind(digest, now, outputs);
        // A peer that is two generations ahead did not wait for this host to apply the one between,
        // so the tables of this host may be wrong.
        if digest.generation > self.placement.generation + 1 {
            outputs.push(ControllerOutput::SetTablesConfirmedAt(Duration::ZERO));
        }
    }

    pub(super) fn fetch_configuration_if_behind(
        &mut self,
        digest: &HostDigest,
        now: Duration,
        outputs: &mut Vec<ControllerOutput>,
    ) {
        let local_revision = self.rules.as_ref().map_or(0, |rules| rules.revision);
        let is_behind =
            digest.rules_revision > local_revision || digest.generation > self.placement.generation;
        let retry_due = self.last_fetch_at.is_none_or(|last| now >= last + FETCH_RETRY_INTERVAL);
        if is_behind && retry_due {
            self.last_fetch_at = Some(now);
            outputs.push(ControllerOutput::FetchConfiguration(digest.address));
        }
    }

    /// Puts rules in force if they are newer than the current ones.
    pub(super) fn apply_rules(&mut self, rules: StoredRules) {
        if self.rules.as_ref().is_some_and(|known| known.revision >= rules.revision) {
            return;
        }
        self.last_fetch_at = None;
        let out_of_service = rules.rule_set.out_of_service_data_centres();
        if out_of_service.contains(&self.options.data_centre) {
            // Other hosts do not wait for this host while its data centre is out of service, so it
            // misses moves and must join again afterwards.
            self.join_step = JoinStep::DataCentreOutOfService;
            self.has_all_exceptions = false;
        } else if self.join_step == JoinStep::DataCentreOutOfService {
            self.join_step = JoinStep::FetchingConfiguration;
        }
        self.members.set_out_of_service(out_of_service);
        self.rules = Some(rules);
        self.has_pending_changes = true;
    }

    /// Puts a placement in force if it is newer than the current one.
    pub(super) fn apply_placement(&mut self, placement: StoredPlacement, now: Duration) {
        if placement.generation <= self.placement.generation {
            return;
        }
        self.last_fetch_at = None;
        self.detect_missed_exceptions(&placement);
        self.planner.track_collecting_buckets(&placement, now);
        self.has_settling_buckets = placement
            .tables
            .iter()
            .any(|table| table.buckets.iter().any(|bucket| bucket.phase == BucketPhase::Settling));
        self.placement = placement;
        self.proposal_pending_since = None;
        self.has_pending_changes = true;
        self.update_settled_generation();
    }

    /// Notes that the traffic threads route by a snapshot. Digests report a placement and rules only
    /// from then on, since other hosts take the report as leave to act on them.
    pub(super) fn record_installed_snapshot(&mut self, generation: u64, rules_revision: u64) {
        self.routed_generation = self.routed_generation.max(generation);
        self.routed_revision = self.routed_revision.max(rules_revision);
        self.has_pending_changes = true;
    }

    /// Updates everything that depends on the changed state, and sends a digest if the state,
    /// revision or generations that it reports have changed.
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
        self.confirm_tables(now, outputs);
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
