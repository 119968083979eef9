//! Tests of the parser, the whole-file checks, the diff and the merge of rules.

use expect_test::expect;
use proptest::prelude::*;

use super::{MergeOutcome, diff_rules, merge_rules, parse_rules};

const SAMPLE: &str = "\
data-centre lac in  # ops: opening
service desk 203.0.113.10:443 class=flow tenant=bureau  # amel: rounds
upstream desk-1 service=desk at=127.0.0.9 data-centre=lac slots=4  # amel: rounds
";

fn parse_error(text: &str) -> String {
    parse_rules(text).map_or_else(|error| error.to_string(), |_| "accepted".to_owned())
}

#[test]
fn accepted_rules_round_trip() {
    let rule_set = parse_rules(SAMPLE).expect("sample is valid");
    assert_eq!(parse_rules(&rule_set.to_text()).expect("formatted rules are valid"), rule_set);
}

#[test]
fn errors_report_position_and_cause() {
    let cases = [
        ("data-centre lac in", "requester"),
        ("data-center lac in # x", "kind"),
        ("data-centre lac on # x", "state"),
        ("service desk 203.0.113:443 class=flow tenant=b # x", "address"),
        ("service desk 203.0.113.1:443 clas=flow tenant=b # x", "key"),
        ("upstream u service=desk at=127.0.0.9 data-centre=lac slots=0 # x", "slots"),
        ("upstream u service=desk at=127.0.0.9 data-centre=lac # x", "missing"),
    ];
    let report: String =
        cases.iter().map(|(text, label)| format!("{label}: {}\n", parse_error(text))).collect();
    expect![[r#"
        requester: line 1, column 19: rule lacks the comment that names who asked for it
        kind: line 1, column 1: unknown rule 'data-center'; did you mean 'data-centre'?
        state: line 1, column 17: state is 'on', expected 'in' or 'out'
        address: line 1, column 14: '203.0.113:443' is not an address like 203.0.113.10:443
        key: line 1, column 30: unknown key 'clas'; did you mean 'class'?
        slots: line 1, column 60: slots must be at least 1
        missing: line 1, column 53: key 'slots' is missing
    "#]]
    .assert_eq(&report);
}

#[test]
fn whole_file_checks_reject_invalid_references_and_duplicates() {
    let unknown_service = SAMPLE.replace("service=desk", "service=dusk");
    let all_out = SAMPLE.replace("lac in", "lac out");
    let duplicate = format!("{SAMPLE}data-centre lac in  # again\n");
    let without_upstream = "service desk 203.0.113.10:443 class=flow tenant=bureau  # amel\n";
    let report = [unknown_service.as_str(), &all_out, &duplicate, without_upstream]
        .map(parse_error)
        .join("\n");
    expect![[r#"
        line 3, column 1: unknown service 'dusk'; did you mean 'desk'?
        line 1, column 1: no data centre is in service; at least one must be 'in'
        line 4, column 1: data centre 'lac' is already defined on line 1
        line 1, column 1: service 'desk' has no serving upstream"#]]
    .assert_eq(&report);
}

#[test]
fn diff_shows_removed_and_added_line() {
    let old = parse_rules(SAMPLE).expect("sample is valid");
    let edited = SAMPLE.replace("slots=4", "slots=3");
    let new = parse_rules(&edited).expect("edited sample is valid");
    let difference = diff_rules(&old, &new).to_string();
    expect![[r#"
        - upstream desk-1 service=desk at=127.0.0.9 data-centre=lac slots=4 state=serving  # amel: rounds
        + upstream desk-1 service=desk at=127.0.0.9 data-centre=lac slots=3 state=serving  # amel: rounds
    "#]]
    .assert_eq(&difference);
}

fn merge_report(theirs: (&str, &str), yours: (&str, &str)) -> String {
    let rule_set = |(from, to): (&str, &str)| {
        parse_rules(&SAMPLE.replace(from, to)).expect("edited sample is valid")
    };
    match merge_rules(&rule_set(("", "")), &rule_set(theirs), &rule_set(yours)) {
        MergeOutcome::Merged(rule_set) => rule_set.to_text(),
        MergeOutcome::Conflict(conflict) => conflict.to_string(),
    }
}

#[test]
fn edits_of_different_rules_merge_and_edits_of_one_rule_conflict() {
    let slots = ("slots=4", "slots=3");
    let report = [
        merge_report(slots, ("tenant=bureau", "tenant=league")),
        merge_report(slots, ("slots=4", "slots=2")),
        merge_report(slots, slots),
    ];
    expect![[r#"
        data-centre lac in  # ops: opening
        service desk 203.0.113.10:443 class=flow tenant=league  # amel: rounds
        upstream desk-1 service=desk at=127.0.0.9 data-centre=lac slots=3 state=serving  # amel: rounds

        rule 'upstream desk-1' was changed by another edit
          theirs: upstream desk-1 service=desk at=127.0.0.9 data-centre=lac slots=3 state=serving  # amel: rounds
          yours:  upstream desk-1 service=desk at=127.0.0.9 data-centre=lac slots=2 state=serving  # amel: rounds
        data-centre lac in  # ops: opening
        service desk 203.0.113.10:443 class=flow tenant=bureau  # amel: rounds
        upstream desk-1 service=desk at=127.0.0.9 data-centre=lac slots=3 state=serving  # amel: rounds
    "#]].assert_eq(&report.join("\n"));
}

#[test]
fn rule_that_cannot_be_read_again_in_its_canonical_form_is_rejected() {
    let comment = "x".repeat(1_024 - "data-centre lac in #".len());
    let text = SAMPLE.replace("data-centre lac in", &format!("data-centre lac in #{comment}\n#"));
    let error = parse_rules(&text).expect_err("the canonical form has a longer separator");
    assert!(error.to_string().contains("defaults spelled out"), "{error}");
}

#[test]
fn names_with_the_same_identity_are_rejected() {
    let names = [("desk", 3), ("archive", 7)].into_iter();
    let error = super::check::check_unique("service", names, |_| 1).expect_err("same identity");
    let expected = "line 7, column 1: service 'archive' has the same identity as 'desk' on line 3; \
                    rename one of them";
    assert_eq!(error.to_string(), expected);
}

proptest! {
    #[test]
    fn parse_errors_of_arbitrary_text_have_a_position(text in "[a-z0-9=#. :\n-]{0,200}") {
        if let Err(error) = parse_rules(&text) {
            prop_assert!(error.position.line >= 1 && error.position.column >= 1);
        }
    }

    #[test]
    fn parse_errors_of_corrupted_rules_are_inside_the_file(
        insert_at in 0_usize..SAMPLE.len(),
        inserted in "[=#x ]{1,3}",
    ) {
        let text = format!("{}{inserted}{}", &SAMPLE[..insert_at], &SAMPLE[insert_at..]);
        if let Err(error) = parse_rules(&text) {
            prop_assert!(error.position.line <= text.lines().count());
        }
    }
}
