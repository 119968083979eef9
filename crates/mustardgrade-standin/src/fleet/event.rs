//! Events of a fleet's world.

use std::net::{Ipv4Addr, SocketAddrV4};

use mustardgrade_core::cookie::CookiePacket;
use mustardgrade_core::watch::{StoreCall, WatchInput};

use super::callers::{CallerWord, FlowRun};

/// `FleetEvent` is something that happens in the world.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum FleetEvent {
    /// A host's controller looks at the clock.
    Tick { host: usize, run: u64 },
    /// A host's router looks for what is missing and reports.
    Look { host: usize, run: u64 },
    /// A host receives something from another one.
    Input { host: usize, run: u64, input: Box<WatchInput> },
    /// A host's call reaches the store.
    Call { host: usize, run: u64, call: u64, kind: StoreCall },
    /// The store's answer to a call reaches the host.
    Answer { host: usize, run: u64, call: u64, input: Box<WatchInput> },
    /// A watch ends without an event.
    WatchEnds { host: usize, run: u64, call: u64 },
    /// A host asks another one for its state.
    Ask { host: usize, run: u64, to: Ipv4Addr, after: u64 },
    /// A caller's packet reaches a host.
    Packet { host: usize, run: u64, flow: FlowRun, packet: CookiePacket },
    /// A packet reaches an upstream's address.
    Arrive { address: SocketAddrV4, flow: FlowRun, packet: CookiePacket },
    /// An upstream has run a request.
    Served { server: usize, run: u64, flow: FlowRun },
    /// A caller hears something.
    Caller { flow: FlowRun, word: CallerWord },
    /// A caller sends again what was sent `sent` times, unless it has been answered.
    Resend { flow: FlowRun, sent: u32 },
    /// A long flow's caller has its next request.
    NextRequest { flow: usize },
    /// A request for a flow of its own comes up.
    OpenRequest,
    /// A scripted event.
    Action(usize),
    /// An upstream of a service comes up at an address that another one has left.
    ComeUp { service: usize, address: SocketAddrV4 },
    /// The process of a host that has left ends.
    End { host: usize, run: u64 },
    /// A host starts.
    Start { host: usize },
    /// A data centre is in touch again.
    Heal { data_centre: usize },
    /// The store works again.
    StoreWorks,
    /// Figures of steady state start.
    WarmedUp,
    /// The fabric asks all hosts whether they are ready.
    Poll,
}

impl FleetEvent {
    /// Returns the host, and its run, that must run for the event to happen.
    pub(super) fn host(&self) -> Option<(usize, u64)> {
        match self {
            Self::Tick { host, run }
            | Self::Look { host, run }
            | Self::Input { host, run, .. }
            | Self::Answer { host, run, .. }
            | Self::End { host, run }
            | Self::Packet { host, run, .. } => Some((*host, *run)),
            _ => None,
        }
    }
}
