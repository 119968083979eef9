//! What a host knows of the upstreams that a flow may go to.

use std::time::Duration;

use super::explanation::{
    CandidateExplanation, CandidateState, SlowStartExplanation, UpstreamEvidence,
};
use super::pick_record::PickRecord;
use crate::cookie::pick_cost::PlacementTotals;
use crate::cookie::picker::{LOAD_UNIT, PickCandidate};
use crate::cookie::router::CookieRouter;
use crate::cookie::snapshot::CookieSnapshot;
use crate::identity::ServiceId;

/// Returns the name of a service, or its identifier if no manifest names it.
pub(super) fn service_name(snapshot: &CookieSnapshot, service: ServiceId) -> String {
    let name = snapshot.service_names.get(&service);
    name.cloned().unwrap_or_else(|| service.to_string())
}

/// Returns all upstreams of the service of a selection.
pub(super) fn candidates_of(
    router: &CookieRouter,
    record: &PickRecord,
    now: Duration,
) -> Vec<CandidateExplanation> {
    let indices = router.snapshot.upstreams_by_service.get(&record.service);
    let indices = indices.map_or(&[][..], Vec::as_slice);
    let totals = PlacementTotals::of(&record.candidates);
    // The candidates are in the order of the snapshot.
    let mut considered = record.candidates.iter().peekable();
    let explain = |index: &usize| {
        let candidate = considered.next_if(|candidate| candidate.index == *index);
        let explanation = explain_upstream(router, *index, now);
        match candidate {
            Some(candidate) => explain_candidate(router, explanation, candidate, totals),
            // Only the upstream of an earlier transmission is left out although it accepts flows.
            None if explanation.state == CandidateState::Open => {
                CandidateExplanation { state: CandidateState::Tried, ..explanation }
            }
            None => explanation,
        }
    };
    indices.iter().map(explain).collect()
}

/// Returns what is known of an upstream apart from any selection.
pub(super) fn explain_upstream(
    router: &CookieRouter,
    index: usize,
    now: Duration,
) -> CandidateExplanation {
    let view = &router.snapshot.upstreams[index];
    let (tracker, peers) = (&router.trackers[index], router.peer_loads[index]);
    let merged = tracker.merged_with_peers(peers);
    let load = router.upstream_load(index, now);
    let detection = &router.options.failure_detection;
    CandidateExplanation {
        upstream: view.name.clone(),
        cookie: view.cookie.to_string(),
        address: view.address,
        service: service_name(&router.snapshot, view.service),
        data_centre: view.data_centre.to_string(),
        is_local: view.is_local,
        state: match view.accepts_flows(now) {
            true => CandidateState::Open,
            false => CandidateState::Closed,
        },
        slots: view.slots,
        own_in_flight: tracker.in_flight(),
        reported_in_flight: peers.in_flight,
        in_flight: load.in_flight,
        expected_wait_ms: millis(load.expected_wait),
        answer_time_ms: millis(load.answer_time),
        is_answer_time_measured: load.is_measured,
        relative_answer_time_percent: router.load_model.relative_ratio(index) * 100 / LOAD_UNIT,
        load_percent: None,
        cost_percent: None,
        open_flows: tracker.open_flows,
        cold_left_ms: view.is_cold(now).then(|| millis(view.cold_until.saturating_sub(now))),
        is_suspected: merged.is_suspected(detection),
        is_ejected: router.outliers.is_ejected(index),
        ended_by: router.ended_runs.successor_of(view.cookie).map(|successor| {
            let index = router.snapshot.upstream_index(successor);
            index.map_or_else(
                || successor.to_string(),
                |index| router.snapshot.upstreams[index].name.clone(),
            )
        }),
        is_probe_due: false,
        has_slow_opening: merged.has_slow_opening(detection, now),
        slow_start: None,
        evidence: evidence(router, index, now),
    }
}

/// Adds what the selection has read of a candidate.
fn explain_candidate(
    router: &CookieRouter,
    explanation: CandidateExplanation,
    candidate: &PickCandidate,
    totals: PlacementTotals,
) -> CandidateExplanation {
    let is_ramping = router.pace.is_ramping(candidate.index);
    let slow_start = SlowStartExplanation {
        limit_permille: router.pace.limit(candidate.index),
        is_limited: candidate.is_limited,
        is_owed_flow: candidate.is_owed_flow,
    };
    let cost = candidate.is_healthy().then(|| totals.cost(candidate));
    CandidateExplanation {
        load_percent: Some(candidate.load * 100 / LOAD_UNIT),
        cost_percent: cost.map(|cost| cost * 100 / LOAD_UNIT),
        is_suspected: candidate.is_suspected,
        is_probe_due: candidate.is_probe_due,
        has_slow_opening: candidate.is_slow,
        slow_start: (is_ramping || candidate.is_limited).then_some(slow_start),
        ..explanation
    }
}

/// Returns what speaks against an upstream, from this host and from the reports of the others.
fn evidence(router: &CookieRouter, index: usize, now: Duration) -> UpstreamEvidence {
    let (tracker, peers) = (&router.trackers[index], router.peer_loads[index]);
    let merged = tracker.merged_with_peers(peers);
    let own = tracker.cleared_by_answer(peers.last_alive);
    let presumed = merged.presumed_unanswered_flows;
    let presumed_since = (presumed > 0).then_some(merged.presumed_since);
    let since = [merged.unanswered_since(), presumed_since].into_iter().flatten().min();
    let last_alive = Some(merged.last_alive).filter(|at| !at.is_zero());
    UpstreamEvidence {
        own_unanswered_flows: own.unanswered_flows,
        reported_unanswered_flows: merged.unanswered_flows - own.unanswered_flows,
        presumed_unanswered_flows: presumed,
        unanswered_age_ms: since.map(|since| millis(now.saturating_sub(since))),
        alive_age_ms: last_alive.map(|at| millis(now.saturating_sub(at))),
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
