//! The keeper's state of one upstream: limit, requests in service, and queue.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::concurrency_limit::{ConcurrencyLimit, ConcurrencyLimitOptions};
use super::message::ForwardedRequest;

/// `UpstreamQueueOptions` holds the settings of an [`UpstreamQueue`].
#[derive(Debug, Clone, Copy)]
pub struct UpstreamQueueOptions {
    /// Settings of the limit.
    pub limit: ConcurrencyLimitOptions,
    /// Requests that may wait for each slot; more would wait longer than callers do.
    pub queue_capacity_factor: usize,
    /// Least patience with which a request is still sent to an upstream.
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

/// `AcceptedRequest` is a request that a keeper has taken on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedRequest {
    /// The request as it was forwarded.
    pub forwarded: ForwardedRequest,
    /// Nonce of its ticket, if it is non-idempotent.
    pub ticket_nonce: Option<u64>,
    /// Time at which its caller gives up.
    pub deadline: Duration,
    /// Time at which the keeper took it on.
    pub accepted_at: Duration,
}

/// `InFlightRequest` is a request in service at the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlightRequest {
    /// The request.
    pub accepted: AcceptedRequest,
    /// Time at which it was sent to the upstream.
    pub dispatched_at: Duration,
    /// Whether the caller has its final word already.
    pub abandoned: bool,
}

/// `UpstreamQueue` counts what one upstream serves and holds back the rest.
#[derive(Debug)]
pub struct UpstreamQueue {
    options: UpstreamQueueOptions,
    /// The limit.
    pub limit: ConcurrencyLimit,
    /// Requests in service by exchange.
    pub in_flight: BTreeMap<u64, InFlightRequest>,
    waiting: VecDeque<AcceptedRequest>,
    slots: u16,
}

impl UpstreamQueue {
    /// Creates the keeper of an upstream with `slots` slots that is not known to be warm.
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

    /// Tells whether a request can be sent to the upstream now.
    #[must_use]
    pub fn is_below_limit(&self) -> bool {
        self.in_flight.len() < usize::from(self.limit.current())
    }

    /// Tells whether a request can be sent without overtaking others.
    #[must_use]
    pub fn can_dispatch_now(&self) -> bool {
        self.waiting.is_empty() && self.is_below_limit()
    }

    /// Tells whether nothing runs and nothing waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_empty()
    }

    /// Returns the requests in service and waiting in thousandths of the limit.
    #[must_use]
    pub fn load_permille(&self) -> u32 {
        let request_count = self.in_flight.len() + self.waiting.len();
        request_count as u32 * 1_000 / u32::from(self.limit.current())
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Changes the number of slots.
    pub fn set_slots(&mut self, slots: u16) {
        if slots != self.slots {
            self.slots = slots;
            self.limit.set_slots(slots);
        }
    }

    /// Lets a request wait, or returns it if the queue is full.
    ///
    /// # Errors
    ///
    /// Returns the request if too many wait already.
    pub fn enqueue(&mut self, accepted: AcceptedRequest) -> Result<(), Box<AcceptedRequest>> {
        let capacity = self.options.queue_capacity_factor * usize::from(self.limit.current());
        if self.waiting.len() >= capacity {
            return Err(Box::new(accepted));
        }
        self.waiting.push_back(accepted);
        Ok(())
    }

    /// Removes the requests whose callers will have given up before an answer.
    pub fn take_unserviceable(&mut self, now: Duration) -> Vec<AcceptedRequest> {
        // An answer that may come after the deadline would leave its caller in doubt.
        let expected = self.limit.expected_service_time().unwrap_or_default();
        let min_deadline = now + self.options.min_remaining_time.max(expected * 2);
        let (unserviceable, serviceable) = self
            .waiting
            .drain(..)
            .partition(|accepted: &AcceptedRequest| accepted.deadline <= min_deadline);
        self.waiting = serviceable;
        Vec::from(unserviceable)
    }

    /// Removes the next request to send, if there is a slot for it.
    ///
    /// While more wait than the upstream can serve, the one that came last goes first: under
    /// overload the oldest ones are those whose callers are about to give up.
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

    /// Removes all waiting requests.
    pub fn take_all_waiting(&mut self) -> Vec<AcceptedRequest> {
        Vec::from(std::mem::take(&mut self.waiting))
    }
}
