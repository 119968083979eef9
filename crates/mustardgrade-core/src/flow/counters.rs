//! Counters of the flow router.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `DropCause` says why a packet was not delivered.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum DropCause {
    /// No rule names the destination address.
    #[display("unknown_service")]
    UnknownService,
    /// The service has no upstream that takes packets.
    #[display("no_upstream")]
    NoUpstream,
    /// The flow opens while its bucket waits for a move.
    #[display("awaiting_move")]
    AwaitingMove,
    /// The packet needs an owner that knows a newer table than this host.
    #[display("stale_owner")]
    StaleOwner,
    /// The packet was handed from host to host too often.
    #[display("hop_limit")]
    HopLimit,
    /// This host has lost touch with its peers and cannot place the flow.
    #[display("fenced")]
    Fenced,
}

impl DropCause {
    /// All causes, in the order of their metrics.
    pub const ALL: [Self; 6] = [
        Self::UnknownService,
        Self::NoUpstream,
        Self::AwaitingMove,
        Self::StaleOwner,
        Self::HopLimit,
        Self::Fenced,
    ];
}

/// `FlowCounters` counts what a router did since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowCounters {
    /// Packets sent to an upstream.
    pub packets_tunnelled: u64,
    /// Packets handed to another host.
    pub packets_hopped: u64,
    /// Packets received from another host.
    pub hops_received: u64,
    /// Flows reset because their upstream is declared gone.
    pub flows_reset: u64,
    /// Answers sent to hosts that asked about a flow.
    pub answers_sent: u64,
    /// Records that two hosts held differently; the older one won.
    pub record_conflicts: u64,
    /// Flows that found the flow table full.
    pub flow_table_full: u64,
    /// Records that found the record table full.
    pub record_table_full: u64,
    /// Dropped packets by cause, in the order of [`DropCause::ALL`].
    pub packets_dropped: [u64; DropCause::ALL.len()],
}

impl FlowCounters {
    /// Counts a dropped packet.
    pub fn count_drop(&mut self, cause: DropCause) {
        self.packets_dropped[cause as usize] += 1;
    }

    /// Returns the packets dropped for `cause`.
    #[must_use]
    pub fn dropped(&self, cause: DropCause) -> u64 {
        self.packets_dropped[cause as usize]
    }
}
