//! Routing of packets through the owner and the replica of a guarded bucket.

use std::sync::Arc;
use std::time::Duration;

use super::counters::DropCause;
use super::messages::{AddressedUpdate, BindingUpdate, HopHeader, HopStage, UpdateKind};
use super::records::{BindingRecord, RecordTable};
use super::router::{AnswerRateLimiter, FlowRouter, FlowVerdict, PacketContext};
use super::snapshot::{OwnerEligibility, RoutingSnapshot, UpstreamRoute};
use crate::identity::{HostId, ServiceId};
use crate::placement::BucketIndex;

impl FlowRouter {
    /// Routes a packet whose upstream only the owner chain of its bucket can determine.
    pub(super) fn route_via_owner(
        &mut self,
        context: PacketContext<'_>,
        claim: Option<u16>,
        is_fenced: bool,
    ) -> FlowVerdict {
        let snapshot = Arc::clone(&self.snapshot);
        let chain = snapshot.chain(context.route, context.bucket);
        let Some(chain) = chain else {
            return match is_fenced {
                true => self.drop_packet(DropCause::Fenced),
                false => self.deliver_to_upstream(
                    context,
                    claim.unwrap_or(context.placement.upstream_for_unrecorded_flow()),
                ),
            };
        };
        let header = HopHeader {
            stage: HopStage::Owner { claim },
            asker: self.local_host,
            asker_lane: self.options.lane,
            sender: self.local_host,
            generation: snapshot.generation,
            hops: 0,
        };
        if is_fenced {
            // The placement of a fenced host may be out of date, so another host of the chain
            // determines the upstream. If that host is fenced too and does not know the flow, it
            // drops the packet.
            let chain_hosts = [Some(chain.owner), chain.replica].into_iter().flatten();
            return match chain_hosts.into_iter().find(|host| *host != self.local_host) {
                Some(host) => self.forward_to_host(context, &snapshot, host, header),
                None => self.drop_packet(DropCause::Fenced),
            };
        }
        match chain.owner == self.local_host {
            true => self.route_as_owner(context, header, claim),
            false => self.forward_to_host(context, &snapshot, chain.owner, header),
        }
    }

    /// Determines the upstream of a flow as the owner of its bucket.
    ///
    /// A packet of a recorded flow is delivered at once, unless it opens the flow. Other packets go to
    /// the other host of the chain, which records the flow, delivers the packet and confirms the
    /// record. Until then the upstream of an opening is provisional: the other host may not have
    /// received the segment, or may know the flow on another upstream.
    pub(super) fn route_as_owner(
        &mut self,
        context: PacketContext<'_>,
        hop: HopHeader,
        claim: Option<u16>,
    ) -> FlowVerdict {
        let service = context.route.service;
        let opens_flow = context.packet.opens_flow();
        let recorded = binding_of(&self.records, context);
        if let Some(upstream) = recorded.filter(|_| !opens_flow) {
            let claim_is_wrong = claim.is_some_and(|claimed| claimed != upstream);
            self.answer_asking_host(context, &hop, upstream, claim_is_wrong);
            return self.deliver_to_upstream(context, upstream);
        }
        if self.is_fenced(context.now) {
            return self.drop_packet(DropCause::Fenced);
        }
        let snapshot = Arc::clone(&self.snapshot);
        let chain = snapshot.chain(context.route, context.bucket);
        if let Some(chain) = chain.filter(|chain| !chain.contains(self.local_host)) {
            // The sender's view of the live hosts differs from this host's. A host outside the
            // chain lacks the records that determine the upstream.
            let header = HopHeader { hops: hop.hops + 1, sender: self.local_host, ..hop };
            return self.forward_to_host(context, &snapshot, chain.owner, header);
        }
        let assigned = recorded.or_else(|| binding_of(&self.openings, context));
        let claim = claim.or_else(|| self.look_up_flow(context, false).upstream());
        let upstream = match assigned {
            Some(upstream) => upstream,
            None if opens_flow => claim.unwrap_or(context.placement.upstream_for_new_flow()),
            None => claim.unwrap_or(context.placement.upstream_for_unrecorded_flow()),
        };
        if opens_flow
            && assigned.is_none()
            && !context.route.upstream(upstream).is_some_and(|route| route.accepts_new_flows)
        {
            return self.drop_packet(DropCause::AwaitingMove);
        }
        if assigned.is_none() && claim.is_none() && !opens_flow && self.may_lack_record(context) {
            return self.drop_packet(DropCause::RecordsMissing);
        }
        let Some(other_member) = chain.and_then(|chain| chain.other_member(self.local_host)) else {
            self.store_record(service, context.fingerprint, upstream);
            self.replicate_to_joining_hosts(&snapshot, context, upstream);
            return self.deliver_to_upstream(context, upstream);
        };
        if opens_flow {
            if recorded.is_none() {
                // A record that does not bind the opening must not outlive it either.
                self.records.remove(service, context.fingerprint);
            }
            // The packet itself carries the new record to the replica. If the packet is lost, the
            // flow has not reached an upstream either, so no record is missing.
            let record = BindingRecord { fingerprint: context.fingerprint, upstream };
            let stored = recorded.is_some() || self.openings.insert(service, record);
            self.counters.record_table_full += u64::from(!stored);
        }
        // A flow without a record here may have one at the other host of the chain, so this host
        // records it only when that host confirms or corrects the upstream.
        let header = HopHeader {
            stage: HopStage::Replica { verdict: upstream },
            sender: self.local_host,
            generation: snapshot.generation,
            hops: hop.hops + 1,
            ..hop
        };
        self.forward_to_host(context, &snapshot, other_member, header)
    }

    /// Returns whether the flow of a packet may have a record beyond a partition.
    ///
    /// Its upstream cannot be told then. That of a flow without a record is out of reach, so the
    /// packet would be lost anyway, while a record of it would outlast the partition.
    fn may_lack_record(&self, context: PacketContext<'_>) -> bool {
        let guard = self.guard_of(context.route.service, context.bucket);
        let presumed = context.placement.upstream_for_unrecorded_flow();
        let is_partitioned = |route: &UpstreamRoute| route.is_partitioned;
        guard.chain_replacements > 0 && context.route.upstream(presumed).is_some_and(is_partitioned)
    }

    /// Records the upstream that the owner determined, as the replica of a bucket, and delivers the
    /// packet.
    ///
    /// An existing record of the replica is older than the owner's decision. It therefore takes
    /// precedence and is sent to the owner as a correction. So does an opening that this host has
    /// placed as the owner by its own view of the hosts. Neither binds an opening segment whose
    /// upstream cannot be reached.
    pub(super) fn route_as_replica(
        &mut self,
        context: PacketContext<'_>,
        hop: HopHeader,
        assigned_upstream: u16,
    ) -> FlowVerdict {
        let service = context.route.service;
        let recorded = binding_of(&self.records, context);
        let placed = recorded.or_else(|| binding_of(&self.openings, context));
        let upstream = placed.unwrap_or(assigned_upstream);
        if recorded.is_none() {
            self.openings.remove(service, context.fingerprint);
            self.store_record(service, context.fingerprint, upstream);
            let snapshot = Arc::clone(&self.snapshot);
            self.replicate_to_joining_hosts(&snapshot, context, upstream);
        }
        let is_conflict = upstream != assigned_upstream;
        self.counters.record_conflicts += u64::from(is_conflict);
        let kind = if is_conflict { UpdateKind::Correction } else { UpdateKind::Copy };
        let lane = self.lane_of_bucket(context.bucket);
        self.queue_update(context, hop.sender, lane, upstream, kind);
        self.answer_asking_host(context, &hop, upstream, is_conflict);
        self.deliver_to_upstream(context, upstream)
    }

    /// Sends a copy of a new record to joining hosts that may enter the owner chain of the bucket.
    pub(super) fn replicate_to_joining_hosts(
        &mut self,
        snapshot: &RoutingSnapshot,
        context: PacketContext<'_>,
        upstream: u16,
    ) {
        if !snapshot.has_joining_host() {
            return;
        }
        for member in &snapshot.members {
            let is_joining =
                member.eligibility == OwnerEligibility::Joining && member.host != self.local_host;
            if is_joining && snapshot.may_join_chain(context.route, context.bucket, member) {
                let lane = self.lane_of_bucket(context.bucket);
                self.queue_update(context, member.host, lane, upstream, UpdateKind::Copy);
            }
        }
    }

    /// Stores a record of a guarded bucket and counts it if the record table is full.
    pub(super) fn store_record(&mut self, service: ServiceId, fingerprint: u64, upstream: u16) {
        let stored = self.records.insert(service, BindingRecord { fingerprint, upstream });
        self.counters.record_table_full += u64::from(!stored);
    }

    /// Sends the upstream of a flow to the asking host, subject to the rate limit unless
    /// `bypass_limit` is set.
    ///
    /// An opening segment is not answered: sent again, it may be placed on another upstream, and
    /// hosts that were answered before would not learn of it.
    pub(super) fn answer_asking_host(
        &mut self,
        context: PacketContext<'_>,
        hop: &HopHeader,
        upstream: u16,
        bypass_limit: bool,
    ) {
        let may_change = context.packet.opens_flow();
        let is_asked_by_peer = hop.asker != self.local_host && !may_change;
        if is_asked_by_peer && (bypass_limit || self.allow_answer(context.now)) {
            self.counters.answers_sent += 1;
            self.queue_update(context, hop.asker, hop.asker_lane, upstream, UpdateKind::Answer);
        }
    }

    /// Queues an update about the flow of a packet for traffic thread `lane` of host `to`.
    pub(super) fn queue_update(
        &mut self,
        context: PacketContext<'_>,
        to: HostId,
        lane: u8,
        upstream: u16,
        kind: UpdateKind,
    ) {
        let service = context.route.service;
        let fingerprint = context.fingerprint;
        let update = BindingUpdate { kind, service, fingerprint, upstream };
        self.pending_updates.push(AddressedUpdate { to, lane, update });
    }

    /// Returns the index of the traffic thread that keeps the records of a bucket; it is the same
    /// on all hosts.
    pub(super) fn lane_of_bucket(&self, bucket: BucketIndex) -> u8 {
        (bucket.0 % u32::from(self.options.lane_count.max(1))) as u8
    }

    /// Counts an attempt to answer and returns whether it is within the limit of this second.
    pub(super) fn allow_answer(&mut self, now: Duration) -> bool {
        if self.answer_limiter.second != now.as_secs() {
            self.answer_limiter = AnswerRateLimiter { second: now.as_secs(), attempts: 0 };
        }
        self.answer_limiter.attempts += 1;
        self.answer_limiter.attempts <= self.options.max_answers_per_second
    }
}

/// Returns the upstream that a table binds the flow of a packet to.
///
/// An opening segment that is sent again has not been answered. It is therefore bound only while
/// its upstream can be reached; otherwise the flow would never open.
fn binding_of(table: &RecordTable, context: PacketContext<'_>) -> Option<u16> {
    let upstream = table.get(context.route.service, context.fingerprint)?;
    let is_bound = !context.packet.opens_flow()
        || context.route.upstream(upstream).is_some_and(UpstreamRoute::is_reachable);
    is_bound.then_some(upstream)
}
