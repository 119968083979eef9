//! What goes into a cookie router and what comes out.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::counters::{CookieDropCause, ResetCause};
use super::flow_cookie::FlowCookie;
use crate::flow::{FlowKey, FlowPacket};
use crate::identity::DataCentreId;

/// `CookiePacket` is a caller's segment with the cookie that it carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CookiePacket {
    /// The segment.
    pub segment: FlowPacket,
    /// The last cookie that the caller received on the flow.
    pub cookie: FlowCookie,
}

/// `CookieVerdict` says what becomes of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CookieVerdict {
    /// The packet goes to an upstream, with a cookie.
    Forward {
        /// Position of the upstream in the snapshot in force.
        index: usize,
        /// The cookie to write.
        cookie: FlowCookie,
    },
    /// The caller gets a reset.
    Reset(ResetCause),
    /// The packet is dropped and counted.
    Drop(CookieDropCause),
}

/// `AnswerStage` is what an upstream has answered.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerStage {
    /// The opening of a flow.
    #[display("opening")]
    Opening,
    /// A request on an open flow.
    #[display("request")]
    Request,
}

/// `FlowEvent` is a decision worth a line in the log, or a time worth a place in a histogram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowEvent {
    /// A new flow was given an upstream.
    Opened {
        /// The flow.
        key: FlowKey,
        /// Its upstream.
        cookie: FlowCookie,
        /// Work in hand there, before.
        in_flight: u32,
        /// Number of the copy of the opening.
        retransmission: u32,
        /// Whether the upstream is cold.
        cold: bool,
        /// Whether it stands in another data centre.
        spilled: bool,
    },
    /// A copy of an opening went to another upstream than the first one.
    Redirected {
        /// The flow.
        key: FlowKey,
        /// The first upstream.
        from: FlowCookie,
        /// The new one.
        to: FlowCookie,
    },
    /// A caller got a reset.
    Reset {
        /// The flow.
        key: FlowKey,
        /// Its upstream, if any.
        cookie: FlowCookie,
        /// Why.
        cause: ResetCause,
    },
    /// An upstream is taken for silent.
    Suspected {
        /// The upstream.
        cookie: FlowCookie,
        /// Flows without an answer.
        unanswered_flows: u32,
        /// Time since its last sign of life.
        silence: Duration,
    },
    /// A suspected upstream has shown a sign of life.
    Recovered {
        /// The upstream.
        cookie: FlowCookie,
    },
    /// A data centre is taken for cut off from this host.
    DataCentreUnreachable {
        /// The data centre.
        data_centre: DataCentreId,
        /// Its upstreams that leave flows without an answer since its last sign of life.
        silent_upstreams: u32,
        /// Time since that sign of life.
        silence: Duration,
    },
    /// A data centre that was taken for cut off has shown a sign of life.
    DataCentreReachable {
        /// The data centre.
        data_centre: DataCentreId,
    },
    /// A caller has acknowledged what its upstream answered.
    Answered {
        /// The flow.
        key: FlowKey,
        /// What was answered.
        stage: AnswerStage,
        /// Time from the packet that asked to the acknowledgement, both seen by this host.
        latency: Duration,
    },
    /// An open flow's packet was dropped.
    Dropped {
        /// The flow.
        key: FlowKey,
        /// The packet's cookie.
        cookie: FlowCookie,
        /// Why.
        cause: CookieDropCause,
    },
}
