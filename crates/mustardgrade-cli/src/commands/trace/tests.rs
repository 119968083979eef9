//! Tests of `mustardgrade trace`.

use expect_test::expect;

use super::find_flow_lines;

#[test]
fn lines_of_one_flow_are_sorted_by_time_across_logs() {
    let log = |name: &str, text: &str| (name.to_owned(), text.to_owned());
    let logs = [
        log(
            "a",
            "[2026-01-01T00:00:02.500Z INFO m] flow reset flow=00ab key=1.1.1.1:5>2.2.2.2:443\n\
             [2026-01-01T00:00:03.000Z INFO m] flow opened flow=00ac key=1.1.1.1:6>2.2.2.2:443\n",
        ),
        log(
            "b",
            "[2026-01-01T00:00:01.250Z INFO m] flow opened flow=00ab key=1.1.1.1:5>2.2.2.2:443\n",
        ),
    ];
    expect![[r#"
        b: [2026-01-01T00:00:01.250Z INFO m] flow opened flow=00ab key=1.1.1.1:5>2.2.2.2:443
        a: [2026-01-01T00:00:02.500Z INFO m] flow reset flow=00ab key=1.1.1.1:5>2.2.2.2:443"#]]
    .assert_eq(&find_flow_lines("00ab", &logs).join("\n"));
    assert_eq!(find_flow_lines("1.1.1.1:6>", &logs).len(), 1);
    assert!(find_flow_lines("ffff", &logs).is_empty());
}
