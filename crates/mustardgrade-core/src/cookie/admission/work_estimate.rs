//! Estimate of the work of a route's requests.

use std::time::Duration;

/// Number of answers from which their times are evidence.
const MIN_SAMPLES: u32 = 8;

/// Number of recent answers that the average and its correction stand for.
const MAX_SAMPLES: u32 = 256;

/// Time in which the estimate doubles if no answer is as short. It follows a change of the work,
/// but hardly rises while all upstreams have queues.
const DOUBLING_TIME: Duration = Duration::from_secs(300);

/// `WorkEstimate` estimates the work of a request from the times until answers are acknowledged.
///
/// An answer in one packet is acknowledged only with the next request, after the caller's pause.
/// The shortest of many such times is little longer than the work. From `n` times, it is corrected
/// by the amount by which the shortest of `n` random pauses exceeds zero on average.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct WorkEstimate {
    samples: u32,
    shortest_secs: f64,
    average_secs: f64,
}

impl WorkEstimate {
    /// Adds the time from a request to the acknowledgement of its answer.
    pub(super) fn add(&mut self, latency: Duration) {
        let secs = latency.as_secs_f64();
        self.shortest_secs = if self.samples == 0 { secs } else { self.shortest_secs.min(secs) };
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
        self.average_secs += (secs - self.average_secs) / f64::from(self.samples);
    }

    /// Lets the estimate rise with time.
    pub(super) fn update(&mut self, elapsed: Duration) {
        let doublings = elapsed.as_secs_f64() / DOUBLING_TIME.as_secs_f64();
        self.shortest_secs *= doublings.min(1.0).exp2();
    }

    /// Returns the work of a request in seconds, if the samples are evidence of it.
    ///
    /// A time of more than half the objective says nothing: it is the callers' pause, or no
    /// upstream is free of queues.
    pub(super) fn secs(&self, latency_objective: Duration) -> Option<f64> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let spread = (self.average_secs - self.shortest_secs).max(0.0);
        let correction = spread / f64::from(self.samples - 1);
        let work = (self.shortest_secs - correction).max(self.shortest_secs / 2.0);
        (work <= latency_objective.as_secs_f64() / 2.0).then_some(work)
    }
}
