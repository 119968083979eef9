//! Inputs and outputs of the request router, and messages between hosts about requests.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::identity::{HostId, HostIncarnation, ServiceId, UpstreamId};

/// `RequestId` identifies a request among those of all callers; retransmissions share it.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{caller}#{message_id}")]
pub struct RequestId {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// CoAP message id; a retransmission has the same one.
    pub message_id: u16,
    /// CoAP token, which the response echoes.
    pub token: Vec<u8>,
}

/// `CallerRequest` is a decoded request from a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// Identity of the request.
    pub id: RequestId,
    /// Address and port that the caller sent the request to.
    pub service_address: SocketAddrV4,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Encoded ticket from the Echo option, if there is one.
    pub ticket: Option<Vec<u8>>,
    /// Remaining time until the caller gives up; zero after its deadline.
    pub timeout: Duration,
    /// The request datagram, which is re-encoded for the upstream.
    pub encoded_request: Vec<u8>,
}

/// `CallerReply` is a reply to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerReply {
    /// The encoded response of the upstream.
    Response(Vec<u8>),
    /// The request was not executed; the caller must repeat it with this encoded ticket.
    Challenge(Vec<u8>),
    /// The request was not executed and will not be.
    NotRun {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// An idempotent request was refused for lack of capacity.
    ///
    /// Unlike `NotRun`, this says nothing about earlier attempts, which other hosts may have
    /// handled.
    Busy {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// It is not known whether the request was executed.
    OutcomeUnknown,
    /// The request was not executed: its service is unknown or its ticket is not valid.
    InvalidRequest,
}

/// `UpstreamReply` is the reply of an upstream to one dispatched request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamReply {
    /// The upstream executed the request; holds the encoded response.
    Response(Vec<u8>),
    /// The upstream shed the request without executing it.
    Shed,
}

/// `UpstreamLoad` is the load of an upstream as measured by its dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamId,
    /// In-flight and waiting requests in thousandths of the limit; `u32::MAX` if the dispatcher
    /// accepts no requests for the upstream.
    pub load_permille: u32,
}

/// `ForwardedRequest` is a request on its way from the origin through the candidate dispatchers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Host that received the request from the caller.
    pub origin: HostId,
    /// The request as the caller sent it, with the timeout at the time of forwarding.
    pub request: CallerRequest,
    /// Identity of the service.
    pub service_id: ServiceId,
    /// Upstreams that the request is still to be offered to, the next one first.
    pub candidates: Vec<UpstreamId>,
    /// Upstreams that did not accept the request, with their loads.
    pub tried: Vec<UpstreamLoad>,
    /// Whether the dispatcher must queue the request if it cannot send it at once.
    pub must_queue: bool,
}

/// `RequestPeerMessage` is a message between hosts about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestPeerMessage {
    /// A request for an upstream that the receiver dispatches to.
    Forward(ForwardedRequest),
    /// The dispatcher has sent the caller its final reply.
    Done {
        /// The request.
        id: RequestId,
        /// Load of the upstream that responded, if one did.
        load: Option<UpstreamLoad>,
    },
    /// The dispatcher gives back a request that the upstream has not executed or is slow to answer;
    /// the origin may retry it at another upstream.
    Refused {
        /// The request.
        id: RequestId,
        /// The upstream that refused, with its load.
        load: UpstreamLoad,
    },
}

/// `RequestInput` is an input event of the request router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestInput {
    /// A request from a caller.
    Caller(CallerRequest),
    /// A message from another host.
    Peer(RequestPeerMessage),
    /// A reply from an upstream, whose source address has been verified.
    Upstream {
        /// The upstream.
        upstream: UpstreamId,
        /// Identifier of the exchange.
        exchange_id: u64,
        /// The reply.
        reply: UpstreamReply,
    },
    /// Periodic event that runs everything that depends on time.
    Tick,
    /// The host shuts down: it accepts no new requests and completes those in flight.
    Leave,
}

/// `RequestOutput` is an action that the I/O layer must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutput {
    /// Send a reply to a caller.
    ReplyToCaller {
        /// The request.
        id: RequestId,
        /// Service address that the caller sent to; the reply uses it as its source.
        service_address: SocketAddrV4,
        /// The reply.
        reply: CallerReply,
    },
    /// Send a request to an upstream, without retransmission.
    Dispatch {
        /// The upstream.
        upstream: UpstreamId,
        /// Its address.
        address: Ipv4Addr,
        /// Identifier of the exchange.
        exchange_id: u64,
        /// Remaining time until the caller gives up.
        timeout: Duration,
        /// The request datagram of the caller.
        encoded_request: Vec<u8>,
    },
    /// Tell an upstream that the response to an exchange is no longer needed.
    Cancel {
        /// The upstream.
        upstream: UpstreamId,
        /// Its address.
        address: Ipv4Addr,
        /// Identifier of the exchange.
        exchange_id: u64,
    },
    /// Send a message to another host.
    SendToPeer {
        /// The receiving host.
        peer: HostIncarnation,
        /// Its address.
        address: Ipv4Addr,
        /// The message.
        message: RequestPeerMessage,
    },
}
