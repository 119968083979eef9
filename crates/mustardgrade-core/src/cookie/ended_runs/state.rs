//! The proofs that a host knows of, and those that are in force.

use std::collections::VecDeque;
use std::time::Duration;

use super::EndedUpstreamAction;
use super::proof::{EndedUpstream, KnownProof, ProofStage, WithdrawalCause};
use crate::cookie::flow_cookie::FlowCookie;
use crate::cookie::snapshot::CookieSnapshot;
use crate::flow::FlowKey;

/// Time from the successor's registration until the proof is in force: callers retransmit after
/// 200 ms what the run has not acknowledged, and load reports are sent every 100 ms, so other hosts
/// have told by then that it is alive.
const EVIDENCE_DELAY: Duration = Duration::from_millis(400);

/// The same for an upstream of another data centre, whose hosts' reports reach a part of the other
/// hosts each time.
const REMOTE_EVIDENCE_DELAY: Duration = Duration::from_millis(1_200);

/// Age of the registry's confirmation from which proofs are not followed: the run may have
/// registered again. Hosts that reach the store or each other confirm it within this time.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(3);

/// `LivenessEvidence` is what a host knows of whether a run is alive.
#[derive(Debug, Clone, Copy)]
pub(super) struct LivenessEvidence {
    /// When the run last showed that it is alive, to this host or another one.
    pub(super) last_alive: Duration,
    /// Whether it is in this host's data centre.
    pub(super) is_local: bool,
}

/// `EndedRuns` holds the proofs of this host, and the idle flows that remain to be reset.
#[derive(Debug, Clone, Default)]
pub(in crate::cookie) struct EndedRuns {
    action: EndedUpstreamAction,
    proofs: Vec<KnownProof>,
    /// Cookies of the proofs in force; few, and looked up for each packet.
    in_force: Vec<FlowCookie>,
    /// When the registry was last confirmed to be current.
    confirmed_at: Option<Duration>,
    /// When packets were last delayed at this host.
    last_delay_at: Duration,
    /// When the set of hosts last changed; flows may pass other hosts since.
    hosts_changed_at: Duration,
    hosts: Option<(usize, usize)>,
    pub(super) idle_flows: VecDeque<FlowKey>,
}

impl EndedRuns {
    pub(in crate::cookie) fn new(action: EndedUpstreamAction) -> Self {
        Self { action, ..Self::default() }
    }

    /// Returns whether flows of ended runs are reset at all.
    pub(in crate::cookie) fn resets_flows(&self) -> bool {
        self.action == EndedUpstreamAction::Reset
    }

    /// Records when the registry was last confirmed to be current.
    pub(super) fn confirm_registry(&mut self, confirmed_at: Option<Duration>) {
        self.confirmed_at = confirmed_at;
    }

    /// Returns whether the registry is known to be current.
    pub(super) fn is_current(&self, now: Duration) -> bool {
        let age = self.confirmed_at.map(|at| now.saturating_sub(at));
        age.is_some_and(|age| age <= MAX_CONFIRMATION_AGE)
    }

    /// Records that packets have waited at this host, so that what they show of an upstream may
    /// come late.
    pub(in crate::cookie) fn note_delay(&mut self, now: Duration) {
        self.last_delay_at = now;
    }

    /// Adopts the proofs of a snapshot; returns those that have ended by it.
    pub(super) fn install(
        &mut self,
        snapshot: &CookieSnapshot,
        now: Duration,
    ) -> Vec<EndedUpstream> {
        let hosts = (snapshot.fleet_hosts, snapshot.local_hosts);
        // The number of hosts of the fleet is 0 until it is known.
        let is_same = |(fleet, local)| (fleet == 0 || fleet == hosts.0) && local == hosts.1;
        if !self.hosts.replace(hosts).is_some_and(is_same) {
            self.hosts_changed_at = now;
        }
        if !self.resets_flows() {
            return Vec::new();
        }
        // Without its view, no packet is forwarded to the run any more.
        self.proofs.retain(|proof| snapshot.running_index(proof.ended.cookie).is_some());
        let mut withdrawn = Vec::new();
        for proof in &mut self.proofs {
            let is_present = snapshot.ended_upstreams.iter().any(|ended| proof.is_same(ended));
            if !is_present {
                if proof.stage == ProofStage::InForce {
                    withdrawn.push(proof.ended);
                }
                proof.stage = ProofStage::Withdrawn;
            }
        }
        for ended in &snapshot.ended_upstreams {
            if !self.proofs.iter().any(|proof| proof.is_same(ended)) {
                self.proofs.push(KnownProof { ended: *ended, stage: ProofStage::Pending });
            }
        }
        self.index_proofs();
        withdrawn
    }

    /// Returns whether there is any proof to advance.
    pub(super) fn has_proofs(&self) -> bool {
        !self.proofs.is_empty()
    }

    /// Returns the proofs that this host knows of, whatever their stage.
    pub(super) fn proofs(&self) -> impl Iterator<Item = &EndedUpstream> {
        self.proofs.iter().map(|proof| &proof.ended)
    }

    /// Advances all proofs. `evidence` is `None` for a run that is out of scope. Returns the proofs
    /// that are in force from now on, and those that have ended.
    pub(super) fn advance(
        &mut self,
        evidence: impl Fn(FlowCookie) -> Option<LivenessEvidence>,
        now: Duration,
    ) -> (Vec<EndedUpstream>, Vec<EndedUpstream>) {
        let (mut begun, mut withdrawn) = (Vec::new(), Vec::new());
        let is_current = self.is_current(now);
        for proof in &mut self.proofs {
            let Some(evidence) = evidence(proof.ended.cookie) else {
                // While the run is out of scope, signs of life are not followed.
                proof.stage = ProofStage::Withdrawn;
                continue;
            };
            let is_alive = evidence.last_alive >= proof.ended.learned_at;
            let delay = if evidence.is_local { EVIDENCE_DELAY } else { REMOTE_EVIDENCE_DELAY };
            let due_at = proof.ended.learned_at.max(self.last_delay_at) + delay;
            match proof.stage {
                ProofStage::Pending if is_alive => proof.stage = ProofStage::Withdrawn,
                ProofStage::Pending if is_current && now >= due_at => {
                    proof.stage = ProofStage::InForce;
                    begun.push(proof.ended);
                }
                ProofStage::InForce if is_alive => {
                    proof.stage = ProofStage::Withdrawn;
                    withdrawn.push(proof.ended);
                }
                ProofStage::Pending | ProofStage::InForce | ProofStage::Withdrawn => {}
            }
        }
        self.index_proofs();
        (begun, withdrawn)
    }

    /// Returns whether flows with this cookie are reset now.
    pub(super) fn has_ended(&self, cookie: FlowCookie, now: Duration) -> bool {
        self.in_force.contains(&cookie) && self.is_current(now)
    }

    /// Returns whether a proof for the run with this cookie is in force, on a current registry or
    /// not.
    pub(super) fn is_in_force(&self, cookie: FlowCookie) -> bool {
        self.in_force.contains(&cookie)
    }

    /// Returns the cookie of the upstream that has the address of an ended run now, if a proof is in
    /// force.
    pub(in crate::cookie) fn successor_of(&self, cookie: FlowCookie) -> Option<FlowCookie> {
        let mut in_force = self.proofs.iter().filter(|proof| proof.is_in_force());
        in_force.find(|proof| proof.ended.cookie == cookie).map(|proof| proof.ended.successor)
    }

    /// Withdraws the proof in force for a run that has shown that it is alive.
    pub(super) fn withdraw(&mut self, cookie: FlowCookie) -> Option<EndedUpstream> {
        let is_of_run =
            |proof: &&mut KnownProof| proof.ended.cookie == cookie && proof.is_in_force();
        let proof = self.proofs.iter_mut().find(is_of_run)?;
        proof.stage = ProofStage::Withdrawn;
        let ended = proof.ended;
        self.index_proofs();
        Some(ended)
    }

    /// Returns whether a flow whose last packet came at `last_seen` passes this host still.
    pub(super) fn keeps_host(&self, last_seen: Duration) -> bool {
        last_seen > self.hosts_changed_at
    }

    fn index_proofs(&mut self) {
        self.in_force.clear();
        let in_force = self.proofs.iter().filter(|proof| proof.is_in_force());
        self.in_force.extend(in_force.map(|proof| proof.ended.cookie));
    }
}

impl KnownProof {
    fn is_same(&self, ended: &EndedUpstream) -> bool {
        self.ended.cookie == ended.cookie && self.ended.successor == ended.successor
    }

    fn is_in_force(&self) -> bool {
        self.stage == ProofStage::InForce
    }
}

impl EndedUpstream {
    /// Returns the event of the end of its proof.
    pub(super) fn withdrawal(&self, cause: WithdrawalCause) -> crate::cookie::FlowEvent {
        let (cookie, successor) = (self.cookie, self.successor);
        crate::cookie::FlowEvent::EndWithdrawn { cookie, successor, cause }
    }
}
