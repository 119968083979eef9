//! Requests that count as in flight, ordered by the time at which they no longer do.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use crate::flow::FlowKey;

/// `QueuedRequest` is a request that counts as in flight until it is answered, or until its
/// upstream has worked it off by the modelled queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::cookie) struct QueuedRequest {
    pub(in crate::cookie) counted_until: Duration,
    pub(in crate::cookie) sent_at: Duration,
    pub(in crate::cookie) key: FlowKey,
}

/// `RequestQueue` returns requests in the order of the end of their counting.
#[derive(Debug, Default)]
pub(in crate::cookie) struct RequestQueue {
    /// Requests that count for the same time each, so that the first one sent is the first due.
    fixed: VecDeque<QueuedRequest>,
    modelled: BinaryHeap<Reverse<QueuedRequest>>,
}

impl RequestQueue {
    pub(in crate::cookie) fn is_empty(&self) -> bool {
        self.fixed.is_empty() && self.modelled.is_empty()
    }

    /// Adds a request that counts for a fixed time.
    pub(in crate::cookie) fn push_fixed(&mut self, request: QueuedRequest) {
        self.fixed.push_back(request);
    }

    /// Adds a request that counts for a modelled time.
    pub(in crate::cookie) fn push_modelled(&mut self, request: QueuedRequest) {
        self.modelled.push(Reverse(request));
    }

    /// Removes and returns a request that is no longer counted at `now`.
    pub(in crate::cookie) fn pop_due(&mut self, now: Duration) -> Option<QueuedRequest> {
        if self.fixed.front().is_some_and(|first| now >= first.counted_until) {
            return self.fixed.pop_front();
        }
        let Reverse(first) = self.modelled.peek()?;
        if now < first.counted_until {
            return None;
        }
        self.modelled.pop().map(|Reverse(request)| request)
    }
}
