//! Events of a world.

use std::net::Ipv4Addr;

use mustardgrade_core::flow::{BindingRecord, BindingUpdate, FlowPacket, HopHeader};
use mustardgrade_core::identity::{DataCentreId, ServiceId, UpstreamId};
use mustardgrade_core::membership::{ControllerInput, StoredPlacement};
use mustardgrade_core::request::{CallerReply, RequestInput};

/// `RecordDelivery` is what a host receives by a call.
#[derive(Debug)]
pub(super) enum RecordDelivery {
    /// Records that the host owns or will own.
    OwnedRecords(Vec<ServiceRecords>),
    /// Records, and the end of a round of asking all peers.
    AllOwnedRecords(Vec<ServiceRecords>),
    /// All exceptions of a host as of a generation.
    AllExceptions(Ipv4Addr, u64, Vec<ServiceRecords>),
    /// Settled exceptions, with what the controller is told then.
    BucketExceptions(Vec<ServiceRecords>, ControllerInput),
}

/// `ServiceList` lists records of one service.
pub(super) type ServiceRecords = (ServiceId, Vec<BindingRecord>);

/// `FlowHop` is a packet on its way from host to host.
#[derive(Debug)]
pub(super) struct ForwardedPacket {
    pub(super) flow: u32,
    pub(super) send_number: u32,
    pub(super) packet: FlowPacket,
    pub(super) header: HopHeader,
    pub(super) from_host: usize,
}

/// `WorldEvent` is something that happens in a world.
#[derive(Debug)]
pub(super) enum SimulationEvent {
    ControllerTick {
        host: usize,
        run_id: u32,
    },
    ControllerInput {
        host: usize,
        run_id: u32,
        input: Box<ControllerInput>,
    },
    RecordsReceived {
        host: usize,
        run_id: u32,
        records: Box<RecordDelivery>,
    },
    UpdatesReceived {
        host: usize,
        run_id: u32,
        updates: Vec<BindingUpdate>,
    },
    FlushUpdates {
        host: usize,
        run_id: u32,
    },
    StoreReadCompleted {
        host: usize,
        run_id: u32,
    },
    StoreWriteReceived {
        host: usize,
        run_id: u32,
        placement: StoredPlacement,
    },
    HostListReadCompleted {
        host: usize,
        run_id: u32,
    },
    SendSegment {
        flow: u32,
    },
    ForwardedPacketReceived {
        host: usize,
        run_id: u32,
        forwarded: Box<ForwardedPacket>,
    },
    CloseFlow {
        flow: u32,
    },
    OpenNewFlows,
    ScriptedAction(usize),
    ResumeHost {
        host: usize,
    },
    ReconnectDataCentre {
        data_centre: DataCentreId,
    },
    ClearStoreFault,
    RemoveFromFabric {
        host: usize,
    },
    TakeSample,
    StartRequest,
    RetransmitRequest {
        request: u32,
        message_id: u32,
    },
    CallerTimeout {
        request: u32,
    },
    RequestRouterTick {
        host: usize,
        run_id: u32,
    },
    RequestRouterInput {
        host: usize,
        run_id: u32,
        input: Box<RequestInput>,
    },
    CallerReplyReceived {
        request: u32,
        message_id: u32,
        reply: Box<CallerReply>,
    },
    UpstreamRequestReceived {
        upstream: UpstreamId,
        exchange_id: u64,
        host: usize,
        encoded_request: Vec<u8>,
    },
    UpstreamRequestCompleted {
        upstream: UpstreamId,
        exchange_id: u64,
        host: usize,
        encoded_request: Vec<u8>,
    },
}

impl SimulationEvent {
    /// Returns the host that must run for the event to happen.
    pub(super) fn handling_host(&self) -> Option<usize> {
        match self {
            Self::ControllerTick { host, .. }
            | Self::ControllerInput { host, .. }
            | Self::RecordsReceived { host, .. }
            | Self::UpdatesReceived { host, .. }
            | Self::FlushUpdates { host, .. }
            | Self::StoreReadCompleted { host, .. }
            | Self::HostListReadCompleted { host, .. }
            | Self::ForwardedPacketReceived { host, .. }
            | Self::RequestRouterTick { host, .. }
            | Self::RequestRouterInput { host, .. } => Some(*host),
            Self::StoreWriteReceived { .. }
            | Self::SendSegment { .. }
            | Self::CloseFlow { .. }
            | Self::OpenNewFlows
            | Self::ScriptedAction(_)
            | Self::ResumeHost { .. }
            | Self::ReconnectDataCentre { .. }
            | Self::ClearStoreFault
            | Self::RemoveFromFabric { .. }
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
