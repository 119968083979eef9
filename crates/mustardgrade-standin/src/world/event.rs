//! Events of the simulation.

use std::net::Ipv4Addr;

use mustardgrade_core::flow::{BindingRecord, BindingUpdate, FlowPacket, HopHeader};
use mustardgrade_core::identity::{DataCentreId, ServiceId, UpstreamId};
use mustardgrade_core::membership::{ControllerInput, StoredPlacement, StoredRules};
use mustardgrade_core::request::{CallerReply, RequestInput};

/// `RecordDelivery` holds the flow records that one or more calls between hosts carry.
#[derive(Debug)]
pub(super) enum RecordDelivery {
    /// Records that the receiving host owns or will own, sent to a host that joins an owner chain.
    OwnedRecords(Vec<ServiceRecords>),
    /// Records that the receiving host owns or will own, fetched from all peers; they complete the
    /// fetch.
    AllOwnedRecords(Vec<ServiceRecords>),
    /// All exceptions that the peer with this address knows, as of this placement generation.
    AllExceptions(Ipv4Addr, u64, Vec<ServiceRecords>),
    /// Settled exceptions of some buckets, with the controller input that reports their
    /// installation.
    BucketExceptions(Vec<ServiceRecords>, ControllerInput),
}

/// `TrafficThreadWork` is what a traffic thread does for the controller of its host.
#[derive(Debug)]
pub(super) enum TrafficThreadWork {
    /// Takes over the latest routing snapshot.
    TakeSnapshot,
    /// Installs settled exceptions, and reports them to the controller by this input.
    InstallExceptions(Vec<ServiceRecords>, ControllerInput),
}

/// `StoreRepair` is a value that the store has lost and a host writes again.
#[derive(Debug)]
pub(super) enum StoreRepair {
    /// Rules, to be written if the store still holds the revision `replaced_revision`.
    Rules { rules: StoredRules, replaced_revision: u64 },
    /// A placement, to be written if the store still holds an earlier one.
    Placement(StoredPlacement),
}

/// `ServiceRecords` holds the flow records of one service.
pub(super) type ServiceRecords = (ServiceId, Vec<BindingRecord>);

/// `ForwardedPacket` is a flow packet in transit from one host to another.
#[derive(Debug)]
pub(super) struct ForwardedPacket {
    pub(super) flow: u32,
    /// Number of the transmission; if the receiving host has ended, the caller retransmits only if
    /// it has made no later transmission.
    pub(super) send_number: u32,
    pub(super) packet: FlowPacket,
    pub(super) header: HopHeader,
    pub(super) from_host: usize,
}

/// `SimulationEvent` is an event in the queue of the simulation.
///
/// `run_id` identifies a process of the host. An event that this process would handle is discarded
/// if the process has ended; a write that has been sent still takes effect in the store.
#[derive(Debug)]
pub(super) enum SimulationEvent {
    /// The periodic timer of a host's controller fires.
    ControllerTick { host: usize, run_id: u32 },
    /// A message or the reply to a call reaches the controller of a host.
    ControllerInput { host: usize, run_id: u32, input: Box<ControllerInput> },
    /// Flow records reach a host.
    RecordsReceived { host: usize, run_id: u32, records: Box<RecordDelivery> },
    /// The traffic threads of a host carry out what its controller has decided.
    TrafficThreadRuns { host: usize, run_id: u32, work: Box<TrafficThreadWork> },
    /// Flow binding updates reach a host.
    UpdatesReceived { host: usize, run_id: u32, updates: Vec<BindingUpdate> },
    /// A host sends its queued flow binding updates.
    FlushUpdates { host: usize, run_id: u32 },
    /// A host receives the result of a store read or watch.
    StoreReadCompleted { host: usize, run_id: u32 },
    /// A placement write reaches the store.
    StoreWriteReceived { host: usize, run_id: u32, placement: StoredPlacement },
    /// A value that a host writes back reaches the store.
    StoreRepairReceived { host: usize, repair: Box<StoreRepair> },
    /// A host receives the platform's host list.
    HostListReadCompleted { host: usize, run_id: u32 },
    /// A caller sends or retransmits a segment of a flow.
    SendSegment { flow: u32 },
    /// A flow packet that another host forwarded reaches a host.
    ForwardedPacketReceived { host: usize, run_id: u32, forwarded: Box<ForwardedPacket> },
    /// A caller closes a flow.
    CloseFlow { flow: u32 },
    /// Callers open the new flows of one interval.
    OpenNewFlows,
    /// The scripted event with this index takes place.
    ScriptedAction(usize),
    /// The pause of a host ends.
    ResumeHost { host: usize },
    /// The isolation of a data centre ends.
    ReconnectDataCentre { data_centre: DataCentreId },
    /// The fault of the store ends.
    ClearStoreFault,
    /// The fabric removes a host from its rotation and sends it no more packets.
    RemoveFromRotation { host: usize },
    /// The periodic sampling of figures is due.
    TakeSample,
    /// A caller starts a request.
    StartRequest,
    /// A caller retransmits a request unless it has a final reply or has changed its message ID.
    RetransmitRequest { request: u32, message_id: u32 },
    /// A caller stops waiting for the final reply to a request.
    CallerTimeout { request: u32 },
    /// The periodic timer of a host's request router fires.
    RequestRouterTick { host: usize, run_id: u32 },
    /// A message reaches the request router of a host.
    RequestRouterInput { host: usize, run_id: u32, input: Box<RequestInput> },
    /// A reply to a request reaches its caller.
    CallerReplyReceived { request: u32, message_id: u32, reply: Box<CallerReply> },
    /// A request that `host` dispatched reaches an upstream.
    UpstreamRequestReceived {
        upstream: UpstreamId,
        exchange_id: u64,
        host: usize,
        encoded_request: Vec<u8>,
    },
    /// An upstream completes a request that `host` dispatched.
    UpstreamRequestCompleted {
        upstream: UpstreamId,
        exchange_id: u64,
        host: usize,
        encoded_request: Vec<u8>,
    },
}

impl SimulationEvent {
    /// Returns the host whose process handles the event, or `None` if no process of a host does.
    ///
    /// Events of a paused host are deferred until it resumes.
    pub(super) fn handling_host(&self) -> Option<usize> {
        match self {
            Self::ControllerTick { host, .. }
            | Self::ControllerInput { host, .. }
            | Self::RecordsReceived { host, .. }
            | Self::TrafficThreadRuns { host, .. }
            | Self::UpdatesReceived { host, .. }
            | Self::FlushUpdates { host, .. }
            | Self::StoreReadCompleted { host, .. }
            | Self::HostListReadCompleted { host, .. }
            | Self::ForwardedPacketReceived { host, .. }
            | Self::RequestRouterTick { host, .. }
            | Self::RequestRouterInput { host, .. } => Some(*host),
            Self::StoreWriteReceived { .. }
            | Self::StoreRepairReceived { .. }
            | Self::SendSegment { .. }
            | Self::CloseFlow { .. }
            | Self::OpenNewFlows
            | Self::ScriptedAction(_)
            | Self::ResumeHost { .. }
            | Self::ReconnectDataCentre { .. }
            | Self::ClearStoreFault
            | Self::RemoveFromRotation { .. }
            | Self::TakeSample
            | Self::StartRequest
            | Self::RetransmitRequest { .. }
            | Self::CallerTimeout { .. }
            | Self::CallerReplyReceived { .. }
            | Self::UpstreamRequestReceived { .. }
            | Self::UpstreamRequestCompleted { .. } => None,
        }
    }
}
