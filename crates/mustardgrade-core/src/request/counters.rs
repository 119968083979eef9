//! Request counters.

use serde::{Deserialize, Serialize};

/// `RequestCounters` holds the totals of a request router since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounters {
    /// Requests received from callers, including retransmissions.
    pub received: u64,
    /// Challenges sent with a new ticket.
    pub tickets_issued: u64,
    /// Requests sent to upstreams.
    pub dispatched: u64,
    /// Idempotent requests sent again after a refusal, a slow response or the loss of a dispatcher.
    pub retried: u64,
    /// Times that a dispatcher could not accept a request at once and passed it on: to the next
    /// candidate, after the last one to the least loaded, or else back to the origin.
    pub rerouted: u64,
    /// Upstream responses delivered to callers.
    pub answered: u64,
    /// Replies that refuse a request as busy or not run.
    pub refused: u64,
    /// Replies that report an unknown outcome.
    pub unknown_outcomes: u64,
    /// Upstream replies that match no in-flight exchange: late, misdirected or forged.
    pub unmatched_responses: u64,
    /// Tickets that have the wrong length, fail authentication or expire too far in the future.
    pub invalid_tickets: u64,
    /// Repeated requests that were answered from the replay cache, or dropped because the first
    /// copy is still being processed.
    pub duplicate_requests: u64,
}
