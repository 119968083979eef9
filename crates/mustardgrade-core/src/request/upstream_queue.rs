//! Dispatcher state of one upstream: concurrency limit, in-flight requests and waiting requests.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::concurrency_limit::{ConcurrencyLimit, ConcurrencyLimitOptions};
use super::message::ForwardedRequest;

/// `UpstreamQueueOptions` holds the settings of an [`UpstreamQueue`].
#[derive(Debug, Clone, Copy)]
pub struct UpstreamQueueOptions {
    /// Settings of the concurrency limit.
    pub limit: ConcurrencyLimitOptions,
    /// Maximum number of waiting requests as a multiple of the current limit; in a longer queue,
    /// requests would wait past the deadlines of their callers.
    pub queue_capacity_factor: usize,
    /// Minimum time to the deadline with which a request is still sent to the upstream.
    pub min_remaining_time: Duration,
}

impl Default for UpstreamQueueOptions {
    fn default() -> Self {
        Self {
            limit: ConcurrencyLimitOptions::default(),
            queue_capacity_factor: 8,
            min_remaining_time: Duration::from_millis(5),
        }
    }
}

/// `AcceptedRequest` is a request that a dispatcher has accepted for one of its upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedRequest {
    /// The request as it was forwarded.
    pub forwarded: ForwardedRequest,
    /// Nonce of the ticket; `None` for idempotent requests.
    pub ticket_nonce: Option<u64>,
    /// Time at which the caller gives up.
    pub deadline: Duration,
    /// Time at which the dispatcher accepted the request.
    pub accepted_at: Duration,
}

/// `InFlightRequest` is a request that was sent to the upstream and holds a slot there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlightRequest {
    /// The request as it was accepted.
    pub accepted: AcceptedRequest,
    /// Time at which the request was sent to the upstream.
    pub dispatched_at: Duration,
    /// Whether a response no longer goes to the caller, since the request is overdue or was
    /// returned for a retry; the request still holds its slot.
    pub abandoned: bool,
}

/// `UpstreamQueue` tracks the in-flight requests of one upstream and queues those above its limit.
#[derive(Debug)]
pub struct UpstreamQueue {
    options: UpstreamQueueOptions,
    /// Limit on the number of in-flight requests.
    pub limit: ConcurrencyLimit,
    /// In-flight requests by exchange identifier.
    pub in_flight: BTreeMap<u64, InFlightRequest>,
    waiting: VecDeque<AcceptedRequest>,
    slots: u16,
}

impl UpstreamQueue {
    /// Creates an empty queue for an upstream with `slots` slots; the limit starts at 1, since the
    /// upstream may be cold.
    #[must_use]
    pub fn new(slots: u16, options: UpstreamQueueOptions) -> Self {
        Self {
            options,
            limit: ConcurrencyLimit::new(slots, options.limit),
            in_flight: BTreeMap::new(),
            waiting: VecDeque::new(),
            slots,
        }
    }

    /// Returns whether the limit allows another in-flight request.
    #[must_use]
    pub fn is_below_limit(&self) -> bool {
        self.in_flight.len() < usize::from(self.limit.current())
    }

    /// Returns whether a new request can be sent at once, without overtaking waiting ones.
    #[must_use]
    pub fn can_dispatch_now(&self) -> bool {
        self.waiting.is_empty() && self.is_below_limit()
    }

    /// Returns whether no request is in flight or waiting.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_empty()
    }

    /// Returns the number of in-flight and waiting requests in thousandths of the limit.
    #[must_use]
    pub fn load_permille(&self) -> u32 {
        let request_count = self.in_flight.len() + self.waiting.len();
        request_count as u32 * 1_000 / u32::from(self.limit.current())
    }

    /// Returns the number of requests that wait for a slot.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Sets the number of slots, which bounds the limit.
    pub fn set_slots(&mut self, slots: u16) {
        if slots != self.slots {
            self.slots = slots;
            self.limit.set_slots(slots);
        }
    }

    /// Appends a request to the queue.
    ///
    /// # Errors
    ///
    /// Returns the request if the queue is full.
    pub fn enqueue(&mut self, accepted: AcceptedRequest) -> Result<(), Box<AcceptedRequest>> {
        let capacity = self.options.queue_capacity_factor * usize::from(self.limit.current());
        if self.waiting.len() >= capacity {
            return Err(Box::new(accepted));
        }
        self.waiting.push_back(accepted);
        Ok(())
    }

    /// Removes the waiting requests that can probably not be answered before their deadlines.
    pub fn take_unserviceable(&mut self, now: Duration) -> Vec<AcceptedRequest> {
        // If the response came after the deadline, the outcome would be unknown to the caller,
        // whereas a request that is not sent can be refused.
        let expected = self.limit.expected_service_time().unwrap_or_default();
        let min_deadline = now + self.options.min_remaining_time.max(expected * 2);
        let (unserviceable, serviceable) = self
            .waiting
            .drain(..)
            .partition(|accepted: &AcceptedRequest| accepted.deadline <= min_deadline);
        self.waiting = serviceable;
        Vec::from(unserviceable)
    }

    /// Removes the next request to send, if the limit allows another one.
    ///
    /// The order is first in, first out. While more than twice the limit are waiting, it is last
    /// in, first out: under overload, the callers of the oldest requests are about to give up.
    pub fn pop_next(&mut self) -> Option<AcceptedRequest> {
        if !self.is_below_limit() {
            return None;
        }
        let is_overloaded = self.waiting.len() > usize::from(self.limit.current()) * 2;
        match is_overloaded {
            true => self.waiting.pop_back(),
            false => self.waiting.pop_front(),
        }
    }

    /// Removes and returns all waiting requests.
    pub fn take_all_waiting(&mut self) -> Vec<AcceptedRequest> {
        Vec::from(std::mem::take(&mut self.waiting))
    }
}
