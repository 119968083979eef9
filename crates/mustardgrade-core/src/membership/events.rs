//! Settings, inputs and outputs of the host controller.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use super::digest::HostDigest;
use super::member::{ListedHost, MemberTableOptions};
use super::stored_rules::StoredRules;
use crate::flow::{PlacementMode, RoutingSnapshot};
use crate::identity::{DataCentreId, HostId, HostIncarnation, ServiceId};
use crate::placement::{BucketIndex, PlacementMap, PlannerOptions};

/// `ControllerOptions` holds the settings of a [`HostController`].
#[derive(Debug, Clone)]
pub struct ControllerOptions {
    /// Identity and current run of the local host.
    pub local_incarnation: HostIncarnation,
    /// Address of the local host.
    pub address: Ipv4Addr,
    /// Data centre of the local host.
    pub data_centre: DataCentreId,
    /// Addresses of hosts to contact until the configuration has been fetched, so that a host can
    /// start while the platform's host list cannot be read.
    pub seeds: Vec<Ipv4Addr>,
    /// Method that keeps the packets of a flow on one upstream.
    pub placement_mode: PlacementMode,
    /// Settings of the member table.
    pub member_table: MemberTableOptions,
    /// Settings of the planner.
    pub planner: PlannerOptions,
}

/// `StoredPlacement` is a published generation of the placement.
pub type StoredPlacement = Arc<PlacementMap>;

/// `PeerConfiguration` is the configuration in force on a host, as sent to peers that request it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerConfiguration {
    /// Rules in force on the peer, if it has any.
    pub rules: Option<StoredRules>,
    /// Placement in force on the peer.
    pub placement: Option<StoredPlacement>,
    /// Addresses to which the peer sends digests.
    pub host_addresses: Vec<Ipv4Addr>,
}

/// `ControllerInput` is an event that the controller processes.
#[derive(Debug, Clone)]
pub enum ControllerInput {
    /// The periodic timer has fired.
    Tick,
    /// A digest from an authenticated sender has been received.
    DigestReceived(HostDigest),
    /// The platform's host list has been read.
    HostListRead(Vec<ListedHost>),
    /// A peer has sent the addresses of the hosts that it knows.
    PeerAddressesReceived(Vec<Ipv4Addr>),
    /// A peer has sent the rules that it has in force.
    RulesReceived(StoredRules),
    /// A peer has sent the placement that it has in force, or the store has accepted one.
    PlacementReceived(StoredPlacement),
    /// The rules have been read from the store; `None` if it holds none.
    RulesRead(Option<StoredRules>),
    /// The placement has been read from the store; `None` if it holds none.
    PlacementRead(Option<StoredPlacement>),
    /// All settled exceptions that a peer knows have been fetched and installed.
    AllExceptionsFetched {
        /// Address of the peer.
        peer: Ipv4Addr,
        /// Placement generation in force on the peer.
        generation: u64,
    },
    /// The settled exceptions of some buckets have been fetched from their owner and installed.
    BucketExceptionsFetched {
        /// Service to which the buckets belong.
        service: ServiceId,
        /// Placement generation in force on the owner.
        generation: u64,
        /// Buckets whose exceptions are concerned.
        buckets: Vec<BucketIndex>,
    },
    /// All traffic threads route by a snapshot of this placement and these rules, or a later one.
    SnapshotInstalled {
        /// Placement generation of the snapshot.
        generation: u64,
        /// Rules revision of the snapshot.
        rules_revision: u64,
    },
    /// Every live peer has been asked for the flow records that this host will own.
    RecordsFetched,
    /// The host has been asked to stop.
    LeaveRequested,
}

/// `ControllerOutput` is an action that the I/O layer must perform.
#[derive(Debug, Clone, PartialEq)]
pub enum ControllerOutput {
    /// Send a digest to peers.
    SendDigest {
        /// Addresses of the recipients.
        recipients: Vec<Ipv4Addr>,
        /// Digest to send.
        digest: HostDigest,
    },
    /// Fetch the configuration in force from a peer.
    FetchConfiguration(Ipv4Addr),
    /// Fetch all settled exceptions that a peer knows.
    FetchAllExceptions(Ipv4Addr),
    /// Fetch the settled exceptions of buckets from every host that keeps their records. A host that
    /// has just become owner may know a record only by way of its replica.
    FetchBucketExceptions {
        /// Owner and replica of the buckets, one of which may be the local host.
        keepers: Vec<RecordKeeper>,
        /// Service to which the buckets belong.
        service: ServiceId,
        /// Minimum placement generation of the answers.
        generation: u64,
        /// Buckets whose exceptions are concerned.
        buckets: Vec<BucketIndex>,
    },
    /// Fetch the flow records that this host will own from the peers with these addresses.
    FetchRecords(Vec<Ipv4Addr>),
    /// Read rules and placement from the store.
    ReadStore,
    /// Write a placement generation to the store if the store still holds its predecessor.
    WritePlacement(StoredPlacement),
    /// Write rules to the store again, which has lost them, if it still holds the revision
    /// `replaced_revision`; 0 stands for none.
    RestoreRules {
        /// Rules to write.
        rules: StoredRules,
        /// Revision that the store held when it was read.
        replaced_revision: u64,
    },
    /// Write a placement generation to the store again, which has lost it, if the store still holds
    /// an earlier one.
    RestorePlacement(StoredPlacement),
    /// Install a routing snapshot on the traffic threads.
    InstallSnapshot(Arc<RoutingSnapshot>),
    /// Tell the traffic threads at what time the tables were last confirmed to be up to date; zero
    /// revokes an earlier confirmation.
    SetTablesConfirmedAt(Duration),
    /// The handover is complete or has timed out, so the process may exit.
    Exit,
}

/// `RecordKeeper` is a host that keeps the records of a bucket, as its owner or replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordKeeper {
    /// Identity of the host.
    pub host: HostId,
    /// Address of the host.
    pub address: Ipv4Addr,
}
