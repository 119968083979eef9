//! Why the verdict on a packet is what it is.

use std::time::Duration;

use super::candidates::{candidates_of, explain_upstream, service_name};
use super::explanation::{
    BackendExplanation, CandidateExplanation, DemandExplanation, FlowExplanation, PickExplanation,
    PickResult, RouteExplanation, ServiceChoice, ServiceReason, VerdictExplanation,
};
use super::pick_record::PickRecord;
use super::rule::DecisionRule;
use crate::cookie::admission::AdmissionDecision;
use crate::cookie::counters::{CookieDropCause, ResetCause};
use crate::cookie::packet::{CookiePacket, CookieVerdict};
use crate::cookie::picker::{PickOutcome, UpstreamPicker};
use crate::cookie::router::CookieRouter;
use crate::cookie::snapshot::CookieRoute;
use crate::identity::ServiceId;

/// Describes a verdict that was reached by these selections from the state of `router`.
pub(super) fn describe(
    router: &CookieRouter,
    packet: &CookiePacket,
    verdict: CookieVerdict,
    records: &[PickRecord],
    now: Duration,
) -> FlowExplanation {
    let (snapshot, key) = (&router.snapshot, packet.segment.key);
    let route = snapshot.routes.get(&key.service);
    let is_opening = packet.segment.opens_flow();
    let weighted = route.and_then(|route| UpstreamPicker::pick_service(route, key.fingerprint(0)));
    let final_record = final_record(verdict, records, weighted);
    FlowExplanation {
        caller: key.caller,
        service: key.service,
        cookie: (!is_opening).then(|| packet.cookie.to_string()),
        manifest_version: snapshot.manifest_version,
        store_position: snapshot.store_position,
        route: route.map(|route| explain_route(router, route)),
        choice: weighted
            .zip(final_record)
            .map(|(weighted, record)| explain_choice(router, weighted, record, records)),
        demand: explain_demand(router, weighted.filter(|_| is_opening), packet),
        picks: records.iter().map(|record| explain_pick(router, record)).collect(),
        candidates: explain_candidates(router, packet, verdict, records, now),
        verdict: explain_verdict(router, verdict),
        rule: match is_opening {
            true => opening_rule(verdict, final_record),
            false => open_flow_rule(router, packet, verdict),
        },
    }
}

/// Returns the selection that the verdict follows: that of its upstream, or else that of the
/// service that the weights select, since openings are moved only to upstreams that take them.
fn final_record(
    verdict: CookieVerdict,
    records: &[PickRecord],
    weighted: Option<ServiceId>,
) -> Option<&PickRecord> {
    let forwarded = match verdict {
        CookieVerdict::Forward { index, .. } => Some(index),
        CookieVerdict::Reset(_) | CookieVerdict::Drop(_) => None,
    };
    let is_forwarded =
        |record: &&PickRecord| forwarded.is_some() && record.picked_index() == forwarded;
    let is_weighted = |record: &&PickRecord| Some(record.service) == weighted;
    records.iter().find(is_forwarded).or_else(|| records.iter().find(is_weighted))
}

/// Returns the rule that decided on an opening.
fn opening_rule(verdict: CookieVerdict, record: Option<&PickRecord>) -> DecisionRule {
    match (verdict, record) {
        (CookieVerdict::Drop(CookieDropCause::AlreadyOpen), _) => DecisionRule::AlreadyOpen,
        (CookieVerdict::Forward { .. }, None) => DecisionRule::EarlierTransmission,
        (CookieVerdict::Forward { index, .. }, Some(record))
            if record.picked_index() != Some(index) =>
        {
            DecisionRule::NoOtherUpstream
        }
        (_, Some(record)) => record.rule(),
        (CookieVerdict::Reset(_) | CookieVerdict::Drop(_), None) => DecisionRule::NoBackend,
    }
}

/// Returns the rule that decided on a packet of an open flow.
fn open_flow_rule(
    router: &CookieRouter,
    packet: &CookiePacket,
    verdict: CookieVerdict,
) -> DecisionRule {
    let snapshot = &router.snapshot;
    if !snapshot.routes.contains_key(&packet.segment.key.service) {
        return DecisionRule::NoRoute;
    }
    match verdict {
        CookieVerdict::Forward { cookie, .. } if cookie != packet.cookie => DecisionRule::Holder,
        CookieVerdict::Forward { index, cookie } if snapshot.upstreams[index].cookie != cookie => {
            DecisionRule::EarlierRun
        }
        CookieVerdict::Reset(ResetCause::UpstreamEnded) => DecisionRule::EndedRun,
        CookieVerdict::Forward { .. } | CookieVerdict::Reset(_) | CookieVerdict::Drop(_) => {
            DecisionRule::Cookie
        }
    }
}

fn explain_route(router: &CookieRouter, route: &CookieRoute) -> RouteExplanation {
    let backends = route.config.backends.iter().map(|backend| BackendExplanation {
        service: service_name(&router.snapshot, backend.service),
        weight: backend.weight,
    });
    RouteExplanation {
        name: route.config.name.clone(),
        priority: route.config.priority,
        backends: backends.collect(),
    }
}

fn explain_choice(
    router: &CookieRouter,
    weighted: ServiceId,
    final_record: &PickRecord,
    records: &[PickRecord],
) -> ServiceChoice {
    let is_weighted_tried = records.iter().any(|record| record.service == weighted);
    ServiceChoice {
        weighted: service_name(&router.snapshot, weighted),
        selected: service_name(&router.snapshot, final_record.service),
        reason: match (final_record.service == weighted, is_weighted_tried) {
            (true, _) => ServiceReason::Weights,
            (false, false) => ServiceReason::SpilloverShare,
            (false, true) => ServiceReason::SpilloverNoRoom,
        },
        moved_share: router.spillover.moved_share(weighted),
    }
}

fn explain_demand(
    router: &CookieRouter,
    weighted: Option<ServiceId>,
    packet: &CookiePacket,
) -> Vec<DemandExplanation> {
    let Some(weighted) = weighted else { return Vec::new() };
    let shares = router.admission.route_shares(weighted, *packet.segment.key.caller.ip());
    let name = |address| {
        let route = router.snapshot.routes.get(&address);
        route.map_or_else(|| address.to_string(), |route| route.config.name.clone())
    };
    let demand = shares.into_iter().map(|share| DemandExplanation {
        route: name(share.address),
        priority: share.priority,
        openings_per_sec: share.openings_per_sec,
        requests_per_sec: share.requests_per_sec,
        admitted_percent: share.admitted_share * 100.0,
    });
    demand.collect()
}

fn explain_pick(router: &CookieRouter, record: &PickRecord) -> PickExplanation {
    let upstreams = &router.snapshot.upstreams;
    PickExplanation {
        service: service_name(&router.snapshot, record.service),
        admission: match record.admission {
            AdmissionDecision::ByLoad => "by_load",
            AdmissionDecision::Admit => "admit",
            AdmissionDecision::Refuse => "refuse",
        }
        .to_owned(),
        result: match record.outcome {
            PickOutcome::Picked(_) => PickResult::Picked,
            PickOutcome::NoRoom => PickResult::NoRoom,
            PickOutcome::NoUpstream => PickResult::NoUpstream,
        },
        upstream: record.picked_index().map(|index| upstreams[index].name.clone()),
        rule: record.rule(),
    }
}

/// Returns the upstreams of each service that was tried, once, or that of the packet.
fn explain_candidates(
    router: &CookieRouter,
    packet: &CookiePacket,
    verdict: CookieVerdict,
    records: &[PickRecord],
    now: Duration,
) -> Vec<CandidateExplanation> {
    let is_last = |position: usize| {
        let later = &records[position + 1..];
        later.iter().all(|record| record.service != records[position].service)
    };
    let last_records = records.iter().enumerate().filter(|(position, _)| is_last(*position));
    let candidates: Vec<CandidateExplanation> =
        last_records.flat_map(|(_, record)| candidates_of(router, record, now)).collect();
    match verdict {
        CookieVerdict::Forward { index, .. } if records.is_empty() => {
            vec![explain_upstream(router, index, now)]
        }
        CookieVerdict::Reset(ResetCause::UpstreamEnded) => {
            let index = router.snapshot.upstream_index(packet.cookie);
            index.map(|index| explain_upstream(router, index, now)).into_iter().collect()
        }
        CookieVerdict::Forward { .. } | CookieVerdict::Reset(_) | CookieVerdict::Drop(_) => {
            candidates
        }
    }
}

fn explain_verdict(router: &CookieRouter, verdict: CookieVerdict) -> VerdictExplanation {
    match verdict {
        CookieVerdict::Forward { index, cookie } => {
            let view = &router.snapshot.upstreams[index];
            let (upstream, address) = (view.name.clone(), view.address);
            VerdictExplanation::Forward { upstream, address, cookie: cookie.to_string() }
        }
        CookieVerdict::Reset(cause) if cause.ends_open_flow() => {
            VerdictExplanation::Reset { cause }
        }
        CookieVerdict::Reset(cause) => VerdictExplanation::Refuse { cause },
        CookieVerdict::Drop(cause) => VerdictExplanation::Drop { cause },
    }
}
