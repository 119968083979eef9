//! Messages between hosts about flows.

use serde::{Deserialize, Serialize};

use super::records::BindingRecord;
use crate::identity::{HostId, ServiceId};

/// `HopStage` is the role in which the receiver of a forwarded packet routes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HopStage {
    /// The receiver is the owner of the bucket and determines the upstream of the flow.
    Owner {
        /// Upstream index that the asking host has in its flow table for the flow.
        claim: Option<u16>,
    },
    /// The receiver is the replica of the bucket: it records the flow and delivers the packet.
    Replica {
        /// Upstream index that the owner determined.
        verdict: u16,
    },
}

/// `HopHeader` accompanies a packet that one host forwards to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HopHeader {
    /// Role of the receiver.
    pub stage: HopStage,
    /// Host that received the packet from the fabric and asks for the upstream of its flow.
    pub asker: HostId,
    /// Index of the traffic thread of the asking host.
    pub asker_lane: u8,
    /// Host that forwarded the packet to the receiver.
    pub sender: HostId,
    /// Placement generation that the sender routes by.
    pub generation: u64,
    /// Number of times that the packet had been forwarded before this hop.
    pub hops: u8,
}

/// `UpdateKind` says how the receiver of a [`BindingUpdate`] applies it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpdateKind {
    /// Answers the asking host, which stores the flow in its flow table.
    Answer,
    /// Replaces the record of the receiver, which named another upstream.
    Correction,
    /// Copies a record to a host that keeps, or will keep, the records of the bucket; a record that
    /// it already has is retained.
    Copy,
}

/// `BindingUpdate` informs a host of the upstream that a flow is bound to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BindingUpdate {
    /// How the receiver applies the update.
    pub kind: UpdateKind,
    /// The service of the flow.
    pub service: ServiceId,
    /// Fingerprint of the flow.
    pub fingerprint: u64,
    /// Index of the upstream in the placement table of the service.
    pub upstream: u16,
}

/// `AddressedUpdate` is a [`BindingUpdate`] with its destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AddressedUpdate {
    /// Host that receives the update.
    pub to: HostId,
    /// Index of the receiving traffic thread on that host.
    pub lane: u8,
    /// Content of the message.
    pub update: BindingUpdate,
}

/// `RecordTransfer` carries records to a host that has joined the owner chain of their buckets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordTransfer {
    /// Host that receives the records.
    pub to: HostId,
    /// Service that the flows belong to.
    pub service: ServiceId,
    /// One record for each flow of the buckets concerned.
    pub records: Vec<BindingRecord>,
}
