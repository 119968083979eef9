//! What hosts tell each other about flows.

use serde::{Deserialize, Serialize};

use super::records::BindingRecord;
use crate::identity::{HostId, ServiceId};

/// `HopStage` says what the receiver of a handed-over packet shall do with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HopStage {
    /// Decide where the flow belongs.
    Owner {
        /// Upstream index that the asking host remembers for the flow.
        claim: Option<u16>,
    },
    /// Keep a copy of the owner's new record, then deliver.
    Replica {
        /// Upstream index that the owner decided on.
        verdict: u16,
    },
}

/// `HopHeader` travels with a packet that one host hands to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HopHeader {
    /// The task of the receiver.
    pub stage: HopStage,
    /// Host that received the packet from the fabric.
    pub asker: HostId,
    /// Traffic thread of the asking host.
    pub asker_lane: u8,
    /// Host that sent this hop.
    pub sender: HostId,
    /// Placement generation of the sender.
    pub generation: u64,
    /// Hops so far.
    pub hops: u8,
}

/// `UpdateKind` says what the receiver of a note does with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpdateKind {
    /// The receiver asked: it remembers the flow in its local table.
    Answer,
    /// The receiver recorded another upstream: it replaces its record.
    Correction,
    /// The receiver is about to own the bucket: it keeps a copy of the record.
    Copy,
}

/// `BindingUpdate` tells a host which upstream a flow belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BindingUpdate {
    /// What the note is for.
    pub kind: UpdateKind,
    /// The service of the flow.
    pub service: ServiceId,
    /// Fingerprint of the flow.
    pub fingerprint: u64,
    /// Upstream index in the service's table.
    pub upstream: u16,
}

/// `AddressedUpdate` is a [`BindingUpdate`] and the host that it goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AddressedUpdate {
    /// The receiver.
    pub to: HostId,
    /// Traffic thread of the receiver.
    pub lane: u8,
    /// What it is told.
    pub update: BindingUpdate,
}

/// `RecordTransfer` carries records to a host that joins the chain of their buckets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordTransfer {
    /// The receiver.
    pub to: HostId,
    /// The service of the records.
    pub service: ServiceId,
    /// The records.
    pub records: Vec<BindingRecord>,
}
