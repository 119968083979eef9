//! The controller, which makes the control decisions of one host.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::digest::{HostDigest, HostState};
use super::events::{
    ControllerInput, ControllerOptions, ControllerOutput, PeerConfiguration, StoredPlacement,
};
use super::member::MemberTable;
use super::steps::{JoinStep, LeaveStep, PartitionRecovery};
use super::stored_rules::StoredRules;
use crate::flow::{HostRoute, PlacementMode, RoutingSnapshot};
use crate::identity::{DataCentreId, HostId, ServiceId, rendezvous_order};
use crate::placement::{BucketIndex, BucketPhase, ClusterProgress, PlacementMap, PlacementPlanner};

/// Rendezvous key that selects the hosts that watch the store.
const WATCHER_RENDEZVOUS_KEY: u64 = 0x7761_7463_6865_7273;

/// Number of hosts per data centre that watch the store; with a single watcher, no host would watch
/// between its failure and the takeover by another host.
const STORE_WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Interval after which an unanswered fetch from a peer or the store is retried.
pub(super) const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(300);

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
    /// Placement that was planned from later rules than those in force.
    pub(super) pending_placement: Option<StoredPlacement>,
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
    /// Time of the last input; ticks keep it close to the current time unless the host stalls.
    pub(super) last_input_at: Option<Duration>,
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
            pending_placement: None,
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
            last_input_at: None,
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
        self.detect_stall(now, outputs);
        let digest_before = self.digest();
        match input {
            ControllerInput::Tick => self.tick(now, outputs),
            ControllerInput::DigestReceived(digest) => self.receive_digest(&digest, now, outputs),
            ControllerInput::HostListRead(listed) => self.members.set_listed_hosts(listed),
            ControllerInput::PeerAddressesReceived(addresses) => {
                self.members.set_learned_addresses(addresses)
            }
            ControllerInput::RulesReceived(rules) => self.apply_rules(rules, now),
            ControllerInput::PlacementReceived(placement) => self.apply_placement(placement, now),
            ControllerInput::RulesRead(stored) => self.handle_rules_read(stored, now, outputs),
            ControllerInput::PlacementRead(stored) => {
                self.handle_placement_read(stored, now, outputs)
            }
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
            self.start_partition_recovery(self.members.active_time());
            outputs.push(ControllerOutput::SetTablesConfirmedAt(Duration::ZERO));
        }
        self.has_pending_changes = true;
        self.fetch_configuration_if_behind(digest, now, outputs);
        // A peer that is two generations ahead did not wait for this host to apply the one between,
        // so the tables of this host may be wrong.
        if digest.generation.saturating_sub(self.placement.generation) > 1 {
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

    /// Puts rules in force if they are newer than the current ones, and the placement that has waited
    /// for them.
    pub(super) fn apply_rules(&mut self, rules: StoredRules, now: Duration) {
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
        if let Some(placement) = self.pending_placement.take() {
            self.apply_placement(placement, now);
        }
    }

    /// Puts a placement in force if it is newer than the current one. A host that routes already first
    /// waits for the rules that the placement was planned from: an upstream that is missing in older
    /// rules would count as gone.
    pub(super) fn apply_placement(&mut self, placement: StoredPlacement, now: Duration) {
        if placement.generation <= self.placement.generation {
            return;
        }
        let local_revision = self.rules.as_ref().map_or(0, |rules| rules.revision);
        if self.placement.generation > 0 && placement.rules_revision > local_revision {
            let pending = self.pending_placement.as_ref().map_or(0, |pending| pending.generation);
            if placement.generation > pending {
                self.pending_placement = Some(placement);
            }
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
        self.revoke_tables_without_exceptions(outputs);
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
