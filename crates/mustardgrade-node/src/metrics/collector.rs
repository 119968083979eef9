//! Collector of the metrics that are read when they are requested.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use mustardgrade_core::cookie::{CookieCounters, PRIORITY_GROUPS, ResetCause};
use mustardgrade_core::flow::DropCause;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;

use super::registry::{HostMetrics, SentByteKind};

/// `HostCollector` reads the counters and gauges when the metrics are encoded.
#[derive(Debug)]
pub(super) struct HostCollector(pub(super) Arc<HostMetrics>);

impl Collector for HostCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let metrics = &self.0;
        let flows = metrics.flow_counters();
        let requests = metrics.request_counters.read();
        let cookie = metrics.cookie_counters.read();
        let load = |value: &AtomicU64| value.load(Ordering::Relaxed);
        let total_count = |index: usize| {
            metrics.record_counts.iter().map(|counts| load(&counts[index])).sum::<u64>()
        };
        let counters = [
            ("packets_tunnelled", "Packets sent to upstreams", flows.packets_tunnelled),
            ("packets_hopped", "Packets forwarded to other hosts", flows.packets_hopped),
            ("hops_received", "Packets received from other hosts", flows.hops_received),
            ("flows_reset", "Flows reset because their upstream is gone", flows.flows_reset),
            (
                "answers_sent",
                "Updates sent to hosts that asked for the upstream of a flow",
                flows.answers_sent,
            ),
            (
                "record_conflicts",
                "Flows for which owner and replica named different upstreams",
                flows.record_conflicts,
            ),
            (
                "flow_table_full",
                "Flows not stored because the flow table was full",
                flows.flow_table_full,
            ),
            (
                "record_table_full",
                "Records not stored because their table was full",
                flows.record_table_full,
            ),
            (
                "cookie_forwarded",
                "Packets forwarded to upstreams by cookie",
                cookie.packets_forwarded,
            ),
            ("cookie_opened", "New flows assigned to an upstream", cookie.flows_opened),
            (
                "cookie_redirected",
                "Openings redirected to another upstream",
                cookie.openings_redirected,
            ),
            (
                "cookie_delayed",
                "Unanswered openings that the host itself had delayed",
                cookie.openings_delayed,
            ),
            (
                "cookie_packets_delayed",
                "Packets that had waited too long at the host itself",
                cookie.packets_delayed,
            ),
            (
                "cookie_shed",
                "Openings dropped since they had waited too long at the host itself",
                cookie.openings_shed,
            ),
            (
                "cookie_corrected",
                "Packets whose cookie named another upstream than the one that holds the flow",
                cookie.cookies_corrected,
            ),
            (
                "cookie_opened_cold",
                "New flows assigned to a cold upstream",
                cookie.flows_opened_cold,
            ),
            ("cookie_spilled", "New flows assigned to another data centre", cookie.flows_spilled),
            ("cookie_refused", "New flows refused with a reset", cookie.flows_refused),
            ("cookie_reset", "Open flows reset", cookie.flows_reset),
            ("cookie_dropped", "Packets dropped", cookie.packets_dropped),
            ("cookie_suspicions", "Upstreams that became suspected", cookie.suspicions_raised),
            (
                "cookie_slow_upstreams",
                "Upstreams that became slow compared with others of their service",
                cookie.slow_upstreams,
            ),
            (
                "cookie_outcomes",
                "Requests whose outcome was observed",
                cookie.outliers.observed_requests,
            ),
            (
                "cookie_outcomes_unanswered",
                "Requests of these that were not answered",
                cookie.outliers.unanswered_requests,
            ),
            (
                "cookie_outcomes_retracted",
                "Unanswered requests of these whose answer came later",
                cookie.outliers.retracted_requests,
            ),
            (
                "cookie_outcomes_short",
                "Requests of these with an answer much shorter than usual",
                cookie.outliers.short_answers,
            ),
            (
                "cookie_ejections",
                "Upstreams ejected since they failed more requests than others",
                cookie.outliers.ejections,
            ),
            (
                "cookie_readmissions",
                "Ejected upstreams that were readmitted",
                cookie.outliers.readmissions,
            ),
            (
                "cookie_probation_openings",
                "New flows assigned to an ejected upstream for probation",
                cookie.outliers.probation_openings,
            ),
            (
                "cookie_centres_lost",
                "Data centres declared unreachable",
                cookie.data_centre_outages,
            ),
            (
                "cookie_upstreams_ended",
                "Runs of upstreams that have provably ended",
                cookie.runs_ended,
            ),
            (
                "cookie_ended_withdrawn",
                "Proofs of ended runs that did not hold any more",
                cookie.proofs_withdrawn,
            ),
            (
                "cookie_ramps_begun",
                "Slow starts of upstreams that have begun",
                cookie.pace.ramps_begun,
            ),
            (
                "cookie_limited",
                "New flows for which an upstream in its slow start was left out",
                cookie.pace.openings_limited,
            ),
            ("requests_received", "Requests from callers", requests.received),
            ("tickets_issued", "Tickets issued", requests.tickets_issued),
            ("requests_dispatched", "Requests sent to upstreams", requests.dispatched),
            ("requests_retried", "Idempotent requests sent again", requests.retried),
            (
                "requests_passed_on",
                "Requests that a dispatcher did not accept at once",
                requests.rerouted,
            ),
            ("requests_answered", "Requests answered by upstreams", requests.answered),
            ("requests_refused", "Requests refused as busy or not run", requests.refused),
            ("requests_unknown", "Requests whose outcome is unknown", requests.unknown_outcomes),
            (
                "stray_answers",
                "Upstream replies that match no exchange",
                requests.unmatched_responses,
            ),
            (
                "bad_tickets",
                "Tickets that are forged, damaged or expire too far in the future",
                requests.invalid_tickets,
            ),
            ("duplicate_requests", "Repeated requests", requests.duplicate_requests),
            (
                "malformed_datagrams",
                "Malformed or unexpected datagrams",
                load(&metrics.malformed_datagrams),
            ),
            (
                "refused_frames",
                "Frames that were not authentic or not expected",
                load(&metrics.refused_frames),
            ),
            (
                "overflows",
                "Datagrams and record transfers lost to full queues or failed sends",
                load(&metrics.overflows),
            ),
            (
                "control_bytes_sent",
                "Bytes of control messages sent to other hosts",
                metrics.sent_bytes(SentByteKind::Control),
            ),
            (
                "hop_bytes_sent",
                "Bytes of packets and requests forwarded to other hosts",
                metrics.sent_bytes(SentByteKind::Hop),
            ),
            ("store_calls", "Calls to the store", load(&metrics.store_calls)),
            ("store_failures", "Failed calls to the store", load(&metrics.store_failures)),
            (
                "store_repairs",
                "Values that the store had lost and this host has written again",
                load(&metrics.store_repairs),
            ),
            (
                "registry_reads",
                "Complete reads of the registry from the store",
                load(&metrics.registry_reads),
            ),
            (
                "ignored_changes",
                "Changes from the store ignored as outdated although not in force",
                load(&metrics.ignored_changes),
            ),
            (
                "startup_packets_held",
                "Packets of open flows held until the registry was read, then routed",
                load(&metrics.startup_packets_held),
            ),
            (
                "route_services_writes",
                "Writes of the services of routes that took effect",
                load(&metrics.service_writes.writes),
            ),
            (
                "route_services_conflicts",
                "Writes of the services of routes that another writer preceded",
                load(&metrics.service_writes.conflicts),
            ),
            (
                "route_services_failures",
                "Writes of the services of routes that failed or were not answered",
                load(&metrics.service_writes.failures),
            ),
        ];
        for (name, help, value) in counters {
            let counter = ConstCounter::new(value);
            let metric = encoder.encode_descriptor(name, help, None, counter.metric_type())?;
            counter.encode(metric)?;
        }
        let gauges = [
            ("rules_revision", "Rules revision in force", load(&metrics.rules_revision)),
            (
                "store_epoch",
                "Number of the store's history, which rises when the store returns from a copy",
                load(&metrics.store_epoch),
            ),
            (
                "placement_generation",
                "Placement generation in force",
                load(&metrics.placement_generation),
            ),
            (
                "guarded_buckets",
                "Buckets that are announced, collecting or settling",
                load(&metrics.guarded_buckets),
            ),
            ("live_hosts", "Live hosts, including this one", load(&metrics.live_hosts)),
            (
                "cookie_upstreams_ramping",
                "Upstreams in their slow start, as this host sees them",
                cookie.pace.ramps_begun.saturating_sub(cookie.pace.ramps_ended),
            ),
            ("bucket_records", "Records of guarded buckets", total_count(0)),
            ("settled_exceptions", "Settled exceptions", total_count(1)),
        ];
        for (name, help, value) in gauges {
            let gauge = ConstGauge::new(value);
            let metric = encoder.encode_descriptor(name, help, None, gauge.metric_type())?;
            gauge.encode(metric)?;
        }
        let mut drop_encoder = encoder.encode_descriptor(
            "packets_dropped",
            "Packets dropped by cause",
            None,
            prometheus_client::metrics::MetricType::Counter,
        )?;
        for cause in DropCause::ALL {
            let labels = [("cause", cause.to_string())];
            ConstCounter::new(flows.dropped(cause)).encode(drop_encoder.encode_family(&labels)?)?;
        }
        let mut reset_encoder = encoder.encode_descriptor(
            "cookie_resets_sent",
            "Resets sent to callers by cause",
            None,
            prometheus_client::metrics::MetricType::Counter,
        )?;
        for cause in ResetCause::ALL {
            let labels = [("cause", cause.to_string())];
            let counter = ConstCounter::new(cookie.resets_for(cause));
            counter.encode(reset_encoder.encode_family(&labels)?)?;
        }
        encode_by_priority(&mut encoder, &cookie)
    }
}

/// Encodes the openings that were assigned to an upstream, or found no room, by priority.
fn encode_by_priority(
    encoder: &mut DescriptorEncoder<'_>,
    cookie: &CookieCounters,
) -> Result<(), std::fmt::Error> {
    let families = [
        ("cookie_priority_opened", "Openings assigned, by priority", cookie.opened_by_priority),
        (
            "cookie_priority_no_room",
            "Openings that found no room, by priority",
            cookie.no_room_by_priority,
        ),
    ];
    for (name, help, counts) in families {
        let counter_type = prometheus_client::metrics::MetricType::Counter;
        let mut family = encoder.encode_descriptor(name, help, None, counter_type)?;
        for (priority, count) in counts.into_iter().enumerate() {
            let is_last = priority == PRIORITY_GROUPS - 1;
            let label = if is_last { format!("{priority}+") } else { priority.to_string() };
            ConstCounter::new(count).encode(family.encode_family(&[("priority", label)])?)?;
        }
    }
    Ok(())
}
