//! Tests of the measuring tool.

use super::{SeedRange, measure_scenario};
use crate::scenario::{Override, parse_scenario};

const CHANGE: &str = include_str!("../../../../scenarios/baseline-change.scn");

fn measure(settings: &[(&str, &str)], seed: u64) -> super::MeasureResult {
    let overrides: Vec<Override> = settings
        .iter()
        .map(|(name, value)| Override { name: (*name).to_owned(), value: (*value).to_owned() })
        .collect();
    let scenario = parse_scenario(CHANGE, &overrides).expect("the scenario is valid");
    measure_scenario(&scenario, SeedRange { first: seed, last: seed })
}

fn value(result: &super::MeasureResult, name: &str) -> f64 {
    let figure = result.figures.iter().find(|figure| figure.name == name);
    figure.map_or(0.0, |figure| figure.value)
}

#[test]
fn the_same_seed_gives_the_same_output() {
    let small = [("flows", "500")];
    assert_eq!(measure(&small, 3).to_string(), measure(&small, 3).to_string());
}

#[test]
fn guards_keep_flows_that_the_baseline_breaks() {
    let baseline = measure(&[("flows", "2000"), ("placement", "computed")], 1);
    assert!(value(&baseline, "broken_flows") > 0.0, "{baseline}");
    let guarded = measure(&[("flows", "2000")], 1);
    assert!(guarded.is_kept(), "{guarded}");
}

#[test]
fn moves_without_announcement_are_caught() {
    let lossy = include_str!("../../../../scenarios/flow-change-lossy.scn");
    let broken = |echo: &str| {
        let text =
            lossy.replace("option placement", &format!("option echo {echo}\noption placement"));
        let small = [("flows", "1000"), ("opening", "3000")]
            .map(|(name, value)| Override { name: name.to_owned(), value: value.to_owned() });
        let scenario = parse_scenario(&text, &small).expect("the scenario is valid");
        value(&measure_scenario(&scenario, SeedRange { first: 2, last: 2 }), "broken_flows")
    };
    assert_eq!(broken("on"), 0.0);
    assert!(broken("off") > 0.0);
}

#[test]
fn fleets_by_cookie_are_the_same_with_the_same_seed() {
    let cut = include_str!("../../../../scenarios/platform-cut.scn");
    let scenario = parse_scenario(cut, &[]).expect("the scenario is valid");
    let play = || measure_scenario(&scenario, SeedRange { first: 4, last: 4 }).to_string();
    assert_eq!(play(), play());
}

#[test]
fn open_flows_survive_under_either_fabric() {
    let text = include_str!("../../../../scenarios/platform-spray.scn");
    let broken = |fabric: &str| {
        let fabric = Override { name: "fabric".to_owned(), value: fabric.to_owned() };
        let scenario = parse_scenario(text, &[fabric]).expect("the scenario is valid");
        value(&measure_scenario(&scenario, SeedRange { first: 2, last: 2 }), "broken_flows")
    };
    assert_eq!(broken("spray"), 0.0);
    assert_eq!(broken("hash"), 0.0);
}
