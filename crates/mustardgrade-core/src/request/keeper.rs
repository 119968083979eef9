//! The keeper's state of one upstream: limit, requests in service, and queue.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::limit::{AdaptiveLimit, LimitOptions};
use super::message::ForwardedRequest;

/// `KeeperOptions` holds the settings of an [`UpstreamKeeper`].
#[derive(Debug, Clone, Copy)]
pub struct KeeperOptions {
    /// Settings of the limit.
    pub limit: LimitOptions,
    /// Requests that may wait for each slot; more would wait longer than callers do.
    pub queue_per_slot: usize,
    /// Least patience with which a request is still sent to an upstream.
    pub least_patience: Duration,
}

impl Default for KeeperOptions {
    fn default() -> Self {
        Self {
            limit: LimitOptions::default(),
            queue_per_slot: 8,
            least_patience: Duration::from_millis(5),
        }
    }
}

/// `WaitingRequest` is a request that a keeper has taken on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The request as it was forwarded.
    pub forwarded: ForwardedRequest,
    /// Nonce of its ticket, if it is non-idempotent.
    pub nonce: Option<u64>,
    /// Time at which its caller gives up.
    pub deadline: Duration,
    /// Time at which the keeper took it on.
    pub since: Duration,
}

/// `RunningRequest` is a request in service at the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRequest {
    /// The request.
    pub waiting: WaitingRequest,
    /// Time at which it was sent to the upstream.
    pub dispatched: Duration,
    /// Whether the caller has its final word already.
    pub abandoned: bool,
}

/// `UpstreamKeeper` counts what one upstream serves and holds back the rest.
#[derive(Debug)]
pub struct UpstreamKeeper {
    options: KeeperOptions,
    /// The limit.
    pub limit: AdaptiveLimit,
    /// Requests in service by exchange.
    pub running: BTreeMap<u64, RunningRequest>,
    queue: VecDeque<WaitingRequest>,
    slots: u16,
}

impl UpstreamKeeper {
    /// Creates the keeper of an upstream with `slots` slots that is not known to be warm.
    #[must_use]
    pub fn new(slots: u16, options: KeeperOptions) -> Self {
        Self {
            options,
            limit: AdaptiveLimit::new(slots, options.limit),
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            slots,
        }
    }

    /// Tells whether a request can be sent to the upstream now.
    #[must_use]
    pub fn has_slot(&self) -> bool {
        self.running.len() < usize::from(self.limit.limit())
    }

    /// Tells whether a request can be sent without overtaking others.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.queue.is_empty() && self.has_slot()
    }

    /// Tells whether nothing runs and nothing waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    /// Returns the requests in service and waiting in thousandths of the limit.
    #[must_use]
    pub fn load(&self) -> u32 {
        let held = self.running.len() + self.queue.len();
        held as u32 * 1_000 / u32::from(self.limit.limit())
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn queue_length(&self) -> usize {
        self.queue.len()
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
    pub fn enqueue(&mut self, waiting: WaitingRequest) -> Result<(), Box<WaitingRequest>> {
        let capacity = self.options.queue_per_slot * usize::from(self.limit.limit());
        if self.queue.len() >= capacity {
            return Err(Box::new(waiting));
        }
        self.queue.push_back(waiting);
        Ok(())
    }

    /// Removes the requests whose callers will have given up before an answer.
    pub fn take_expired(&mut self, now: Duration) -> Vec<WaitingRequest> {
        // An answer that may come after the deadline would leave its caller in doubt.
        let expected = self.limit.expected().unwrap_or_default();
        let latest = now + self.options.least_patience.max(expected * 2);
        let (expired, kept) =
            self.queue.drain(..).partition(|waiting: &WaitingRequest| waiting.deadline <= latest);
        self.queue = kept;
        Vec::from(expired)
    }

    /// Removes the next request to send, if there is a slot for it.
    ///
    /// While more wait than the upstream can serve, the one that came last goes first: under
    /// overload the oldest ones are those whose callers are about to give up.
    pub fn take_next(&mut self) -> Option<WaitingRequest> {
        if !self.has_slot() {
            return None;
        }
        let crowded = self.queue.len() > usize::from(self.limit.limit()) * 2;
        match crowded {
            true => self.queue.pop_back(),
            false => self.queue.pop_front(),
        }
    }

    /// Removes all waiting requests.
    pub fn take_waiting(&mut self) -> Vec<WaitingRequest> {
        Vec::from(std::mem::take(&mut self.queue))
    }
}
