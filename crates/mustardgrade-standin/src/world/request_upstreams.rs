//! Simulated upstreams of request services, with slots and cold starts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Requests that a cold upstream must complete before its concurrency limit rises by one.
const ANSWERS_PER_CONCURRENCY_STEP: usize = 5;

/// Factor on the service time of a request that exceeds the concurrency limit of an upstream.
const OVERLOAD_SLOWDOWN_FACTOR: f64 = 4.0;

/// `Acceptance` is the decision of an upstream on a request that it receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Acceptance {
    /// The request is executed and takes this time.
    Accepted(Duration),
    /// The request is refused because all slots are in use.
    Shed,
    /// The message is a duplicate and is ignored.
    Duplicate,
}

/// `SimulatedUpstream` is an upstream with a fixed number of slots, which starts cold.
///
/// A cold upstream has a concurrency limit of one, which rises with the number of requests that it
/// completes, up to its slots. A request beyond the limit takes much longer.
#[derive(Debug)]
pub(super) struct SimulatedUpstream {
    slots: usize,
    answered_since_cold: usize,
    has_turned_cold: bool,
    /// Requests in service by exchange ID, with whether their answers are still wanted.
    in_service: BTreeMap<u64, bool>,
    seen_exchange_ids: BTreeSet<u64>,
    /// Upper bound of the requests still in service since before the upstream turned cold.
    in_service_before_cold: usize,
    /// Requests beyond the concurrency limit until the upstream turned cold or restarted.
    cold_start_overloads: u64,
    shed_count: u64,
    busy_time: Duration,
}

impl SimulatedUpstream {
    pub(super) fn new(slots: usize) -> Self {
        Self {
            slots,
            answered_since_cold: 0,
            has_turned_cold: false,
            in_service: BTreeMap::new(),
            seen_exchange_ids: BTreeSet::new(),
            in_service_before_cold: 0,
            cold_start_overloads: 0,
            shed_count: 0,
            busy_time: Duration::ZERO,
        }
    }

    /// Returns the number of concurrent requests that the upstream can execute at normal speed.
    fn concurrency_limit(&self) -> usize {
        (1 + self.answered_since_cold / ANSWERS_PER_CONCURRENCY_STEP).min(self.slots)
    }

    /// Decides on a request that would take `service_time` on an upstream that is not overloaded.
    ///
    /// Duplicate messages are ignored (RFC 7252, section 4.3).
    pub(super) fn accept(&mut self, exchange_id: u64, service_time: Duration) -> Acceptance {
        if !self.seen_exchange_ids.insert(exchange_id) {
            return Acceptance::Duplicate;
        }
        if self.in_service.len() >= self.slots {
            self.shed_count += 1;
            return Acceptance::Shed;
        }
        self.in_service.insert(exchange_id, true);
        self.busy_time += service_time;
        let excess_requests = self
            .in_service
            .len()
            .saturating_sub(self.concurrency_limit().max(self.in_service_before_cold));
        if excess_requests == 0 {
            return Acceptance::Accepted(service_time);
        }
        self.cold_start_overloads += u64::from(!self.has_turned_cold);
        Acceptance::Accepted(service_time.mul_f64(OVERLOAD_SLOWDOWN_FACTOR))
    }

    /// Completes a request; returns whether its answer is still wanted.
    pub(super) fn finish(&mut self, exchange_id: u64) -> bool {
        let Some(is_wanted) = self.in_service.remove(&exchange_id) else { return false };
        self.answered_since_cold += 1;
        self.in_service_before_cold = self.in_service_before_cold.min(self.in_service.len());
        is_wanted
    }

    /// Marks the answer to a request as unwanted; the request stays in service.
    pub(super) fn cancel(&mut self, exchange_id: u64) {
        if let Some(is_wanted) = self.in_service.get_mut(&exchange_id) {
            *is_wanted = false;
        }
    }

    /// Makes the upstream cold without notice. The requests in service at that time do not count as
    /// overload, since the dispatcher could not foresee it.
    pub(super) fn turn_cold(&mut self) {
        self.answered_since_cold = 0;
        self.has_turned_cold = true;
        self.in_service_before_cold = self.in_service.len();
    }

    /// Restarts the upstream: it loses the requests in service and is cold.
    pub(super) fn restart(&mut self) {
        self.in_service.clear();
        self.turn_cold();
    }

    /// Returns the number of requests that exceeded the concurrency limit until the upstream first
    /// turned cold or restarted.
    pub(super) fn cold_start_overloads(&self) -> u64 {
        self.cold_start_overloads
    }

    pub(super) fn shed_count(&self) -> u64 {
        self.shed_count
    }

    /// Returns the sum of the service times of accepted requests, without slowdown by overload.
    pub(super) fn busy_time(&self) -> Duration {
        self.busy_time
    }
}
