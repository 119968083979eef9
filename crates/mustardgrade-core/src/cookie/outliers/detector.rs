//! Which upstreams get no openings since they fail more of their requests than the others do.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::baseline::{MIN_OUTCOMES, RouteBaseline};
use super::evidence::{OutcomeCounts, RequestOutcome};
use super::mode::OutlierMode;
use super::pool::{OutcomeEntry, PooledOutcomes};
use super::upstream::{GroupEvidence, UpstreamOutcomes, event, host_share};
use crate::cookie::flow_cookie::FlowCookie;
use crate::cookie::packet::FlowEvent;
use crate::cookie::snapshot::CookieSnapshot;
use crate::flow::FlowKey;
use crate::identity::{DataCentreId, ServiceId};

/// Interval at which upstreams are compared.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of requests whose outcome is observed at the same time; others do not count.
const MAX_WATCHED: usize = 4_096;

/// Maximum number of upstreams in a report, so that it still fits into one datagram with all its
/// other entries.
pub(super) const MAX_REPORT_OUTCOMES: usize = 24;

/// `OutlierCounters` are the monotonic counters of outlier detection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutlierCounters {
    /// Requests with a certain outcome.
    pub observed_requests: u64,
    /// Requests of them without an answer.
    pub unanswered_requests: u64,
    /// Unanswered requests of them whose answer came later.
    pub retracted_requests: u64,
    /// Requests of them with an answer much shorter than usual.
    pub short_answers: u64,
    /// Ejections of upstreams.
    pub ejections: u64,
    /// Readmissions of upstreams.
    pub readmissions: u64,
    /// Openings sent to ejected upstreams for probation.
    pub probation_openings: u64,
}

/// `WatchedRequest` is a request whose outcome is not certain yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WatchedRequest {
    pub(super) key: FlowKey,
    pub(super) sent_at: Duration,
}

/// `RefreshInput` is what the comparison of the upstreams reads beside the detector's own state.
pub(super) struct RefreshInput<'a> {
    pub(super) pooled: &'a HashMap<FlowCookie, PooledOutcomes>,
    /// Whether the upstream at an index takes openings if it is not ejected.
    pub(super) is_usable: &'a dyn Fn(usize) -> bool,
    pub(super) now: Duration,
}

/// `OutlierDetector` decides which upstreams get no openings since they fail more of their requests
/// than the others of their service and data centre.
#[derive(Debug, Clone, Default)]
pub(in crate::cookie) struct OutlierDetector {
    mode: OutlierMode,
    pub(super) upstreams: Vec<UpstreamOutcomes>,
    /// The few routes of the modelled services.
    baselines: Vec<RouteBaseline>,
    pub(super) watched: Vec<WatchedRequest>,
    /// When packets of open flows were last known to have passed another host or to have been
    /// delayed here, so that the lack of a packet shows nothing.
    pub(super) disturbed_at: Option<Duration>,
    hosts: (usize, usize),
    ejected: usize,
    refreshed_at: Duration,
    report_cursor: usize,
    pub(in crate::cookie) counters: OutlierCounters,
}

impl OutlierDetector {
    pub(in crate::cookie) fn new(mode: OutlierMode) -> Self {
        Self { mode, ..Self::default() }
    }

    /// Adopts a snapshot; the state of upstreams with the same cookie is kept.
    pub(in crate::cookie) fn install_snapshot(
        &mut self,
        snapshot: &CookieSnapshot,
        is_modelled: impl Fn(usize) -> bool,
        now: Duration,
    ) {
        let hosts = (snapshot.local_hosts, snapshot.fleet_hosts);
        if std::mem::replace(&mut self.hosts, hosts) != hosts {
            // The fabric moves flows between hosts when their set changes.
            self.note_disturbance(now);
        }
        let known: HashMap<FlowCookie, UpstreamOutcomes> =
            self.upstreams.iter().map(|upstream| (upstream.cookie, *upstream)).collect();
        let views = snapshot.upstreams.iter().enumerate().map(|(index, view)| {
            let is_modelled = self.mode == OutlierMode::Auto && is_modelled(index);
            let known = known.get(&view.cookie).filter(|_| is_modelled);
            let fresh = UpstreamOutcomes::new(view, is_modelled);
            known.map_or(fresh, |known| UpstreamOutcomes {
                window: known.window,
                ejection: known.ejection,
                merged: known.merged,
                ..fresh
            })
        });
        self.upstreams = views.collect();
        self.ejected = self.count_ejected();
        self.install_baselines(snapshot);
    }

    fn install_baselines(&mut self, snapshot: &CookieSnapshot) {
        let known = std::mem::take(&mut self.baselines);
        for (service, data_centre) in self.groups() {
            let routes = snapshot.routes.iter();
            let routes = routes.filter(|(_, route)| route.allowed_services.contains(&service));
            self.baselines.extend(routes.map(|(route, _)| {
                let group = (service, data_centre, *route);
                let known = known.iter().find(|known| known.group() == group);
                known.copied().unwrap_or_else(|| RouteBaseline::new(service, data_centre, *route))
            }));
        }
        let max_watched = if self.baselines.is_empty() { 0 } else { MAX_WATCHED };
        self.watched.reserve(max_watched.saturating_sub(self.watched.len()));
    }

    fn groups(&self) -> Vec<(ServiceId, DataCentreId)> {
        let modelled = self.upstreams.iter().filter(|upstream| upstream.is_modelled);
        let mut groups: Vec<_> =
            modelled.map(|upstream| (upstream.service, upstream.data_centre)).collect();
        groups.sort_unstable();
        groups.dedup();
        groups
    }

    /// Notes that packets may have been delayed here or may have passed another host.
    pub(in crate::cookie) fn note_disturbance(&mut self, now: Duration) {
        self.disturbed_at = Some(now);
    }

    /// Returns whether the lack of packets since `since` shows nothing.
    pub(super) fn is_disturbed_since(&self, since: Duration) -> bool {
        self.disturbed_at.is_some_and(|disturbed_at| disturbed_at >= since)
    }

    /// Returns whether outcomes of requests to the upstream at `index` are observed.
    pub(super) fn observes(&self, index: usize) -> bool {
        self.upstreams[index].is_modelled && self.watched.len() < MAX_WATCHED
    }

    /// Returns what is usual for a route at the upstreams like the one at `index`.
    pub(super) fn baseline_mut(
        &mut self,
        index: usize,
        route: SocketAddrV4,
    ) -> Option<&mut RouteBaseline> {
        let upstream = &self.upstreams[index];
        let group = (upstream.service, upstream.data_centre, route);
        self.baselines.iter_mut().find(|baseline| baseline.group() == group)
    }

    /// Records the certain outcome of a request, and returns the number of its period.
    pub(super) fn record(
        &mut self,
        index: usize,
        route: SocketAddrV4,
        outcome: RequestOutcome,
        now: Duration,
    ) -> Option<u32> {
        self.counters.observed_requests += 1;
        let expected = self.baseline_mut(index, route)?.record(outcome, now)?;
        Some(self.upstreams[index].window.record(outcome, expected, now))
    }

    /// Takes back that a request was not answered, since its answer came late.
    pub(super) fn retract(
        &mut self,
        index: usize,
        route: SocketAddrV4,
        period: u32,
        now: Duration,
    ) {
        self.counters.retracted_requests += 1;
        self.upstreams[index].window.retract_failure(period, now);
        if let Some(baseline) = self.baseline_mut(index, route) {
            baseline.window.retract_failure(period, now);
        }
    }

    /// Returns whether the upstream at `index` gets no openings but those of its probation.
    pub(in crate::cookie) fn is_ejected(&self, index: usize) -> bool {
        self.ejected > 0 && self.upstreams[index].ejection.is_ejected()
    }

    /// Returns whether this host may send an opening to the ejected upstream at `index`.
    pub(super) fn is_probation_due(&self, index: usize, now: Duration) -> bool {
        self.upstreams[index].ejection.is_probation_due(now)
    }

    /// Records that an opening is sent to the ejected upstream at `index`.
    pub(super) fn record_probation(&mut self, index: usize, now: Duration) {
        self.counters.probation_openings += 1;
        let hosts = self.host_count();
        self.upstreams[index].ejection.record_probation(now, hosts);
    }

    /// Ejects the upstream at `index`, for other detections that tests compare with.
    #[cfg(test)]
    pub(in crate::cookie) fn eject_for_comparison(&mut self, index: usize, now: Duration) {
        let hosts = self.host_count();
        let _ = self.upstreams[index].ejection.eject(now, 0.5, hosts);
        self.ejected = self.count_ejected();
    }

    /// Ends an ejection of [`eject_for_comparison`](Self::eject_for_comparison).
    #[cfg(test)]
    pub(in crate::cookie) fn readmit_for_comparison(&mut self, index: usize, now: Duration) {
        let _ = self.upstreams[index].ejection.readmit(now);
        self.ejected = self.count_ejected();
    }

    /// Returns the number of hosts that share the probations and their outcomes.
    fn host_count(&self) -> u32 {
        u32::try_from(self.hosts.0).unwrap_or(u32::MAX).max(1)
    }

    /// Compares the upstreams if it is due, and appends ejections and readmissions to `events`.
    pub(super) fn refresh(&mut self, input: &RefreshInput<'_>, events: &mut Vec<FlowEvent>) {
        let now = input.now;
        let is_idle = self.baselines.is_empty();
        if is_idle || now.saturating_sub(self.refreshed_at) < REFRESH_INTERVAL {
            return;
        }
        self.refreshed_at = now;
        let hosts = self.host_count();
        let due = self.update_evidence(input);
        for upstream in &mut self.upstreams {
            let draw = host_share(upstream.cookie, now);
            let change = upstream.ejection.advance(&upstream.merged, now, draw, hosts);
            events.extend(change.map(|change| event(upstream, change)));
        }
        self.eject_due(due, input, events);
        self.readmit_beyond_limit(input, events);
        self.ejected = self.count_ejected();
        self.count_changes(events);
    }

    /// Merges the own evidence with that of the others, and returns the upstreams that are due to
    /// be ejected by it.
    fn update_evidence(&mut self, input: &RefreshInput<'_>) -> Vec<usize> {
        let now = input.now;
        for upstream in self.upstreams.iter_mut().filter(|upstream| upstream.is_modelled) {
            let reported = input.pooled.get(&upstream.cookie).map(|pooled| pooled.counts(now));
            upstream.reported = reported.unwrap_or_default();
            upstream.merged = upstream.window.counts(now).plus(&upstream.reported);
        }
        let groups = self.group_evidence(now);
        let mut due = Vec::new();
        for (index, upstream) in self.upstreams.iter_mut().enumerate() {
            let group = groups.iter().find(|group| group.includes(upstream));
            let Some(group) = group.filter(|_| upstream.is_modelled) else { continue };
            // What was expected when a request failed lags behind if all begin to fail.
            let usual_share = match upstream.reported.total > 0.0 {
                true => group.median_share,
                false => group.own.failed_share().max(group.median_share),
            };
            upstream.merged = upstream.merged.with_expected_share(usual_share);
            let is_due = upstream.ejection.is_ejection_due(&upstream.merged, now);
            if is_due && group.own.total >= MIN_OUTCOMES {
                due.push(index);
            }
        }
        due
    }

    fn eject_due(
        &mut self,
        mut due: Vec<usize>,
        input: &RefreshInput<'_>,
        events: &mut Vec<FlowEvent>,
    ) {
        let (now, hosts) = (input.now, self.host_count());
        // The clearest outliers come first, since not all of them may be ejected.
        due.sort_by(|a, b| self.excess_share(*b).total_cmp(&self.excess_share(*a)));
        for index in due {
            if self.allows_ejection(index, input.is_usable) {
                let upstream = &mut self.upstreams[index];
                let draw = host_share(upstream.cookie, now);
                let change = upstream.ejection.eject(now, draw, hosts);
                events.push(event(upstream, change));
            }
        }
    }

    /// Returns the evidence of each service in each data centre.
    fn group_evidence(&mut self, now: Duration) -> Vec<GroupEvidence> {
        let mut evidence = Vec::new();
        for (service, data_centre) in self.groups() {
            let baselines = self.baselines.iter_mut();
            let baselines = baselines.filter(|baseline| baseline.is_of(service, data_centre));
            let own = baselines
                .fold(OutcomeCounts::default(), |sum, baseline| sum.plus(&baseline.counts(now)));
            let known = self.upstreams.iter().filter(|upstream| {
                (upstream.service, upstream.data_centre) == (service, data_centre)
                    && upstream.merged.total > 0.0
            });
            let mut shares: Vec<f32> =
                known.map(|upstream| upstream.merged.failed_share()).collect();
            shares.sort_by(f32::total_cmp);
            let median_share = shares.get(shares.len() / 2).copied().unwrap_or_default();
            evidence.push(GroupEvidence { service, data_centre, own, median_share });
        }
        evidence
    }

    pub(super) fn excess_share(&self, index: usize) -> f32 {
        self.upstreams[index].merged.excess_share()
    }

    fn count_ejected(&self) -> usize {
        self.upstreams.iter().filter(|upstream| upstream.ejection.is_ejected()).count()
    }

    fn count_changes(&mut self, events: &[FlowEvent]) {
        for event in events {
            match event {
                FlowEvent::Ejected { .. } => self.counters.ejections += 1,
                FlowEvent::Readmitted { .. } => self.counters.readmissions += 1,
                _ => {}
            }
        }
    }

    /// Returns the outcomes that a load report lists: those of upstreams that have failed requests
    /// of this host or of another one, or are ejected.
    ///
    /// Hosts without a failure report their answers too; otherwise the pooled share of failures
    /// would be that of the hosts that have seen one.
    pub(in crate::cookie) fn report(
        &mut self,
        pooled: &HashMap<FlowCookie, PooledOutcomes>,
        now: Duration,
    ) -> Vec<OutcomeEntry> {
        let mut entries = Vec::new();
        if self.baselines.is_empty() {
            return entries;
        }
        let start = self.report_cursor % self.upstreams.len().max(1);
        for index in (start..self.upstreams.len()).chain(0..start) {
            let upstream = &mut self.upstreams[index];
            if !upstream.is_modelled {
                continue;
            }
            let counts = upstream.window.counts(now);
            let reported = pooled.get(&upstream.cookie).map(|pooled| pooled.counts(now));
            let has_failed = counts.failed + reported.unwrap_or_default().failed > 0.0;
            if counts.total > 0.0 && (has_failed || upstream.ejection.is_ejected()) {
                entries.push(OutcomeEntry::new(upstream.cookie, counts));
            }
            if entries.len() == MAX_REPORT_OUTCOMES {
                self.report_cursor = index + 1;
                break;
            }
        }
        entries
    }
}
