//! What is usual for a route at the upstreams of one service in one data centre.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::evidence::{OutcomeCounts, RequestOutcome};
use super::window::OutcomeWindow;
use crate::identity::{DataCentreId, ServiceId};

/// Outcomes in the window from which the failed share of a route counts as known.
pub(super) const MIN_OUTCOMES: f32 = 10.0;

/// Outcomes without a failure that are assumed beside the observed ones, so that a share of few
/// outcomes is not taken for zero; and failures among them.
const PRIOR_OUTCOMES: f32 = 10.0;
const PRIOR_FAILED: f32 = 0.5;

/// Answers from which their usual size, and whether they are acknowledged at once, count as known.
const MIN_ANSWERS: u32 = 32;

/// Share of answers from which those of a route count as acknowledged at once. Only then does the
/// lack of an acknowledgement show that there was no answer.
const MIN_PROMPT_SHARE: f32 = 0.95;

/// Weight of a new answer in that share.
const PROMPT_GAIN: f32 = 0.02;

/// Step of the median size, as a binary logarithm; few enough answers are short to move it.
const SIZE_STEP: f32 = 0.05;

/// Size relative to the median, as a binary logarithm, below which an answer is short: a third.
const SHORT_LOG_RATIO: f32 = -1.585;

/// `RouteBaseline` holds what this host has observed of one route at the upstreams of one service
/// in one data centre. A data centre that is cut off is thereby compared with itself.
#[derive(Debug, Clone, Copy)]
pub(super) struct RouteBaseline {
    service: ServiceId,
    data_centre: DataCentreId,
    route: SocketAddrV4,
    pub(super) window: OutcomeWindow,
    median_log_size: f32,
    answers: u32,
    prompt_share: f32,
}

impl RouteBaseline {
    pub(super) fn new(service: ServiceId, data_centre: DataCentreId, route: SocketAddrV4) -> Self {
        Self {
            service,
            data_centre,
            route,
            window: OutcomeWindow::default(),
            median_log_size: 0.0,
            answers: 0,
            prompt_share: 1.0,
        }
    }

    pub(super) fn group(&self) -> (ServiceId, DataCentreId, SocketAddrV4) {
        (self.service, self.data_centre, self.route)
    }

    /// Adds an outcome and returns the failed share that is usual for the route, if it is known.
    pub(super) fn record(&mut self, outcome: RequestOutcome, now: Duration) -> Option<f32> {
        self.window.record(outcome, 0.0, now);
        let counts = self.window.counts(now);
        let share = (counts.failed + PRIOR_FAILED) / (counts.total + PRIOR_OUTCOMES);
        (counts.total >= MIN_OUTCOMES).then_some(share)
    }

    /// Returns whether the baseline is for the upstreams of a service in a data centre.
    pub(super) fn is_of(&self, service: ServiceId, data_centre: DataCentreId) -> bool {
        (self.service, self.data_centre) == (service, data_centre)
    }

    /// Returns the outcomes in the window.
    pub(super) fn counts(&mut self, now: Duration) -> OutcomeCounts {
        self.window.counts(now)
    }

    /// Learns from an answer of `size` bytes, which was acknowledged at once or not.
    pub(super) fn learn_answer(&mut self, size: u32, is_prompt: bool) {
        self.answers = self.answers.saturating_add(1);
        let log_size = (size.max(1) as f32).log2();
        if self.answers == 1 {
            self.median_log_size = log_size;
        }
        let step = SIZE_STEP.max(1.0 / self.answers as f32);
        self.median_log_size += (log_size - self.median_log_size).clamp(-step, step);
        let prompt = if is_prompt { 1.0 } else { 0.0 };
        self.prompt_share += (prompt - self.prompt_share) * PROMPT_GAIN;
    }

    /// Returns whether an answer of `size` bytes is much shorter than usual for the route.
    pub(super) fn is_short(&self, size: u32) -> bool {
        let log_ratio = (size.max(1) as f32).log2() - self.median_log_size;
        self.answers >= MIN_ANSWERS && log_ratio < SHORT_LOG_RATIO
    }

    /// Returns whether callers acknowledge the route's answers at once.
    pub(super) fn is_prompt(&self) -> bool {
        self.answers >= MIN_ANSWERS && self.prompt_share >= MIN_PROMPT_SHARE
    }
}
