//! What a controller publishes: digests, snapshots and placements.

use std::sync::Arc;
use std::time::Duration;

use super::controller::{
    ControllerOutput, HostController, JoinStep, PLAN_INTERVAL, PROPOSER_KEY, PROPOSER_PATIENCE,
    PlanInputs, SnapshotView,
};
use super::digest::{HostDigest, HostState};
use crate::flow::{PlacementMode, SnapshotInputs, build_snapshot};
use crate::identity::{HostId, rendezvous_order};
use crate::placement::WARM_WEIGHT_PER_SLOT;
use crate::rule::UpstreamRule;

impl HostController {
    pub(super) fn send_digest(&mut self, now: Duration, out: &mut Vec<ControllerOutput>) {
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
    pub(super) fn probe_silent(&mut self, out: &mut Vec<ControllerOutput>) {
        if self.members.cut_off().is_empty() {
            return;
        }
        self.sequence += 1;
        if let Some(target) = self.members.silent_target(self.sequence) {
            out.push(ControllerOutput::SendDigest { to: vec![target], digest: self.digest() });
        }
    }

    pub(super) fn install_snapshot(&mut self, out: &mut Vec<ControllerOutput>) {
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
            rules_acknowledged: view.echoed,
            placement: &self.placement,
            members: &view.members,
            partitioned_data_centres: &view.cut_off,
            views_converged: view.converged,
            guards_enabled: self.options.mode == PlacementMode::Guarded,
        }));
        self.last_view = Some(view);
        self.last_snapshot = Some(Arc::clone(&snapshot));
        out.push(ControllerOutput::Install(snapshot));
    }

    pub(super) fn report_heard(&self, now: Duration, out: &mut Vec<ControllerOutput>) {
        let behind =
            self.members.live().any(|member| member.digest.generation > self.placement.generation);
        let ready = self.state() != HostState::Joining && self.exceptions_complete;
        if ready && !behind && !self.members.is_fenced() {
            out.push(ControllerOutput::Heard(now));
        }
    }

    pub(super) fn plan_if_due(&mut self, now: Duration, out: &mut Vec<ControllerOutput>) {
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

    pub(super) fn plan(&mut self, now: Duration, out: &mut Vec<ControllerOutput>) {
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
            self.idle_plan = (!self.placement.has_guarded_buckets()).then_some(inputs);
            return;
        };
        let since = *self.wanted_since.get_or_insert(now);
        if now >= since + PROPOSER_PATIENCE * rank {
            out.push(ControllerOutput::WritePlacement(Arc::new(book)));
        }
    }

    pub(super) fn proposer_rank(&self) -> u32 {
        let serving = |digest: &&HostDigest| digest.state == HostState::Serving;
        let digests = self.members.live().map(|member| &member.digest).filter(serving);
        let mut hosts: Vec<HostId> = digests.map(|digest| digest.from.host).collect();
        hosts.push(self.options.me.host);
        let order = rendezvous_order(PROPOSER_KEY, &hosts);
        let rank = order.iter().position(|host| *host == self.options.me.host);
        rank.unwrap_or_default() as u32
    }
}
