//! Tests of the request router, the replay cache and the concurrency limit.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use expect_test::expect;

use super::*;
use crate::identity::{DataCentreId, HostId, HostIncarnation, ServiceId, UpstreamId};

const NOW: Duration = Duration::from_secs(1_700_000_000);

fn incarnation(host: u64, run: u64) -> HostIncarnation {
    HostIncarnation { host: HostId(host), incarnation: run }
}

fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(203, 0, 113, 1), 5_683)
}

/// Returns a snapshot of one service with one upstream; its dispatcher is host 1 in the given run.
fn snapshot_with_dispatcher_run(run: u64) -> Arc<RequestSnapshot> {
    let upstream = RequestUpstream {
        id: UpstreamId(7),
        address: Ipv4Addr::new(127, 0, 0, 7),
        data_centre: DataCentreId(1),
        slots: 2,
        accepts_new_requests: true,
        accepts_packets: true,
        dispatcher: incarnation(1, run),
        dispatcher_address: Ipv4Addr::new(127, 0, 0, 1),
    };
    let mut snapshot = RequestSnapshot::default();
    snapshot.live_hosts.insert(HostId(1), (incarnation(1, run), Ipv4Addr::new(127, 0, 0, 1)));
    snapshot.live_hosts.insert(HostId(2), (incarnation(2, 1), Ipv4Addr::new(127, 0, 0, 2)));
    let service =
        RequestService { id: ServiceId(3), address: service_address(), upstreams: vec![upstream] };
    snapshot.services.insert(service_address(), service);
    Arc::new(snapshot)
}

fn router_for_run(host: u64, run: u64) -> RequestRouter {
    let key = TicketKey::derive(b"the secret of a test fleet");
    let local_incarnation = incarnation(host, run);
    RequestRouter::new(RequestOptions::new(local_incarnation, DataCentreId(1), key))
}

fn post_request(message_id: u16, ticket: Option<Vec<u8>>) -> CallerRequest {
    let caller = SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), 40_000);
    CallerRequest {
        id: RequestId { caller, message_id, token: vec![1] },
        service_address: service_address(),
        idempotent: false,
        ticket,
        timeout: Duration::from_secs(2),
        encoded_request: b"team".to_vec(),
    }
}

fn handle_at(
    router: &mut RequestRouter,
    input: RequestInput,
    elapsed: Duration,
) -> Vec<RequestOutput> {
    let mut outputs = Vec::new();
    router.handle(input, NOW + elapsed, &mut outputs);
    outputs
}

fn summarize(outputs: &[RequestOutput]) -> String {
    let summarize_one = |output: &RequestOutput| match output {
        RequestOutput::ReplyToCaller { reply, .. } => match reply {
            CallerReply::Challenge(_) => "challenge".to_owned(),
            CallerReply::NotRun { .. } => "not run".to_owned(),
            CallerReply::Busy { .. } => "busy".to_owned(),
            CallerReply::Response(response) => String::from_utf8_lossy(response).into_owned(),
            CallerReply::OutcomeUnknown => "unknown".to_owned(),
            CallerReply::InvalidRequest => "invalid".to_owned(),
        },
        RequestOutput::Dispatch { .. } => "dispatch".to_owned(),
        RequestOutput::Cancel { .. } => "cancel".to_owned(),
        RequestOutput::SendToPeer { peer, .. } => format!("send to {}", peer.host),
    };
    outputs.iter().map(summarize_one).collect::<Vec<_>>().join(", ")
}

/// Sends `router` a request without a ticket and returns the ticket of its challenge.
fn obtain_ticket(router: &mut RequestRouter) -> Vec<u8> {
    let outputs = handle_at(router, RequestInput::Caller(post_request(1, None)), Duration::ZERO);
    match outputs.as_slice() {
        [RequestOutput::ReplyToCaller { reply: CallerReply::Challenge(ticket), .. }] => {
            ticket.clone()
        }
        other => panic!("expected a challenge, got {other:?}"),
    }
}

fn dispatched_exchange_id(outputs: &[RequestOutput]) -> u64 {
    let exchange_id = outputs.iter().find_map(|output| match output {
        RequestOutput::Dispatch { exchange_id, .. } => Some(*exchange_id),
        _ => None,
    });
    exchange_id.expect("the request is dispatched")
}

#[test]
fn a_ticket_is_dispatched_once_and_repeats_get_the_recorded_reply() {
    let mut dispatcher = router_for_run(1, 1);
    dispatcher.install(snapshot_with_dispatcher_run(1));
    let ticket = obtain_ticket(&mut dispatcher);
    let request = || RequestInput::Caller(post_request(2, Some(ticket.clone())));
    let first = handle_at(&mut dispatcher, request(), Duration::ZERO);
    let repeated = handle_at(&mut dispatcher, request(), Duration::from_millis(10));
    let reply = RequestInput::Upstream {
        upstream: UpstreamId(7),
        exchange_id: dispatched_exchange_id(&first),
        reply: UpstreamReply::Response(b"done".to_vec()),
    };
    let answered = handle_at(&mut dispatcher, reply, Duration::from_millis(20));
    let repeated_after_answer = handle_at(&mut dispatcher, request(), Duration::from_secs(30));
    let after_expiry = handle_at(&mut dispatcher, request(), Duration::from_secs(61));
    let report = [first, repeated, answered, repeated_after_answer, after_expiry]
        .map(|outputs| summarize(&outputs));
    expect![[r#"
        dispatch

        done
        done
        unknown"#]]
    .assert_eq(&report.join("\n"));
}

#[test]
fn a_ticket_of_another_incarnation_is_answered_outcome_unknown() {
    let mut issuer = router_for_run(1, 1);
    issuer.install(snapshot_with_dispatcher_run(1));
    let ticket = obtain_ticket(&mut issuer);
    let mut restarted = router_for_run(1, 2);
    restarted.install(snapshot_with_dispatcher_run(2));
    let mut other = router_for_run(2, 1);
    other.install(snapshot_with_dispatcher_run(2));
    let request = || RequestInput::Caller(post_request(2, Some(ticket.clone())));
    let at_restarted = handle_at(&mut restarted, request(), Duration::ZERO);
    let at_other = handle_at(&mut other, request(), Duration::ZERO);
    assert_eq!([summarize(&at_restarted), summarize(&at_other)], ["unknown", "unknown"]);
}

#[test]
fn a_host_without_rules_sends_no_reply_to_a_ticketed_request() {
    let mut dispatcher = router_for_run(1, 1);
    dispatcher.install(snapshot_with_dispatcher_run(1));
    let ticket = obtain_ticket(&mut dispatcher);
    let mut host_without_rules = router_for_run(2, 1);
    let with_ticket = handle_at(
        &mut host_without_rules,
        RequestInput::Caller(post_request(2, Some(ticket))),
        Duration::ZERO,
    );
    let without_ticket = handle_at(
        &mut host_without_rules,
        RequestInput::Caller(post_request(1, None)),
        Duration::ZERO,
    );
    assert_eq!([summarize(&with_ticket), summarize(&without_ticket)], ["", "not run"]);
}

#[test]
fn a_ticket_of_a_shed_request_is_never_dispatched_again() {
    let mut dispatcher = router_for_run(1, 1);
    dispatcher.install(snapshot_with_dispatcher_run(1));
    let ticket = obtain_ticket(&mut dispatcher);
    let request = || RequestInput::Caller(post_request(2, Some(ticket.clone())));
    let first = handle_at(&mut dispatcher, request(), Duration::ZERO);
    let exchange_id = dispatched_exchange_id(&first);
    let shed =
        RequestInput::Upstream { upstream: UpstreamId(7), exchange_id, reply: UpstreamReply::Shed };
    let refused = handle_at(&mut dispatcher, shed, Duration::from_millis(5));
    let repeated = handle_at(&mut dispatcher, request(), Duration::from_millis(900));
    assert_eq!([summarize(&refused), summarize(&repeated)], ["not run", "not run"]);
}

#[test]
fn a_full_replay_cache_refuses_tickets_until_they_expire() {
    let mut replay_cache = ReplayCache::new(1);
    let ticket = |nonce| RequestTicket {
        dispatcher: incarnation(1, 1),
        upstream_tag: 7,
        nonce,
        expires_at_secs: NOW.as_secs() as u32 + 60,
    };
    let mut check_at = |nonce, secs| {
        format!(
            "{:?}",
            replay_cache.check_and_mark_used(&ticket(nonce), NOW + Duration::from_secs(secs))
        )
    };
    let report = [check_at(1, 0), check_at(2, 0), check_at(1, 1), check_at(2, 59), check_at(2, 60)];
    expect!["Fresh, Refused, Used(Running), Refused, Expired"].assert_eq(&report.join(", "));
}

#[test]
fn a_modified_ticket_is_rejected_as_invalid() {
    let mut dispatcher = router_for_run(1, 1);
    dispatcher.install(snapshot_with_dispatcher_run(1));
    let mut ticket = obtain_ticket(&mut dispatcher);
    ticket[3] ^= 1;
    let outputs = handle_at(
        &mut dispatcher,
        RequestInput::Caller(post_request(2, Some(ticket))),
        Duration::ZERO,
    );
    assert_eq!(summarize(&outputs), "invalid");
}

#[test]
fn the_limit_rises_gradually_and_resets_on_a_slow_response() {
    let mut limit = ConcurrencyLimit::new(4, ConcurrencyLimitOptions::default());
    let mut report = Vec::new();
    for _ in 0..30 {
        limit.record_response(Duration::from_millis(100));
        report.push(limit.current().to_string());
    }
    limit.record_timeout();
    report.push(format!("one lost: {}", limit.current()));
    limit.record_timeout();
    report.push(format!("two lost: {}", limit.current()));
    limit.record_response(Duration::from_millis(400));
    report.push(format!("slow: {}", limit.current()));
    expect!["1 1 1 1 1 1 1 2 2 2 2 2 2 2 2 3 3 3 3 3 3 3 3 4 4 4 4 4 4 4 one lost: 4 two lost: 3 slow: 1"].assert_eq(&report.join(" "));
}

#[test]
fn ticket_of_an_incarnation_that_this_host_has_not_heard_of_goes_to_its_dispatcher() {
    let mut restarted = router_for_run(1, 2);
    restarted.install(snapshot_with_dispatcher_run(2));
    let ticket = obtain_ticket(&mut restarted);
    let mut late_host = router_for_run(2, 1);
    late_host.install(snapshot_with_dispatcher_run(1));
    let request = RequestInput::Caller(post_request(2, Some(ticket)));
    let outputs = handle_at(&mut late_host, request, Duration::ZERO);
    assert!(summarize(&outputs).starts_with("send to"), "{}", summarize(&outputs));
}

fn get_request(message_id: u16) -> RequestInput {
    RequestInput::Caller(CallerRequest { idempotent: true, ..post_request(message_id, None) })
}

fn response_to(dispatched: &[RequestOutput]) -> RequestInput {
    let exchange_id = dispatched_exchange_id(dispatched);
    let reply = UpstreamReply::Response(b"draw".to_vec());
    RequestInput::Upstream { upstream: UpstreamId(7), exchange_id, reply }
}

/// Returns a dispatcher whose upstream has answered requests within 10 ms until `end`.
fn warm_dispatcher(end: Duration) -> RequestRouter {
    let mut dispatcher = router_for_run(1, 1);
    dispatcher.install(snapshot_with_dispatcher_run(1));
    let mut elapsed = Duration::ZERO;
    while elapsed < end {
        let dispatched =
            handle_at(&mut dispatcher, get_request(elapsed.as_millis() as u16), elapsed);
        elapsed += Duration::from_millis(10);
        handle_at(&mut dispatcher, response_to(&dispatched), elapsed);
        handle_at(&mut dispatcher, RequestInput::Tick, elapsed);
    }
    dispatcher
}

#[test]
fn dispatcher_that_stalled_gives_up_no_request_whose_answer_waits_for_it() {
    for stall_ms in [150, 3_000] {
        let start = Duration::from_millis(500);
        let mut dispatcher = warm_dispatcher(start);
        let dispatched = handle_at(&mut dispatcher, get_request(9_000), start);
        let resumed_at = start + Duration::from_millis(stall_ms);
        let at_tick = handle_at(&mut dispatcher, RequestInput::Tick, resumed_at);
        let at_answer = handle_at(&mut dispatcher, response_to(&dispatched), resumed_at);
        let limit = dispatcher.upstream_queues()[&UpstreamId(7)].limit.current();
        assert_eq!([summarize(&at_tick), summarize(&at_answer)], ["", "draw"]);
        assert_eq!(limit, 2, "the stall does not count as service time");
    }
}

#[test]
fn dispatcher_that_stalls_again_and_again_still_ends_requests_without_an_answer() {
    let start = Duration::from_millis(500);
    let mut dispatcher = warm_dispatcher(start);
    handle_at(&mut dispatcher, get_request(9_000), start);
    let mut tick_after = |seconds| {
        handle_at(&mut dispatcher, RequestInput::Tick, start + Duration::from_secs(seconds))
    };
    assert_eq!([3, 4].map(|seconds| summarize(&tick_after(seconds))), ["", "cancel, unknown"]);
}

/// Returns a ticket that names host 1, and host 2, which forwards requests to host 1.
fn ticket_and_origin() -> (Vec<u8>, RequestRouter) {
    let mut dispatcher = router_for_run(1, 1);
    dispatcher.install(snapshot_with_dispatcher_run(1));
    let mut origin = router_for_run(2, 1);
    origin.install(snapshot_with_dispatcher_run(1));
    (obtain_ticket(&mut dispatcher), origin)
}

#[test]
fn retransmissions_do_not_postpone_the_reply_of_an_origin_without_word_from_the_dispatcher() {
    let (ticket, mut origin) = ticket_and_origin();
    let transmit = |origin: &mut RequestRouter, elapsed_ms: u64| {
        let timeout = Duration::from_millis(2_000_u64.saturating_sub(elapsed_ms));
        let request = CallerRequest { timeout, ..post_request(2, Some(ticket.clone())) };
        handle_at(origin, RequestInput::Caller(request), Duration::from_millis(elapsed_ms))
    };
    for elapsed_ms in [10, 2_010, 2_210, 2_390] {
        assert!(summarize(&transmit(&mut origin, elapsed_ms)).starts_with("send to"));
    }
    let at_tick = handle_at(&mut origin, RequestInput::Tick, Duration::from_millis(2_400));
    assert_eq!(summarize(&at_tick), "unknown");
}

#[test]
fn caller_past_its_deadline_gets_a_final_reply_at_once_if_the_dispatcher_cannot_be_reached() {
    let (ticket, mut origin) = ticket_and_origin();
    let mut snapshot = RequestSnapshot::clone(&snapshot_with_dispatcher_run(1));
    snapshot.live_hosts.remove(&HostId(1));
    origin.install(Arc::new(snapshot));
    let mut transmit = |timeout, elapsed| {
        let request = CallerRequest { timeout, ..post_request(2, Some(ticket.clone())) };
        summarize(&handle_at(&mut origin, RequestInput::Caller(request), elapsed))
    };
    let in_time = transmit(Duration::from_secs(2), Duration::ZERO);
    let after_deadline = transmit(Duration::ZERO, Duration::from_secs(2));
    assert_eq!([in_time.as_str(), after_deadline.as_str()], ["", "unknown"]);
}

#[test]
fn caller_past_its_deadline_gets_no_challenge_but_a_final_reply() {
    let mut origin = router_for_run(1, 1);
    origin.install(snapshot_with_dispatcher_run(1));
    let request = CallerRequest { timeout: Duration::ZERO, ..post_request(1, None) };
    let outputs = handle_at(&mut origin, RequestInput::Caller(request), Duration::ZERO);
    assert_eq!(summarize(&outputs), "not run");
}
