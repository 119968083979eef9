//! Tests of scenario runs: equal seeds give equal output, and broken flows are detected.

use super::{SeedRange, measure_scenario};
use crate::scenario::{ParameterOverride, parse_scenario};

const BASELINE_CHANGE_SCENARIO: &str = include_str!("../../../../scenarios/baseline-change.scn");

fn measure_baseline_change(parameters: &[(&str, &str)], seed: u64) -> super::ScenarioResult {
    let overrides: Vec<ParameterOverride> = parameters
        .iter()
        .map(|(name, value)| ParameterOverride {
            name: (*name).to_owned(),
            value: (*value).to_owned(),
        })
        .collect();
    let scenario =
        parse_scenario(BASELINE_CHANGE_SCENARIO, &overrides).expect("the scenario is valid");
    measure_scenario(&scenario, SeedRange { first: seed, last: seed })
}

fn figure_value(result: &super::ScenarioResult, name: &str) -> f64 {
    let figure = result.figures.iter().find(|figure| figure.name == name);
    figure.map_or(0.0, |figure| figure.value)
}

#[test]
fn same_seed_gives_identical_output() {
    let small_load = [("flows", "500")];
    assert_eq!(
        measure_baseline_change(&small_load, 3).to_string(),
        measure_baseline_change(&small_load, 3).to_string()
    );
}

#[test]
fn guarded_placement_keeps_flows_that_computed_placement_breaks() {
    let baseline = measure_baseline_change(&[("flows", "2000"), ("placement", "computed")], 1);
    assert!(figure_value(&baseline, "broken_flows") > 0.0, "{baseline}");
    let guarded = measure_baseline_change(&[("flows", "2000")], 1);
    assert!(guarded.all_bounds_kept(), "{guarded}");
}

#[test]
fn flows_break_if_moves_do_not_wait_for_acknowledgement() {
    let lossy_scenario = include_str!("../../../../scenarios/flow-change-lossy.scn");
    let broken_flows = |acknowledgement: &str| {
        let text = lossy_scenario.replace(
            "option placement",
            &format!("option echo {acknowledgement}\noption placement"),
        );
        let small_load = [("flows", "1000"), ("opening", "3000")].map(|(name, value)| {
            ParameterOverride { name: name.to_owned(), value: value.to_owned() }
        });
        let scenario = parse_scenario(&text, &small_load).expect("the scenario is valid");
        figure_value(&measure_scenario(&scenario, SeedRange { first: 2, last: 2 }), "broken_flows")
    };
    assert_eq!(broken_flows("on"), 0.0);
    assert!(broken_flows("off") > 0.0);
}

#[test]
fn same_seed_gives_identical_output_with_cookie_placement() {
    let platform_cut = include_str!("../../../../scenarios/platform-cut.scn");
    let scenario = parse_scenario(platform_cut, &[]).expect("the scenario is valid");
    let run = || measure_scenario(&scenario, SeedRange { first: 4, last: 4 }).to_string();
    assert_eq!(run(), run());
}

#[test]
fn open_flows_survive_with_spraying_and_hashing_fabric() {
    let text = include_str!("../../../../scenarios/platform-spray.scn");
    let broken_flows = |fabric: &str| {
        let fabric_override =
            ParameterOverride { name: "fabric".to_owned(), value: fabric.to_owned() };
        let scenario = parse_scenario(text, &[fabric_override]).expect("the scenario is valid");
        figure_value(&measure_scenario(&scenario, SeedRange { first: 2, last: 2 }), "broken_flows")
    };
    assert_eq!(broken_flows("spray"), 0.0);
    assert_eq!(broken_flows("hash"), 0.0);
}
