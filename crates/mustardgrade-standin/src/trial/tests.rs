//! Tests of trials that run at the same time.

use std::net::Ipv4Addr;
use std::time::Duration;

use mustardgrade_core::flow::PlacementMode;
use mustardgrade_core::rule::parse_rules;
use mustardgrade_node::store::{RULES_KEY, RulesDocument, decode_rules};

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

/// Time within which an accepted edit has to be in force, and a lost one written again.
const EDIT_DEADLINE: Duration = Duration::from_secs(3);

/// Time within which a lone host starts to serve.
const START_DEADLINE: Duration = Duration::from_secs(15);

async fn wait_for_host_status(environment: &TrialEnvironment, field: &str, deadline: Duration) {
    let host = &environment.hosts["h-1"].host;
    let reached = async {
        while !host.status().contains(field) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let result = tokio::time::timeout(deadline, reached).await;
    assert!(result.is_ok(), "{field} is not reached: {}", host.status());
}

async fn stored_document(environment: &TrialEnvironment) -> RulesDocument {
    let reply = environment.store.read(RULES_KEY).await.expect("the store answers");
    decode_rules(&reply.value.expect("the store holds rules").value).expect("valid rules")
}

#[tokio::test(flavor = "multi_thread")]
async fn edits_are_in_force_and_kept_after_the_store_returned_from_an_older_copy() {
    let mut environment = start_environment().await;
    let mut rules = parse_rules(RULES).expect("the rules are valid");
    environment.addresses.move_upstreams(&mut rules).expect("the upstream can be moved");
    environment.apply_rules(&rules).await.expect("the store accepts the rules");
    let host_address = Ipv4Addr::new(127, environment.addresses.second_octet(), 2, 1);
    environment.start_host("h-1", "tunis-medina", host_address).expect("the host starts");
    wait_for_host_status(&environment, r#""state":"serving""#, START_DEADLINE).await;
    let copy = environment.platform.lock_state().copy();
    for slots in [5, 6] {
        rules.upstreams[0].slots = slots;
        environment.apply_rules(&rules).await.expect("the store accepts the edit");
    }
    wait_for_host_status(&environment, r#""rules_revision":3"#, EDIT_DEADLINE).await;
    environment.platform.restore(copy.clone());
    tokio::time::sleep(EDIT_DEADLINE).await;
    assert_eq!(stored_document(&environment).await.revision, 3, "the lost edits are written again");

    // An edit that the restored store accepts first is in force as the next revision.
    environment.platform.restore(copy);
    rules.upstreams[0].slots = 7;
    assert_eq!(environment.apply_rules(&rules).await.expect("the store accepts the edit"), 2);
    wait_for_host_status(&environment, r#""rules_revision":4"#, EDIT_DEADLINE).await;
    assert_eq!(stored_document(&environment).await.text, rules.to_text());
}
