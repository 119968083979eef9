//! Events of the fleet simulation.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use mustardgrade_core::cookie::{CookiePacket, FlowCookie, ResetCause};
use mustardgrade_core::registry::StorePosition;
use mustardgrade_core::watch::{RouteServicesWrite, StoreCall, WatchInput};

use super::store::StoreWrite;

/// `FlowId` identifies one of the successive flows of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct FlowId {
    pub(super) caller: usize,
    pub(super) flow_number: u32,
}

/// `CallerEvent` is a response or a reset that a caller receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallerEvent {
    /// An upstream has accepted the flow.
    FlowAccepted { upstream: usize, incarnation: u64, cookie: FlowCookie },
    /// The upstream has answered the request.
    Answered,
    /// The upstream has rejected the request because its queue is full.
    RequestShed,
    /// A host has reset the flow.
    HostReset(ResetCause),
    /// An upstream has reset the flow because it does not know it.
    UpstreamReset { upstream: usize, incarnation: u64 },
}

/// `FleetEvent` is an event that takes effect at a scheduled time.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum FleetEvent {
    /// Periodic tick of a host's controller.
    ControllerTick { host: usize, incarnation: u64 },
    /// Periodic tick of a host's router, which processes its timeouts and reports its load.
    RouterTick { host: usize, incarnation: u64 },
    /// A message or a batch of changes from another host arrives.
    PeerInput { host: usize, incarnation: u64, input: Box<WatchInput> },
    /// A host has spent the processor time that it needs for an event.
    Processed { host: usize, incarnation: u64, event: Box<FleetEvent> },
    /// A host's call arrives at the store.
    StoreRequest { host: usize, incarnation: u64, call_id: u64, call: StoreCall },
    /// A host's conditional write arrives at the store.
    StoreWriteRequest { host: usize, incarnation: u64, write: Box<RouteServicesWrite> },
    /// The result of a store call arrives at the host.
    StoreResponse { host: usize, incarnation: u64, call_id: u64, input: Box<WatchInput> },
    /// A watch has reached its maximum wait without a change.
    WatchTimeout { host: usize, incarnation: u64, call_id: u64 },
    /// A host's request for the registry changes after a position arrives at its peer.
    ChangesRequest { host: usize, incarnation: u64, to: Ipv4Addr, after: StorePosition },
    /// A packet from a caller arrives at a host.
    PacketAtHost { host: usize, incarnation: u64, flow: FlowId, packet: CookiePacket },
    /// A packet from a host arrives at the address of an upstream.
    PacketAtUpstream { address: SocketAddrV4, flow: FlowId, packet: CookiePacket },
    /// An upstream has finished a request.
    ServiceDone { upstream: usize, incarnation: u64, flow: FlowId },
    /// A response or a reset arrives at a caller.
    CallerEvent { flow: FlowId, event: CallerEvent },
    /// A caller's retransmission timer expires; ignored unless `timer_id` is that of the caller's
    /// current timer.
    RetransmitTimer { flow: FlowId, timer_id: u32 },
    /// A caller that keeps its flow open starts its next request.
    NextRequest { caller: usize },
    /// A new caller opens a flow for a single request.
    SingleRequestFlow,
    /// The event at this index of the scenario occurs.
    ScriptedAction(usize),
    /// A new upstream starts at an address that another upstream used before.
    StartUpstream { service: usize, address: SocketAddrV4 },
    /// The process of a host exits after a graceful stop.
    ProcessExit { host: usize, incarnation: u64 },
    /// A host starts again after a power loss.
    StartHost { host: usize },
    /// The partition that isolated a data centre ends.
    PartitionEnd { data_centre: usize },
    /// A fault of the store ends.
    StoreFaultEnd,
    /// The warm-up ends; rates are measured from here on.
    WarmUpEnd,
    /// The store returns from a copy of its state at an earlier time.
    StoreRestored { copied_at: Duration },
    /// A writer repeats a write that the store has lost.
    LostWriteRepeated { write: Box<StoreWrite> },
    /// The fabric checks the health of all hosts.
    HealthCheck,
}

impl FleetEvent {
    /// Returns the host and its incarnation if the event is void once that incarnation has ended.
    pub(super) fn required_incarnation(&self) -> Option<(usize, u64)> {
        match self {
            Self::ControllerTick { host, incarnation }
            | Self::Processed { host, incarnation, .. }
            | Self::RouterTick { host, incarnation }
            | Self::PeerInput { host, incarnation, .. }
            | Self::StoreResponse { host, incarnation, .. }
            | Self::ProcessExit { host, incarnation }
            | Self::PacketAtHost { host, incarnation, .. } => Some((*host, *incarnation)),
            _ => None,
        }
    }
}
