//! The request of a flow whose outcome is observed.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time without an acknowledgement after which a request counts as not answered, at least: by then
/// a caller has retransmitted a request that did not reach its upstream three times, and the queue
/// of an upstream that is slower than it is known to be has been worked off.
const MIN_SILENCE: Duration = Duration::from_millis(1_600);

/// The same time in answer times of the route at the upstream. Single requests take much longer than
/// the mean, also at upstreams that are slower than they are measured so far.
const SILENCE_ANSWER_TIMES: u32 = 16;

/// The same time in the waits for a free slot that the load makes likely, which hosts know late.
const SILENCE_WAITS: u32 = 4;

/// Part of that time from which an answer is slow. A single answer may take a few
/// times as long as most.
const SLOW_DIVISOR: u32 = 4;

/// Time after an answer without a further request on its flow from which the flow counts as idle.
/// Callers do not go on with a flow on which they have got an error.
pub(super) const IDLE_DELAY: Duration = Duration::from_secs(1);

/// Minimum time from a request to an answer, beyond the time that the opening of the flow took,
/// from which the answer cannot be a refusal. An upstream refuses a request at once.
const MIN_RUN_TIME: Duration = Duration::from_millis(6);

/// Part of the route's usual answer time from which an answer cannot be a refusal.
const MIN_RUN_DIVISOR: u32 = 4;

/// `WatchStage` is what has been observed of the outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchStage {
    /// Nothing has acknowledged an answer so far.
    Pending,
    /// An answer has been acknowledged.
    Answered {
        /// When it was.
        at: Duration,
        /// When it was at the earliest, since the packet may have waited at this host.
        not_before: Duration,
        /// Whether the acknowledgement was sent at once.
        is_prompt: bool,
    },
    /// The request counts as not answered.
    Failed {
        /// Number of the period in which it was counted.
        period: u32,
    },
}

/// `RequestWatch` is a request that this host has observed from its first packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestWatch {
    /// When the request was forwarded.
    pub sent_at: Duration,
    /// Acknowledgement number of the caller before the answer.
    pub base_acknowledgement: u32,
    /// Whether the upstream had no free slot by the modelled load, so that it may have refused.
    pub was_queued: bool,
    /// What has been observed so far.
    pub stage: WatchStage,
}

/// `ObservedAnswer` is an acknowledged answer of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct ObservedAnswer {
    /// Size in bytes.
    pub(super) size: u32,
    pub(super) is_prompt: bool,
    /// Whether it took so long that other requests may take as long as failed ones.
    pub(super) is_slow: bool,
    /// Whether it may be a refusal, by its time.
    pub(super) may_be_refusal: bool,
}

impl RequestWatch {
    /// Returns the answer, whose last byte is before `acknowledgement`, if there was one.
    pub(super) fn answer(
        &self,
        acknowledgement: u32,
        opening_latency: Duration,
        answer_time: Duration,
    ) -> Option<ObservedAnswer> {
        let WatchStage::Answered { at, not_before, is_prompt } = self.stage else { return None };
        let min_run_time = (opening_latency + MIN_RUN_TIME).max(answer_time / MIN_RUN_DIVISOR);
        let latency = not_before.saturating_sub(self.sent_at);
        let slow_from = silence_limit(answer_time, Duration::ZERO) / SLOW_DIVISOR;
        Some(ObservedAnswer {
            size: acknowledgement.wrapping_sub(self.base_acknowledgement),
            is_prompt,
            is_slow: is_prompt && at.saturating_sub(self.sent_at) >= slow_from,
            may_be_refusal: self.was_queued || latency < min_run_time,
        })
    }
}

/// Returns the time without an acknowledgement after which a request counts as not answered.
pub(super) fn silence_limit(answer_time: Duration, expected_wait: Duration) -> Duration {
    let work = answer_time * SILENCE_ANSWER_TIMES + expected_wait * SILENCE_WAITS;
    work.max(MIN_SILENCE)
}
