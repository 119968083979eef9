//! Requests, replies and what hosts tell each other about them.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::identity::{HostId, HostIncarnation, ServiceId, UpstreamId};

/// `RequestId` names one request of one caller.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{caller}#{message_id}")]
pub struct RequestId {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// CoAP message id, which a retransmission repeats.
    pub message_id: u16,
    /// CoAP token, which the answer repeats.
    pub token: Vec<u8>,
}

/// `CallerRequest` is a request as a host receives it from a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// Name of the request.
    pub id: RequestId,
    /// Address and port that the caller used.
    pub service_address: SocketAddrV4,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Ticket that the caller brought.
    pub ticket: Option<Vec<u8>>,
    /// Time that the caller still waits.
    pub timeout: Duration,
    /// The encoded request for the upstream.
    pub encoded_request: Vec<u8>,
}

/// `CallerReply` is what a caller is told.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallerReply {
    /// The upstream's answer, encoded.
    Response(Vec<u8>),
    /// Nothing ran; the caller shall repeat the request with this ticket.
    Challenge(Vec<u8>),
    /// The request did not run and will not.
    NotRun {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// There is no room for an idempotent request now.
    ///
    /// Nothing is said of earlier tries of it, which other hosts may have seen.
    Busy {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// Nobody can tell whether the request ran.
    OutcomeUnknown,
    /// The request cannot be served as it stands.
    InvalidRequest,
}

/// `UpstreamReply` is how one try at an upstream ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamReply {
    /// The upstream answered.
    Response(Vec<u8>),
    /// The upstream refused without running the request.
    Shed,
}

/// `UpstreamLoad` is an upstream that had no room for a forwarded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests in service and waiting there, in thousandths of its limit.
    pub load_permille: u32,
}

/// `ForwardedRequest` travels from the receiving host to keepers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Host that received the request.
    pub origin: HostId,
    /// The request.
    pub request: CallerRequest,
    /// The service.
    pub service_id: ServiceId,
    /// Upstreams still to try, the next one first.
    pub candidates: Vec<UpstreamId>,
    /// Upstreams that had no room.
    pub tried: Vec<UpstreamLoad>,
    /// Whether the receiver shall let the request wait if there is no room.
    pub must_queue: bool,
}

/// `RequestPeerMessage` is what hosts tell each other about requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestPeerMessage {
    /// A request for the receiver's upstream.
    Forward(ForwardedRequest),
    /// The caller has its final word.
    Done {
        /// The request.
        id: RequestId,
        /// What the sender keeps.
        load: Option<UpstreamLoad>,
    },
    /// The request did not run at the sender and will not; the origin may try elsewhere.
    Refused {
        /// The request.
        id: RequestId,
        /// The upstream that refused, with its load.
        load: UpstreamLoad,
    },
}

/// `RequestInput` is an event that the request router decides on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestInput {
    /// A request from the fabric.
    Caller(CallerRequest),
    /// A message from another host.
    Peer(RequestPeerMessage),
    /// An upstream has replied to an exchange; its source address is checked.
    Upstream {
        /// The upstream.
        upstream: UpstreamId,
        /// Number of the exchange.
        exchange_id: u64,
        /// How it ended.
        reply: UpstreamReply,
    },
    /// Time has passed.
    Tick,
    /// The host stops: it takes no new requests and finishes what runs.
    Leave,
}

/// `RequestOutput` is what the edge of the process must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutput {
    /// Send a reply to a caller.
    ReplyToCaller {
        /// The request.
        id: RequestId,
        /// Address that the caller used, which the reply comes from.
        service_address: SocketAddrV4,
        /// What the caller is told.
        reply: CallerReply,
    },
    /// Send a request to an upstream, once.
    Dispatch {
        /// The upstream.
        upstream: UpstreamId,
        /// Its address.
        address: Ipv4Addr,
        /// Number of the exchange.
        exchange_id: u64,
        /// Time that the caller still waits.
        timeout: Duration,
        /// The encoded request.
        encoded_request: Vec<u8>,
    },
    /// Tell an upstream that nobody waits for an exchange any more.
    Cancel {
        /// The upstream.
        upstream: UpstreamId,
        /// Its address.
        address: Ipv4Addr,
        /// Number of the exchange.
        exchange_id: u64,
    },
    /// Send a message to another host.
    SendToPeer {
        /// The receiver.
        peer: HostIncarnation,
        /// Its address.
        address: Ipv4Addr,
        /// The message.
        message: RequestPeerMessage,
    },
}
