//! Joining, recovery after a network partition, and leaving.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use super::controller::{FETCH_RETRY_INTERVAL, HostController};
use super::digest::{HostDigest, HostState};
use super::events::ControllerOutput;
use super::member::KnownHost;
use super::steps::{JoinStep, LeaveStep, PartitionRecovery};
use crate::flow::PlacementMode;

/// Maximum time that a join or a partition recovery waits for the views of all hosts to agree.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Minimum time for which a leaving host keeps routing after the views of all hosts agree.
const LEAVE_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// Time after which a leaving host stops even if the views of the hosts have not agreed.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(8);

impl HostController {
    /// Notes that the exceptions of `peer` are installed. During a partition recovery, the
    /// exceptions are complete once all pending peers have sent theirs; otherwise one peer is
    /// enough.
    pub(super) fn complete_exceptions_fetch(&mut self, peer: Ipv4Addr, generation: u64) {
        if generation < self.placement.generation {
            return;
        }
        if let Some(recovery) = &mut self.partition_recovery {
            recovery.pending_peers.remove(&peer);
            let recovery_finished = recovery.fetch_started && recovery.pending_peers.is_empty();
            if !recovery_finished {
                return;
            }
            self.partition_recovery = None;
        }
        self.has_all_exceptions = true;
        if matches!(self.join_step, JoinStep::FetchingExceptions(_)) {
            self.join_step = JoinStep::AwaitingConvergence(self.members.active_time());
        }
    }

    /// Starts a recovery if this host has not run for so long that others may have taken it for dead
    /// and placed flows without it. It has heard nothing of that: its own clock of silence stood still,
    /// and the first digests that it reads have waited since the stall began.
    pub(super) fn detect_stall(&mut self, now: Duration, outputs: &mut Vec<ControllerOutput>) {
        let options = self.options.member_table;
        let elapsed = self.last_input_at.map_or(Duration::ZERO, |last| now.saturating_sub(last));
        self.last_input_at = Some(now);
        if elapsed <= options.fence_timeout || self.options.placement_mode != PlacementMode::Guarded
        {
            return;
        }
        let active_time = self.members.active_time();
        match self.join_step {
            // The next tick counts one interval for the stall; waiting digests are read during the
            // one after it.
            JoinStep::Joined => {
                self.start_partition_recovery(active_time + options.heartbeat_interval * 2);
                outputs.push(ControllerOutput::SetTablesConfirmedAt(Duration::ZERO));
            }
            JoinStep::AwaitingConvergence(_) | JoinStep::FetchingRecords => {
                self.has_all_exceptions = false;
                self.join_step = JoinStep::FetchingExceptions(active_time);
            }
            JoinStep::DataCentreOutOfService
            | JoinStep::FetchingConfiguration
            | JoinStep::FetchingExceptions(_) => {}
        }
    }

    /// Starts to collect the exceptions that other hosts recorded during a partition. The views of
    /// other hosts count from `views_from` on, in active time.
    pub(super) fn start_partition_recovery(&mut self, views_from: Duration) {
        let earlier = self.partition_recovery.as_ref().map(|recovery| recovery.views_from);
        let views_from = earlier.map_or(views_from, |earlier| earlier.max(views_from));
        self.has_all_exceptions = false;
        // Peers must not take over exceptions from this host, nor end moves, until it has caught up.
        self.settled_generation = 0;
        let since = self.members.active_time();
        let pending_peers = BTreeSet::new();
        self.partition_recovery =
            Some(PartitionRecovery { since, views_from, fetch_started: false, pending_peers });
    }

    /// Fetches the exceptions of all live hosts once their views agree or the timeout has passed.
    pub(super) fn advance_partition_recovery(
        &mut self,
        now: Duration,
        retry_due: bool,
        outputs: &mut Vec<ControllerOutput>,
    ) {
        let view_hash = self.digest().view_hash;
        let views_from =
            self.partition_recovery.as_ref().map_or(Duration::ZERO, |recovery| recovery.views_from);
        let views_converged =
            self.members.is_converged(view_hash) && self.members.has_heard_all_since(views_from);
        let active_time = self.members.active_time();
        let live_peers: BTreeSet<Ipv4Addr> = self.live_peer_addresses().into_iter().collect();
        let Some(recovery) = &mut self.partition_recovery else { return };
        let before_timeout = active_time < recovery.since + CONVERGENCE_TIMEOUT;
        if !recovery.fetch_started && (views_converged || !before_timeout) {
            recovery.fetch_started = true;
            recovery.pending_peers.clone_from(&live_peers);
        }
        recovery.pending_peers.retain(|address| live_peers.contains(address));
        if recovery.fetch_started && recovery.pending_peers.is_empty() {
            self.partition_recovery = None;
            self.has_all_exceptions = true;
            return;
        }
        if recovery.fetch_started && retry_due {
            self.last_fetch_at = Some(now);
            outputs.extend(
                recovery.pending_peers.iter().copied().map(ControllerOutput::FetchAllExceptions),
            );
        }
    }

    pub(super) fn advance_join(&mut self, now: Duration, outputs: &mut Vec<ControllerOutput>) {
        let retry_due = self.last_fetch_at.is_none_or(|last| now >= last + FETCH_RETRY_INTERVAL);
        match self.join_step {
            JoinStep::FetchingConfiguration => {
                self.advance_configuration_fetch(now, retry_due, outputs)
            }
            JoinStep::FetchingExceptions(since) => {
                self.advance_exceptions_fetch(since, now, retry_due, outputs)
            }
            JoinStep::AwaitingConvergence(since) => {
                let view_hash = self.digest().view_hash;
                let active_time = self.members.active_time();
                // Every peer must have had one heartbeat interval to report a different view.
                let heartbeat_elapsed =
                    active_time >= since + self.options.member_table.heartbeat_interval;
                let before_timeout = active_time < since + CONVERGENCE_TIMEOUT;
                if heartbeat_elapsed && (self.members.is_converged(view_hash) || !before_timeout) {
                    self.join_step = JoinStep::FetchingRecords;
                    self.last_fetch_at = Some(now);
                    outputs.push(ControllerOutput::FetchRecords(self.live_peer_addresses()));
                }
            }
            JoinStep::FetchingRecords if retry_due => {
                self.last_fetch_at = Some(now);
                outputs.push(ControllerOutput::FetchRecords(self.live_peer_addresses()));
            }
            JoinStep::DataCentreOutOfService | JoinStep::FetchingRecords | JoinStep::Joined => {}
        }
        if self.join_step == JoinStep::Joined && self.partition_recovery.is_some() {
            self.advance_partition_recovery(now, retry_due, outputs);
        } else if self.join_step == JoinStep::Joined && !self.has_all_exceptions && retry_due {
            self.last_fetch_at = Some(now);
            self.fetch_all_exceptions(outputs);
        }
    }

    pub(super) fn advance_configuration_fetch(
        &mut self,
        now: Duration,
        retry_due: bool,
        outputs: &mut Vec<ControllerOutput>,
    ) {
        if self.rules.is_some() && self.placement.generation > 0 {
            self.join_step = JoinStep::FetchingExceptions(self.members.active_time());
            self.last_fetch_at = None;
            return;
        }
        if retry_due {
            self.last_fetch_at = Some(now);
            let seeds = self.options.seeds.iter().copied();
            let peers = self.live_peer_addresses();
            let local_address = self.options.address;
            let candidates: Vec<Ipv4Addr> = peers
                .into_iter()
                .chain(seeds)
                .filter(|address| *address != local_address)
                .collect();
            // Each attempt asks another peer, since any of them may have failed.
            if !candidates.is_empty() {
                let index = (now.as_millis() / FETCH_RETRY_INTERVAL.as_millis()) as usize
                    % candidates.len();
                outputs.push(ControllerOutput::FetchConfiguration(candidates[index]));
            }
            outputs.push(ControllerOutput::ReadStore);
            // In a new fleet the store holds no placement, so joining hosts propose the first one.
            if self.rules.is_some() {
                self.propose_placement(now, outputs);
            }
        }
    }

    pub(super) fn advance_exceptions_fetch(
        &mut self,
        since: Duration,
        now: Duration,
        retry_due: bool,
        outputs: &mut Vec<ControllerOutput>,
    ) {
        let active_time = self.members.active_time();
        // A peer that serves but has not settled the local placement yet has exceptions to wait for.
        let is_serving = |member: &KnownHost| member.digest.state == HostState::Serving;
        if !self.members.live_members().any(is_serving)
            && active_time > since + self.options.member_table.silence_timeout
        {
            // Even after the silence timeout no live peer serves, so there are no exceptions to
            // fetch.
            self.has_all_exceptions = true;
            self.join_step = JoinStep::AwaitingConvergence(active_time);
            self.update_settled_generation();
            return;
        }
        if retry_due {
            self.last_fetch_at = Some(now);
            self.fetch_all_exceptions(outputs);
        }
    }

    pub(super) fn fetch_all_exceptions(&self, outputs: &mut Vec<ControllerOutput>) {
        if let Some(address) = self.next_serving_peer() {
            outputs.push(ControllerOutput::FetchAllExceptions(address));
        }
    }

    /// Returns the address of a serving peer that has all settled exceptions of the local placement;
    /// the choice rotates with the sequence number of the digests.
    pub(super) fn next_serving_peer(&self) -> Option<Ipv4Addr> {
        let is_eligible = |digest: &&HostDigest| {
            digest.state == HostState::Serving
                && digest.settled_generation >= self.placement.generation
        };
        let digests = self.members.live_members().map(|member| &member.digest).filter(is_eligible);
        let addresses: Vec<Ipv4Addr> = digests.map(|digest| digest.address).collect();
        let index = self.digest_sequence as usize % addresses.len().max(1);
        addresses.get(index).copied()
    }

    pub(super) fn live_peer_addresses(&self) -> Vec<Ipv4Addr> {
        self.members.live_members().map(|member| member.digest.address).collect()
    }

    pub(super) fn start_leave(&mut self, now: Duration) {
        if self.leave_step == LeaveStep::NotLeaving {
            self.leave_step = LeaveStep::Leaving { since: now, converged_at: None };
            self.has_pending_changes = true;
        }
    }

    pub(super) fn advance_leave(&mut self, now: Duration, outputs: &mut Vec<ControllerOutput>) {
        let LeaveStep::Leaving { since, converged_at } = self.leave_step else {
            return;
        };
        let view_hash = self.digest().view_hash;
        let converged_at = match self.members.is_converged(view_hash) {
            true => converged_at.or(Some(now)),
            false => converged_at,
        };
        self.leave_step = LeaveStep::Leaving { since, converged_at };
        let grace_elapsed = converged_at.is_some_and(|at| now >= at + LEAVE_GRACE_PERIOD);
        if grace_elapsed || now >= since + LEAVE_TIMEOUT {
            self.leave_step = LeaveStep::Stopped;
            self.send_digest(now, outputs);
            outputs.push(ControllerOutput::Exit);
        }
    }
}
