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

#[test]
fn new_flow_is_recorded_at_owner_and_replica_and_old_flow_keeps_its_upstream() {
    let mut routers = routers(collecting_placement());
    let opened = route_to_end(&mut routers, 0, packet(1, true));
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
