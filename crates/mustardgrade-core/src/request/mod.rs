//! Requests: keepers with exact limits, tickets that make at-most-once hold, and refusals that are
//! true.

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
pub use counters::{RequestCounters, RequestOutcome};
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
