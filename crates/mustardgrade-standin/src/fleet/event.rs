//! Events of a fleet's world.

use std::net::{Ipv4Addr, SocketAddrV4};

use mustardgrade_core::cookie::CookiePacket;
use mustardgrade_core::watch::{StoreCall, WatchInput};

use super::callers::{CallerEvent, FlowId};

/// `FleetEvent` is something that happens in the world.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum FleetEvent {
    /// A host's controller looks at the clock.
    ControllerTick { host: usize, incarnation: u64 },
    /// A host's router looks for what is missing and reports.
    RouterTick { host: usize, incarnation: u64 },
    /// A host receives something from another one.
    PeerInput { host: usize, incarnation: u64, input: Box<WatchInput> },
    /// A host's call reaches the store.
    StoreRequest { host: usize, incarnation: u64, call_id: u64, call: StoreCall },
    /// The store's answer to a call reaches the host.
    StoreResponse { host: usize, incarnation: u64, call_id: u64, input: Box<WatchInput> },
    /// A watch ends without an event.
    WatchTimeout { host: usize, incarnation: u64, call_id: u64 },
    /// A host asks another one for its state.
    ChangesRequest { host: usize, incarnation: u64, to: Ipv4Addr, after_revision: u64 },
    /// A caller's packet reaches a host.
    PacketAtHost { host: usize, incarnation: u64, flow: FlowId, packet: CookiePacket },
    /// A packet reaches an upstream's address.
    PacketAtUpstream { address: SocketAddrV4, flow: FlowId, packet: CookiePacket },
    /// An upstream has run a request.
    ServiceDone { upstream: usize, incarnation: u64, flow: FlowId },
    /// A caller hears something.
    CallerEvent { flow: FlowId, event: CallerEvent },
    /// A caller sends again what was sent `sent` times, unless it has been answered.
    RetransmitTimer { flow: FlowId, timer_id: u32 },
    /// A long flow's caller has its next request.
    NextRequest { caller: usize },
    /// A request for a flow of its own comes up.
    SingleRequestFlow,
    /// A scripted event.
    ScriptedAction(usize),
    /// An upstream of a service comes up at an address that another one has left.
    StartUpstream { service: usize, address: SocketAddrV4 },
    /// The process of a host that has left ends.
    ProcessExit { host: usize, incarnation: u64 },
    /// A host starts.
    StartHost { host: usize },
    /// A data centre is in touch again.
    PartitionEnd { data_centre: usize },
    /// The store works again.
    StoreFaultEnd,
    /// Figures of steady state start.
    WarmUpEnd,
    /// The fabric asks all hosts whether they are ready.
    HealthCheck,
}

impl FleetEvent {
    /// Returns the host, and its run, that must run for the event to happen.
    pub(super) fn required_incarnation(&self) -> Option<(usize, u64)> {
        match self {
            Self::ControllerTick { host, incarnation }
            | Self::RouterTick { host, incarnation }
            | Self::PeerInput { host, incarnation, .. }
            | Self::StoreResponse { host, incarnation, .. }
            | Self::ProcessExit { host, incarnation }
            | Self::PacketAtHost { host, incarnation, .. } => Some((*host, *incarnation)),
            _ => None,
        }
    }
}
