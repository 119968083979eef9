//! Routing of long-lived TCP flows.
//!
//! Each traffic thread runs a [`FlowRouter`] over an immutable [`RoutingSnapshot`]. A flow is
//! hashed to a bucket, and the placement of the bucket names the upstream. While a bucket moves
//! between upstreams it is guarded: its owner and its replica, two hosts chosen by rendezvous
//! hashing, record the upstream of each flow. When the guard ends, the flows that are not on the
//! upstream of their bucket are kept as settled exceptions on every host.

mod chain;
mod counters;
mod guards;
mod messages;
mod owner;
mod packet;
mod record_sync;
mod records;
mod router;
mod snapshot;
mod table;

pub use chain::{OwnerChain, owner_chain};
pub use counters::{DropCause, FlowCounters};
pub use messages::{
    AddressedUpdate, BindingUpdate, HopHeader, HopStage, RecordTransfer, UpdateKind,
};
pub use packet::{FlowKey, FlowPacket, SegmentFlags};
pub use records::{BindingRecord, RecordTable, ServiceRecords};
pub use router::{FlowOptions, FlowRouter, FlowVerdict, PlacementMode};
pub use snapshot::{
    HostRoute, OwnerEligibility, RoutingSnapshot, ServiceRoute, SnapshotInputs, UpstreamRoute,
    build_snapshot,
};
pub use table::{FlowEntry, FlowTable, InsertOutcome};

#[cfg(test)]
mod tests;
