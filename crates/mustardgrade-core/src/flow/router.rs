//! The flow router: one for each traffic thread.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::counters::{DropCause, FlowCounters};
use super::hop::{FlowNote, HopHeader, HopStage, NoteKind, PeerNote, RecordTransfer};
use super::packet::FlowPacket;
use super::records::{BindingRecord, RecordTable};
use super::snapshot::{RoutingSnapshot, ServiceRoute};
use super::table::{FlowTable, InsertOutcome};
use crate::identity::{HostId, ServiceId, UpstreamId};
use crate::placement::{BucketIndex, BucketSlot};

/// Most hosts that a packet passes on its way to an upstream; two suffice while views agree.
pub(super) const MAX_HOPS: u8 = 4;

/// `PlacementMode` selects how flows stay with their upstream.
#[derive(Debug, Display, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementMode {
    /// Guards, owners and exceptions.
    #[default]
    #[display("guarded")]
    Guarded,
    /// Computed placement with a local flow table: the baseline.
    #[display("computed")]
    Computed,
}

/// `FlowOptions` holds the settings of a [`FlowRouter`].
#[derive(Debug, Clone, Copy)]
pub struct FlowOptions {
    /// How flows stay with their upstream.
    pub mode: PlacementMode,
    /// Seed of the fingerprints; equal on all hosts.
    pub fingerprint_seed: u64,
    /// Flows that the local table holds.
    pub flow_capacity: usize,
    /// Records that the host keeps for buckets that it owns or copies, and as many exceptions.
    pub record_capacity: usize,
    /// Time after which a silent flow leaves the local table.
    pub idle: Duration,
    /// Time without any word from a peer after which unknown flows are not placed here.
    pub fence: Duration,
    /// Number of this traffic thread.
    pub lane: u8,
    /// Traffic threads of each host; equal on all hosts.
    pub lanes: u8,
    /// Answers a second that the host sends to askers at most.
    pub answers_per_second: u32,
}

impl Default for FlowOptions {
    fn default() -> Self {
        Self {
            mode: PlacementMode::Guarded,
            fingerprint_seed: 0,
            flow_capacity: 262_144,
            record_capacity: 1_048_576,
            idle: Duration::from_secs(300),
            fence: Duration::from_millis(1_200),
            lane: 0,
            lanes: 1,
            answers_per_second: 100,
        }
    }
}

/// `FlowVerdict` says what becomes of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowVerdict {
    /// The packet goes to an upstream.
    Tunnel {
        /// The upstream.
        upstream: UpstreamId,
        /// Its address.
        address: Ipv4Addr,
    },
    /// The packet goes to another host.
    Hop {
        /// The host.
        to: HostId,
        /// Its address.
        address: Ipv4Addr,
        /// Its traffic thread for the flow's bucket.
        lane: u8,
        /// What travels with the packet.
        header: HopHeader,
    },
    /// The flow is given up: its caller gets a reset.
    Reset,
    /// The packet is dropped and counted.
    Drop(DropCause),
}

/// `AnswerBudget` bounds the answers a second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AnswerBudget {
    pub(super) second: u64,
    pub(super) spent: u32,
}

/// `FlowCase` is a packet with what has been looked up for it.
#[derive(Debug, Clone, Copy)]
pub(super) struct FlowCase<'a> {
    pub(super) packet: &'a FlowPacket,
    pub(super) route: &'a ServiceRoute,
    pub(super) fingerprint: u64,
    pub(super) bucket: BucketIndex,
    pub(super) slot: BucketSlot,
    pub(super) now: Duration,
}

/// `FlowRouter` decides where each packet of a long flow goes.
///
/// It performs no I/O. One router serves one traffic thread; routers share nothing but the
/// [`RoutingSnapshot`].
#[derive(Debug)]
pub struct FlowRouter {
    pub(super) me: HostId,
    pub(super) options: FlowOptions,
    pub(super) snapshot: Arc<RoutingSnapshot>,
    pub(super) flows: FlowTable,
    pub(super) records: RecordTable,
    pub(super) exceptions: RecordTable,
    pub(super) guard_tags: HashMap<ServiceId, Vec<u8>>,
    pub(super) heard_at: Duration,
    pub(super) notes: Vec<PeerNote>,
    pub(super) transfers: Vec<RecordTransfer>,
    pub(super) budget: AnswerBudget,
    pub(super) counters: FlowCounters,
}

impl FlowRouter {
    /// Creates a router for the host `me`.
    #[must_use]
    pub fn new(me: HostId, options: FlowOptions) -> Self {
        Self {
            me,
            options,
            snapshot: Arc::new(RoutingSnapshot::default()),
            flows: FlowTable::new(options.flow_capacity, options.idle),
            records: RecordTable::new(options.record_capacity),
            exceptions: RecordTable::new(options.record_capacity),
            guard_tags: HashMap::new(),
            heard_at: Duration::ZERO,
            notes: Vec::new(),
            transfers: Vec::new(),
            budget: AnswerBudget::default(),
            counters: FlowCounters::default(),
        }
    }

    // Queries.

    /// Returns what the router has counted.
    #[must_use]
    pub fn counters(&self) -> &FlowCounters {
        &self.counters
    }

    /// Returns the snapshot in force.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<RoutingSnapshot> {
        &self.snapshot
    }

    /// Returns the records that this host keeps for guarded buckets.
    #[must_use]
    pub fn records(&self) -> &RecordTable {
        &self.records
    }

    /// Returns the settled exceptions.
    #[must_use]
    pub fn exceptions(&self) -> &RecordTable {
        &self.exceptions
    }

    /// Tells whether notes wait to be sent.
    #[must_use]
    pub fn has_notes(&self) -> bool {
        !self.notes.is_empty()
    }

    /// Returns the flow table.
    #[must_use]
    pub fn flows(&self) -> &FlowTable {
        &self.flows
    }

    /// Notes that the tables were known to be current at `at`.
    ///
    /// A host that has not been told so for the fence time leaves unknown flows to its peers.
    pub fn set_heard(&mut self, at: Duration) {
        self.heard_at = at;
    }

    /// Routes a packet that came from the fabric.
    pub fn route(&mut self, packet: &FlowPacket, now: Duration) -> FlowVerdict {
        let snapshot = Arc::clone(&self.snapshot);
        let Some(case) = self.case_of(&snapshot, packet, now) else {
            return self.drop_packet(DropCause::UnknownService);
        };
        match self.options.mode {
            PlacementMode::Computed => self.route_computed(case),
            PlacementMode::Guarded => self.route_guarded(case),
        }
    }

    /// Routes a packet that another host handed over.
    pub fn route_hop(
        &mut self,
        hop: &HopHeader,
        packet: &FlowPacket,
        now: Duration,
    ) -> FlowVerdict {
        self.counters.received_hops += 1;
        let snapshot = Arc::clone(&self.snapshot);
        let Some(case) = self.case_of(&snapshot, packet, now) else {
            return self.drop_packet(DropCause::UnknownService);
        };
        if hop.hops >= MAX_HOPS {
            return self.drop_packet(DropCause::HopLimit);
        }
        if snapshot.generation < hop.generation {
            return self.drop_packet(DropCause::StaleOwner);
        }
        if let Some(upstream) = self.exceptions.get(case.route.service, case.fingerprint) {
            return self.deliver(case, upstream);
        }
        if !case.slot.phase.is_guarded() {
            return match self.is_fenced(now) {
                true => self.drop_packet(DropCause::Fenced),
                false => self.deliver(case, case.slot.current),
            };
        }
        match hop.stage {
            HopStage::Owner { claim } => self.decide(case, *hop, claim),
            HopStage::Replica { verdict } => self.copy_record(case, *hop, verdict),
        }
    }

    /// Takes in what another host says of a flow.
    pub fn learn(&mut self, note: &FlowNote, now: Duration) {
        let record = BindingRecord { fingerprint: note.fingerprint, upstream: note.upstream };
        match note.kind {
            NoteKind::Answer => self.learn_answer(note, now),
            NoteKind::Correction => {
                self.records.insert(note.service, record);
                self.learn_answer(note, now);
            }
            NoteKind::Copy => self.merge_records(note.service, &[record]),
        }
    }

    pub(super) fn learn_answer(&mut self, note: &FlowNote, now: Duration) {
        let snapshot = Arc::clone(&self.snapshot);
        let Some(route) = snapshot.service(note.service) else {
            return;
        };
        let tag = self.guard_tag(route.service, route.table.bucket_of(note.fingerprint));
        self.remember(note.fingerprint, note.upstream, tag, false, now);
    }

    /// Moves the notes that wait to be sent into `into`.
    pub fn take_notes(&mut self, into: &mut Vec<PeerNote>) {
        into.append(&mut self.notes);
    }

    pub(super) fn case_of<'a>(
        &self,
        snapshot: &'a RoutingSnapshot,
        packet: &'a FlowPacket,
        now: Duration,
    ) -> Option<FlowCase<'a>> {
        let route = snapshot.service_at(packet.key.service)?;
        let fingerprint = packet.key.fingerprint(self.options.fingerprint_seed);
        let bucket = route.table.bucket_of(fingerprint);
        let slot = route.table.slot(bucket);
        Some(FlowCase { packet, route, fingerprint, bucket, slot, now })
    }

    pub(super) fn route_computed(&mut self, case: FlowCase<'_>) -> FlowVerdict {
        if !case.packet.opens()
            && let Some(entry) = self.flows.touch(case.fingerprint, case.now)
        {
            let upstream = entry.upstream;
            return self.deliver(case, upstream);
        }
        self.deliver(case, case.slot.current)
    }

    pub(super) fn route_guarded(&mut self, case: FlowCase<'_>) -> FlowVerdict {
        if let Some(upstream) = self.exceptions.get(case.route.service, case.fingerprint) {
            return self.deliver(case, upstream);
        }
        let fenced = self.is_fenced(case.now);
        if !case.slot.phase.is_guarded() && !fenced {
            return self.deliver(case, case.slot.current);
        }
        let claim = match self.known_upstream(case, fenced) {
            KnownFlow::Settled(upstream) => return self.deliver(case, upstream),
            KnownFlow::Claimed(upstream) => Some(upstream),
            KnownFlow::Unknown => None,
        };
        self.ask_owner(case, claim, fenced)
    }

    pub(super) fn is_fenced(&self, now: Duration) -> bool {
        now > self.heard_at + self.options.fence
    }

    /// Looks a flow up in the local table, as far as the guard of its bucket allows.
    pub(super) fn known_upstream(&mut self, case: FlowCase<'_>, fenced: bool) -> KnownFlow {
        if case.packet.opens() {
            return KnownFlow::Unknown;
        }
        let tag = self.guard_tag(case.route.service, case.bucket);
        let Some(entry) = self.flows.touch(case.fingerprint, case.now) else {
            return KnownFlow::Unknown;
        };
        entry.opening = false;
        let upstream = entry.upstream;
        if entry.guard_tag == tag || fenced && !case.slot.phase.is_guarded() {
            return KnownFlow::Settled(upstream);
        }
        if upstream == case.slot.base {
            // Each host reports each old flow once, so the owner hears of it although any one of
            // these packets may be lost.
            entry.guard_tag = tag;
            return KnownFlow::Claimed(upstream);
        }
        KnownFlow::Unknown
    }

    pub(super) fn hop_to(
        &mut self,
        case: FlowCase<'_>,
        snapshot: &RoutingSnapshot,
        to: HostId,
        header: HopHeader,
    ) -> FlowVerdict {
        let Some(address) = snapshot.host_address(to) else {
            return self.drop_packet(DropCause::NoUpstream);
        };
        self.counters.hopped += 1;
        FlowVerdict::Hop { to, address, lane: self.bucket_lane(case.bucket), header }
    }

    /// Sends a packet to an upstream index, if it may receive this packet.
    pub(super) fn deliver(&mut self, case: FlowCase<'_>, upstream: u16) -> FlowVerdict {
        let Some(route) = case.route.upstream(upstream) else {
            return self.drop_packet(DropCause::NoUpstream);
        };
        if !route.reachable {
            return self.give_up(case);
        }
        self.note_flow(case, upstream);
        self.counters.tunnelled += 1;
        FlowVerdict::Tunnel { upstream: route.upstream, address: route.address }
    }

    pub(super) fn give_up(&mut self, case: FlowCase<'_>) -> FlowVerdict {
        self.flows.remove(case.fingerprint);
        if case.packet.opens() || case.packet.flags.rst {
            return self.drop_packet(DropCause::NoUpstream);
        }
        self.counters.resets += 1;
        FlowVerdict::Reset
    }

    pub(super) fn note_flow(&mut self, case: FlowCase<'_>, upstream: u16) {
        if case.packet.closes() {
            self.flows.remove(case.fingerprint);
            return;
        }
        let tag = self.guard_tag(case.route.service, case.bucket);
        if let Some(entry) = self.flows.touch(case.fingerprint, case.now) {
            entry.upstream = upstream;
            entry.guard_tag = tag;
            return;
        }
        self.remember(case.fingerprint, upstream, tag, case.packet.opens(), case.now);
    }

    pub(super) fn remember(
        &mut self,
        fingerprint: u64,
        upstream: u16,
        tag: u8,
        opening: bool,
        now: Duration,
    ) {
        let outcome = self.flows.insert(fingerprint, upstream, tag, opening, now);
        self.counters.table_full += u64::from(outcome == InsertOutcome::Full);
    }

    pub(super) fn guard_tag(&self, service: ServiceId, bucket: BucketIndex) -> u8 {
        let tags = self.guard_tags.get(&service);
        tags.and_then(|tags| tags.get(bucket.0 as usize)).copied().unwrap_or_default()
    }

    pub(super) fn drop_packet(&mut self, cause: DropCause) -> FlowVerdict {
        self.counters.count_drop(cause);
        FlowVerdict::Drop(cause)
    }
}

/// `KnownFlow` is what the local table says of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KnownFlow {
    /// The flow belongs to this upstream, and the owner of its bucket knows.
    Settled(u16),
    /// The flow belongs to this upstream, and the owner of its bucket must be told.
    Claimed(u16),
    /// Nothing is known.
    Unknown,
}
