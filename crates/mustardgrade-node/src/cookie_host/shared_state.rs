//! State that the control thread and the traffic thread of a host share.

use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::Duration;

use arc_swap::ArcSwap;
use mustardgrade_core::cookie::{CookieSnapshot, LoadReport, PeerLoads};

use super::explanation_slot::ExplanationSlot;

/// `BuiltLoadReport` is a load report with the time of its building, from which its ages count.
#[derive(Debug, Clone, Default)]
pub(crate) struct BuiltLoadReport {
    pub(crate) report: LoadReport,
    pub(crate) built_at: Duration,
}

/// `SharedState` is shared by the control thread and the traffic thread.
#[derive(Debug, Default)]
pub(crate) struct SharedState {
    /// Routing snapshot built by the control thread.
    pub(crate) snapshot: ArcSwap<CookieSnapshot>,
    /// Combined load reports of the other hosts.
    pub(crate) peer_loads: ArcSwap<PeerLoads>,
    /// Latest load report of the traffic thread.
    pub(crate) load_report: ArcSwap<BuiltLoadReport>,
    /// Whether the traffic thread has to end.
    pub(crate) stop_requested: AtomicBool,
    /// Time of the last received datagram, in milliseconds of the host's clock.
    pub(crate) last_packet_ms: AtomicU64,
    /// When the registry was last confirmed to be current, in milliseconds of the host's clock; 0
    /// if it never was.
    pub(crate) registry_confirmed_ms: AtomicU64,
    /// Request for an explanation that the traffic thread has to answer.
    pub(super) explanations: ExplanationSlot,
}
