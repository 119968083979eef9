//! Histograms of the answer latency of upstreams, by route and stage.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use mustardgrade_core::cookie::{AnswerStage, CookieSnapshot, FlowEvent};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;

use crate::metrics::AnswerTimeLabels;

/// `AnswerTimes` records answer latencies in histograms.
///
/// It caches the histograms by service address and stage, so that only the first latency of a route
/// and stage allocates.
#[derive(Debug)]
pub(super) struct AnswerTimes {
    answer_seconds: Family<AnswerTimeLabels, Histogram>,
    histograms: HashMap<(SocketAddrV4, AnswerStage), (String, Histogram)>,
}

impl AnswerTimes {
    pub(super) fn new(answer_seconds: Family<AnswerTimeLabels, Histogram>) -> Self {
        Self { answer_seconds, histograms: HashMap::new() }
    }

    /// Records the latency of a [`FlowEvent::Answered`] event; ignores other events and unknown
    /// routes.
    pub(super) fn observe(&mut self, event: &FlowEvent, snapshot: &CookieSnapshot) {
        let FlowEvent::Answered { key, stage, latency } = event else { return };
        let Some(route) = snapshot.routes.get(&key.service) else { return };
        let cache_key = (key.service, *stage);
        let cached = self.histograms.get(&cache_key).filter(|(name, _)| *name == route.config.name);
        if let Some((_, histogram)) = cached {
            histogram.observe(latency.as_secs_f64());
            return;
        }
        let labels =
            AnswerTimeLabels { route: route.config.name.clone(), stage: stage.to_string() };
        let histogram = self.answer_seconds.get_or_create(&labels).clone();
        histogram.observe(latency.as_secs_f64());
        self.histograms.insert(cache_key, (labels.route, histogram));
    }
}
