//! Load and speed of upstreams, estimated from the packets of their callers.
//!
//! Answers do not pass through the hosts. The acknowledgement of an answer shows how long it took:
//! one without payload is sent at once, one that comes with the next request is an upper bound. The
//! estimates of the hosts of a data centre are pooled through their load reports.

mod answer_time;
mod flow_sample;
mod model;
mod observation;
mod pool;
mod request_queue;
mod service_times;
mod speed;

use std::time::Duration;

pub(super) use flow_sample::FlowSample;
pub(super) use model::{LoadModel, RATIO_UNIT};
pub use pool::{PooledSpeed, SpeedTable};
pub(super) use request_queue::RequestQueue;
pub use speed::SpeedEntry;

use super::packet::FlowEvent;
use super::router::CookieRouter;
use crate::identity::ServiceId;

/// Answer time of an upstream while no answer of its service has been observed; 300 ms is longer
/// than the network and the work of most requests take.
pub(super) const ASSUMED_ANSWER_DELAY: Duration = Duration::from_millis(300);

/// Maximum answer time, also of routes without a timeout.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(10);

/// `UpstreamLoad` is the estimated load and speed of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Time that a request placed now would wait for a free slot.
    pub expected_wait: Duration,
    /// Mean time from a request to its answer without that wait.
    pub answer_time: Duration,
    /// Requests and openings of all hosts in flight.
    pub in_flight: u32,
    /// Number of requests that it runs concurrently.
    pub slots: u16,
    /// Whether the answer time is measured; otherwise the estimates come from the requests of the
    /// last [`ASSUMED_ANSWER_DELAY`].
    pub is_measured: bool,
}

/// `ServiceLoad` is the estimated load of all upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Mean answer time, if it is measured.
    pub answer_time: Option<Duration>,
    /// Requests and openings of all hosts in flight.
    pub in_flight: u32,
}

impl CookieRouter {
    /// Returns the estimated load of each service whose load is modelled.
    pub fn service_loads(&self) -> impl Iterator<Item = (ServiceId, ServiceLoad)> {
        self.load_model.services().map(|service| {
            let indices = self.snapshot.upstreams_by_service.get(&service);
            let indices = indices.map_or(&[][..], Vec::as_slice);
            let in_flight = indices.iter().map(|index| self.merged_in_flight(*index)).sum();
            let answer_time = self.load_model.service_time(service);
            (service, ServiceLoad { answer_time, in_flight })
        })
    }

    /// Estimates the speeds of the upstreams again if it is due, and counts those that became slow.
    pub(super) fn refresh_load_model(&mut self, now: Duration) {
        let known_events = self.events.len();
        self.load_model.refresh(self.peers.speeds(), now, &mut self.events);
        let changes = &self.events[known_events..];
        let is_slowing =
            |event: &&FlowEvent| matches!(event, FlowEvent::SpeedChanged { is_slow: true, .. });
        self.counters.slow_upstreams += changes.iter().filter(is_slowing).count() as u64;
    }

    /// Returns the estimated load and speed of the upstream at `index` of the snapshot.
    #[must_use]
    pub fn upstream_load(&self, index: usize, now: Duration) -> UpstreamLoad {
        let in_flight = self.merged_in_flight(index);
        let slots = self.snapshot.upstreams[index].slots;
        let measured = self.load_model.answer_time(index).filter(|_| self.load_model.is_fresh(now));
        let answer_time = measured.unwrap_or(ASSUMED_ANSWER_DELAY);
        UpstreamLoad {
            expected_wait: expected_wait(answer_time, in_flight, slots),
            answer_time,
            in_flight,
            slots,
            is_measured: measured.is_some(),
        }
    }

    /// Returns the requests and openings of all hosts in flight at an upstream.
    pub(super) fn merged_in_flight(&self, index: usize) -> u32 {
        self.trackers[index].merged_with_peers(self.peer_loads[index]).in_flight()
    }
}

/// Returns the time until one of `slots` is free for another request if `in_flight` are ahead of it
/// and each takes `answer_time`.
pub(super) fn expected_wait(answer_time: Duration, in_flight: u32, slots: u16) -> Duration {
    let queued = (in_flight + 1).saturating_sub(u32::from(slots));
    answer_time * queued / u32::from(slots.max(1))
}
