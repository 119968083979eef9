//! What a cookie router counts.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `CookieDropCause` says why a packet was dropped.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CookieDropCause {
    /// The host does not know routes and upstreams yet.
    #[display("not_loaded")]
    NotLoaded,
    /// No route has the packet's address.
    #[display("unknown_route")]
    UnknownRoute,
    /// No known upstream has the packet's cookie.
    #[display("unknown_cookie")]
    UnknownCookie,
    /// The cookie names an upstream of a service that the route never led to.
    #[display("foreign_cookie")]
    ForeignCookie,
    /// The upstream is silent or gone, and a reset would not help the caller.
    #[display("unreachable")]
    Unreachable,
}

/// `ResetCause` says why a caller got a reset.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResetCause {
    /// No upstream can take the new flow: nothing ran.
    #[display("no_upstream")]
    NoUpstream,
    /// Every upstream has too much to do for the new flow: nothing ran.
    #[display("no_room")]
    NoRoom,
    /// No route has the address of the new flow: nothing ran.
    #[display("no_route")]
    NoRoute,
    /// A manifest dropped the route of the open flow.
    #[display("route_dropped")]
    RouteDropped,
    /// The upstream of the open flow is gone.
    #[display("upstream_gone")]
    UpstreamGone,
    /// The upstream of the open flow is silent on every flow.
    #[display("upstream_silent")]
    UpstreamSilent,
}

/// `CookieCounters` are the totals of a cookie router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CookieCounters {
    /// Packets sent on to an upstream.
    pub packets_forwarded: u64,
    /// New flows given an upstream.
    pub flows_opened: u64,
    /// Copies of openings that went to another upstream than the first one.
    pub openings_redirected: u64,
    /// New flows that went to a cold upstream.
    pub flows_opened_cold: u64,
    /// New flows that went to another data centre.
    pub flows_spilled: u64,
    /// New flows refused.
    pub flows_refused: u64,
    /// Open flows reset.
    pub flows_reset: u64,
    /// Packets dropped.
    pub packets_dropped: u64,
    /// Times that an upstream was taken for silent.
    pub suspicions_raised: u64,
    /// Times that another data centre was taken for cut off.
    pub data_centre_outages: u64,
}
