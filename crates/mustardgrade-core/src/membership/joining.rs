//! How a host joins, merges after a cut, and leaves.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use super::controller::{
    ControllerOutput, FETCH_RETRY, HostController, JOIN_PATIENCE, JoinStep, LEAVE_GRACE,
    LEAVE_PATIENCE, LeaveStep, MergeStep,
};
use super::digest::{HostDigest, HostState};

impl HostController {
    pub(super) fn take_exceptions(&mut self, from: Ipv4Addr, generation: u64) {
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
    pub(super) fn start_merge(&mut self) {
        self.exceptions_complete = false;
        let since = self.members.active_time();
        self.merge = Some(MergeStep { since, started: false, missing: BTreeSet::new() });
    }

    /// Asks all live hosts for their exceptions once their views agree.
    pub(super) fn advance_merge(
        &mut self,
        now: Duration,
        waited: bool,
        out: &mut Vec<ControllerOutput>,
    ) {
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

    pub(super) fn advance_join(&mut self, now: Duration, out: &mut Vec<ControllerOutput>) {
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

    pub(super) fn join_configuration(
        &mut self,
        now: Duration,
        waited: bool,
        out: &mut Vec<ControllerOutput>,
    ) {
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

    pub(super) fn join_exceptions(
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

    pub(super) fn fetch_exceptions(&self, out: &mut Vec<ControllerOutput>) {
        if let Some(address) = self.serving_peer() {
            out.push(ControllerOutput::FetchExceptions(address));
        }
    }

    /// Returns a serving peer that is not behind this host, another one with each digest sent.
    pub(super) fn serving_peer(&self) -> Option<Ipv4Addr> {
        let ready = |digest: &&HostDigest| {
            digest.state == HostState::Serving && digest.generation >= self.placement.generation
        };
        let digests = self.members.live().map(|member| &member.digest).filter(ready);
        let addresses: Vec<Ipv4Addr> = digests.map(|digest| digest.address).collect();
        let index = self.sequence as usize % addresses.len().max(1);
        addresses.get(index).copied()
    }

    pub(super) fn peer_addresses(&self) -> Vec<Ipv4Addr> {
        self.members.live().map(|member| member.digest.address).collect()
    }

    pub(super) fn start_leave(&mut self, now: Duration) {
        if self.leave == LeaveStep::Staying {
            self.leave = LeaveStep::Leaving { since: now, converged_at: None };
            self.dirty = true;
        }
    }

    pub(super) fn advance_leave(&mut self, now: Duration, out: &mut Vec<ControllerOutput>) {
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
}
