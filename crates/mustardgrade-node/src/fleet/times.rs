//! Histograms of how long upstreams take, by route.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use mustardgrade_core::cookie::{AnswerStage, CookieSnapshot, FlowEvent};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;

use crate::metrics::AnswerTimeLabels;

/// `FlowTimes` sorts the times of answers into histograms; only the first one of a route allocates.
#[derive(Debug)]
pub(super) struct FlowTimes {
    family: Family<AnswerTimeLabels, Histogram>,
    known: HashMap<(SocketAddrV4, AnswerStage), (String, Histogram)>,
}

impl FlowTimes {
    pub(super) fn new(family: Family<AnswerTimeLabels, Histogram>) -> Self {
        Self { family, known: HashMap::new() }
    }

    /// Takes in the time of an answer; other events are left out, as are those of unknown routes.
    pub(super) fn observe(&mut self, event: &FlowEvent, snapshot: &CookieSnapshot) {
        let FlowEvent::Answered { key, stage, latency } = event else { return };
        let Some(route) = snapshot.routes.get(&key.service) else { return };
        let slot = (key.service, *stage);
        let known = self.known.get(&slot).filter(|(name, _)| *name == route.plan.name);
        if let Some((_, histogram)) = known {
            histogram.observe(latency.as_secs_f64());
            return;
        }
        let labels = AnswerTimeLabels { route: route.plan.name.clone(), stage: stage.to_string() };
        let histogram = self.family.get_or_create(&labels).clone();
        histogram.observe(latency.as_secs_f64());
        self.known.insert(slot, (labels.route, histogram));
    }
}
