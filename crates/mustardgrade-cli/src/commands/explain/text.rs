//! Text of a host's explanation.

use std::fmt::Write;

use mustardgrade::core::cookie::{
    CandidateExplanation, DemandExplanation, FlowExplanation, HostExplanation, UpstreamEvidence,
    VerdictExplanation,
};

/// Formats an explanation: the verdict first, then what it was based on, then the upstreams.
pub(super) fn format_explanation(explanation: &HostExplanation) -> String {
    let flow = &explanation.flow;
    let mut text = String::new();
    let mut line = |name: &str, value: String| {
        // Writing to a `String` cannot fail.
        let _never_fails = writeln!(text, "{name:<11}{value}");
    };
    line("flow", format!("{}>{}", flow.caller, flow.service));
    line("packet", describe_packet(flow));
    line("verdict", describe_verdict(&flow.verdict));
    line("rule", flow.rule.to_string());
    line("host", explanation.host.clone());
    line("view", describe_view(explanation));
    line("route", describe_route(flow));
    if let Some(choice) = &flow.choice {
        let moved_percent = choice.moved_share * 100.0;
        let moved = format!("moved to other backends: {moved_percent:.0}%");
        let service = format!("{} ({}; {moved})", choice.selected, choice.reason);
        line("weights", choice.weighted.clone());
        line("service", service);
    }
    for demand in &flow.demand {
        line("demand", describe_demand(demand));
    }
    for pick in &flow.picks {
        let upstream = pick.upstream.as_deref().unwrap_or("-");
        let admission = &pick.admission;
        let result = format!("{} {upstream}, admission={admission}", pick.result);
        line("selection", format!("{}: {result}; {}", pick.service, pick.rule));
    }
    text.push_str(&format_candidates(&flow.candidates));
    text
}

fn describe_packet(flow: &FlowExplanation) -> String {
    match &flow.cookie {
        None => "opening of a new flow".to_owned(),
        Some(cookie) => format!("of an open flow, cookie {cookie}"),
    }
}

fn describe_verdict(verdict: &VerdictExplanation) -> String {
    match verdict {
        VerdictExplanation::Forward { upstream, address, cookie } => {
            format!("forward to {upstream} at {address}, cookie {cookie}")
        }
        VerdictExplanation::Refuse { cause } => format!("refuse with a reset, cause {cause}"),
        VerdictExplanation::Reset { cause } => format!("reset the open flow, cause {cause}"),
        VerdictExplanation::Drop { cause } => format!("drop without an answer, cause {cause}"),
    }
}

fn describe_view(explanation: &HostExplanation) -> String {
    let flow = &explanation.flow;
    let confirmed = match explanation.confirmation_age_ms {
        Some(age_ms) => format!("confirmed {age_ms} ms ago"),
        None => "never confirmed".to_owned(),
    };
    let stale = if explanation.is_stale { ", STALE" } else { "" };
    let position = flow.store_position;
    format!("manifest version {}, {position}, {confirmed}{stale}", flow.manifest_version)
}

fn describe_route(flow: &FlowExplanation) -> String {
    let Some(route) = &flow.route else { return "none; a manifest has dropped it".to_owned() };
    let backends = route.backends.iter();
    let backends: Vec<String> =
        backends.map(|backend| format!("{}*{}", backend.service, backend.weight)).collect();
    format!("{} priority={} backends={}", route.name, route.priority, backends.join(","))
}

fn describe_demand(demand: &DemandExplanation) -> String {
    let DemandExplanation { route, priority, .. } = demand;
    let (openings, requests) = (demand.openings_per_sec, demand.requests_per_sec);
    let admitted = demand.admitted_percent;
    let rates = format!("{openings:.1} openings/s, {requests:.1} requests/s");
    format!(
        "{route} priority={priority}: {rates}, {admitted:.0}% of this caller's openings admitted"
    )
}

/// Formats the upstreams as a table with one line each.
fn format_candidates(candidates: &[CandidateExplanation]) -> String {
    if candidates.is_empty() {
        return "no upstreams\n".to_owned();
    }
    let mut table = format!(
        "{:<16} {:<12} {:<18} {:<6} {:>5} {:>5} {:>5} {:>6} {:>8} {:>8} {:>6} {:>5} {:>5}  {}\n",
        "upstream",
        "service",
        "data centre",
        "state",
        "slots",
        "own",
        "other",
        "flows",
        "wait ms",
        "answer",
        "speed",
        "load",
        "cost",
        "notes"
    );
    for candidate in candidates {
        let centre = if candidate.is_local { "local" } else { &candidate.data_centre };
        let answer_time = candidate.answer_time_ms;
        let answer = match candidate.is_answer_time_measured {
            true => format!("{answer_time}"),
            false => format!("{answer_time}?"),
        };
        let percent = |value: Option<u64>| value.map_or("-".to_owned(), |value| value.to_string());
        let _never_fails = writeln!(
            table,
            "{:<16} {:<12} {:<18} {:<6} {:>5} {:>5} {:>5} {:>6} {:>8} {:>8} {:>6} {:>5} {:>5}  {}",
            candidate.upstream,
            candidate.service,
            centre,
            candidate.state.to_string(),
            candidate.slots,
            candidate.own_in_flight,
            candidate.reported_in_flight,
            candidate.open_flows,
            candidate.expected_wait_ms,
            answer,
            candidate.relative_answer_time_percent,
            percent(candidate.load_percent),
            percent(candidate.cost_percent),
            describe_notes(candidate)
        );
    }
    table.lines().map(|line| format!("{}\n", line.trim_end())).collect()
}

/// Describes what keeps an upstream from flows, or brings it some.
fn describe_notes(candidate: &CandidateExplanation) -> String {
    let mut notes = Vec::new();
    notes.extend(candidate.cold_left_ms.map(|left_ms| format!("cold for {left_ms} ms")));
    if candidate.is_suspected {
        notes.push("suspected".to_owned());
    }
    if candidate.is_ejected {
        notes.push("ejected".to_owned());
    }
    notes.extend(
        candidate.ended_by.as_ref().map(|successor| format!("ended, {successor} is there")),
    );
    if candidate.is_probe_due {
        notes.push("probe due".to_owned());
    }
    if candidate.has_slow_opening {
        notes.push("slow opening".to_owned());
    }
    notes.extend(candidate.slow_start.map(|slow_start| {
        let limit = slow_start.limit_permille;
        match (slow_start.is_owed_flow, slow_start.is_limited) {
            (true, _) => format!("slow start at {limit}/1000, owed a flow"),
            (false, true) => format!("slow start at {limit}/1000, left out"),
            (false, false) => format!("slow start at {limit}/1000"),
        }
    }));
    notes.extend(describe_evidence(&candidate.evidence));
    notes.join(", ")
}

fn describe_evidence(evidence: &UpstreamEvidence) -> Option<String> {
    let unanswered_age = evidence.unanswered_age_ms?;
    let (own, reported) = (evidence.own_unanswered_flows, evidence.reported_unanswered_flows);
    let presumed = evidence.presumed_unanswered_flows;
    let alive = match evidence.alive_age_ms {
        Some(age_ms) => format!("alive {age_ms} ms ago"),
        None => "never seen alive".to_owned(),
    };
    let flows = format!("{own} own, {reported} reported, {presumed} presumed");
    Some(format!("unanswered flows: {flows}, for {unanswered_age} ms, {alive}"))
}
