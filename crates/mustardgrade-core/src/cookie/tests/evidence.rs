//! Evidence that an upstream is silent: what a stalled host, other hosts and the past contribute.

use super::failure_detection::{
    answer_opening, leave_requests_unanswered, open_flows_at_upstream_1,
};
use super::fixtures::{
    DESK_ROUTE, TestRegistry, cookie_of, cookie_of_upstream_1, established_packet, flow_key,
    install_reports, ms, report_of_1, routed_tag, syn_packet, upstream_registration,
};
use crate::cookie::{CookiePacket, CookieRouter, LoadReport, PeerLoads};

/// Returns a request of `caller` on an open flow to upstream 1.
fn request_to_1(caller: u32) -> CookiePacket {
    established_packet(flow_key(caller, DESK_ROUTE), cookie_of_upstream_1(), 101, 1, 200)
}

fn router_with_two_upstreams() -> CookieRouter {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..3);
    let mut router = registry.router();
    router.process_timeouts(ms(990));
    router
}

/// Guards against resets by other hosts after a host was suspended: callers of the openings that
/// waited in its socket are gone, so no answer to them ever shows.
#[test]
fn openings_that_waited_for_a_stalled_host_are_no_evidence() {
    let mut router = router_with_two_upstreams();
    for caller in 0..12 {
        router.route(&syn_packet(flow_key(caller, DESK_ROUTE), 0), ms(3_000));
    }
    for at_ms in [3_010, 3_050, 3_090, 3_130] {
        router.process_timeouts(ms(at_ms));
    }
    assert_eq!(router.counters().suspicions_raised, 0);
    assert_eq!(router.counters().openings_delayed, 12);
    assert!(!router.load_report(ms(3_130)).has_unanswered());
    assert_eq!(router.trackers().iter().map(|tracker| tracker.in_flight()).sum::<u32>(), 0);
}

/// Guards against an opening that a stalled host sends to two upstreams, since its retransmission
/// waited right behind it.
#[test]
fn retransmission_that_waited_with_its_opening_goes_to_the_same_upstream() {
    let mut router = router_with_two_upstreams();
    for caller in 0..12 {
        let tag = routed_tag(&mut router, &syn_packet(flow_key(caller, DESK_ROUTE), 0), ms(3_000));
        let retransmission = syn_packet(flow_key(caller, DESK_ROUTE), 1);
        assert_eq!(routed_tag(&mut router, &retransmission, ms(3_004)), tag);
    }
    assert_eq!(router.counters().openings_redirected, 0);
}

/// Guards against a host that is short of processor time and takes upstreams for silent because
/// requests and their retransmissions wait in its socket, before the callers' acknowledgements.
#[test]
fn retransmission_that_waited_with_its_request_is_no_evidence() {
    let mut router = router_with_two_upstreams();
    for caller in 1..9 {
        let ack =
            established_packet(flow_key(caller, DESK_ROUTE), cookie_of_upstream_1(), 101, 1, 0);
        router.route(&ack, ms(1_000));
        router.route(&request_to_1(caller), ms(1_000));
    }
    for caller in 1..9 {
        router.route(&request_to_1(caller), ms(1_200));
    }
    router.process_timeouts(ms(1_210));
    assert_eq!(router.counters().suspicions_raised, 0);
    // A retransmission that was received later than that is evidence.
    for caller in 1..3 {
        router.route(&request_to_1(caller), ms(1_220));
    }
    assert_eq!(router.counters().suspicions_raised, 1);
}

/// Guards against a woken host that tells others of an upstream as alive, although it crashed while
/// the host was suspended.
#[test]
fn delayed_answer_does_not_show_that_the_upstream_is_alive_now() {
    let mut router = router_with_two_upstreams();
    router.route(
        &established_packet(flow_key(1, DESK_ROUTE), cookie_of_upstream_1(), 101, 1, 0),
        ms(1_000),
    );
    router.process_timeouts(ms(1_010));
    router.route(
        &established_packet(flow_key(1, DESK_ROUTE), cookie_of_upstream_1(), 101, 900, 0),
        ms(3_000),
    );
    assert_eq!(router.trackers()[0].last_alive, ms(1_010));
}

/// Guards against reports of one host, right or wrong, by which all others break flows.
#[test]
fn reports_of_other_hosts_alone_reset_no_flow() {
    let mut router = router_with_two_upstreams();
    answer_from_2(&mut router, 1_600);
    install_reports(&mut router, &[report_of_1(9, 900, u16::MAX)], 1_600);
    assert_eq!(routed_tag(&mut router, &request_to_1(7), ms(1_650)), 1);
    // Nor do they with one unanswered request of its own.
    router.process_timeouts(ms(1_810));
    answer_from_2(&mut router, 1_840);
    install_reports(&mut router, &[report_of_1(9, 1_100, u16::MAX)], 1_840);
    assert_eq!(routed_tag(&mut router, &request_to_1(7), ms(1_850)), 1);
}

/// Guards against a silence that is taken to have lasted since an older failure of this host, though
/// the upstream has answered since and other hosts report it only just now.
#[test]
fn silence_reported_by_other_hosts_resets_no_open_flow() {
    let mut router = router_with_two_upstreams();
    leave_requests_unanswered(&mut router, &[1], DESK_ROUTE);
    answer_opening(&mut router, 1, 1, 1_230);
    let answer = established_packet(flow_key(1, DESK_ROUTE), cookie_of_upstream_1(), 301, 900, 0);
    router.route(&answer, ms(1_240));
    router.route(&request_to_1(7), ms(1_700));
    answer_from_2(&mut router, 1_900);
    install_reports(&mut router, &[report_of_1(6, 100, u16::MAX)], 1_900);
    assert_eq!(routed_tag(&mut router, &request_to_1(7), ms(1_950)), 1);
    answer_from_2(&mut router, 2_300);
    install_reports(&mut router, &[report_of_1(6, 500, u16::MAX)], 2_300);
    assert_eq!(routed_tag(&mut router, &request_to_1(7), ms(2_300)), 1);
}

#[test]
fn evidence_from_before_the_last_answer_to_any_host_does_not_count() {
    let mut peers = PeerLoads::default();
    for report in [
        report_of_1(3, 800, u16::MAX),
        report_of_1(1, 100, 400),
        report_of_1(2, 200, u16::MAX),
        report_of_1(5, u16::MAX, u16::MAX),
    ] {
        peers.add(&report, ms(2_000));
    }
    let load = peers.load(cookie_of_upstream_1(), ms(0));
    assert_eq!((load.unanswered_flows, load.unanswered_since), (3, Some(ms(1_800))));
    let load = peers.load(cookie_of_upstream_1(), ms(1_850));
    assert_eq!((load.unanswered_flows, load.unanswered_since), (1, Some(ms(1_900))));
}

/// Guards against resets on silence, also long after what caused it, such as a partition, has ended.
#[test]
fn silence_resets_no_open_flow_however_long_it_lasts() {
    let mut router = router_with_two_upstreams();
    leave_requests_unanswered(&mut router, &[1, 2, 3, 4], DESK_ROUTE);
    answer_from_2(&mut router, 1_650);
    assert_eq!(routed_tag(&mut router, &request_to_1(7), ms(1_650)), 1);
    router.process_timeouts(ms(3_290));
    answer_from_2(&mut router, 3_300);
    assert_eq!(routed_tag(&mut router, &request_to_1(8), ms(3_300)), 1);
    router.process_timeouts(ms(3_490));
    answer_from_2(&mut router, 3_500);
    assert_eq!(routed_tag(&mut router, &request_to_1(8), ms(3_500)), 1);
}

/// Shows that upstream 2 answers, so that resets are allowed.
fn answer_from_2(router: &mut CookieRouter, at_ms: u64) {
    let cookie = cookie_of(&upstream_registration("desk", "a", 2));
    router.process_timeouts(ms(at_ms));
    for acknowledgement in [1, at_ms as u32] {
        let key = flow_key(60, DESK_ROUTE);
        router.route(&established_packet(key, cookie, 101, acknowledgement, 0), ms(at_ms));
    }
}

#[test]
fn ages_in_a_report_grow_until_it_is_sent() {
    let mut report = report_of_1(4, 100, u16::MAX - 5);
    report.add_age(ms(250));
    let entry = report.entries[0];
    assert_eq!((entry.unanswered_age_ms, entry.alive_age_ms), (350, u16::MAX));
}

/// Returns a report of another host whose openings to upstream 1 are unanswered.
fn openings_at_1(unanswered_flows: u16, unanswered_age_ms: u16) -> LoadReport {
    report_of_1(unanswered_flows, unanswered_age_ms, u16::MAX)
}

/// Guards against resets of live flows at a full upstream, or after a change of the fabric.
#[test]
fn unanswered_openings_reset_no_open_flow() {
    let mut router = router_with_two_upstreams();
    answer_opening(&mut router, 9_001, 1, 995);
    open_flows_at_upstream_1(&mut router, 2, 1_000);
    router.process_timeouts(ms(1_040));
    router.process_timeouts(ms(1_080));
    install_reports(&mut router, &[openings_at_1(6, 600)], 1_600);
    answer_from_2(&mut router, 1_600);
    assert_eq!(routed_tag(&mut router, &request_to_1(9_001), ms(1_650)), 1);
    // Nor does one request that is lost besides.
    router.process_timeouts(ms(1_840));
    install_reports(&mut router, &[openings_at_1(6, 840)], 1_840);
    answer_from_2(&mut router, 1_845);
    assert_eq!(routed_tag(&mut router, &request_to_1(9_001), ms(1_850)), 1);
}

/// Guards against resets of live flows by one lost request together with reports of other hosts.
#[test]
fn one_unanswered_request_resets_no_other_flow() {
    let mut router = router_with_two_upstreams();
    leave_requests_unanswered(&mut router, &[1], DESK_ROUTE);
    answer_from_2(&mut router, 1_650);
    install_reports(&mut router, &[report_of_1(9, 640, u16::MAX)], 1_650);
    assert_eq!(routed_tag(&mut router, &request_to_1(7), ms(1_650)), 1);
    assert_eq!(routed_tag(&mut router, &request_to_1(1), ms(1_650)), 1);
}

/// Guards against a reset by one lost request long after a partition that left no flow to answer.
#[test]
fn lost_request_after_a_partition_resets_no_flow() {
    let mut router = router_with_two_upstreams();
    leave_requests_unanswered(&mut router, &[1, 2, 3, 4], DESK_ROUTE);
    router.process_timeouts(ms(9_000));
    assert_eq!(routed_tag(&mut router, &request_to_1(7), ms(9_000)), 1);
    router.process_timeouts(ms(9_200));
    answer_from_2(&mut router, 9_205);
    assert_eq!(routed_tag(&mut router, &request_to_1(7), ms(9_210)), 1);
}

/// Guards against resets of uploads, whose callers have no answers to acknowledge.
#[test]
fn uploads_with_a_lost_packet_do_not_make_their_upstream_silent() {
    let mut router = router_with_two_upstreams();
    let packet = |caller, number: u32| {
        let (key, cookie) = (flow_key(caller, DESK_ROUTE), cookie_of_upstream_1());
        established_packet(key, cookie, 101 + number * 1_200, 1, 1_200)
    };
    for step in 0..60_u32 {
        let at_ms = 1_000 + u64::from(step) * 20;
        for caller in 1..6 {
            assert_eq!(routed_tag(&mut router, &packet(caller, step), ms(at_ms)), 1);
            if step == 20 {
                assert_eq!(routed_tag(&mut router, &packet(caller, 8), ms(at_ms)), 1);
            }
        }
        answer_from_2(&mut router, at_ms + 5);
    }
}

#[test]
fn evidence_that_another_host_has_refuted_resets_no_other_flow() {
    let mut router = router_with_two_upstreams();
    leave_requests_unanswered(&mut router, &[1, 2, 3, 4], DESK_ROUTE);
    answer_from_2(&mut router, 2_200);
    // One host had an answer at 1,400 ms; another has six flows unanswered since 1,500 ms.
    let answered = report_of_1(0, u16::MAX, 800);
    install_reports(&mut router, &[answered, report_of_1(6, 700, u16::MAX)], 2_200);
    assert_eq!(routed_tag(&mut router, &request_to_1(7), ms(2_210)), 1);
}

#[test]
fn age_of_openings_at_other_hosts_is_not_that_of_requests() {
    let mut router = router_with_two_upstreams();
    leave_requests_unanswered(&mut router, &[1], DESK_ROUTE);
    answer_from_2(&mut router, 1_205);
    // Sent at 1,010 ms, so silent from 1,460 ms on. Others: an old opening and three recent requests.
    install_reports(&mut router, &[report_of_1(4, 1_000, u16::MAX)], 1_211);
    assert_eq!(routed_tag(&mut router, &request_to_1(1), ms(1_212)), 1);
}

#[test]
fn restarted_upstream_is_not_blamed_for_openings_of_its_former_run() {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..2);
    let mut router = registry.router();
    router.process_timeouts(ms(990));
    for caller in 0..4 {
        routed_tag(&mut router, &syn_packet(flow_key(caller, DESK_ROUTE), 0), ms(1_000));
    }
    let mut again = upstream_registration("desk", "a", 1);
    again.incarnation += 10_000;
    registry.register(&again, ms(1_010));
    registry.install_into(&mut router);
    routed_tag(&mut router, &syn_packet(flow_key(9, DESK_ROUTE), 0), ms(1_020));
    router.process_timeouts(ms(1_060));
    router.process_timeouts(ms(1_080));
    let tracker = router.trackers()[0];
    assert_eq!((tracker.unanswered_flows, tracker.in_flight()), (0, 1));
}

#[test]
fn earlier_packet_of_a_request_that_another_host_lost_is_no_evidence() {
    let mut router = router_with_two_upstreams();
    // The host that had the flow stops; of a request of two packets, this one gets the second.
    let part = |sequence| {
        let key = flow_key(1, DESK_ROUTE);
        established_packet(key, cookie_of_upstream_1(), sequence, 1, 1_200)
    };
    routed_tag(&mut router, &part(1_301), ms(1_000));
    router.process_timeouts(ms(1_190));
    // The first one is repeated; the upstream gets it now for the first time.
    routed_tag(&mut router, &part(101), ms(1_200));
    assert_eq!(router.trackers()[0].unanswered_flows, 0);
}

#[test]
fn requests_that_their_callers_gave_up_reset_no_other_flow() {
    let mut router = router_with_two_upstreams();
    leave_requests_unanswered(&mut router, &[1, 2, 3, 4], DESK_ROUTE);
    for caller in [1, 2, 3, 4] {
        let mut closing = request_to_1(caller);
        (closing.segment.payload_length, closing.segment.flags.rst) = (0, true);
        router.route(&closing, ms(1_300));
    }
    answer_from_2(&mut router, 1_650);
    assert_eq!(routed_tag(&mut router, &request_to_1(7), ms(1_650)), 1);
}

#[test]
fn withdrawn_request_does_not_lend_its_age_to_others() {
    let mut router = router_with_two_upstreams();
    let packet = |caller, sequence| {
        let key = flow_key(caller, DESK_ROUTE);
        established_packet(key, cookie_of_upstream_1(), sequence, 1, 1_200)
    };
    // Flow 1: sent at 1,000 ms, repeated, taken back by new data at 1,950 ms.
    router.route(&packet(1, 101), ms(1_000));
    router.process_timeouts(ms(1_190));
    router.route(&packet(1, 101), ms(1_200));
    for caller in 2..6 {
        router.route(&packet(caller, 101), ms(1_700));
    }
    router.process_timeouts(ms(1_890));
    for caller in 2..5 {
        router.route(&packet(caller, 101), ms(1_900));
    }
    router.route(&packet(1, 1_301), ms(1_950));
    answer_from_2(&mut router, 1_960);
    // The fourth request of those that count is from 1,700 ms: 450 ms end at 2,150 ms.
    assert_eq!(routed_tag(&mut router, &packet(5, 101), ms(1_970)), 1);
}

/// Guards against resets by an overloaded host: the answers that it missed while packets waited.
#[test]
fn host_that_hears_late_resets_no_open_flow() {
    let mut router = router_with_two_upstreams();
    for caller in 1..6 {
        answer_opening(&mut router, caller, 1, 1_000);
    }
    // From here on packets wait in the socket. Upstream 1 answers another flow all the while.
    for step in 0..80 {
        let key = flow_key(40, DESK_ROUTE);
        let cookie = cookie_of_upstream_1();
        let at_ms = 1_000 + u64::from(step) * 10;
        router.route(&established_packet(key, cookie, 101, 1 + step, 0), ms(at_ms));
        if step == 30 {
            for caller in 1..5 {
                assert_eq!(routed_tag(&mut router, &request_to_1(caller), ms(at_ms)), 1);
            }
        }
    }
    answer_from_2(&mut router, 1_800);
    for caller in 1..5 {
        assert_eq!(routed_tag(&mut router, &request_to_1(caller), ms(1_810)), 1);
    }
    assert_eq!(routed_tag(&mut router, &request_to_1(5), ms(1_820)), 1);
}

/// Guards against resets of flows whose upstream works for longer than any fixed timeout.
#[test]
fn slow_upstream_keeps_its_open_flows() {
    let mut router = router_with_two_upstreams();
    leave_requests_unanswered(&mut router, &[1, 2, 3, 4], DESK_ROUTE);
    for at_ms in [1_650, 2_000, 2_500] {
        answer_from_2(&mut router, at_ms);
        for caller in 1..6 {
            assert_eq!(routed_tag(&mut router, &request_to_1(caller), ms(at_ms)), 1);
        }
    }
}
