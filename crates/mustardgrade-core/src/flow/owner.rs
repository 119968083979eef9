//! What the owner and the replica of a bucket do.

use std::sync::Arc;
use std::time::Duration;

use super::counters::DropCause;
use super::hop::{FlowNote, HopHeader, HopStage, NoteKind, PeerNote};
use super::records::BindingRecord;
use super::router::{AnswerBudget, FlowCase, FlowRouter, FlowVerdict};
use super::snapshot::{OwnerRole, RoutingSnapshot};
use crate::identity::{HostId, ServiceId};
use crate::placement::BucketIndex;

impl FlowRouter {
    pub(super) fn ask_owner(
        &mut self,
        case: FlowCase<'_>,
        claim: Option<u16>,
        fenced: bool,
    ) -> FlowVerdict {
        let snapshot = Arc::clone(&self.snapshot);
        let chain = snapshot.chain(case.route, case.bucket);
        let Some(chain) = chain else {
            return match fenced {
                true => self.drop_packet(DropCause::Fenced),
                false => self.deliver(case, claim.unwrap_or(case.slot.unlisted())),
            };
        };
        let header = HopHeader {
            stage: HopStage::Owner { claim },
            asker: self.me,
            asker_lane: self.options.lane,
            sender: self.me,
            generation: snapshot.generation,
            hops: 0,
        };
        if fenced {
            // The table here may be old, so the decision is left to a host that hears its peers.
            let other = [Some(chain.owner), chain.replica].into_iter().flatten();
            return match other.into_iter().find(|host| *host != self.me) {
                Some(host) => self.hop_to(case, &snapshot, host, header),
                None => self.drop_packet(DropCause::Fenced),
            };
        }
        match chain.owner == self.me {
            true => self.decide(case, header, claim),
            false => self.hop_to(case, &snapshot, chain.owner, header),
        }
    }

    /// Acts as the owner of a guarded bucket.
    pub(super) fn decide(
        &mut self,
        case: FlowCase<'_>,
        hop: HopHeader,
        claim: Option<u16>,
    ) -> FlowVerdict {
        let service = case.route.service;
        if let Some(upstream) = self.records.get(service, case.fingerprint) {
            let wrong = claim.is_some_and(|claimed| claimed != upstream);
            self.answer(case, &hop, upstream, wrong);
            return self.deliver(case, upstream);
        }
        if self.is_fenced(case.now) {
            return self.drop_packet(DropCause::Fenced);
        }
        let snapshot = Arc::clone(&self.snapshot);
        let chain = snapshot.chain(case.route, case.bucket);
        if let Some(chain) = chain.filter(|chain| !chain.contains(self.me)) {
            // The sender sees other hosts than this one does. A host outside the chain knows too
            // little to decide.
            let header = HopHeader { hops: hop.hops + 1, sender: self.me, ..hop };
            return self.hop_to(case, &snapshot, chain.owner, header);
        }
        let upstream = match case.packet.opens() {
            true => case.slot.opening(),
            false => claim.unwrap_or(case.slot.unlisted()),
        };
        if case.packet.opens() && !case.route.upstream(upstream).is_some_and(|up| up.takes_new) {
            return self.drop_packet(DropCause::AwaitingMove);
        }
        let Some(next) = chain.and_then(|chain| chain.next_after(self.me)) else {
            self.record(service, case.fingerprint, upstream);
            self.copy_to_upcoming(&snapshot, case, upstream);
            return self.deliver(case, upstream);
        };
        if case.packet.opens() {
            // The packet itself carries the new record to the replica: a flow whose record was
            // lost with its packet has not reached any upstream.
            self.record(service, case.fingerprint, upstream);
            self.copy_to_upcoming(&snapshot, case, upstream);
        }
        // An older flow that this host does not know may be known to the replica, so it is recorded
        // here only when the replica says so.
        let header = HopHeader {
            stage: HopStage::Replica { verdict: upstream },
            sender: self.me,
            generation: snapshot.generation,
            hops: hop.hops + 1,
            ..hop
        };
        self.hop_to(case, &snapshot, next, header)
    }

    /// Acts as the replica of a guarded bucket.
    pub(super) fn copy_record(
        &mut self,
        case: FlowCase<'_>,
        hop: HopHeader,
        verdict: u16,
    ) -> FlowVerdict {
        let service = case.route.service;
        let held = self.records.get(service, case.fingerprint);
        let upstream = held.unwrap_or(verdict);
        if held.is_none() {
            self.record(service, case.fingerprint, verdict);
            let snapshot = Arc::clone(&self.snapshot);
            self.copy_to_upcoming(&snapshot, case, verdict);
        }
        let conflict = upstream != verdict;
        self.counters.conflicts += u64::from(conflict);
        if conflict || !case.packet.opens() {
            let kind = if conflict { NoteKind::Correction } else { NoteKind::Copy };
            let lane = self.bucket_lane(case.bucket);
            self.note(case, hop.sender, lane, upstream, kind);
        }
        self.answer(case, &hop, upstream, conflict);
        self.deliver(case, upstream)
    }

    /// Sends a new record to the hosts that may be in the chain once they serve.
    pub(super) fn copy_to_upcoming(
        &mut self,
        snapshot: &RoutingSnapshot,
        case: FlowCase<'_>,
        upstream: u16,
    ) {
        if !snapshot.has_upcoming() {
            return;
        }
        for member in &snapshot.members {
            let upcoming = member.role == OwnerRole::Upcoming && member.host != self.me;
            if upcoming && snapshot.may_keep(case.route, case.bucket, member) {
                let lane = self.bucket_lane(case.bucket);
                self.note(case, member.host, lane, upstream, NoteKind::Copy);
            }
        }
    }

    pub(super) fn record(&mut self, service: ServiceId, fingerprint: u64, upstream: u16) {
        let stored = self.records.insert(service, BindingRecord { fingerprint, upstream });
        self.counters.records_full += u64::from(!stored);
    }

    /// Answers the asking host, within the budget unless the answer is urgent.
    pub(super) fn answer(
        &mut self,
        case: FlowCase<'_>,
        hop: &HopHeader,
        upstream: u16,
        urgent: bool,
    ) {
        if hop.asker != self.me && (urgent || self.spend_answer(case.now)) {
            self.counters.answers += 1;
            self.note(case, hop.asker, hop.asker_lane, upstream, NoteKind::Answer);
        }
    }

    pub(super) fn note(
        &mut self,
        case: FlowCase<'_>,
        to: HostId,
        lane: u8,
        upstream: u16,
        kind: NoteKind,
    ) {
        let service = case.route.service;
        let fingerprint = case.fingerprint;
        let note = FlowNote { kind, service, fingerprint, upstream };
        self.notes.push(PeerNote { to, lane, note });
    }

    /// Returns the traffic thread that keeps the records of a bucket.
    pub(super) fn bucket_lane(&self, bucket: BucketIndex) -> u8 {
        (bucket.0 % u32::from(self.options.lanes.max(1))) as u8
    }

    pub(super) fn spend_answer(&mut self, now: Duration) -> bool {
        if self.budget.second != now.as_secs() {
            self.budget = AnswerBudget { second: now.as_secs(), spent: 0 };
        }
        self.budget.spent += 1;
        self.budget.spent <= self.options.answers_per_second
    }
}
