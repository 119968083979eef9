//! Requests that have ended, as their callers saw them.

use std::time::Duration;

/// `MeasuredRequest` is a request that was answered or has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct MeasuredRequest {
    pub(super) started_at: Duration,
    /// When the caller last sent a packet for it.
    pub(super) last_sent_at: Duration,
    pub(super) ended_at: Duration,
    /// Time to the answer; `None` if the request failed or was answered after its timeout.
    pub(super) answer_time: Option<Duration>,
}
