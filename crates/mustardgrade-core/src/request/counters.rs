//! Counters and outcomes of requests.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `RequestOutcome` is the final word on a request.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The upstream answered.
    #[display("answered")]
    Answered,
    /// The request did not run.
    #[display("not_run")]
    NotRun,
    /// Nobody can tell whether the request ran.
    #[display("unknown")]
    Unknown,
}

/// `RequestCounters` counts what a request router did since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounters {
    /// Requests received from callers.
    pub received: u64,
    /// Tickets issued.
    pub tickets_issued: u64,
    /// Requests sent to upstreams.
    pub dispatched: u64,
    /// Requests tried again after a true not-run or a failed idempotent try.
    pub retried: u64,
    /// Requests passed to another keeper for lack of room.
    pub rerouted: u64,
    /// Final answers from upstreams.
    pub answered: u64,
    /// Refusals that say not run.
    pub refused: u64,
    /// Requests whose outcome is unknown.
    pub unknown_outcomes: u64,
    /// Answers that match no exchange: late, crossed or forged.
    pub unmatched_responses: u64,
    /// Tickets that are forged, damaged or too far in the future.
    pub invalid_tickets: u64,
    /// Repeated requests that were answered from the ledger or left to run.
    pub duplicate_requests: u64,
}
