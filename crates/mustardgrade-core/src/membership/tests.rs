//! Tests of membership.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::*;
use crate::identity::{DataCentreId, HostId, HostIncarnation};

const CENTRE: DataCentreId = DataCentreId(1);

fn digest(host: u64, incarnation: u64, sequence: u64) -> HostDigest {
    HostDigest {
        from: HostIncarnation { host: HostId(host), incarnation },
        sequence,
        state: HostState::Serving,
        data_centre: CENTRE,
        address: Ipv4Addr::new(10, 0, 0, host as u8),
        rules_revision: 1,
        generation: 1,
        settled: 1,
        view: 0,
    }
}

fn table() -> MemberTable {
    MemberTable::new(HostId(1), CENTRE, MemberOptions::default())
}

fn run(table: &mut MemberTable, from_ms: u64, to_ms: u64) {
    for at in (from_ms..=to_ms).step_by(100) {
        table.tick(Duration::from_millis(at));
    }
}

#[test]
fn silence_ends_a_membership_and_a_digest_restores_it() {
    let mut table = table();
    run(&mut table, 0, 500);
    assert!(table.receive(&digest(2, 1, 1)));
    run(&mut table, 600, 2_400);
    assert_eq!(table.live().count(), 1);
    run(&mut table, 2_500, 2_700);
    assert_eq!(table.live().count(), 0);
    assert!(table.receive(&digest(2, 1, 2)));
    assert_eq!(table.live().count(), 1);
}

#[test]
fn a_paused_host_does_not_take_its_peers_for_dead() {
    let mut table = table();
    run(&mut table, 0, 500);
    table.receive(&digest(2, 1, 1));
    table.tick(Duration::from_secs(60));
    assert_eq!(table.live().count(), 1);
}

#[test]
fn old_incarnations_and_repeated_digests_are_ignored() {
    let mut table = table();
    assert!(table.receive(&digest(2, 5, 3)));
    assert!(!table.receive(&digest(2, 5, 3)));
    assert!(!table.receive(&digest(2, 4, 9)));
    assert!(table.receive(&digest(2, 6, 1)));
    assert!(!table.receive(&digest(1, 9, 9)), "a host does not listen to itself");
}

#[test]
fn hosts_of_a_data_centre_that_is_out_do_not_count() {
    let mut table = table();
    let mut other = digest(2, 1, 1);
    other.data_centre = DataCentreId(2);
    table.receive(&other);
    table.set_out(vec![DataCentreId(2)]);
    assert_eq!((table.live().count(), table.targets().len()), (0, 0));
    other.sequence = 2;
    assert!(!table.receive(&other), "nothing is heard of it while it is out");
    table.set_out(Vec::new());
    assert_eq!((table.live().count(), table.targets().len()), (0, 0));
    assert!(table.receive(&other));
    assert_eq!((table.live().count(), table.targets().len()), (1, 1));
}

#[test]
fn settling_sees_hosts_that_are_listed_but_silent() {
    let mut table = table();
    let listed = |host: u64, leaving| ListedHost {
        host: HostId(host),
        address: Ipv4Addr::new(10, 0, 0, host as u8),
        data_centre: CENTRE,
        leaving,
    };
    table.set_listed(vec![listed(1, false), listed(2, true)]);
    assert!(!table.echo_state(&digest(1, 1, 1)).has_silent_listed_host);
    table.set_listed(vec![listed(1, false), listed(2, false)]);
    assert!(table.echo_state(&digest(1, 1, 1)).has_silent_listed_host);
}
