//! Messages between hosts.

use std::net::Ipv4Addr;

use mustardgrade_core::flow::{BindingRecord, BindingUpdate, HopHeader};
use mustardgrade_core::identity::{DataCentreId, HostId, HostIncarnation, ServiceId};
use mustardgrade_core::membership::{HostDigest, HostState};
use mustardgrade_core::placement::{BucketIndex, PlacementMap};
use mustardgrade_core::registry::StorePosition;
use mustardgrade_core::request::RequestPeerMessage;
use mustardgrade_core::watch::{ChangeBatch, FleetMessage};
use serde::{Deserialize, Serialize};

/// `DigestBody` is a [`HostDigest`] without the sender and sequence number, which the frame header
/// holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestBody {
    state: HostState,
    data_centre: DataCentreId,
    address: Ipv4Addr,
    rules_revision: u64,
    generation: u64,
    settled_generation: u64,
    view_hash: u64,
}

impl DigestBody {
    /// Returns the digest with the sender and sequence number of the frame that carried it.
    #[must_use]
    pub fn assemble_host_digest(&self, sender: HostIncarnation, sequence: u64) -> HostDigest {
        HostDigest {
            sender,
            sequence,
            state: self.state,
            data_centre: self.data_centre,
            address: self.address,
            rules_revision: self.rules_revision,
            generation: self.generation,
            settled_generation: self.settled_generation,
            view_hash: self.view_hash,
        }
    }
}

impl From<&HostDigest> for DigestBody {
    fn from(digest: &HostDigest) -> Self {
        Self {
            state: digest.state,
            data_centre: digest.data_centre,
            address: digest.address,
            rules_revision: digest.rules_revision,
            generation: digest.generation,
            settled_generation: digest.settled_generation,
            view_hash: digest.view_hash,
        }
    }
}

/// `PeerMessage` is the body of a frame that a host sends to another without expecting a reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// The sender's heartbeat.
    Digest(DigestBody),
    /// Upstreams that flows are bound to.
    BindingUpdates(Vec<BindingUpdate>),
    /// Header of a forwarded packet, which is in the trailing bytes of the frame.
    Hop(HopHeader),
    /// A message about a CoAP request.
    Request(RequestPeerMessage),
    /// A message between hosts that route flows by cookie.
    Fleet(FleetMessage),
}

/// `PeerCall` is a remote procedure call to another host, the callee.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerCall {
    /// Requests the rules and the placement in force.
    Configuration,
    /// Requests all settled exceptions, and the records of buckets that are guarded only because of
    /// a network partition.
    AllExceptions,
    /// Requests the settled exceptions of some buckets; declined by a callee that is outside the
    /// owner chain of one of them or routes by an older placement.
    BucketExceptions {
        /// Service that the buckets belong to.
        service: ServiceId,
        /// Indexes of the buckets.
        buckets: Vec<BucketIndex>,
        /// Minimum placement generation of the answer.
        min_generation: u64,
    },
    /// Requests the records of all buckets whose owner chain the calling host may enter.
    Records {
        /// The calling host.
        host: HostId,
    },
    /// Requests the registry changes after a position in the store's history.
    RegistryChanges {
        /// Position up to which the calling host has applied every change; the origin to get all.
        after: StorePosition,
    },
    /// Transfers records of buckets whose owner chain the callee has joined.
    TransferRecords {
        /// Service that the flows belong to.
        service: ServiceId,
        /// One record for each flow.
        records: Vec<BindingRecord>,
    },
}

/// `PeerReply` is the reply to a [`PeerCall`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerReply {
    /// The configuration in force on the callee.
    Configuration {
        /// Revision of the rules; 0 if the callee has no rules.
        rules_revision: u64,
        /// Identifiers of the edits that led to this revision, newest first.
        recent_edits: Vec<u64>,
        /// Text of the rules file; empty if the callee has no rules.
        rules_text: String,
        /// Placement of all services.
        placement: PlacementMap,
        /// Addresses to which the callee sends digests.
        host_addresses: Vec<Ipv4Addr>,
    },
    /// Records, or settled exceptions, of one or more services.
    Records {
        /// Placement generation in force on the callee; 0 in the reply to [`PeerCall::Records`].
        generation: u64,
        /// Lists of records, each of one service; a service can have several lists.
        record_lists: Vec<ServiceRecordList>,
    },
    /// The requested changes of the registry.
    RegistryChanges(ChangeBatch),
    /// The callee has accepted the transferred records.
    Accepted,
    /// The callee does not support the call, or cannot answer it at present.
    Declined,
}

/// `ServiceRecordList` holds binding records of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecordList {
    /// Service that the flows belong to.
    pub service: ServiceId,
    /// One record for each flow.
    pub records: Vec<BindingRecord>,
}
