//! Upstreams of a world that serve requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Requests that a cold upstream must answer before it bears one more at a time.
const ANSWERS_PER_STEP: usize = 5;

/// Times the usual service time that an upstream takes while it is given more than it bears.
const OVERLOAD_FACTOR: f64 = 4.0;

/// `Acceptance` is what an upstream does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Acceptance {
    Taken(Duration),
    Shed,
    Ignored,
}

/// `VirtualServer` is an upstream with slots, cold at first.
///
/// A cold upstream bears one request at a time, and one more for every few answers. Given more, it
/// takes far longer.
#[derive(Debug)]
pub(super) struct VirtualServer {
    slots: usize,
    answered: usize,
    turned_cold: bool,
    serving: BTreeMap<u64, bool>,
    seen: BTreeSet<u64>,
    cold_excess: usize,
    start_excess: u64,
    shed: u64,
    busy_time: Duration,
}

impl VirtualServer {
    pub(super) fn new(slots: usize) -> Self {
        Self {
            slots,
            answered: 0,
            turned_cold: false,
            serving: BTreeMap::new(),
            seen: BTreeSet::new(),
            cold_excess: 0,
            start_excess: 0,
            shed: 0,
            busy_time: Duration::ZERO,
        }
    }

    /// Returns the requests that the upstream bears now.
    fn bears(&self) -> usize {
        (1 + self.answered / ANSWERS_PER_STEP).min(self.slots)
    }

    /// Takes a request on.
    ///
    /// A copy of a message is ignored (RFC 7252, section 4.3).
    pub(super) fn accept(&mut self, exchange: u64, took: Duration) -> Acceptance {
        if !self.seen.insert(exchange) {
            return Acceptance::Ignored;
        }
        if self.serving.len() >= self.slots {
            self.shed += 1;
            return Acceptance::Shed;
        }
        self.serving.insert(exchange, true);
        self.busy_time += took;
        let excess = self.serving.len().saturating_sub(self.bears().max(self.cold_excess));
        if excess == 0 {
            return Acceptance::Taken(took);
        }
        self.start_excess += u64::from(!self.turned_cold);
        Acceptance::Taken(took.mul_f64(OVERLOAD_FACTOR))
    }

    /// Ends a request; returns whether its answer is still wanted.
    pub(super) fn finish(&mut self, exchange: u64) -> bool {
        let Some(wanted) = self.serving.remove(&exchange) else { return false };
        self.answered += 1;
        self.cold_excess = self.cold_excess.min(self.serving.len());
        wanted
    }

    pub(super) fn cancel(&mut self, exchange: u64) {
        if let Some(wanted) = self.serving.get_mut(&exchange) {
            *wanted = false;
        }
    }

    /// Turns cold without warning; what is in service then is no fault of the keeper.
    pub(super) fn turn_cold(&mut self) {
        self.answered = 0;
        self.turned_cold = true;
        self.cold_excess = self.serving.len();
    }

    /// Restarts: everything in service is lost.
    pub(super) fn restart(&mut self) {
        self.serving.clear();
        self.turn_cold();
    }

    /// Returns how often a request came on top of what the upstream bore since its start.
    pub(super) fn start_excess(&self) -> u64 {
        self.start_excess
    }

    pub(super) fn shed(&self) -> u64 {
        self.shed
    }

    /// Returns the time of service in all.
    pub(super) fn busy_time(&self) -> Duration {
        self.busy_time
    }
}
