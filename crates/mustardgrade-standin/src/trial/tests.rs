//! Tests of trials that run at the same time.

use mustardgrade_core::flow::PlacementMode;
use mustardgrade_core::rule::parse_rules;

use super::addresses::LoopbackRange;
use super::setup::TrialEnvironment;

const RULES: &str = "\
data-centre tunis-medina in  # operations
service rounds-desk 203.0.113.10:7000 class=flow tenant=bureau  # amel
upstream desk-1 service=rounds-desk at=127.78.1.201 data-centre=tunis-medina slots=4  # amel
";

async fn start_environment() -> TrialEnvironment {
    let mut rules = parse_rules(RULES).expect("the rules are valid");
    let addresses = LoopbackRange::reserve().expect("a range is free");
    addresses.move_upstreams(&mut rules).expect("the upstream can be moved");
    let environment = TrialEnvironment::start(addresses, PlacementMode::Guarded, &rules).await;
    environment.expect("nothing else uses the addresses")
}

#[tokio::test]
async fn two_trials_at_once_use_different_addresses() {
    let first = start_environment().await;
    let second = start_environment().await;
    let octet = |environment: &TrialEnvironment| environment.addresses.second_octet();
    assert_ne!(octet(&first), octet(&second));
    let upstream = |environment: &TrialEnvironment| environment.upstreams[0].settings().address;
    assert_ne!(upstream(&first), upstream(&second));
}

#[test]
fn range_stays_reserved_when_the_trial_has_ended() {
    let ended = LoopbackRange::reserve().expect("a range is free").second_octet();
    let next = LoopbackRange::reserve().expect("a range is free").second_octet();
    assert_ne!(ended, next);
}

#[test]
fn upstream_that_cannot_be_moved_is_named() {
    let _first_range = LoopbackRange::reserve().expect("a range is free");
    let second_range = LoopbackRange::reserve().expect("a range is free");
    let mut rules = parse_rules(&RULES.replace("127.78.", "127.250.")).expect("valid rules");
    let error = second_range.move_upstreams(&mut rules).expect_err("250 is too high");
    assert!(error.to_string().contains("127.250.1.201"), "{error}");
}
