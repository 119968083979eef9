//! Bounded table of the flows that a host has observed.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::flow_cookie::FlowCookie;
use super::outliers::RequestWatch;
use crate::flow::{FlowKey, FlowPacket};

/// Distance up to which sequence numbers are taken for those of one flow, since each flow begins at
/// a random one.
const MAX_SEQUENCE_ADVANCE: u32 = 1 << 20;

/// Returns whether two sequence numbers may belong to one flow, whichever is the later one.
#[must_use]
pub(super) fn may_share_flow(sequence: u32, other: u32) -> bool {
    (sequence.wrapping_sub(other) as i32).unsigned_abs() < MAX_SEQUENCE_ADVANCE
}

/// `FlowStage` is the connection state of a flow, inferred from the caller's packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowStage {
    /// The opening was forwarded and no later packet of the flow has been seen.
    Opening,
    /// The caller has received a packet from the upstream.
    Open,
}

/// `HolderEvidence` is what shows that the upstream of an observed flow is the one that holds it.
///
/// Two upstreams may have answered the transmissions of an opening. The caller accepts one of them,
/// but returns the cookie that it has received last, which may be that of the other.
#[derive(
    Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum HolderEvidence {
    /// Only the cookie of the caller's packets.
    #[default]
    #[display("cookie")]
    Cookie,
    /// The upstream has answered a request that this host forwarded to it; another one would have
    /// reset the flow.
    #[display("answer")]
    Answer,
    /// The caller has accepted the upstream's answer to the opening, by a packet that it sends at
    /// once.
    #[display("acceptance")]
    Acceptance,
}

/// `ObservedFlow` is what a host has observed of one flow.
///
/// It is soft state for load tracking and failure detection: after its loss, open flows are still
/// routed by their cookie.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObservedFlow {
    /// Cookie of the flow's upstream.
    pub cookie: FlowCookie,
    /// Connection state of the flow.
    pub stage: FlowStage,
    /// When its opening was last forwarded, or when the host first saw it if it was open by then.
    pub opened_at: Duration,
    /// Time until the caller accepted the opening; `None` if this host has not observed that.
    pub opening_latency: Option<Duration>,
    /// When its last packet was routed.
    pub last_seen: Duration,
    /// Acknowledgement number of the last packet that acknowledged new bytes.
    pub last_acknowledgement: u32,
    /// Sequence number of the first payload that this host may have forwarded.
    pub first_sequence: u32,
    /// Sequence number that follows the last payload seen.
    pub next_sequence: u32,
    /// When the pending request was forwarded; `None` if no request is unanswered.
    pub request_sent_at: Option<Duration>,
    /// When new payload was last forwarded; zero if none was.
    pub last_data_sent_at: Duration,
    /// Whether the flow's opening or request is counted as in flight at its upstream.
    pub is_counted_in_flight: bool,
    /// Whether the upstream had no free slot for the pending request by the modelled load.
    pub was_queued: bool,
    /// Whether the flow's pending request is counted as unanswered at its upstream.
    pub is_counted_unanswered: bool,
    /// When the last answer was counted as a refusal; the flow may still go on and show that it
    /// was none.
    pub refusal_assumed_at: Option<Duration>,
    /// What shows that the upstream of the cookie holds the flow.
    pub holder_evidence: HolderEvidence,
    /// Whether another upstream may have received a transmission of the opening, too.
    pub is_contested: bool,
    /// Whether the caller's last packet carried the cookie of another upstream.
    pub has_foreign_cookie: bool,
    /// The last request, if its outcome is observed and not settled yet.
    pub watch: Option<RequestWatch>,
}

impl ObservedFlow {
    /// Creates the entry of a flow whose opening is being forwarded.
    #[must_use]
    pub fn opening(cookie: FlowCookie, segment: &FlowPacket, now: Duration) -> Self {
        Self {
            cookie,
            stage: FlowStage::Opening,
            opened_at: now,
            opening_latency: None,
            last_seen: now,
            last_acknowledgement: 0,
            first_sequence: segment.sequence.wrapping_add(1),
            next_sequence: segment.sequence.wrapping_add(1),
            request_sent_at: None,
            last_data_sent_at: Duration::ZERO,
            is_counted_in_flight: true,
            was_queued: false,
            is_counted_unanswered: false,
            refusal_assumed_at: None,
            holder_evidence: HolderEvidence::Cookie,
            is_contested: false,
            has_foreign_cookie: false,
            watch: None,
        }
    }

    /// Creates the entry of an open flow whose earlier packets this host has not observed.
    #[must_use]
    pub fn midstream(cookie: FlowCookie, segment: &FlowPacket, now: Duration) -> Self {
        Self {
            cookie,
            stage: FlowStage::Open,
            opened_at: now,
            opening_latency: None,
            last_seen: now,
            last_acknowledgement: segment.acknowledgement,
            first_sequence: segment.sequence,
            next_sequence: segment.sequence,
            request_sent_at: None,
            last_data_sent_at: Duration::ZERO,
            is_counted_in_flight: false,
            was_queued: false,
            is_counted_unanswered: false,
            refusal_assumed_at: None,
            holder_evidence: HolderEvidence::Cookie,
            is_contested: false,
            has_foreign_cookie: false,
            watch: None,
        }
    }

    /// Returns whether the flow began with this opening, by the sequence numbers of both.
    #[must_use]
    pub fn continues_opening(&self, opening: &FlowPacket) -> bool {
        let first_sequence = opening.sequence.wrapping_add(1);
        self.next_sequence.wrapping_sub(first_sequence) < MAX_SEQUENCE_ADVANCE
    }

    /// Returns whether a packet is part of this flow, by the sequence numbers of both.
    #[must_use]
    pub(super) fn includes(&self, packet: &FlowPacket) -> bool {
        may_share_flow(packet.sequence, self.next_sequence)
    }

    /// Returns whether a packet is the caller's acknowledgement of this flow's opening, by which it
    /// accepts the upstream of the packet's cookie.
    ///
    /// That may be the upstream of another transmission of the opening, which this host or another
    /// one has forwarded before. Later packets may carry the cookie of one that was not accepted.
    #[must_use]
    pub(super) fn is_accepted_by(&self, packet: &FlowPacket) -> bool {
        self.stage == FlowStage::Opening
            && packet.sequence == self.next_sequence
            && packet.is_pure_acknowledgement()
    }

    /// Returns whether the upstream of this flow is known to hold the flow of a packet, which
    /// acknowledges what that upstream has sent, by its sequence numbers.
    #[must_use]
    pub(super) fn is_held_for(&self, packet: &FlowPacket) -> bool {
        self.holder_evidence > HolderEvidence::Cookie
            && may_share_flow(packet.acknowledgement, self.last_acknowledgement)
            && self.includes(packet)
    }
}

/// `ObservedFlowTable` holds the observed flows of a host, up to a fixed capacity.
#[derive(Debug, Default)]
pub struct ObservedFlowTable {
    flows: HashMap<FlowKey, ObservedFlow>,
    capacity: usize,
}

impl ObservedFlowTable {
    /// Creates an empty table for at most `capacity` flows.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { flows: HashMap::new(), capacity }
    }

    /// Returns a table with the entry of one flow only, and with as much room for it.
    #[must_use]
    pub(super) fn excerpt(&self, key: &FlowKey) -> Self {
        let flows: HashMap<FlowKey, ObservedFlow> =
            self.flows.get(key).map(|flow| (*key, *flow)).into_iter().collect();
        let is_full = self.flows.len() >= self.capacity && flows.is_empty();
        Self { flows, capacity: usize::from(!is_full) }
    }

    /// Returns the entry of a flow, if there is one.
    #[must_use]
    pub fn get(&self, key: &FlowKey) -> Option<&ObservedFlow> {
        self.flows.get(key)
    }

    /// Returns a mutable reference to the entry of a flow, if there is one.
    pub fn get_mut(&mut self, key: &FlowKey) -> Option<&mut ObservedFlow> {
        self.flows.get_mut(key)
    }

    /// Returns all flows, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&FlowKey, &ObservedFlow)> {
        self.flows.iter()
    }

    /// Inserts or replaces the entry of a flow; returns false if the table is full.
    pub fn insert(&mut self, key: FlowKey, flow: ObservedFlow) -> bool {
        let has_room = self.flows.len() < self.capacity || self.flows.contains_key(&key);
        if has_room {
            self.flows.insert(key, flow);
        }
        has_room
    }

    /// Removes a flow and returns its entry.
    pub fn remove(&mut self, key: &FlowKey) -> Option<ObservedFlow> {
        self.flows.remove(key)
    }

    /// Removes all flows without a packet for longer than `idle_timeout` and passes each to
    /// `on_expire`.
    pub fn expire(
        &mut self,
        idle_timeout: Duration,
        now: Duration,
        mut on_expire: impl FnMut(&ObservedFlow),
    ) {
        self.flows.retain(|_, flow| {
            let is_live = now.saturating_sub(flow.last_seen) <= idle_timeout;
            if !is_live {
                on_expire(flow);
            }
            is_live
        });
    }
}
