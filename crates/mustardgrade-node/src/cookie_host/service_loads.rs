//! Gauges of the estimated load of services.

use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use mustardgrade_core::cookie::{CookieRouter, ServiceLoad};
use mustardgrade_core::identity::ServiceId;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

use crate::metrics::{HostMetrics, ServiceLoadLabels};

/// Minimum time between two publications, each of which reads the load of every modelled upstream.
const PUBLICATION_INTERVAL: Duration = Duration::from_secs(1);

/// `LoadGauges` are the gauges of one service.
#[derive(Debug)]
struct LoadGauges {
    labels: ServiceLoadLabels,
    answer_seconds: Gauge<f64, AtomicU64>,
    in_flight: Gauge,
}

/// `ServiceLoadGauges` publishes the estimated load of the services whose load is modelled.
///
/// It caches the gauges by service, so that only the first value of a service allocates.
#[derive(Debug)]
pub(super) struct ServiceLoadGauges {
    answer_seconds: Family<ServiceLoadLabels, Gauge<f64, AtomicU64>>,
    in_flight: Family<ServiceLoadLabels, Gauge>,
    gauges: HashMap<ServiceId, LoadGauges>,
    published_at: Duration,
}

impl ServiceLoadGauges {
    pub(super) fn new(metrics: &HostMetrics) -> Self {
        Self {
            answer_seconds: metrics.estimated_answer_seconds.clone(),
            in_flight: metrics.modelled_requests_in_flight.clone(),
            gauges: HashMap::new(),
            published_at: Duration::ZERO,
        }
    }

    /// Publishes the present estimates, at most once per [`PUBLICATION_INTERVAL`]; an answer time
    /// that is not measured is 0. The gauges of services that are no longer modelled are removed.
    pub(super) fn publish(&mut self, router: &CookieRouter, now: Duration) {
        if now.saturating_sub(self.published_at) < PUBLICATION_INTERVAL {
            return;
        }
        self.published_at = now;
        let loads: HashMap<ServiceId, ServiceLoad> = router.service_loads().collect();
        self.gauges.retain(|service, gauges| {
            let is_modelled = loads.contains_key(service);
            if !is_modelled {
                self.answer_seconds.remove(&gauges.labels);
                self.in_flight.remove(&gauges.labels);
            }
            is_modelled
        });
        for (service, load) in loads {
            let Some(name) = router.snapshot().service_names.get(&service) else { continue };
            let (answer_seconds, in_flight) = (&self.answer_seconds, &self.in_flight);
            let gauges = self.gauges.entry(service).or_insert_with(|| {
                let labels = ServiceLoadLabels { service: name.clone() };
                LoadGauges {
                    answer_seconds: answer_seconds.get_or_create(&labels).clone(),
                    in_flight: in_flight.get_or_create(&labels).clone(),
                    labels,
                }
            });
            gauges.answer_seconds.set(load.answer_time.unwrap_or_default().as_secs_f64());
            gauges.in_flight.set(i64::from(load.in_flight));
        }
    }
}
