//! The flow router, which determines the destination of each packet of a flow.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::counters::{DropCause, FlowCounters};
use super::guards::BucketGuard;
use super::messages::{
    AddressedUpdate, BindingUpdate, HopHeader, HopStage, RecordTransfer, UpdateKind,
};
use super::packet::FlowPacket;
use super::records::{BindingRecord, RecordTable};
use super::snapshot::{RoutingSnapshot, ServiceRoute};
use super::table::{FlowEntry, FlowTable, InsertOutcome};
use crate::identity::{HostId, ServiceId, UpstreamId};
use crate::placement::{BucketIndex, BucketPlacement};

/// Limit on the times that a packet is forwarded between hosts; two suffice while all hosts see the
/// same live hosts.
pub(super) const MAX_HOPS: u8 = 4;

/// Time since the last packet of a flow within which an opening segment counts as a late copy; callers
/// that use a port again so soon open on the same upstream, or wait if it takes no new flows.
const LATE_OPENING_MAX_AGE: Duration = Duration::from_secs(5);

/// `PlacementMode` selects how a flow is kept on its upstream while buckets move.
#[derive(Debug, Display, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementMode {
    /// Moving buckets are guarded: owners record their flows, and exceptions are kept afterwards.
    #[default]
    #[display("guarded")]
    Guarded,
    /// The bucket determines the upstream, apart from flows in the flow table of the host; the
    /// baseline for comparisons.
    #[display("computed")]
    Computed,
}

/// `FlowOptions` holds the settings of a [`FlowRouter`].
#[derive(Debug, Clone, Copy)]
pub struct FlowOptions {
    /// How a flow is kept on its upstream while buckets move.
    pub mode: PlacementMode,
    /// Seed of the flow fingerprints; must be equal on all hosts.
    pub fingerprint_seed: u64,
    /// Number of flows that the flow table is sized for.
    pub flow_capacity: usize,
    /// Limit on the records of guarded buckets, and, separately, on the settled exceptions.
    pub record_capacity: usize,
    /// Time without a packet after which a flow expires from the flow table.
    pub idle_timeout: Duration,
    /// Time since the last confirmation of the tables after which this host is fenced: it no longer
    /// places flows that it does not know.
    pub fence_timeout: Duration,
    /// Index of this traffic thread.
    pub lane: u8,
    /// Number of traffic threads per host; must be equal on all hosts.
    pub lane_count: u8,
    /// Limit on the answers per second to hosts that ask for the upstream of a flow.
    pub max_answers_per_second: u32,
}

impl Default for FlowOptions {
    fn default() -> Self {
        Self {
            mode: PlacementMode::Guarded,
            fingerprint_seed: 0,
            flow_capacity: 262_144,
            record_capacity: 1_048_576,
            idle_timeout: Duration::from_secs(300),
            fence_timeout: Duration::from_millis(1_200),
            lane: 0,
            lane_count: 1,
            max_answers_per_second: 100,
        }
    }
}

/// `FlowVerdict` is the routing decision for a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowVerdict {
    /// Tunnel the packet to an upstream.
    Tunnel {
        /// Upstream that the flow belongs to.
        upstream: UpstreamId,
        /// Address of the upstream.
        address: Ipv4Addr,
    },
    /// Forward the packet to another host.
    Hop {
        /// Host that receives the packet.
        to: HostId,
        /// Address of that host.
        address: Ipv4Addr,
        /// Index of the traffic thread there that serves the bucket of the flow.
        lane: u8,
        /// Header that accompanies the packet.
        header: HopHeader,
    },
    /// Answer the caller with a TCP reset, since the upstream of the flow accepts no packets.
    Reset,
    /// Discard the packet, which the router has counted by its cause.
    Drop(DropCause),
}

/// `AnswerRateLimiter` counts the attempts to answer within the current second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AnswerRateLimiter {
    pub(super) second: u64,
    pub(super) attempts: u32,
}

/// `PacketContext` is a packet together with its service, bucket and placement.
#[derive(Debug, Clone, Copy)]
pub(super) struct PacketContext<'a> {
    pub(super) packet: &'a FlowPacket,
    pub(super) route: &'a ServiceRoute,
    pub(super) fingerprint: u64,
    pub(super) bucket: BucketIndex,
    pub(super) placement: BucketPlacement,
    pub(super) now: Duration,
}

/// `FlowRouter` determines where each packet of a long-lived flow goes.
///
/// It performs no I/O. Each traffic thread has a router of its own; routers share only the
/// [`RoutingSnapshot`].
#[derive(Debug)]
pub struct FlowRouter {
    pub(super) local_host: HostId,
    pub(super) options: FlowOptions,
    pub(super) snapshot: Arc<RoutingSnapshot>,
    pub(super) flow_table: FlowTable,
    pub(super) records: RecordTable,
    /// Upstreams of openings that this host, as owner, has sent to the replica of their bucket, which
    /// has not confirmed them yet.
    pub(super) openings: RecordTable,
    pub(super) exceptions: RecordTable,
    pub(super) guards: HashMap<ServiceId, Vec<BucketGuard>>,
    pub(super) tables_confirmed_at: Duration,
    pub(super) pending_updates: Vec<AddressedUpdate>,
    pub(super) pending_transfers: Vec<RecordTransfer>,
    pub(super) answer_limiter: AnswerRateLimiter,
    pub(super) counters: FlowCounters,
}

impl FlowRouter {
    /// Creates a router for `local_host` with empty tables; until a snapshot is installed it drops
    /// all packets.
    #[must_use]
    pub fn new(local_host: HostId, options: FlowOptions) -> Self {
        Self {
            local_host,
            options,
            snapshot: Arc::new(RoutingSnapshot::default()),
            flow_table: FlowTable::new(options.flow_capacity, options.idle_timeout),
            records: RecordTable::new(options.record_capacity),
            openings: RecordTable::new(options.record_capacity),
            exceptions: RecordTable::new(options.record_capacity),
            guards: HashMap::new(),
            tables_confirmed_at: Duration::ZERO,
            pending_updates: Vec::new(),
            pending_transfers: Vec::new(),
            answer_limiter: AnswerRateLimiter::default(),
            counters: FlowCounters::default(),
        }
    }

    /// Returns the totals since the router was created.
    #[must_use]
    pub fn counters(&self) -> &FlowCounters {
        &self.counters
    }

    /// Returns the snapshot that packets are routed by.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<RoutingSnapshot> {
        &self.snapshot
    }

    /// Returns the records that this host keeps for guarded buckets.
    #[must_use]
    pub fn records(&self) -> &RecordTable {
        &self.records
    }

    /// Returns the settled exceptions: flows that are not on the upstream of their steady bucket.
    #[must_use]
    pub fn exceptions(&self) -> &RecordTable {
        &self.exceptions
    }

    /// Returns whether updates to other hosts are queued.
    #[must_use]
    pub fn has_pending_updates(&self) -> bool {
        !self.pending_updates.is_empty()
    }

    /// Returns the cache of flows seen by this traffic thread.
    #[must_use]
    pub fn flow_table(&self) -> &FlowTable {
        &self.flow_table
    }

    /// Sets the time at which the tables were last confirmed to be up to date.
    ///
    /// Without a confirmation for the fence timeout, the host leaves unknown flows to its peers.
    pub fn set_tables_confirmed_at(&mut self, at: Duration) {
        self.tables_confirmed_at = at;
    }

    /// Routes a packet received from the fabric.
    pub fn route(&mut self, packet: &FlowPacket, now: Duration) -> FlowVerdict {
        let snapshot = Arc::clone(&self.snapshot);
        let Some(context) = self.packet_context(&snapshot, packet, now) else {
            return self.drop_packet(DropCause::UnknownService);
        };
        match self.options.mode {
            PlacementMode::Computed => self.route_computed(context),
            PlacementMode::Guarded => self.route_guarded(context),
        }
    }

    /// Routes a packet that another host forwarded with the header `hop`.
    pub fn route_hop(
        &mut self,
        hop: &HopHeader,
        packet: &FlowPacket,
        now: Duration,
    ) -> FlowVerdict {
        self.counters.hops_received += 1;
        let snapshot = Arc::clone(&self.snapshot);
        let Some(context) = self.packet_context(&snapshot, packet, now) else {
            return self.drop_packet(DropCause::UnknownService);
        };
        if hop.hops >= MAX_HOPS {
            return self.drop_packet(DropCause::HopLimit);
        }
        if snapshot.generation < hop.generation {
            return self.drop_packet(DropCause::StaleOwner);
        }
        if let Some(upstream) = self.exceptions.get(context.route.service, context.fingerprint) {
            return self.deliver_to_upstream(context, upstream);
        }
        if !context.placement.phase.is_guarded() {
            return match self.is_fenced(now) {
                true => self.drop_packet(DropCause::Fenced),
                false => self.deliver_to_upstream(context, context.placement.target_upstream),
            };
        }
        match hop.stage {
            HopStage::Owner { claim } => self.route_as_owner(context, *hop, claim),
            HopStage::Replica { verdict } => self.route_as_replica(context, *hop, verdict),
        }
    }

    /// Applies an update from another host to the flow table or the records.
    pub fn apply_update(&mut self, update: &BindingUpdate, now: Duration) {
        let record = BindingRecord { fingerprint: update.fingerprint, upstream: update.upstream };
        match update.kind {
            UpdateKind::Answer => self.cache_answer(update, now),
            UpdateKind::Correction => {
                self.openings.remove(update.service, update.fingerprint);
                self.records.insert(update.service, record);
                self.cache_answer(update, now);
            }
            UpdateKind::Copy => {
                self.openings.remove(update.service, update.fingerprint);
                self.merge_records(update.service, &[record]);
            }
        }
    }

    /// Stores the upstream from an answer in the flow table, under the current guard epoch.
    pub(super) fn cache_answer(&mut self, update: &BindingUpdate, now: Duration) {
        let snapshot = Arc::clone(&self.snapshot);
        let Some(route) = snapshot.service(update.service) else {
            return;
        };
        let epoch = self.guard_epoch(route.service, route.table.bucket_of(update.fingerprint));
        self.insert_flow(update.fingerprint, update.upstream, epoch, false, now);
    }

    /// Appends the queued updates to `updates` and clears the queue.
    pub fn take_updates(&mut self, updates: &mut Vec<AddressedUpdate>) {
        updates.append(&mut self.pending_updates);
    }

    /// Looks up the service and bucket of a packet; returns `None` if no service has its address.
    pub(super) fn packet_context<'a>(
        &self,
        snapshot: &'a RoutingSnapshot,
        packet: &'a FlowPacket,
        now: Duration,
    ) -> Option<PacketContext<'a>> {
        let route = snapshot.service_at(packet.key.service)?;
        let fingerprint = packet.key.fingerprint(self.options.fingerprint_seed);
        let bucket = route.table.bucket_of(fingerprint);
        let placement = route.table.placement_of(bucket);
        Some(PacketContext { packet, route, fingerprint, bucket, placement, now })
    }

    pub(super) fn route_computed(&mut self, context: PacketContext<'_>) -> FlowVerdict {
        if !context.packet.opens_flow()
            && let Some(entry) = self.flow_table.touch(context.fingerprint, context.now)
        {
            let upstream = entry.upstream;
            return self.deliver_to_upstream(context, upstream);
        }
        self.deliver_to_upstream(context, context.placement.target_upstream)
    }

    pub(super) fn route_guarded(&mut self, context: PacketContext<'_>) -> FlowVerdict {
        if let Some(upstream) = self.exceptions.get(context.route.service, context.fingerprint) {
            return self.deliver_to_upstream(context, upstream);
        }
        let is_fenced = self.is_fenced(context.now);
        if !context.placement.phase.is_guarded() && !is_fenced {
            return self.deliver_to_upstream(context, context.placement.target_upstream);
        }
        let lookup = self.look_up_flow(context, is_fenced);
        match lookup {
            FlowLookup::Confirmed(upstream) => self.deliver_to_upstream(context, upstream),
            FlowLookup::Unconfirmed(_) | FlowLookup::Unknown => {
                self.route_via_owner(context, lookup.upstream(), is_fenced)
            }
        }
    }

    /// Returns whether the tables have not been confirmed for longer than the fence timeout.
    pub(super) fn is_fenced(&self, now: Duration) -> bool {
        now > self.tables_confirmed_at + self.options.fence_timeout
    }

    /// Looks a flow up in the flow table; an entry of an earlier guard epoch needs confirmation by
    /// the owner.
    ///
    /// Such an entry is ignored if this host has seen only the opening of the flow, or if it names
    /// another upstream than the source of the move and no earlier owner chain has confirmed it.
    pub(super) fn look_up_flow(
        &mut self,
        context: PacketContext<'_>,
        is_fenced: bool,
    ) -> FlowLookup {
        if context.packet.opens_flow() {
            return self.look_up_opened_flow(context);
        }
        let guard = self.guard_of(context.route.service, context.bucket);
        let epoch = guard.epoch;
        let Some(entry) = self.flow_table.touch(context.fingerprint, context.now) else {
            return FlowLookup::Unknown;
        };
        if entry.is_opening && entry.guard_epoch != epoch {
            // The opening may have been lost beyond this host, sent again, and placed anew.
            return FlowLookup::Unknown;
        }
        entry.is_opening = false;
        let upstream = entry.upstream;
        if entry.guard_epoch == epoch || is_fenced && !context.placement.phase.is_guarded() {
            return FlowLookup::Confirmed(upstream);
        }
        if upstream == context.placement.source_upstream
            || guard.was_confirmed_by_earlier_chain(entry.guard_epoch)
        {
            // Each host reports each older flow to the owner once, so the owner learns of a flow
            // even if one of these packets is lost.
            entry.guard_epoch = epoch;
            return FlowLookup::Unconfirmed(upstream);
        }
        FlowLookup::Unknown
    }

    /// Looks up the flow of an opening segment, which may be a copy that has waited at a host while the
    /// flow opened. As a new flow it would be recorded on the target of the move, away from the
    /// upstream that the flow is on.
    fn look_up_opened_flow(&self, context: PacketContext<'_>) -> FlowLookup {
        let epoch = self.guard_epoch(context.route.service, context.bucket);
        let entry =
            self.flow_table.get_recent(context.fingerprint, LATE_OPENING_MAX_AGE, context.now);
        let is_open_on_source = |entry: &FlowEntry| {
            !entry.is_opening
                && entry.guard_epoch != epoch
                && entry.upstream == context.placement.source_upstream
        };
        match entry.filter(is_open_on_source) {
            Some(entry) => FlowLookup::Unconfirmed(entry.upstream),
            None => FlowLookup::Unknown,
        }
    }

    pub(super) fn forward_to_host(
        &mut self,
        context: PacketContext<'_>,
        snapshot: &RoutingSnapshot,
        to: HostId,
        header: HopHeader,
    ) -> FlowVerdict {
        let Some(address) = snapshot.host_address(to) else {
            return self.drop_packet(DropCause::NoUpstream);
        };
        self.counters.packets_hopped += 1;
        FlowVerdict::Hop { to, address, lane: self.lane_of_bucket(context.bucket), header }
    }

    /// Tunnels a packet to an upstream, or resets the flow if the upstream accepts no packets.
    pub(super) fn deliver_to_upstream(
        &mut self,
        context: PacketContext<'_>,
        upstream: u16,
    ) -> FlowVerdict {
        let Some(route) = context.route.upstream(upstream) else {
            return self.drop_packet(DropCause::NoUpstream);
        };
        if !route.accepts_packets {
            return self.reset_flow(context);
        }
        self.update_flow_table(context, upstream);
        self.counters.packets_tunnelled += 1;
        FlowVerdict::Tunnel { upstream: route.upstream, address: route.address }
    }

    /// Removes a flow whose upstream accepts no packets; a SYN or RST is dropped, not answered.
    pub(super) fn reset_flow(&mut self, context: PacketContext<'_>) -> FlowVerdict {
        self.flow_table.remove(context.fingerprint);
        if context.packet.opens_flow() || context.packet.flags.rst {
            return self.drop_packet(DropCause::NoUpstream);
        }
        self.counters.flows_reset += 1;
        FlowVerdict::Reset
    }

    /// Stores the upstream of a packet's flow in the flow table, or removes a flow that closes.
    pub(super) fn update_flow_table(&mut self, context: PacketContext<'_>, upstream: u16) {
        if context.packet.closes_flow() {
            self.flow_table.remove(context.fingerprint);
            return;
        }
        let epoch = self.guard_epoch(context.route.service, context.bucket);
        if let Some(entry) = self.flow_table.touch(context.fingerprint, context.now) {
            entry.upstream = upstream;
            entry.guard_epoch = epoch;
            entry.is_opening &= context.packet.opens_flow();
            return;
        }
        self.insert_flow(
            context.fingerprint,
            upstream,
            epoch,
            context.packet.opens_flow(),
            context.now,
        );
    }

    pub(super) fn insert_flow(
        &mut self,
        fingerprint: u64,
        upstream: u16,
        epoch: u8,
        is_opening: bool,
        now: Duration,
    ) {
        let outcome = self.flow_table.insert(fingerprint, upstream, epoch, is_opening, now);
        self.counters.flow_table_full += u64::from(outcome == InsertOutcome::Full);
    }

    pub(super) fn drop_packet(&mut self, cause: DropCause) -> FlowVerdict {
        self.counters.count_drop(cause);
        FlowVerdict::Drop(cause)
    }
}

/// `FlowLookup` is the result of looking a flow up in the flow table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FlowLookup {
    /// The flow belongs to this upstream, and the owner of its bucket has been told.
    Confirmed(u16),
    /// The flow belonged to this upstream before the guard, and the owner must be told.
    Unconfirmed(u16),
    /// The flow table has no usable entry.
    Unknown,
}

impl FlowLookup {
    /// Returns the upstream that the flow table names.
    pub(super) fn upstream(self) -> Option<u16> {
        match self {
            Self::Confirmed(upstream) | Self::Unconfirmed(upstream) => Some(upstream),
            Self::Unknown => None,
        }
    }
}
