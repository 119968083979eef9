//! Tests of the member table, and of what a host reports to others.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use super::*;
use crate::flow::PlacementMode;
use crate::identity::{DataCentreId, HostId, HostIncarnation};
use crate::placement::{PlacementMap, PlannerOptions};
use crate::rule::RuleSet;

mod stalled_host;
mod uneven_knowledge;

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

fn controller() -> HostController {
    HostController::new(ControllerOptions {
        local_incarnation: HostIncarnation { host: HostId(1), incarnation: 1 },
        address: Ipv4Addr::new(10, 0, 0, 1),
        data_centre: DATA_CENTRE,
        seeds: Vec::new(),
        placement_mode: PlacementMode::Guarded,
        member_table: MemberTableOptions::default(),
        planner: PlannerOptions::default(),
    })
}

#[test]
fn digest_reports_rules_and_placement_only_when_packets_are_routed_by_them() {
    let mut controller = controller();
    let rules =
        StoredRules { revision: 4, recent_edits: vec![4], rule_set: Arc::new(RuleSet::default()) };
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

fn stored_rules(revision: u64, recent_edits: &[u64]) -> StoredRules {
    let rule_set = Arc::new(RuleSet::default());
    StoredRules { revision, recent_edits: recent_edits.to_vec(), rule_set }
}

#[test]
fn rules_of_a_restored_store_are_told_from_those_of_an_edit_that_it_accepted_since() {
    let known = stored_rules(8, &[80, 70, 60, 50]);
    let relation = |revision, edits: &[u64]| known.relation_of(&stored_rules(revision, edits));
    assert_eq!(relation(9, &[90, 80, 70]), RulesRelation::Newer);
    assert_eq!(relation(8, &[80, 70, 60, 50]), RulesRelation::Current);
    assert_eq!(relation(6, &[60, 50]), RulesRelation::Lost);
    assert_eq!(relation(6, &[61, 50]), RulesRelation::Diverged);
    assert_eq!(relation(8, &[81, 70, 60, 50]), RulesRelation::Diverged);
    // Edits that old are not listed any more, and documents without edits tell nothing.
    assert_eq!(relation(4, &[40, 30]), RulesRelation::Lost);
    assert_eq!(relation(7, &[]), RulesRelation::Lost);
    let next = known.followed_by(&stored_rules(7, &[71, 61, 50]));
    assert_eq!((next.revision, next.recent_edits), (9, vec![71, 61, 80, 70, 60, 50]));
}

#[test]
fn values_that_the_store_has_lost_are_written_again() {
    let mut controller = controller();
    let mut outputs = Vec::new();
    let now = Duration::from_secs(1);
    let known = stored_rules(8, &[80, 70]);
    let placement = Arc::new(PlacementMap { generation: 7, ..PlacementMap::default() });
    controller.handle(ControllerInput::RulesReceived(known.clone()), now, &mut outputs);
    controller.handle(
        ControllerInput::PlacementReceived(Arc::clone(&placement)),
        now,
        &mut outputs,
    );
    let repairs = |controller: &mut HostController, input: ControllerInput| {
        let mut outputs = Vec::new();
        controller.handle(input, now, &mut outputs);
        outputs.retain(|output| {
            matches!(
                output,
                ControllerOutput::RestoreRules { .. } | ControllerOutput::RestorePlacement(_)
            )
        });
        outputs
    };
    let older = stored_rules(7, &[70]);
    assert_eq!(
        repairs(&mut controller, ControllerInput::RulesRead(Some(older))),
        [ControllerOutput::RestoreRules { rules: known.clone(), replaced_revision: 7 }]
    );
    assert_eq!(
        repairs(&mut controller, ControllerInput::RulesRead(None)),
        [ControllerOutput::RestoreRules { rules: known.clone(), replaced_revision: 0 }]
    );
    assert_eq!(
        repairs(&mut controller, ControllerInput::PlacementRead(None)),
        [ControllerOutput::RestorePlacement(Arc::clone(&placement))]
    );
    assert!(repairs(&mut controller, ControllerInput::RulesRead(Some(known))).is_empty());
    assert!(repairs(&mut controller, ControllerInput::PlacementRead(Some(placement))).is_empty());
}

#[test]
fn host_that_restarts_with_its_clock_set_back_is_heard_once_its_former_run_is_silent() {
    let options = MemberTableOptions::default();
    let mut table = MemberTable::new(HostId(9), DATA_CENTRE, options);
    table.tick(Duration::ZERO);
    assert!(table.record_digest(&digest(1, 500, 40)));
    assert!(!table.record_digest(&digest(1, 300, 1)), "the former run may still be alive");
    let mut now = Duration::ZERO;
    while now <= options.silence_timeout {
        now += options.heartbeat_interval;
        table.tick(now);
    }
    assert!(table.record_digest(&digest(1, 300, 2)));
    assert_eq!(table.live_members().count(), 1);
}
