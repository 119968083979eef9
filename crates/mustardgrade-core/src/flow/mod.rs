//! Routing of long flows: the router that every traffic thread runs, its tables and messages.

mod chain;
mod counters;
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
