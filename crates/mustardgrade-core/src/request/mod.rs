//! Requests: keepers with exact limits, tickets that make at-most-once hold, and refusals that are
//! true.

mod counters;
mod expiry;
mod holding;
mod keeper;
mod ledger;
mod limit;
mod message;
mod origin;
mod router;
mod snapshot;
mod ticket;

pub use counters::{RequestCounters, RequestOutcome};
pub use keeper::{KeeperOptions, UpstreamKeeper, WaitingRequest};
pub use ledger::{LedgerEntry, TicketLedger, TicketState};
pub use limit::{AdaptiveLimit, LimitOptions};
pub use message::{
    CallerReply, CallerRequest, ForwardedRequest, KeeperMessage, RequestId, RequestInput,
    RequestOutput, TriedUpstream, UpstreamReply,
};
pub use router::{RequestOptions, RequestRouter};
pub use snapshot::{
    KeptUpstream, RequestService, RequestSnapshot, build_request_snapshot, keeper_of,
};
pub use ticket::{RequestTicket, TicketError, TicketKey};

#[cfg(test)]
mod tests;
