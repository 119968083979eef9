//! Tests of the member table, and of what a host reports to others.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use super::*;
use crate::flow::PlacementMode;
use crate::identity::{DataCentreId, HostId, HostIncarnation};
use crate::placement::{PlacementMap, PlannerOptions};
use crate::rule::RuleSet;

const DATA_CENTRE: DataCentreId = DataCentreId(1);

fn digest(host: u64, incarnation: u64, sequence: u64) -> HostDigest {
    HostDigest {
        sender: HostIncarnation { host: HostId(host), incarnation },
        sequence,
        state: HostState::Serving,
        data_centre: DATA_CENTRE,
        address: Ipv4Addr::new(10, 0, 0, host as u8),
        rules_revision: 1,
        generation: 1,
        settled_generation: 1,
        view_hash: 0,
    }
}

fn new_table() -> MemberTable {
    MemberTable::new(HostId(1), DATA_CENTRE, MemberTableOptions::default())
}

fn tick_every_100_ms(table: &mut MemberTable, start_ms: u64, end_ms: u64) {
    for at_ms in (start_ms..=end_ms).step_by(100) {
        table.tick(Duration::from_millis(at_ms));
    }
}

#[test]
fn silent_member_expires_until_its_next_digest() {
    let mut table = new_table();
    tick_every_100_ms(&mut table, 0, 500);
    assert!(table.record_digest(&digest(2, 1, 1)));
    tick_every_100_ms(&mut table, 600, 2_400);
    assert_eq!(table.live_members().count(), 1);
    tick_every_100_ms(&mut table, 2_500, 2_700);
    assert_eq!(table.live_members().count(), 0);
    assert!(table.record_digest(&digest(2, 1, 2)));
    assert_eq!(table.live_members().count(), 1);
}

#[test]
fn pause_of_the_local_host_does_not_expire_peers() {
    let mut table = new_table();
    tick_every_100_ms(&mut table, 0, 500);
    table.record_digest(&digest(2, 1, 1));
    table.tick(Duration::from_secs(60));
    assert_eq!(table.live_members().count(), 1);
}

#[test]
fn stale_repeated_and_own_digests_are_ignored() {
    let mut table = new_table();
    assert!(table.record_digest(&digest(2, 5, 3)));
    assert!(!table.record_digest(&digest(2, 5, 3)));
    assert!(!table.record_digest(&digest(2, 4, 9)));
    assert!(table.record_digest(&digest(2, 6, 1)));
    assert!(!table.record_digest(&digest(1, 9, 9)), "a host ignores its own digests");
}

#[test]
fn hosts_of_an_out_of_service_data_centre_are_excluded() {
    let mut table = new_table();
    let mut remote_digest = digest(2, 1, 1);
    remote_digest.data_centre = DataCentreId(2);
    table.record_digest(&remote_digest);
    table.set_out_of_service(vec![DataCentreId(2)]);
    assert_eq!((table.live_members().count(), table.digest_targets().len()), (0, 0));
    remote_digest.sequence = 2;
    assert!(
        !table.record_digest(&remote_digest),
        "digests from a data centre that is out of service are ignored"
    );
    table.set_out_of_service(Vec::new());
    assert_eq!((table.live_members().count(), table.digest_targets().len()), (0, 0));
    assert!(table.record_digest(&remote_digest));
    assert_eq!((table.live_members().count(), table.digest_targets().len()), (1, 1));
}

#[test]
fn listed_silent_host_is_reported_unless_it_is_leaving() {
    let mut table = new_table();
    let listed_host = |host: u64, leaving| ListedHost {
        host: HostId(host),
        address: Ipv4Addr::new(10, 0, 0, host as u8),
        data_centre: DATA_CENTRE,
        leaving,
    };
    table.set_listed_hosts(vec![listed_host(1, false), listed_host(2, true)]);
    assert!(!table.apply_progress(&digest(1, 1, 1)).has_silent_listed_host);
    table.set_listed_hosts(vec![listed_host(1, false), listed_host(2, false)]);
    assert!(table.apply_progress(&digest(1, 1, 1)).has_silent_listed_host);
}

#[test]
fn digest_reports_rules_and_placement_only_when_packets_are_routed_by_them() {
    let mut controller = HostController::new(ControllerOptions {
        local_incarnation: HostIncarnation { host: HostId(1), incarnation: 1 },
        address: Ipv4Addr::new(10, 0, 0, 1),
        data_centre: DATA_CENTRE,
        seeds: Vec::new(),
        placement_mode: PlacementMode::Guarded,
        member_table: MemberTableOptions::default(),
        planner: PlannerOptions::default(),
    });
    let rules = StoredRules { revision: 4, rule_set: Arc::new(RuleSet::default()) };
    let placement = PlacementMap { generation: 7, rules_revision: 4, tables: Vec::new() };
    let mut outputs = Vec::new();
    let now = Duration::from_secs(1);
    controller.handle(ControllerInput::RulesReceived(rules), now, &mut outputs);
    controller.handle(ControllerInput::PlacementReceived(Arc::new(placement)), now, &mut outputs);
    let mut snapshots = outputs.iter().filter_map(|output| match output {
        ControllerOutput::InstallSnapshot(snapshot) => Some(snapshot.generation),
        _ => None,
    });
    assert_eq!(snapshots.next_back(), Some(7), "the traffic threads get the snapshot at once");
    let reported = |controller: &HostController| {
        let digest = controller.digest();
        (digest.rules_revision, digest.generation)
    };
    assert_eq!(reported(&controller), (0, 0));
    let installed = ControllerInput::SnapshotInstalled { generation: 7, rules_revision: 4 };
    controller.handle(installed, now, &mut outputs);
    assert_eq!(reported(&controller), (4, 7));
}
