//! Tests of `mustardgrade trace`.

use expect_test::expect;

use super::trace_lines;

#[test]
fn lines_of_one_flow_come_in_order() {
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
    .assert_eq(&trace_lines("00ab", &logs).join("\n"));
    assert_eq!(trace_lines("1.1.1.1:6>", &logs).len(), 1);
    assert!(trace_lines("ffff", &logs).is_empty());
}
