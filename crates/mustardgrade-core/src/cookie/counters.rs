//! Counters of a cookie router, and the causes of dropped packets and resets.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::outliers::OutlierCounters;
use crate::pace::PaceCounters;

/// `CookieDropCause` is the reason why a packet was dropped.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CookieDropCause {
    /// The host has not loaded a snapshot of routes and upstreams yet.
    #[display("not_loaded")]
    NotLoaded,
    /// No route matches the packet's destination address.
    #[display("unknown_route")]
    UnknownRoute,
    /// The cookie does not identify a known upstream.
    #[display("unknown_cookie")]
    UnknownCookie,
    /// The cookie identifies an upstream of a service that was never a backend of the route.
    #[display("foreign_cookie")]
    ForeignCookie,
    /// The opening cannot be forwarded, but another transmission of it may have opened the flow.
    #[display("may_be_open")]
    MayBeOpen,
    /// The opening arrived after packets of the flow that it has opened.
    #[display("already_open")]
    AlreadyOpen,
    /// The opening has waited for too long at this host, which receives more than it can route.
    #[display("overloaded")]
    Overloaded,
}

/// `ResetCause` is the reason why a reset was sent to a caller.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResetCause {
    /// No upstream accepts the new flow; no request was run.
    #[display("no_upstream")]
    NoUpstream,
    /// All upstreams are overloaded; no request was run.
    #[display("no_room")]
    NoRoom,
    /// No route matches the address of the new flow; no request was run.
    #[display("no_route")]
    NoRoute,
    /// A manifest removed the route of the open flow.
    #[display("route_dropped")]
    RouteDropped,
    /// The upstream of the open flow has provably ended.
    #[display("upstream_ended")]
    UpstreamEnded,
}

impl ResetCause {
    /// All causes, in the order of declaration, by which the counters are indexed.
    pub const ALL: [Self; 5] =
        [Self::NoUpstream, Self::NoRoom, Self::NoRoute, Self::RouteDropped, Self::UpstreamEnded];

    /// Returns whether resets of this cause end open flows; the others refuse openings.
    #[must_use]
    pub fn ends_open_flow(self) -> bool {
        match self {
            Self::NoUpstream | Self::NoRoom | Self::NoRoute => false,
            Self::RouteDropped | Self::UpstreamEnded => true,
        }
    }
}

/// Number of priorities that are counted apart; the last one includes all less urgent ones.
pub const PRIORITY_GROUPS: usize = 4;

/// `CookieCounters` are the monotonic counters of a cookie router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CookieCounters {
    /// Packets forwarded to an upstream.
    pub packets_forwarded: u64,
    /// Openings assigned to an upstream, redirected ones included.
    pub flows_opened: u64,
    /// Retransmitted openings that were sent to a different upstream than the original.
    pub openings_redirected: u64,
    /// Packets of open flows sent to the upstream that holds the flow, not to that of their cookie.
    pub cookies_corrected: u64,
    /// Unanswered openings that are no evidence against their upstream, since they were delayed at
    /// this host itself.
    pub openings_delayed: u64,
    /// Packets that may have waited at this host for so long that their callers have turned to
    /// another one.
    pub packets_delayed: u64,
    /// Openings dropped since they had waited at this host for too long.
    pub openings_shed: u64,
    /// Openings assigned to a cold upstream.
    pub flows_opened_cold: u64,
    /// Openings assigned to an upstream in another data centre.
    pub flows_spilled: u64,
    /// Openings assigned to another backend of their route than the weights select.
    pub openings_moved: u64,
    /// Openings answered with a reset.
    pub flows_refused: u64,
    /// Resets sent on packets of open flows.
    pub flows_reset: u64,
    /// Resets sent, by cause in the order of [`ResetCause::ALL`].
    pub resets_sent: [u64; ResetCause::ALL.len()],
    /// Openings found to have no room at any upstream, by priority.
    pub no_room_by_priority: [u64; PRIORITY_GROUPS],
    /// Openings assigned to an upstream, by priority as above.
    pub opened_by_priority: [u64; PRIORITY_GROUPS],
    /// Packets dropped without an answer to the caller.
    pub packets_dropped: u64,
    /// Number of times an upstream became suspected because of unanswered flows.
    pub suspicions_raised: u64,
    /// Number of times an upstream became slow compared with the others of its service.
    pub slow_upstreams: u64,
    /// Number of times another data centre was declared unreachable.
    pub data_centre_outages: u64,
    /// Runs of upstreams whose open flows were reset, since they have provably ended.
    pub runs_ended: u64,
    /// Such proofs that did not hold any more.
    pub proofs_withdrawn: u64,
    /// Slow starts of upstreams.
    pub pace: PaceCounters,
    /// Ejections of upstreams and the outcomes of requests.
    pub outliers: OutlierCounters,
}

impl CookieCounters {
    /// Counts one reset sent for `cause`.
    pub fn count_reset(&mut self, cause: ResetCause) {
        self.resets_sent[cause as usize] += 1;
        match cause.ends_open_flow() {
            true => self.flows_reset += 1,
            false => self.flows_refused += 1,
        }
    }

    /// Counts one opening of `priority`, for which an upstream had room or not.
    pub fn count_opening(&mut self, priority: u32, has_room: bool) {
        let counts = match has_room {
            true => &mut self.opened_by_priority,
            false => &mut self.no_room_by_priority,
        };
        counts[(priority as usize).min(PRIORITY_GROUPS - 1)] += 1;
    }

    /// Returns the number of resets sent for `cause`.
    #[must_use]
    pub fn resets_for(&self, cause: ResetCause) -> u64 {
        self.resets_sent[cause as usize]
    }
}
