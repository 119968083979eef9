//! Messages between hosts.

use std::net::Ipv4Addr;

use mustardgrade_core::flow::{BindingRecord, BindingUpdate, HopHeader};
use mustardgrade_core::identity::{DataCentreId, HostId, HostIncarnation, ServiceId};
use mustardgrade_core::membership::{HostDigest, HostState};
use mustardgrade_core::placement::{BucketIndex, PlacementMap};
use mustardgrade_core::request::RequestPeerMessage;
use mustardgrade_core::watch::{ChangeBatch, FleetMessage};
use serde::{Deserialize, Serialize};

/// `DigestBody` is a digest without what the frame says already.
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
    /// Completes the digest with the sender and sequence number of its frame.
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

/// `PeerMessage` is what one frame between hosts carries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// A heartbeat.
    Digest(DigestBody),
    /// What the receiver shall know of flows.
    BindingUpdates(Vec<BindingUpdate>),
    /// A packet, which follows the body.
    Hop(HopHeader),
    /// A message about a request.
    Request(RequestPeerMessage),
    /// A message about the registry.
    Fleet(FleetMessage),
}

/// `PeerCall` is a call to another host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerCall {
    /// Asks for the rules and placement in force.
    Configuration,
    /// Asks for all settled exceptions.
    AllExceptions,
    /// Asks for the settled exceptions of buckets that the callee owns.
    BucketExceptions {
        /// The service.
        service: ServiceId,
        /// The buckets.
        buckets: Vec<BucketIndex>,
    },
    /// Asks for the records that the calling host will own.
    Records {
        /// The calling host.
        host: HostId,
    },
    /// Asks for the registry's changes after a revision.
    RegistryChanges {
        /// The revision.
        after_revision: u64,
    },
    /// Hands over records of a bucket whose chain the callee has joined.
    TransferRecords {
        /// The service.
        service: ServiceId,
        /// The records.
        records: Vec<BindingRecord>,
    },
}

/// `PeerReply` answers a [`PeerCall`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerReply {
    /// The rules as text with their revision, and the placement.
    Configuration {
        /// Revision of the rules; 0 if there are none.
        rules_revision: u64,
        /// The rules.
        rules_text: String,
        /// The placement.
        placement: PlacementMap,
        /// Addresses of the hosts that the callee knows.
        host_addresses: Vec<Ipv4Addr>,
    },
    /// Records by service, as of a generation.
    Records {
        /// Generation in force on the callee.
        generation: u64,
        /// The records.
        record_lists: Vec<ServiceRecordList>,
    },
    /// Changes of the registry.
    RegistryChanges(ChangeBatch),
    /// The call is carried out.
    Accepted,
    /// The callee cannot answer the call now.
    Declined,
}

/// `ServiceRecordList` lists records of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecordList {
    /// The service.
    pub service: ServiceId,
    /// The records.
    pub records: Vec<BindingRecord>,
}
