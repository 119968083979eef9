//! What a host remembers of the flows that pass it.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::token::FlowCookie;
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

/// `FlowMemo` is what a host remembers of one flow; losing it breaks nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowMemo {
    /// The flow's upstream.
    pub cookie: FlowCookie,
    /// How far it has come.
    pub stage: FlowStage,
    /// When its opening was last sent on.
    pub opened: Duration,
    /// When its last packet passed.
    pub seen: Duration,
    /// Acknowledgement number of its last packet.
    pub acknowledged: u32,
    /// Sequence number after the last payload that passed.
    pub data_end: u32,
    /// Whether any payload has passed.
    pub carried_data: bool,
    /// When the request in hand passed, if the upstream has not answered it.
    pub request: Option<Duration>,
    /// Whether the flow counts among the work of its upstream, by its opening or its request.
    pub counted: bool,
    /// Whether the flow counts among the unanswered of its upstream.
    pub unanswered: bool,
}

impl FlowMemo {
    /// Creates the memo of a flow whose opening is sent on.
    #[must_use]
    pub fn opening(cookie: FlowCookie, packet: &FlowPacket, now: Duration) -> Self {
        Self {
            cookie,
            stage: FlowStage::Opening,
            opened: now,
            seen: now,
            acknowledged: 0,
            data_end: packet.sequence.wrapping_add(1),
            carried_data: false,
            request: None,
            counted: true,
            unanswered: false,
        }
    }

    /// Creates the memo of an open flow that another host has seen before.
    #[must_use]
    pub fn adopted(cookie: FlowCookie, packet: &FlowPacket, now: Duration) -> Self {
        Self {
            cookie,
            stage: FlowStage::Open,
            opened: now,
            seen: now,
            acknowledged: packet.acknowledgement,
            data_end: packet.sequence,
            carried_data: true,
            request: None,
            counted: false,
            unanswered: false,
        }
    }
}

/// `MemoTable` holds the memos of a host, bounded in number.
#[derive(Debug, Default)]
pub struct MemoTable {
    memos: HashMap<FlowKey, FlowMemo>,
    capacity: usize,
}

impl MemoTable {
    /// Creates a table for at most `capacity` flows.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { memos: HashMap::new(), capacity }
    }

    /// Returns the memo of a flow.
    #[must_use]
    pub fn get(&self, key: &FlowKey) -> Option<&FlowMemo> {
        self.memos.get(key)
    }

    /// Returns the memo of a flow, to be changed.
    pub fn get_mut(&mut self, key: &FlowKey) -> Option<&mut FlowMemo> {
        self.memos.get_mut(key)
    }

    /// Remembers a flow, unless the table is full.
    pub fn insert(&mut self, key: FlowKey, memo: FlowMemo) -> bool {
        let fits = self.memos.len() < self.capacity || self.memos.contains_key(&key);
        if fits {
            self.memos.insert(key, memo);
        }
        fits
    }

    /// Forgets a flow and returns what was remembered.
    pub fn remove(&mut self, key: &FlowKey) -> Option<FlowMemo> {
        self.memos.remove(key)
    }

    /// Forgets all flows that have been silent for longer than `idle` and hands each to `release`.
    pub fn expire(&mut self, idle: Duration, now: Duration, mut release: impl FnMut(&FlowMemo)) {
        self.memos.retain(|_, memo| {
            let keep = now.saturating_sub(memo.seen) <= idle;
            if !keep {
                release(memo);
            }
            keep
        });
    }
}
