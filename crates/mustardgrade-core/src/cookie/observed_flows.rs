//! What a host remembers of the flows that pass it.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::flow_cookie::FlowCookie;
use crate::flow::{FlowKey, FlowPacket};

/// `FlowStage` is how far a flow has come, seen from its caller's packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowStage {
    /// The opening was sent on and nothing has followed it.
    Opening,
    /// The caller has heard the upstream.
    Open,
}

/// `ObservedFlow` is what a host remembers of one flow; losing it breaks nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObservedFlow {
    /// The flow's upstream.
    pub cookie: FlowCookie,
    /// How far it has come.
    pub stage: FlowStage,
    /// When its opening was last sent on.
    pub opened_at: Duration,
    /// When its last packet passed.
    pub last_seen: Duration,
    /// Acknowledgement number of its last packet.
    pub last_acknowledgement: u32,
    /// Sequence number after the last payload that passed.
    pub next_sequence: u32,
    /// Whether any payload has passed.
    pub has_carried_data: bool,
    /// When the request in hand passed, if the upstream has not answered it.
    pub request_sent_at: Option<Duration>,
    /// Whether the flow counts among the work of its upstream, by its opening or its request.
    pub counted_in_flight: bool,
    /// Whether the flow counts among the unanswered of its upstream.
    pub counted_unanswered: bool,
}

impl ObservedFlow {
    /// Creates the memo of a flow whose opening is sent on.
    #[must_use]
    pub fn opening(cookie: FlowCookie, segment: &FlowPacket, now: Duration) -> Self {
        Self {
            cookie,
            stage: FlowStage::Opening,
            opened_at: now,
            last_seen: now,
            last_acknowledgement: 0,
            next_sequence: segment.sequence.wrapping_add(1),
            has_carried_data: false,
            request_sent_at: None,
            counted_in_flight: true,
            counted_unanswered: false,
        }
    }

    /// Creates the memo of an open flow that another host has seen before.
    #[must_use]
    pub fn midstream(cookie: FlowCookie, segment: &FlowPacket, now: Duration) -> Self {
        Self {
            cookie,
            stage: FlowStage::Open,
            opened_at: now,
            last_seen: now,
            last_acknowledgement: segment.acknowledgement,
            next_sequence: segment.sequence,
            has_carried_data: true,
            request_sent_at: None,
            counted_in_flight: false,
            counted_unanswered: false,
        }
    }
}

/// `ObservedFlowTable` holds the memos of a host, bounded in number.
#[derive(Debug, Default)]
pub struct ObservedFlowTable {
    flows: HashMap<FlowKey, ObservedFlow>,
    capacity: usize,
}

impl ObservedFlowTable {
    /// Creates a table for at most `capacity` flows.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { flows: HashMap::new(), capacity }
    }

    /// Returns the memo of a flow.
    #[must_use]
    pub fn get(&self, key: &FlowKey) -> Option<&ObservedFlow> {
        self.flows.get(key)
    }

    /// Returns the memo of a flow, to be changed.
    pub fn get_mut(&mut self, key: &FlowKey) -> Option<&mut ObservedFlow> {
        self.flows.get_mut(key)
    }

    /// Remembers a flow, unless the table is full.
    pub fn insert(&mut self, key: FlowKey, flow: ObservedFlow) -> bool {
        let has_room = self.flows.len() < self.capacity || self.flows.contains_key(&key);
        if has_room {
            self.flows.insert(key, flow);
        }
        has_room
    }

    /// Forgets a flow and returns what was remembered.
    pub fn remove(&mut self, key: &FlowKey) -> Option<ObservedFlow> {
        self.flows.remove(key)
    }

    /// Forgets all flows that have been silent for longer than `idle` and hands each to `release`.
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
