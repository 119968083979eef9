//! Tests of `mustardgrade status`.

use expect_test::expect;

use super::*;

#[test]
fn table_shows_lagging_and_unreachable_hosts() {
    let page = StatusPage {
        host: Some("tunis-lac-1".to_owned()),
        data_centre: Some("tunis-lac".to_owned()),
        state: Some("serving".to_owned()),
        rules_revision: Some(6),
        recent_edits: None,
        generation: Some(12),
        guarded_buckets: Some(293),
        live_hosts: Some(15),
        address: None,
    };
    let statuses = [
        ListedHostStatus {
            address: Ipv4Addr::new(127, 0, 2, 1),
            rules_revision: Some(6),
            answer: Some(page),
        },
        ListedHostStatus {
            address: Ipv4Addr::new(127, 0, 2, 2),
            rules_revision: None,
            answer: None,
        },
    ];
    expect![[r#"
        accepted revision 7
        host               address          data centre    state     revision generation guarded  live
        tunis-lac-1        127.0.2.1        tunis-lac      serving          6         12     293    15
        -                  127.0.2.2        does not answer
    "#]].assert_eq(&format_status_table(7, &statuses));
}
