//! Tests of the scenario parser: the parsed model, error messages, and arbitrary input.

use expect_test::expect;
use proptest::prelude::*;

use super::{ParameterOverride, parse_scenario};

const SAMPLE_SCENARIO: &str = "\
title a drain
param flows = 100
param start = 10s
data-centre lac hosts 3
service feed flow upstreams 4 slots 4
flows $flows every 5s opening 10/s life 30s
network delay 1ms 50ms loss 5% copy 1%
option placement computed
run 2m warm-up 5s
at $start+500ms drain feed-3
at $start pause lac-2 10s
bound broken_flows <= 0
";

fn parse_outcome_after_replacing(from: &str, to: &str) -> String {
    let text = SAMPLE_SCENARIO.replace(from, to);
    parse_scenario(&text, &[]).map_or_else(|error| error.to_string(), |_| "accepted".to_owned())
}

#[test]
fn parameters_and_overrides_are_substituted() {
    let overrides = [ParameterOverride { name: "start".to_owned(), value: "1m".to_owned() }];
    let scenario = parse_scenario(SAMPLE_SCENARIO, &overrides).expect("the sample is valid");
    let parsed = format!(
        "{} {:?} {:?} {:?}",
        scenario.title, scenario.flow_load, scenario.network, scenario.events
    );
    expect![[r#"a drain FlowLoad { held_flows: 100, mean_packet_interval: 5s, new_flows_per_sec: 10, mean_new_flow_lifetime: 30s } NetworkSpec { min_delay: 1ms, max_delay: 50ms, loss_ratio: 0.05, duplicate_ratio: 0.01 } [TimedEvent { at: 60s, action: PauseHost { host: "lac-2", duration: 10s } }, TimedEvent { at: 60.5s, action: DrainUpstream("feed-3") }]"#]].assert_eq(&parsed);
}

#[test]
fn errors_state_line_column_and_message() {
    let cases = [
        ("service feed flow", "servce feed flow"),
        ("service feed flow", "service feed floww"),
        ("hosts 3", "hosts three"),
        ("$flows every", "$flow every"),
        ("5s opening", "5 opening"),
        ("loss 5%", "loss 5"),
        ("drain feed-3", "drian feed-3"),
        ("drain feed-3", "drain"),
        ("pause lac-2 10s", "pause lac-2 10s again"),
        ("<= 0", "< 0"),
        ("run 2m warm-up 5s", ""),
        ("delay 1ms 50ms", "delay 60ms 50ms"),
    ];
    let outcomes: Vec<String> =
        cases.iter().map(|(from, to)| parse_outcome_after_replacing(from, to)).collect();
    expect![[r#"
        line 5, column 1: unknown statement 'servce'; did you mean 'service'?
        line 5, column 14: class is 'floww', expected 'flow' or 'request'
        line 4, column 23: 'three' is not a number of hosts
        line 6, column 7: unknown parameter 'flow'; did you mean 'flows'?
        line 6, column 20: '5' is not a time like 250ms, 10s or 1m+5s
        line 7, column 29: '5' is not a share like 5%
        line 10, column 17: unknown action 'drian'; did you mean 'drain'?
        line 10, column 22: name of the upstream is missing
        line 11, column 27: unexpected word 'again'
        line 12, column 20: comparison is '<', expected <= or >=
        line 12, column 1: the scenario lacks a 'run' statement
        line 7, column 1: the shortest delay is longer than the longest"#]]
    .assert_eq(&outcomes.join("\n"));
}

proptest! {
    #[test]
    fn parsing_arbitrary_text_does_not_panic(text in "[a-z0-9=#$. :%/\n-]{0,200}") {
        let _outcome = parse_scenario(&text, &[]);
    }

    #[test]
    fn parsing_a_scenario_with_inserted_character_does_not_panic(
        offset in 0_usize..SAMPLE_SCENARIO.len(),
        inserted in "[=#x $+]"
    ) {
        let text =
            format!("{}{inserted}{}", &SAMPLE_SCENARIO[..offset], &SAMPLE_SCENARIO[offset..]);
        let _outcome = parse_scenario(&text, &[]);
    }
}
