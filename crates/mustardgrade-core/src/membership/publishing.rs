//! Publication of digests, routing snapshots and placements.

use std::sync::Arc;
use std::time::Duration;

use super::controller::{HostController, PlanDependencies, SnapshotDependencies};
use super::digest::{HostDigest, HostState};
use super::events::ControllerOutput;
use super::steps::JoinStep;
use crate::flow::{PlacementMode, SnapshotInputs, build_snapshot};
use crate::identity::{HostId, rendezvous_order};
use crate::placement::WARM_WEIGHT_PER_SLOT;
use crate::rule::UpstreamRule;

/// Rendezvous key that ranks hosts as proposers of placements.
const PROPOSER_RENDEZVOUS_KEY: u64 = 0x7072_6f70_6f73_6572;

/// Delay per rank before a host publishes a placement that higher-ranked hosts have not published.
const PROPOSER_RANK_DELAY: Duration = Duration::from_secs(3);

/// Interval between planner runs while the apply progress of the hosts does not change.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

impl HostController {
    pub(super) fn send_digest(&mut self, now: Duration, outputs: &mut Vec<ControllerOutput>) {
        self.digest_sequence += 1;
        self.last_digest_at = now;
        let mut recipients = self.members.digest_targets();
        // Seeds are needed only until the configuration has been fetched.
        if self.join_step == JoinStep::FetchingConfiguration {
            recipients.extend(self.options.seeds.iter().copied());
        }
        recipients.retain(|address| *address != self.options.address);
        recipients.sort_unstable();
        recipients.dedup();
        outputs.push(ControllerOutput::SendDigest { recipients, digest: self.digest() });
    }

    /// Sends a digest to one silent host per tick while a data centre is unreachable, so that both
    /// sides soon detect the end of a partition.
    pub(super) fn probe_silent_host(&mut self, outputs: &mut Vec<ControllerOutput>) {
        if self.members.unreachable_data_centres().is_empty() {
            return;
        }
        self.digest_sequence += 1;
        if let Some(target) = self.members.probe_target(self.digest_sequence) {
            outputs.push(ControllerOutput::SendDigest {
                recipients: vec![target],
                digest: self.digest(),
            });
        }
    }

    pub(super) fn install_snapshot(&mut self, outputs: &mut Vec<ControllerOutput>) {
        let Some(rules) = &self.rules else { return };
        let dependencies = SnapshotDependencies {
            rules_revision: rules.revision,
            rules_applied_by_all: self.members.rules_revision_applied_by_all(rules.revision),
            generation: self.placement.generation,
            members: self.members.route_members(&self.digest()),
            unreachable_data_centres: self.members.unreachable_data_centres(),
            views_converged: self.members.is_converged(self.digest().view_hash),
        };
        let dependencies = SnapshotDependencies {
            views_converged: dependencies.views_converged
                && !dependencies.unreachable_data_centres.is_empty(),
            ..dependencies
        };
        if self.last_snapshot_dependencies.as_ref() == Some(&dependencies) {
            return;
        }
        let snapshot = Arc::new(build_snapshot(SnapshotInputs {
            rules: &rules.rule_set,
            rules_revision: dependencies.rules_revision,
            rules_applied_by_all: dependencies.rules_applied_by_all,
            placement: &self.placement,
            members: &dependencies.members,
            unreachable_data_centres: &dependencies.unreachable_data_centres,
            views_converged: dependencies.views_converged,
            guards_enabled: self.options.placement_mode == PlacementMode::Guarded,
        }));
        self.last_snapshot_dependencies = Some(dependencies);
        self.last_snapshot = Some(Arc::clone(&snapshot));
        outputs.push(ControllerOutput::InstallSnapshot(snapshot));
    }

    /// Revokes the confirmation of the tables while exceptions are missing; an earlier confirmation
    /// would outlast the snapshot that needs them.
    pub(super) fn revoke_tables_without_exceptions(&self, outputs: &mut Vec<ControllerOutput>) {
        if self.state() != HostState::Joining && !self.has_all_exceptions {
            outputs.push(ControllerOutput::SetTablesConfirmedAt(Duration::ZERO));
        }
    }

    /// Confirms to the traffic threads that the tables are up to date, unless the host is joining,
    /// lacks exceptions, is behind a live host, or is fenced.
    pub(super) fn confirm_tables(&self, now: Duration, outputs: &mut Vec<ControllerOutput>) {
        let is_behind = self
            .members
            .live_members()
            .any(|member| member.digest.generation > self.placement.generation);
        let is_ready = self.state() != HostState::Joining && self.has_all_exceptions;
        if is_ready && !is_behind && !self.members.is_fenced() {
            outputs.push(ControllerOutput::SetTablesConfirmedAt(now));
        }
    }

    pub(super) fn propose_placement_if_due(
        &mut self,
        now: Duration,
        outputs: &mut Vec<ControllerOutput>,
    ) {
        if self.join_step != JoinStep::Joined {
            return;
        }
        let progress = self.members.apply_progress(&self.digest());
        let progress_changed = self.last_apply_progress != Some(progress);
        if progress_changed || now >= self.last_plan_at + PLAN_INTERVAL {
            self.last_apply_progress = Some(progress);
            self.propose_placement(now, outputs);
        }
    }

    pub(super) fn propose_placement(&mut self, now: Duration, outputs: &mut Vec<ControllerOutput>) {
        self.last_plan_at = now;
        let local_digest = self.digest();
        let Some(rules) = &self.rules else { return };
        let dependencies = PlanDependencies {
            rules_revision: rules.revision,
            generation: self.placement.generation,
        };
        if self.unchanged_plan == Some(dependencies) {
            return;
        }
        // A lower-ranked host publishes only if no higher-ranked host has done so within its delay.
        let rank = self.proposer_rank();
        let warm_weight = |rule: &UpstreamRule| u32::from(rule.slots) * WARM_WEIGHT_PER_SLOT;
        let progress = self.members.apply_progress(&local_digest);
        let proposal = self.planner.propose(
            &self.placement,
            &rules.rule_set,
            rules.revision,
            &warm_weight,
            progress,
            now,
        );
        let Some(next_placement) = proposal else {
            self.proposal_pending_since = None;
            self.unchanged_plan = (!self.placement.has_guarded_buckets()).then_some(dependencies);
            return;
        };
        let pending_since = *self.proposal_pending_since.get_or_insert(now);
        if now >= pending_since + PROPOSER_RANK_DELAY * rank {
            outputs.push(ControllerOutput::WritePlacement(Arc::new(next_placement)));
        }
    }

    pub(super) fn proposer_rank(&self) -> u32 {
        let is_serving = |digest: &&HostDigest| digest.state == HostState::Serving;
        let digests = self.members.live_members().map(|member| &member.digest).filter(is_serving);
        let mut hosts: Vec<HostId> = digests.map(|digest| digest.sender.host).collect();
        hosts.push(self.options.local_incarnation.host);
        let order = rendezvous_order(PROPOSER_RENDEZVOUS_KEY, &hosts);
        let rank = order.iter().position(|host| *host == self.options.local_incarnation.host);
        rank.unwrap_or_default() as u32
    }
}
