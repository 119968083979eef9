//! The router's part: when proofs begin and end, and which packets are answered with a reset.

use std::time::Duration;

use super::proof::{EndedUpstream, WithdrawalCause};
use super::state::LivenessEvidence;
use crate::cookie::flow_cookie::FlowCookie;
use crate::cookie::observe::ALIVE_REPORT_WINDOW;
use crate::cookie::observed_flows::{FlowStage, ObservedFlow};
use crate::cookie::packet::{CookiePacket, FlowEvent};
use crate::cookie::router::CookieRouter;
use crate::cookie::snapshot::CookieSnapshot;
use crate::cookie::upstream_load::ASSUMED_ANSWER_DELAY;
use crate::flow::FlowPacket;

/// Time since the socket was last empty from which a packet may have waited for as long as callers
/// take to retransmit.
const MAX_BACKLOG_AGE: Duration = Duration::from_millis(200);

impl CookieRouter {
    /// Records when the registry was last confirmed to be current; without a recent confirmation,
    /// no flow is reset as that of an ended run.
    pub fn confirm_registry(&mut self, confirmed_at: Option<Duration>) {
        self.ended_runs.confirm_registry(confirmed_at);
    }

    /// Adopts the proofs of the installed snapshot.
    pub(in crate::cookie) fn install_ended_runs(&mut self) {
        let withdrawn = self.ended_runs.install(&self.snapshot, self.last_called_at);
        self.report_withdrawn(&withdrawn, WithdrawalCause::Registry);
    }

    /// Begins the proofs that are due, and ends those of runs that are alive.
    pub(in crate::cookie) fn update_ended_runs(&mut self, now: Duration) {
        if !self.ended_runs.has_proofs() {
            return;
        }
        if self.has_stalled || self.has_backlog(now) {
            self.ended_runs.note_delay(now);
        }
        let (snapshot, load_model) = (&self.snapshot, &self.load_model);
        let (trackers, peer_loads) = (&self.trackers, &self.peer_loads);
        let evidence = |cookie: FlowCookie| {
            let index = snapshot.running_index(cookie)?;
            let last_alive = trackers[index].last_alive.max(peer_loads[index].last_alive);
            let is_local = snapshot.upstreams[index].is_local;
            load_model.is_modelled(index).then_some(LivenessEvidence { last_alive, is_local })
        };
        let (begun, withdrawn) = self.ended_runs.advance(evidence, now);
        self.report_withdrawn(&withdrawn, WithdrawalCause::Alive);
        for ended in begun {
            self.begin_proof(&ended);
        }
    }

    /// Returns whether this host has seen lately that a run is alive for which there is a proof;
    /// other hosts have to learn of it.
    #[must_use]
    pub fn refutes_proof(&self, now: Duration) -> bool {
        self.ended_runs.proofs().any(|ended| {
            let index = self.snapshot.running_index(ended.cookie);
            let alive_at = index.map_or(Duration::ZERO, |index| self.trackers[index].last_alive);
            alive_at >= ended.learned_at && now.saturating_sub(alive_at) < ALIVE_REPORT_WINDOW
        })
    }

    /// Queues the idle flows of an ended run to be reset, and reports its proof.
    fn begin_proof(&mut self, ended: &EndedUpstream) {
        let of_run = self.flows.iter().filter(|(_, flow)| flow.cookie == ended.cookie);
        let open = of_run.filter(|(_, flow)| flow.stage == FlowStage::Open);
        let queued_before = self.ended_runs.idle_flows.len();
        self.ended_runs.idle_flows.extend(open.map(|(key, _)| *key));
        let open_flows = self.ended_runs.idle_flows.len() - queued_before;
        self.counters.runs_ended += 1;
        self.events.push(FlowEvent::UpstreamEnded {
            cookie: ended.cookie,
            successor: ended.successor,
            position: ended.position,
            open_flows: open_flows as u32,
        });
    }

    fn report_withdrawn(&mut self, withdrawn: &[EndedUpstream], cause: WithdrawalCause) {
        for ended in withdrawn {
            self.counters.proofs_withdrawn += 1;
            self.events.push(ended.withdrawal(cause));
        }
    }

    /// Returns whether a packet of an open flow, which has been observed, is answered with a reset
    /// since the run of its upstream has ended. A packet that shows that the run is alive ends the
    /// proof instead.
    pub(in crate::cookie) fn resets_ended_flow(
        &mut self,
        index: usize,
        packet: &CookiePacket,
        now: Duration,
    ) -> bool {
        let cookie = self.snapshot.upstreams[index].cookie;
        if packet.segment.flags.rst {
            return false;
        }
        if !self.ended_runs.is_in_force(cookie) || !self.load_model.is_modelled(index) {
            return false;
        }
        // Callers acknowledge what arrives at once, so something has come from the run just now.
        if packet.segment.is_pure_acknowledgement() && !self.is_delayed(now) {
            let withdrawn = self.ended_runs.withdraw(cookie);
            self.report_withdrawn(withdrawn.as_slice(), WithdrawalCause::Alive);
        }
        self.update_ended_runs(now);
        let carries_run = packet.cookie == cookie;
        let may_lag = self.is_delayed(now) || self.has_backlog(now);
        carries_run && !may_lag && self.ended_runs.has_ended(cookie, now)
    }

    /// Returns whether a packet that shows that a run is alive may have waited at this host for as
    /// long as callers take to retransmit.
    pub(super) fn has_backlog(&self, now: Duration) -> bool {
        now.saturating_sub(self.drained_at) > MAX_BACKLOG_AGE
    }

    /// Returns the latest time at which the bytes may have arrived that a caller acknowledges by
    /// data, if no request of the flow awaits an answer.
    ///
    /// The last part of an answer follows the parts before it, and is acknowledged by the next
    /// request, which may be sent much later.
    pub(in crate::cookie) fn latest_arrival(
        &self,
        index: usize,
        flow: &ObservedFlow,
        segment: &FlowPacket,
    ) -> Duration {
        let is_bounded = self.ended_runs.resets_flows()
            && flow.stage == FlowStage::Open
            && segment.payload_length > 0
            && self.load_model.is_modelled(index);
        if is_bounded { flow.last_seen + ASSUMED_ANSWER_DELAY } else { Duration::MAX }
    }
}

impl CookieSnapshot {
    /// Returns the index of the upstream whose former run a cookie identifies.
    pub(in crate::cookie) fn former_run_index(&self, cookie: FlowCookie) -> Option<usize> {
        self.former_runs.get(&cookie).copied()
    }
}
