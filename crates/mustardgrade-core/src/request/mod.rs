//! Request routing.
//!
//! Each upstream has one dispatcher: the host that enforces the upstream's concurrency limit,
//! queues its requests and sends them. The host that receives a request from a caller is its origin
//! and forwards it to a dispatcher. Tickets give non-idempotent requests at-most-once execution,
//! and a caller is told "not run" only if the request has not run and never will.

mod concurrency_limit;
mod counters;
mod dispatcher;
mod expiry;
mod message;
mod origin;
mod replay_cache;
mod router;
mod snapshot;
mod ticket;
mod upstream_queue;

pub use concurrency_limit::{ConcurrencyLimit, ConcurrencyLimitOptions};
pub use counters::RequestCounters;
pub use message::{
    CallerReply, CallerRequest, ForwardedRequest, RequestId, RequestInput, RequestOutput,
    RequestPeerMessage, UpstreamLoad, UpstreamReply,
};
pub use replay_cache::{ReplayCache, TicketCheck, TicketState};
pub use router::{RequestOptions, RequestRouter};
pub use snapshot::{
    RequestService, RequestSnapshot, RequestUpstream, build_request_snapshot, select_dispatcher,
};
pub use ticket::{RequestTicket, TicketError, TicketKey};
pub use upstream_queue::{AcceptedRequest, UpstreamQueue, UpstreamQueueOptions};

#[cfg(test)]
mod tests;
