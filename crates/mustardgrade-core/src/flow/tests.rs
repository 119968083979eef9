//! Tests of flow routing between two hosts, and of the flow table.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use expect_test::expect;

use super::*;
use crate::identity::{DataCentreId, HostId, ServiceId, UpstreamId};
use crate::placement::{BucketPhase, BucketPlacement, PlacementTable};

const NOW: Duration = Duration::from_secs(100);

fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(203, 0, 113, 1), 443)
}

fn packet(port: u16, syn: bool) -> FlowPacket {
    FlowPacket {
        key: FlowKey {
            caller: SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), port),
            service: service_address(),
        },
        flags: SegmentFlags { syn, ack: !syn, fin: false, rst: false },
        sequence: 1,
        acknowledgement: 1,
        payload_length: 0,
    }
}

/// Builds a snapshot of hosts 1 and 2 and upstreams 0 and 1, with the same placement for all
/// buckets.
fn snapshot(placement: BucketPlacement, generation: u64) -> Arc<RoutingSnapshot> {
    let upstream = |index: u64| UpstreamRoute {
        upstream: UpstreamId(index),
        address: Ipv4Addr::new(127, 0, 0, index as u8),
        data_centre: DataCentreId(1),
        accepts_packets: true,
        accepts_new_flows: true,
        is_partitioned: false,
    };
    let upstreams = vec![upstream(0), upstream(1)];
    let table = PlacementTable {
        service: ServiceId(5),
        upstreams: upstreams.iter().map(|route| route.upstream).collect(),
        buckets: vec![placement; 256],
    };
    let member = |host: u64| HostRoute {
        host: HostId(host),
        data_centre: DataCentreId(1),
        address: Ipv4Addr::new(10, 0, 0, host as u8),
        eligibility: OwnerEligibility::Eligible,
    };
    let mut snapshot = RoutingSnapshot {
        generation,
        rules_revision: 1,
        members: vec![member(1), member(2)],
        ..RoutingSnapshot::default()
    };
    snapshot.service_indexes.insert(service_address(), 0);
    let route = ServiceRoute {
        service: ServiceId(5),
        customer: "t".to_owned(),
        table,
        upstreams,
        partition_guards: Vec::new(),
    };
    snapshot.services.push(route);
    Arc::new(snapshot)
}

/// Placement of a bucket that has moved from upstream 0 to upstream 1 and still collects records.
fn collecting_placement() -> BucketPlacement {
    BucketPlacement { source_upstream: 0, target_upstream: 1, phase: BucketPhase::Collecting }
}

fn routers(placement: BucketPlacement) -> [FlowRouter; 2] {
    [1, 2].map(|host| {
        let mut router = FlowRouter::new(HostId(host), FlowOptions::default());
        router.install(snapshot(placement, 1));
        router.set_tables_confirmed_at(NOW);
        router
    })
}

/// Routes a packet that arrives at router `at` until it is delivered, reset or dropped; returns the
/// hosts that it passed and the outcome.
fn route_to_end(routers: &mut [FlowRouter; 2], at: usize, packet: FlowPacket) -> String {
    let mut verdict = routers[at].route(&packet, NOW);
    let mut path = format!("{}", at + 1);
    loop {
        match verdict {
            FlowVerdict::Hop { to, header, .. } => {
                path.push_str(&format!(">{}", to.0));
                verdict = routers[to.0 as usize - 1].route_hop(&header, &packet, NOW);
            }
            FlowVerdict::Tunnel { upstream, .. } => {
                return format!("{path} upstream {}", upstream.0);
            }
            FlowVerdict::Reset => return format!("{path} reset"),
            FlowVerdict::Drop(cause) => return format!("{path} {cause}"),
        }
    }
}

/// Delivers the updates that the routers have queued for each other.
fn deliver_updates(routers: &mut [FlowRouter; 2]) {
    let mut updates = Vec::new();
    for router in routers.iter_mut() {
        router.take_updates(&mut updates);
    }
    for addressed in updates {
        routers[addressed.to.0 as usize - 1].apply_update(&addressed.update, NOW);
    }
}

#[test]
fn new_flow_is_recorded_at_owner_and_replica_and_old_flow_keeps_its_upstream() {
    let mut routers = routers(collecting_placement());
    let opened = route_to_end(&mut routers, 0, packet(1, true));
    deliver_updates(&mut routers);
    let records = [routers[0].records().len(), routers[1].records().len()];
    let report = [
        opened,
        format!("records {records:?}"),
        route_to_end(&mut routers, 1, packet(1, false)),
        route_to_end(&mut routers, 0, packet(1, false)),
        route_to_end(&mut routers, 1, packet(2, false)),
    ];
    expect![[r#"
        1>2>1 upstream 1
        records [1, 1]
        2 upstream 1
        1 upstream 1
        2>1>2 upstream 0"#]]
    .assert_eq(&report.join("\n"));
}

#[test]
fn host_reports_a_cached_flow_to_the_owner_once() {
    let mut routers = routers(BucketPlacement::steady(0));
    route_to_end(&mut routers, 0, packet(1, true));
    for router in &mut routers {
        router.install(snapshot(collecting_placement(), 2));
    }
    let first = route_to_end(&mut routers, 0, packet(1, false));
    let second = route_to_end(&mut routers, 0, packet(1, false));
    assert!(first.contains("upstream 0") && second == "1 upstream 0", "{first}; {second}");
    assert_eq!(routers[0].records().len().max(routers[1].records().len()), 1);
}

#[test]
fn fenced_host_forwards_unknown_flows_and_drops_them_without_peers() {
    let mut routers = routers(BucketPlacement::steady(0));
    routers[0].set_tables_confirmed_at(Duration::ZERO);
    let passed = route_to_end(&mut routers, 0, packet(1, false));
    routers[1].set_tables_confirmed_at(Duration::ZERO);
    let dropped = route_to_end(&mut routers, 0, packet(2, false));
    let mut host_without_peers = FlowRouter::new(HostId(1), FlowOptions::default());
    let mut snapshot_without_peers = (*snapshot(BucketPlacement::steady(0), 1)).clone();
    snapshot_without_peers.members.clear();
    host_without_peers.install(Arc::new(snapshot_without_peers));
    let without_peers = host_without_peers.route(&packet(3, false), NOW);
    let report = format!("{passed}\n{dropped}\n{without_peers:?}");
    expect![[r#"
        1>2 upstream 0
        1>2 fenced
        Drop(Fenced)"#]]
    .assert_eq(&report);
}

#[test]
fn host_with_older_generation_than_the_sender_drops_the_packet() {
    let mut routers = routers(collecting_placement());
    for port in 1..20 {
        let FlowVerdict::Hop { to, mut header, .. } = routers[0].route(&packet(port, true), NOW)
        else {
            continue;
        };
        header.generation = 9;
        let receiver = &mut routers[to.0 as usize - 1];
        let verdict = receiver.route_hop(&header, &packet(port, true), NOW);
        assert_eq!(verdict, FlowVerdict::Drop(DropCause::StaleOwner));
        return;
    }
    panic!("none of 19 flows hashed to a bucket that host 2 owns");
}

#[test]
fn replica_corrects_an_owner_that_lost_the_record() {
    let mut routers = routers(collecting_placement());
    route_to_end(&mut routers, 0, packet(1, true));
    let seed = FlowOptions::default().fingerprint_seed;
    let fingerprint = packet(1, true).key.fingerprint(seed);
    let chain = {
        let snapshot = routers[0].snapshot();
        let route = &snapshot.services[0];
        snapshot.chain(route, route.table.bucket_of(fingerprint)).expect("two hosts are eligible")
    };
    let owner = chain.owner.0 as usize - 1;
    let mut restarted = FlowRouter::new(chain.owner, FlowOptions::default());
    restarted.install(snapshot(collecting_placement(), 1));
    restarted.set_tables_confirmed_at(NOW);
    routers[owner] = restarted;
    let path = route_to_end(&mut routers, owner, packet(1, false));
    assert!(path.ends_with("upstream 1"), "{path}");
    let mut updates = Vec::new();
    routers[1 - owner].take_updates(&mut updates);
    assert!(
        updates.iter().any(|addressed| addressed.update.kind == UpdateKind::Correction),
        "{updates:?}"
    );
}

/// Returns the index of the router that owns the bucket of the flow from this port.
fn owner_index(routers: &[FlowRouter; 2], port: u16) -> usize {
    let fingerprint = packet(port, true).key.fingerprint(FlowOptions::default().fingerprint_seed);
    let snapshot = routers[0].snapshot();
    let route = &snapshot.services[0];
    let chain = snapshot.chain(route, route.table.bucket_of(fingerprint));
    chain.expect("two hosts are eligible").owner.0 as usize - 1
}

#[test]
fn opening_segment_that_the_replica_did_not_get_reaches_it_when_sent_again() {
    let mut routers = routers(collecting_placement());
    let owner = owner_index(&routers, 1);
    let lost = routers[owner].route(&packet(1, true), NOW);
    assert!(matches!(lost, FlowVerdict::Hop { .. }), "{lost:?}");
    let sent_again = route_to_end(&mut routers, owner, packet(1, true));
    assert!(sent_again.ends_with("upstream 1"), "{sent_again}");
    deliver_updates(&mut routers);
    assert_eq!([routers[0].records().len(), routers[1].records().len()], [1, 1]);
}

#[test]
fn packet_right_after_the_opening_follows_the_record_of_the_replica() {
    let mut routers = routers(collecting_placement());
    let owner = owner_index(&routers, 1);
    let fingerprint = packet(1, true).key.fingerprint(FlowOptions::default().fingerprint_seed);
    let known_at_replica = BindingRecord { fingerprint, upstream: 0 };
    routers[1 - owner].merge_records(ServiceId(5), &[known_at_replica]);
    let opened = route_to_end(&mut routers, owner, packet(1, true));
    let before_the_correction = route_to_end(&mut routers, owner, packet(1, false));
    deliver_updates(&mut routers);
    let after_it = route_to_end(&mut routers, owner, packet(1, false));
    let paths = [opened, before_the_correction, after_it];
    assert!(paths.iter().all(|path| path.ends_with("upstream 0")), "{paths:?}");
}

#[test]
fn opening_that_a_host_has_placed_prevails_over_a_host_that_also_takes_itself_for_the_owner() {
    let mut routers = routers(collecting_placement());
    let owner = owner_index(&routers, 1);
    let FlowVerdict::Hop { mut header, .. } = routers[owner].route(&packet(1, true), NOW) else {
        panic!("the owner forwards the opening to the replica");
    };
    header.stage = HopStage::Replica { verdict: 0 };
    let verdict = routers[owner].route_hop(&header, &packet(1, false), NOW);
    let expected = UpstreamId(1);
    assert!(matches!(verdict, FlowVerdict::Tunnel { upstream, .. } if upstream == expected));
}

/// Builds the snapshot of a side that a partition separates from upstream 1.
fn snapshot_cut_off_from_upstream_1(placement: BucketPlacement) -> Arc<RoutingSnapshot> {
    let mut snapshot = (*snapshot(placement, 1)).clone();
    let upstream = &mut snapshot.services[0].upstreams[1];
    (upstream.is_partitioned, upstream.accepts_new_flows) = (true, false);
    Arc::new(snapshot)
}

#[test]
fn opening_that_went_to_an_upstream_beyond_a_partition_is_placed_anew_when_sent_again() {
    let mut routers = routers(collecting_placement());
    let first = route_to_end(&mut routers, 0, packet(1, true));
    deliver_updates(&mut routers);
    let on_this_side = BucketPlacement { target_upstream: 0, ..collecting_placement() };
    for router in &mut routers {
        router.install(snapshot_cut_off_from_upstream_1(on_this_side));
    }
    let sent_again = route_to_end(&mut routers, 0, packet(1, true));
    deliver_updates(&mut routers);
    for router in &mut routers {
        router.install(snapshot(collecting_placement(), 2));
    }
    let after_it = [0, 1].map(|at| route_to_end(&mut routers, at, packet(1, false)));
    assert!(first.ends_with("upstream 1"), "{first}");
    assert!(sent_again.ends_with("upstream 0"), "{sent_again}");
    assert!(after_it.iter().all(|path| path.ends_with("upstream 0")), "{after_it:?}");
}

#[test]
fn opening_from_before_a_guard_does_not_tell_a_fenced_host_the_upstream() {
    let [mut host, _] = routers(BucketPlacement::steady(0));
    let opened = host.route(&packet(1, true), NOW);
    host.install(snapshot(collecting_placement(), 2));
    host.install(snapshot(BucketPlacement::steady(0), 3));
    host.set_tables_confirmed_at(Duration::ZERO);
    let after_the_guard = host.route(&packet(1, false), NOW);
    assert!(matches!(opened, FlowVerdict::Tunnel { .. }), "{opened:?}");
    assert!(matches!(after_the_guard, FlowVerdict::Hop { .. }), "{after_the_guard:?}");
}

/// Builds the snapshot that these hosts see of each other while upstream 0, and hosts 3 and 4, which
/// own its buckets, are in another data centre.
fn snapshot_with_chain_elsewhere(hosts: [u64; 4], is_cut_off: bool) -> Arc<RoutingSnapshot> {
    let mut snapshot = (*snapshot(collecting_placement(), 1)).clone();
    let source = &mut snapshot.services[0].upstreams[0];
    (source.data_centre, source.is_partitioned) = (DataCentreId(2), is_cut_off);
    let local_member = snapshot.members[0];
    snapshot.members = hosts
        .map(|host| HostRoute {
            host: HostId(host),
            data_centre: DataCentreId(if [3, 4].contains(&host) { 2 } else { 1 }),
            ..local_member
        })
        .to_vec();
    Arc::new(snapshot)
}

/// Returns routers of which one has an answer about the flow from port 1, by an owner chain that is
/// cut off then; another chain takes its place first, and the two routers after it.
fn routers_cut_off_from_the_chain(answered: usize) -> [FlowRouter; 2] {
    let mut routers = routers(collecting_placement());
    let fingerprint = packet(1, true).key.fingerprint(FlowOptions::default().fingerprint_seed);
    let (kind, service) = (UpdateKind::Answer, ServiceId(5));
    let answer = BindingUpdate { kind, service, fingerprint, upstream: 1 };
    for (index, router) in routers.iter_mut().enumerate() {
        router.install(snapshot_with_chain_elsewhere([1, 2, 3, 4], false));
        if index == answered {
            router.apply_update(&answer, NOW);
        }
        router.install(snapshot_with_chain_elsewhere([5, 6, 5, 6], true));
        router.install(snapshot_with_chain_elsewhere([1, 2, 1, 2], true));
    }
    routers
}

#[test]
fn hosts_that_took_over_from_a_cut_off_owner_chain_do_not_guess_but_take_reports() {
    for answered in [0, 1] {
        let mut routers = routers_cut_off_from_the_chain(answered);
        let unknown = route_to_end(&mut routers, 1, packet(2, false));
        let reported = route_to_end(&mut routers, answered, packet(1, false));
        deliver_updates(&mut routers);
        let recorded = route_to_end(&mut routers, 1 - answered, packet(1, false));
        assert!(unknown.ends_with("records_missing"), "{unknown}");
        assert!(reported.ends_with("upstream 1"), "{reported}");
        assert!(recorded.ends_with("upstream 1"), "{recorded}");
    }
}

#[test]
fn owner_that_took_over_uses_what_it_knows_of_a_flow_that_another_host_asks_about() {
    let answered = owner_index(&routers_cut_off_from_the_chain(0), 1);
    let mut routers = routers_cut_off_from_the_chain(answered);
    let asked = route_to_end(&mut routers, 1 - answered, packet(1, false));
    assert!(asked.ends_with("upstream 1"), "{asked}");
}

#[test]
fn bucket_exceptions_are_declined_by_a_host_that_may_lack_records() {
    let mut routers = routers(collecting_placement());
    let buckets: Vec<_> = (0..256).map(crate::placement::BucketIndex).collect();
    let answer = |router: &FlowRouter, generation| {
        let exceptions = router.bucket_exceptions(ServiceId(5), &buckets, generation);
        exceptions.map(|records| records.len())
    };
    let in_chain = answer(&routers[0], 1);
    let older_placement = answer(&routers[0], 2);
    let mut snapshot_with_third_host = (*snapshot(collecting_placement(), 1)).clone();
    let mut third_host = snapshot_with_third_host.members[0];
    third_host.host = HostId(3);
    snapshot_with_third_host.members.push(third_host);
    routers[0].install(Arc::new(snapshot_with_third_host));
    let outside_some_chains = answer(&routers[0], 1);
    assert_eq!([in_chain, older_placement, outside_some_chains], [Some(0), None, None]);
}

#[test]
fn flood_of_opening_segments_does_not_evict_established_flows() {
    let mut table = FlowTable::new(4, Duration::from_secs(300));
    for fingerprint in 0..8_u64 {
        table.insert(fingerprint << 8, 0, 0, false, NOW);
    }
    let before = table.count_active(NOW);
    for fingerprint in 0..10_000_u64 {
        table.insert(fingerprint << 20 | 1, 0, 0, true, NOW);
    }
    let kept = (0..8_u64).filter(|fingerprint| table.touch(fingerprint << 8, NOW).is_some());
    assert_eq!(kept.count(), before);
    assert_eq!(size_of::<FlowEntry>(), 16);
}

#[test]
fn late_copy_of_an_opening_does_not_move_an_open_flow() {
    let mut routers = routers(BucketPlacement::steady(0));
    for at in [0, 1] {
        route_to_end(&mut routers, at, packet(1, true));
        route_to_end(&mut routers, at, packet(1, false));
    }
    for router in &mut routers {
        router.install(snapshot(collecting_placement(), 2));
    }
    let late_copy = route_to_end(&mut routers, 0, packet(1, true));
    deliver_updates(&mut routers);
    let open_flow = [0, 1].map(|at| route_to_end(&mut routers, at, packet(1, false)));
    assert!(
        open_flow.iter().all(|path| path.ends_with("upstream 0")),
        "{late_copy}; {open_flow:?}"
    );
}
