//! Packets of open flows that a host receives before its first snapshot of the registry.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use super::backlog::WaitingPacket;
use crate::flow::FlowKey;

/// Maximum number of flows of which a packet is held. With the largest datagrams, they take 8 MiB.
const MAX_HELD_FLOWS: usize = 4_096;

/// Time for which a packet is held. It is the longest interval between retransmissions of callers:
/// one that still waits for an answer has sent its packet again by then.
const MAX_HOLD: Duration = Duration::from_millis(1_600);

/// `StartupPackets` is what a host does with packets of open flows before its first snapshot.
#[derive(Debug, Display, FromStr, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartupPackets {
    /// The latest packet of each flow is held and routed with the first snapshot.
    #[default]
    #[display("hold")]
    Hold,
    /// They are dropped; their callers send them again.
    #[display("drop")]
    Drop,
}

impl StartupPackets {
    /// Returns where the packets are held, if they are.
    #[must_use]
    pub fn hold(self) -> Option<StartupHold> {
        match self {
            Self::Hold => Some(StartupHold::default()),
            Self::Drop => None,
        }
    }
}

#[derive(Debug)]
struct HeldPacket {
    /// Number by which packets are ordered as they were received.
    number: u64,
    waiting: WaitingPacket,
}

/// `StartupHold` keeps the latest packet of each open flow until the first snapshot is installed.
///
/// Openings are not held: their callers send them again soon, and by then another host may have
/// placed them.
#[derive(Debug, Default)]
pub struct StartupHold {
    held: HashMap<FlowKey, HeldPacket>,
    next_number: u64,
}

impl StartupHold {
    /// Returns whether no packet is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Holds a received packet; returns the packet that is not held, which is the given one or an
    /// earlier one of the flow.
    ///
    /// An acknowledgement alone does not replace a request, which is of more use to the caller. A
    /// packet that ends the flow does, since its caller no longer waits for the answer.
    pub fn offer(&mut self, waiting: WaitingPacket, now: Duration) -> Option<WaitingPacket> {
        if waiting.packet.segment.opens_flow() {
            return Some(waiting);
        }
        let key = waiting.packet.segment.key;
        if self.held.len() >= MAX_HELD_FLOWS {
            self.held.retain(|_, held| held.waiting.max_wait(now) <= MAX_HOLD);
        }
        let earlier = self.held.get(&key).map(|held| &held.waiting);
        let is_refused = match earlier {
            Some(earlier) => {
                carries_payload(earlier) && waiting.packet.segment.is_pure_acknowledgement()
            }
            None => self.held.len() >= MAX_HELD_FLOWS,
        };
        if is_refused {
            return Some(waiting);
        }
        self.next_number += 1;
        let held = HeldPacket { number: self.next_number, waiting };
        self.held.insert(key, held).map(|replaced| replaced.waiting)
    }

    /// Returns the packets to route and those that were held for too long, each in the order in
    /// which they came.
    #[must_use]
    pub fn release(self, now: Duration) -> (Vec<WaitingPacket>, Vec<WaitingPacket>) {
        let mut held: Vec<HeldPacket> = self.held.into_values().collect();
        held.sort_by_key(|held| held.number);
        let packets = held.into_iter().map(|held| held.waiting);
        packets.partition(|waiting| waiting.max_wait(now) <= MAX_HOLD)
    }
}

fn carries_payload(waiting: &WaitingPacket) -> bool {
    waiting.packet.segment.payload_length > 0
}
