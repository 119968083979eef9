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
    Merge(Vec<ServiceList>),
    /// Records, and the end of a round of asking all peers.
    MergeLast(Vec<ServiceList>),
    /// All exceptions of a host as of a generation.
    Exceptions(Ipv4Addr, u64, Vec<ServiceList>),
    /// Settled exceptions, with what the controller is told then.
    Settled(Vec<ServiceList>, ControllerInput),
}

/// `ServiceList` lists records of one service.
pub(super) type ServiceList = (ServiceId, Vec<BindingRecord>);

/// `FlowHop` is a packet on its way from host to host.
#[derive(Debug)]
pub(super) struct FlowHop {
    pub(super) flow: u32,
    pub(super) attempt: u32,
    pub(super) packet: FlowPacket,
    pub(super) header: HopHeader,
    pub(super) from: usize,
}

/// `WorldEvent` is something that happens in a world.
#[derive(Debug)]
pub(super) enum WorldEvent {
    Tick { host: usize, run: u32 },
    Control { host: usize, run: u32, input: Box<ControllerInput> },
    Records { host: usize, run: u32, records: Box<RecordDelivery> },
    Notes { host: usize, run: u32, notes: Vec<BindingUpdate> },
    FlushNotes { host: usize, run: u32 },
    StoreRead { host: usize, run: u32 },
    StoreWrite { host: usize, run: u32, book: StoredPlacement },
    ListRead { host: usize, run: u32 },
    Send { flow: u32 },
    Hop { host: usize, run: u32, hop: Box<FlowHop> },
    Close { flow: u32 },
    OpenFlows,
    Action(usize),
    Wake { host: usize },
    Heal { data_centre: DataCentreId },
    StoreWorks,
    FabricForgets { host: usize },
    Sample,
    StartRequest,
    ResendRequest { request: u32, message: u32 },
    RequestOverdue { request: u32 },
    RequestTick { host: usize, run: u32 },
    Request { host: usize, run: u32, input: Box<RequestInput> },
    Reply { request: u32, message: u32, reply: Box<CallerReply> },
    Serve { upstream: UpstreamId, exchange: u64, host: usize, content: Vec<u8> },
    Served { upstream: UpstreamId, exchange: u64, host: usize, content: Vec<u8> },
}

impl WorldEvent {
    /// Returns the host that must run for the event to happen.
    pub(super) fn host(&self) -> Option<usize> {
        match self {
            Self::Tick { host, .. }
            | Self::Control { host, .. }
            | Self::Records { host, .. }
            | Self::Notes { host, .. }
            | Self::FlushNotes { host, .. }
            | Self::StoreRead { host, .. }
            | Self::ListRead { host, .. }
            | Self::Hop { host, .. }
            | Self::RequestTick { host, .. }
            | Self::Request { host, .. } => Some(*host),
            Self::StoreWrite { .. }
            | Self::Send { .. }
            | Self::Close { .. }
            | Self::OpenFlows
            | Self::Action(_)
            | Self::Wake { .. }
            | Self::Heal { .. }
            | Self::StoreWorks
            | Self::FabricForgets { .. }
            | Self::Sample
            | Self::StartRequest
            | Self::ResendRequest { .. }
            | Self::RequestOverdue { .. }
            | Self::Reply { .. }
            | Self::Serve { .. }
            | Self::Served { .. } => None,
        }
    }
}
