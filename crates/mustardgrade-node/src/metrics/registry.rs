//! Metrics of a host, and the cells in which its threads publish their counters.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mustardgrade_core::cookie::{CookieCounters, CookieSnapshot, FlowEvent};
use mustardgrade_core::flow::FlowCounters;
use mustardgrade_core::request::RequestCounters;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use super::collector::HostCollector;
use super::labels::{AnswerTimeLabels, FlowLabels, RequestLabels, RouteLabels, ServiceLoadLabels};
use super::service_writes::ServiceWriteCounts;

/// `PublishedCounters` holds the counters that one thread publishes; readers never block it.
#[derive(Debug, Default)]
pub struct PublishedCounters<T>(Mutex<T>);

impl<T: Copy + Default> PublishedCounters<T> {
    /// Publishes counters, unless a reader holds the lock.
    pub fn publish(&self, counters: &T) {
        if let Ok(mut cell) = self.0.try_lock() {
            *cell = *counters;
        }
    }

    /// Returns the last published counters.
    pub fn read(&self) -> T {
        self.0.lock().map(|cell| *cell).unwrap_or_default()
    }
}

/// `SentByteKind` says what kind of data sent bytes belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SentByteKind {
    /// Control messages to other hosts.
    Control,
    /// Packets and requests forwarded to other hosts.
    Hop,
}

/// `HostMetrics` holds all metrics of a host.
#[derive(Debug)]
pub struct HostMetrics {
    /// Counters of each traffic thread.
    pub traffic_thread_counters: Vec<PublishedCounters<FlowCounters>>,
    /// Number of records and number of settled exceptions on each traffic thread.
    pub record_counts: Vec<[AtomicU64; 2]>,
    /// Counters of the thread that routes flows by cookie.
    pub cookie_counters: PublishedCounters<CookieCounters>,
    /// Counters of the request thread.
    pub request_counters: PublishedCounters<RequestCounters>,
    /// Datagrams that could not be decoded or were unexpected, and messages that could not be
    /// encoded.
    pub malformed_datagrams: AtomicU64,
    /// Frames from other hosts that were not authentic or carried an unexpected message.
    pub refused_frames: AtomicU64,
    /// Datagrams and record transfers lost because a socket buffer or queue was full or sending
    /// failed, and receive calls of the cookie traffic thread that failed.
    pub overflows: AtomicU64,
    pub(super) control_bytes_sent: AtomicU64,
    pub(super) hop_bytes_sent: AtomicU64,
    /// Rules revision in force.
    pub rules_revision: AtomicU64,
    /// Number of the store's history that the rules revision belongs to.
    pub store_epoch: AtomicU64,
    /// Placement generation in force.
    pub placement_generation: AtomicU64,
    /// Number of buckets that are announced, collecting or settling.
    pub guarded_buckets: AtomicU64,
    /// Number of live hosts, including this one.
    pub live_hosts: AtomicU64,
    /// Calls to the store.
    pub store_calls: AtomicU64,
    /// Failed calls to the store.
    pub store_failures: AtomicU64,
    /// Values that the store had lost and this host has written again.
    pub store_repairs: AtomicU64,
    /// Complete reads of the registry from the store.
    pub registry_reads: AtomicU64,
    /// Changes from the store that were ignored as outdated although their content was not in
    /// force.
    pub ignored_changes: AtomicU64,
    /// Packets of open flows that were held until the first snapshot and then routed.
    pub startup_packets_held: AtomicU64,
    /// Results of writes of the services that routes have had.
    pub service_writes: ServiceWriteCounts,
    /// Time from the receipt of a request to its final reply, by customer, class and outcome.
    pub request_seconds: Family<RequestLabels, Histogram>,
    /// Time from an opening or request on a flow routed by cookie until the caller acknowledges the
    /// answer.
    pub answer_seconds: Family<AnswerTimeLabels, Histogram>,
    /// Openings assigned to another backend than the weights select.
    pub openings_moved: Family<RouteLabels, Counter>,
    /// Estimated answer time of the upstreams of a service.
    pub estimated_answer_seconds: Family<ServiceLoadLabels, Gauge<f64, AtomicU64>>,
    /// Requests and openings in flight at the upstreams of a service, as modelled.
    pub modelled_requests_in_flight: Family<ServiceLoadLabels, Gauge>,
    /// Time between two ticks of the control thread of a host that routes flows by cookie.
    pub control_tick_seconds: Histogram,
    /// Sizes of flow packets by customer and class.
    pub packet_bytes: Family<FlowLabels, Histogram>,
}

impl HostMetrics {
    /// Creates the metrics of a host with `traffic_threads` threads for flows.
    #[must_use]
    pub fn new(traffic_threads: usize) -> Arc<Self> {
        Arc::new(Self {
            traffic_thread_counters: (0..traffic_threads)
                .map(|_| PublishedCounters::default())
                .collect(),
            record_counts: (0..traffic_threads).map(|_| Default::default()).collect(),
            cookie_counters: PublishedCounters::default(),
            request_counters: PublishedCounters::default(),
            malformed_datagrams: AtomicU64::new(0),
            refused_frames: AtomicU64::new(0),
            overflows: AtomicU64::new(0),
            control_bytes_sent: AtomicU64::new(0),
            hop_bytes_sent: AtomicU64::new(0),
            rules_revision: AtomicU64::new(0),
            store_epoch: AtomicU64::new(0),
            placement_generation: AtomicU64::new(0),
            guarded_buckets: AtomicU64::new(0),
            live_hosts: AtomicU64::new(0),
            store_calls: AtomicU64::new(0),
            store_failures: AtomicU64::new(0),
            store_repairs: AtomicU64::new(0),
            registry_reads: AtomicU64::new(0),
            ignored_changes: AtomicU64::new(0),
            startup_packets_held: AtomicU64::new(0),
            service_writes: ServiceWriteCounts::default(),
            // 1 ms to 16 s: shorter times are network latency, and no caller waits longer.
            request_seconds: Family::new_with_constructor(|| {
                Histogram::new(exponential_buckets(0.001, 2.0, 15))
            }),
            answer_seconds: Family::new_with_constructor(|| {
                Histogram::new(exponential_buckets(0.001, 2.0, 15))
            }),
            openings_moved: Family::default(),
            estimated_answer_seconds: Family::default(),
            modelled_requests_in_flight: Family::default(),
            // 64 ms to 8 s: ticks come no sooner, and a host that lags longer is suspended.
            control_tick_seconds: Histogram::new(exponential_buckets(0.064, 2.0, 8)),
            packet_bytes: Family::new_with_constructor(|| {
                Histogram::new(exponential_buckets(64.0, 2.0, 6))
            }),
        })
    }

    /// Counts a [`FlowEvent::OpeningMoved`] event by its route; ignores other events.
    pub fn count_moved_opening(&self, event: &FlowEvent, snapshot: &CookieSnapshot) {
        let FlowEvent::OpeningMoved { route } = event else { return };
        let Some(route) = snapshot.routes.get(route) else { return };
        let labels = RouteLabels { route: route.config.name.clone() };
        self.openings_moved.get_or_create(&labels).inc();
    }

    /// Adds to the number of sent bytes of a kind.
    pub fn add_sent_bytes(&self, kind: SentByteKind, bytes: usize) {
        let counter = match kind {
            SentByteKind::Control => &self.control_bytes_sent,
            SentByteKind::Hop => &self.hop_bytes_sent,
        };
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the number of sent bytes of a kind.
    #[must_use]
    pub fn sent_bytes(&self, kind: SentByteKind) -> u64 {
        match kind {
            SentByteKind::Control => self.control_bytes_sent.load(Ordering::Relaxed),
            SentByteKind::Hop => self.hop_bytes_sent.load(Ordering::Relaxed),
        }
    }

    /// Records the time that a request took until its final reply.
    pub fn observe_request(&self, labels: &RequestLabels, duration: Duration) {
        self.request_seconds.get_or_create(labels).observe(duration.as_secs_f64());
    }

    /// Returns the totals over all traffic threads.
    #[must_use]
    pub fn flow_counters(&self) -> FlowCounters {
        let mut totals = FlowCounters::default();
        for cell in &self.traffic_thread_counters {
            let counters = cell.read();
            totals.packets_tunnelled += counters.packets_tunnelled;
            totals.packets_hopped += counters.packets_hopped;
            totals.hops_received += counters.hops_received;
            totals.flows_reset += counters.flows_reset;
            totals.answers_sent += counters.answers_sent;
            totals.record_conflicts += counters.record_conflicts;
            totals.flow_table_full += counters.flow_table_full;
            totals.record_table_full += counters.record_table_full;
            for (total, dropped) in totals.packets_dropped.iter_mut().zip(counters.packets_dropped)
            {
                *total += dropped;
            }
        }
        totals
    }

    /// Creates the Prometheus registry from which the metrics are encoded.
    #[must_use]
    pub fn registry(self: &Arc<Self>) -> Registry {
        let mut registry = Registry::with_prefix("mustardgrade");
        registry.register(
            "request_seconds",
            "Time from the receipt of a request to its final reply",
            self.request_seconds.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time from an opening or request to the acknowledgement of the answer",
            self.answer_seconds.clone(),
        );
        registry.register(
            "cookie_openings_moved",
            "Openings assigned to another backend than the weights select",
            self.openings_moved.clone(),
        );
        registry.register(
            "estimated_answer_seconds",
            "Estimated answer time of the upstreams of a service without their queues",
            self.estimated_answer_seconds.clone(),
        );
        registry.register(
            "modelled_requests_in_flight",
            "Requests and openings of all hosts in flight at a service as modelled",
            self.modelled_requests_in_flight.clone(),
        );
        registry.register(
            "control_tick_seconds",
            "Time between two ticks of the control thread",
            self.control_tick_seconds.clone(),
        );
        registry.register("packet_bytes", "Sizes of flow packets", self.packet_bytes.clone());
        registry.register_collector(Box::new(HostCollector(Arc::clone(self))));
        registry
    }
}
