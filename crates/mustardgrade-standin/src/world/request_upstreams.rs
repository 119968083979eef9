//! Upstreams of a world that serve requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Requests that a cold upstream must answer before it bears one more at a time.
const ANSWERS_PER_CONCURRENCY_STEP: usize = 5;

/// Times the usual service time that an upstream takes while it is given more than it bears.
const OVERLOAD_SLOWDOWN_FACTOR: f64 = 4.0;

/// `Acceptance` is what an upstream does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Acceptance {
    Accepted(Duration),
    Shed,
    Duplicate,
}

/// `VirtualServer` is an upstream with slots, cold at first.
///
/// A cold upstream bears one request at a time, and one more for every few answers. Given more, it
/// takes far longer.
#[derive(Debug)]
pub(super) struct SimulatedUpstream {
    slots: usize,
    answered_since_cold: usize,
    has_turned_cold: bool,
    in_service: BTreeMap<u64, bool>,
    seen_exchange_ids: BTreeSet<u64>,
    in_service_before_cold: usize,
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

    /// Returns the requests that the upstream bears now.
    fn concurrency_limit(&self) -> usize {
        (1 + self.answered_since_cold / ANSWERS_PER_CONCURRENCY_STEP).min(self.slots)
    }

    /// Takes a request on.
    ///
    /// A copy of a message is ignored (RFC 7252, section 4.3).
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

    /// Ends a request; returns whether its answer is still wanted.
    pub(super) fn finish(&mut self, exchange_id: u64) -> bool {
        let Some(is_wanted) = self.in_service.remove(&exchange_id) else { return false };
        self.answered_since_cold += 1;
        self.in_service_before_cold = self.in_service_before_cold.min(self.in_service.len());
        is_wanted
    }

    pub(super) fn cancel(&mut self, exchange_id: u64) {
        if let Some(is_wanted) = self.in_service.get_mut(&exchange_id) {
            *is_wanted = false;
        }
    }

    /// Turns cold without warning; what is in service then is no fault of the keeper.
    pub(super) fn turn_cold(&mut self) {
        self.answered_since_cold = 0;
        self.has_turned_cold = true;
        self.in_service_before_cold = self.in_service.len();
    }

    /// Restarts: everything in service is lost.
    pub(super) fn restart(&mut self) {
        self.in_service.clear();
        self.turn_cold();
    }

    /// Returns how often a request came on top of what the upstream bore since its start.
    pub(super) fn cold_start_overloads(&self) -> u64 {
        self.cold_start_overloads
    }

    pub(super) fn shed_count(&self) -> u64 {
        self.shed_count
    }

    /// Returns the time of service in all.
    pub(super) fn busy_time(&self) -> Duration {
        self.busy_time
    }
}
