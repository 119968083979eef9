//! Counters of the flow router, exported as metrics.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `DropCause` is the reason why a packet was dropped.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum DropCause {
    /// No flow service that has a placement table uses the destination address.
    #[display("unknown_service")]
    UnknownService,
    /// The flow has no upstream that accepts packets, or the next host has no known address.
    #[display("no_upstream")]
    NoUpstream,
    /// A new flow arrived for a bucket whose upstream accepts none, before the bucket has moved.
    #[display("awaiting_move")]
    AwaitingMove,
    /// The sending host routes by a newer placement generation than this host.
    #[display("stale_owner")]
    StaleOwner,
    /// The packet was forwarded between hosts more often than the limit allows.
    #[display("hop_limit")]
    HopLimit,
    /// This host is fenced: its tables may be out of date, so it must not place the flow.
    #[display("fenced")]
    Fenced,
    /// A partition separates this host from those that keep the records of the flow's bucket.
    #[display("records_missing")]
    RecordsMissing,
}

impl DropCause {
    /// All causes, in the order of declaration, by which the counters are indexed.
    pub const ALL: [Self; 7] = [
        Self::UnknownService,
        Self::NoUpstream,
        Self::AwaitingMove,
        Self::StaleOwner,
        Self::HopLimit,
        Self::Fenced,
        Self::RecordsMissing,
    ];
}

/// `FlowCounters` holds the totals of a router since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowCounters {
    /// Packets tunnelled to an upstream.
    pub packets_tunnelled: u64,
    /// Packets forwarded to another host.
    pub packets_hopped: u64,
    /// Packets that other hosts forwarded to this one.
    pub hops_received: u64,
    /// Flows reset because their upstream no longer accepts packets.
    pub flows_reset: u64,
    /// Updates sent to hosts that asked for the upstream of a flow.
    pub answers_sent: u64,
    /// Packets for which owner and replica named different upstreams; the replica's record, which
    /// is the older one, is kept.
    pub record_conflicts: u64,
    /// Flows not stored because their set of the flow table was full.
    pub flow_table_full: u64,
    /// Records, and exceptions from other hosts, not stored because their table was full.
    pub record_table_full: u64,
    /// Packets dropped, by cause in the order of [`DropCause::ALL`].
    pub packets_dropped: [u64; DropCause::ALL.len()],
}

impl FlowCounters {
    /// Counts one packet dropped for `cause`.
    pub fn count_drop(&mut self, cause: DropCause) {
        self.packets_dropped[cause as usize] += 1;
    }

    /// Returns the number of packets dropped for `cause`.
    #[must_use]
    pub fn dropped(&self, cause: DropCause) -> u64 {
        self.packets_dropped[cause as usize]
    }
}
