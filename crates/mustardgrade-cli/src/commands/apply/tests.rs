//! Tests of what `mustardgrade apply` concludes from the hosts' statuses.

use std::net::Ipv4Addr;

use super::*;
use crate::commands::status::StatusPage;

fn status(revision: u64, recent_edits: Option<&[u64]>) -> ListedHostStatus {
    let page = StatusPage {
        rules_revision: Some(revision),
        recent_edits: recent_edits.map(<[u64]>::to_vec),
        ..StatusPage::default()
    };
    let address = Ipv4Addr::new(127, 0, 2, 1);
    ListedHostStatus { address, rules_revision: Some(revision), answer: Some(page) }
}

#[test]
fn edit_of_a_restored_store_is_not_in_force_because_a_lost_revision_is_higher() {
    let edit_of_older_copy = AppliedRules { revision: 6, edit: Some(66) };
    assert!(!edit_of_older_copy.are_in_force_on(&status(8, Some(&[80, 70, 60]))));
    assert!(edit_of_older_copy.are_in_force_on(&status(9, Some(&[66, 80, 70]))));
    // Hosts that do not list edits can only be judged by the revision.
    assert!(edit_of_older_copy.are_in_force_on(&status(6, None)));
    let unchanged = AppliedRules { revision: 6, edit: None };
    assert!(unchanged.are_in_force_on(&status(7, Some(&[70, 60]))));
    assert!(!unchanged.are_in_force_on(&status(5, Some(&[50]))));
}

#[test]
fn store_that_lost_a_revision_in_force_is_recognised() {
    assert_eq!(lost_revision(6, &[status(8, None), status(5, None)]), Some(8));
    assert_eq!(lost_revision(8, &[status(8, None), status(5, None)]), None);
    assert_eq!(lost_revision(8, &[]), None);
}
