//! Packets, verdicts and events of a cookie router.

use std::net::SocketAddrV4;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::counters::{CookieDropCause, ResetCause};
use super::ended_runs::WithdrawalCause;
use super::flow_cookie::FlowCookie;
use crate::flow::{FlowKey, FlowPacket};
use crate::identity::{DataCentreId, ServiceId};
use crate::pace::{RampCause, UpstreamPhase};
use crate::registry::StorePosition;

/// `CookiePacket` is a TCP segment from a caller together with its cookie.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CookiePacket {
    /// The parts of the segment that routing needs.
    pub segment: FlowPacket,
    /// The last cookie that the caller received on the flow, or [`FlowCookie::NONE`].
    pub cookie: FlowCookie,
}

/// `CookieVerdict` is the routing decision for a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CookieVerdict {
    /// Forward the packet to an upstream.
    Forward {
        /// Index of the upstream in the installed snapshot.
        index: usize,
        /// The cookie to write into the packet.
        cookie: FlowCookie,
    },
    /// Send a reset to the caller.
    Reset(ResetCause),
    /// Drop the packet without an answer.
    Drop(CookieDropCause),
}

/// `AnswerStage` is the kind of packet that an upstream has answered.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerStage {
    /// An opening (SYN).
    #[display("opening")]
    Opening,
    /// A request on an open flow.
    #[display("request")]
    Request,
}

/// `FlowEvent` is a decision or an observation to be logged, or a latency to be recorded in a
/// histogram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowEvent {
    /// An opening was assigned to an upstream; a redirected one is reported again.
    Opened {
        /// Addresses of the flow.
        key: FlowKey,
        /// Cookie of the chosen upstream.
        cookie: FlowCookie,
        /// Requests and openings in flight at that upstream before this flow.
        in_flight: u32,
        /// How often the opening had been retransmitted; 0 for the first transmission.
        retransmission: u32,
        /// Whether the upstream is cold.
        cold: bool,
        /// Whether the upstream is in another data centre.
        spilled: bool,
    },
    /// A retransmitted opening was sent to a different upstream than the original.
    Redirected {
        /// Addresses of the flow.
        key: FlowKey,
        /// Cookie of the previous upstream.
        from: FlowCookie,
        /// Cookie of the new upstream.
        to: FlowCookie,
    },
    /// Packets of an open flow carry the cookie of an upstream other than the one that holds it.
    CookieCorrected {
        /// Addresses of the flow.
        key: FlowKey,
        /// Cookie of the packets.
        from: FlowCookie,
        /// Cookie of the upstream that holds the flow.
        to: FlowCookie,
    },
    /// A reset was sent to a caller.
    Reset {
        /// Addresses of the flow.
        key: FlowKey,
        /// Cookie of the caller's packet, [`FlowCookie::NONE`] if it had none.
        cookie: FlowCookie,
        /// Reason for the reset.
        cause: ResetCause,
    },
    /// An upstream has become suspected because its flows are not answered.
    Suspected {
        /// Cookie of the upstream.
        cookie: FlowCookie,
        /// Unanswered flows since it was last known to be alive.
        unanswered_flows: u32,
        /// Time since it was last known to be alive.
        silence: Duration,
    },
    /// A suspected upstream has answered again.
    Recovered {
        /// Cookie of the upstream.
        cookie: FlowCookie,
    },
    /// A run of an upstream has provably ended; its open flows are reset.
    UpstreamEnded {
        /// Cookie of the ended run.
        cookie: FlowCookie,
        /// Cookie of the run that has its address now.
        successor: FlowCookie,
        /// Position at or after which the successor first registered.
        position: StorePosition,
        /// Open flows of the ended run that this host has observed.
        open_flows: u32,
    },
    /// The proof that a run of an upstream has ended does not hold any more.
    EndWithdrawn {
        /// Cookie of the run.
        cookie: FlowCookie,
        /// Cookie of the run that has its address.
        successor: FlowCookie,
        /// Reason for the withdrawal.
        cause: WithdrawalCause,
    },
    /// The slow start of an upstream has begun.
    RampBegun {
        /// Cookie of the upstream.
        cookie: FlowCookie,
        /// Why it has begun.
        cause: RampCause,
    },
    /// The slow start of an upstream has ended.
    RampEnded {
        /// Cookie of the upstream.
        cookie: FlowCookie,
        /// Time since it began.
        duration: Duration,
        /// Phase of the upstream, which is serving unless the slow start was cut short.
        phase: UpstreamPhase,
    },
    /// An upstream has become slow compared with the others of its service, or no longer is.
    SpeedChanged {
        /// Cookie of the upstream.
        cookie: FlowCookie,
        /// Whether it is slow now.
        is_slow: bool,
        /// Its answer time in percent of that of the median upstream.
        answer_time_percent: u32,
    },
    /// An upstream gets no openings from now on since it fails more of its requests than the others.
    Ejected {
        /// Cookie of the upstream.
        cookie: FlowCookie,
        /// Requests of the last seconds that failed.
        failed: u32,
        /// Requests of the last seconds with a certain outcome.
        observed: u32,
        /// Failed share of the same routes at the others, in percent.
        expected_percent: u32,
        /// Time until its probation.
        hold: Duration,
    },
    /// An ejected upstream gets openings again.
    Readmitted {
        /// Cookie of the upstream.
        cookie: FlowCookie,
        /// Requests of the last seconds that failed.
        failed: u32,
        /// Requests of the last seconds with a certain outcome.
        observed: u32,
        /// Time since it was ejected.
        ejected_for: Duration,
    },
    /// Another data centre has been declared unreachable from this host.
    DataCentreUnreachable {
        /// Identifier of the data centre.
        data_centre: DataCentreId,
        /// Number of its upstreams with unanswered flows since any of them last answered.
        silent_upstreams: u32,
        /// Time since any of its upstreams last answered.
        silence: Duration,
    },
    /// An upstream of an unreachable data centre has answered again.
    DataCentreReachable {
        /// Identifier of the data centre.
        data_centre: DataCentreId,
    },
    /// Openings of a route have begun to go to another backend than the weights select.
    SpilloverBegan {
        /// Address of the route.
        route: SocketAddrV4,
    },
    /// No opening of a route has gone to another backend for a while.
    SpilloverEnded {
        /// Address of the route.
        route: SocketAddrV4,
        /// Openings moved since the spillover began.
        moved: u64,
    },
    /// An opening was assigned to another backend than the weights select.
    OpeningMoved {
        /// Address of the route.
        route: SocketAddrV4,
    },
    /// A caller has acknowledged the answer of its upstream.
    Answered {
        /// Addresses of the flow.
        key: FlowKey,
        /// Kind of packet that was answered.
        stage: AnswerStage,
        /// Time from the answered packet to the acknowledgement, both as seen by this host.
        latency: Duration,
    },
    /// Admission control of a service begins or ends to refuse openings.
    AdmissionChanged {
        /// Service whose upstreams cannot serve all requests.
        service: ServiceId,
        /// Whether openings are refused from now on.
        is_limiting: bool,
        /// Openings that were refused until it ended.
        refused: u64,
    },
    /// A packet was dropped.
    Dropped {
        /// Addresses of the flow.
        key: FlowKey,
        /// Cookie of the packet.
        cookie: FlowCookie,
        /// Reason for the drop.
        cause: CookieDropCause,
    },
}
