//! Tests of placement.

use std::time::Duration;

use expect_test::expect;

use super::*;
use crate::identity::UpstreamId;
use crate::rule::{RuleSet, parse_rules};

fn weights(count: u64) -> Vec<UpstreamWeight> {
    (0..count).map(|n| UpstreamWeight { upstream: UpstreamId(n * 7_919), weight: 100 }).collect()
}

fn imbalance(assigned: &[u16], count: usize) -> f64 {
    let mut held = vec![0_usize; count];
    assigned.iter().for_each(|index| held[usize::from(*index)] += 1);
    let busiest = held.iter().max().copied().unwrap_or_default() as f64;
    busiest * count as f64 / assigned.len() as f64
}

#[test]
fn methods_differ_in_motion_and_imbalance() {
    let mut report = String::new();
    for method in [AssignMethod::Bounded, AssignMethod::Rendezvous, AssignMethod::Maglev] {
        let full = weights(14);
        let before = assign_buckets(method, &[UNPLACED; 4_096], &full);
        let mut drained = full.clone();
        drained[3].weight = 0;
        let after = assign_buckets(method, &before, &drained);
        let least = before.iter().filter(|index| **index == 3).count();
        let moves = count_moves(&before, &after) as f64 / least as f64;
        let spread = imbalance(&before, 14);
        report.push_str(&format!("{method}: imbalance {spread:.3}, moves/least {moves:.2}\n"));
    }
    expect![[r#"
        bounded: imbalance 1.001, moves/least 1.00
        rendezvous: imbalance 1.131, moves/least 1.00
        maglev: imbalance 1.001, moves/least 1.19
    "#]]
    .assert_eq(&report);
}

#[test]
fn bounded_assignment_follows_weights_back_and_forth() {
    let full = weights(5);
    let before = assign_buckets(AssignMethod::Bounded, &[UNPLACED; 256], &full);
    let mut cold = full.clone();
    cold[0].weight = 10;
    let colder = assign_buckets(AssignMethod::Bounded, &before, &cold);
    let warm = assign_buckets(AssignMethod::Bounded, &colder, &full);
    let held = |table: &[u16]| table.iter().filter(|index| **index == 0).count();
    let counts = [held(&before), held(&colder), held(&warm)];
    assert_eq!(counts, [52, 6, 52]);
    assert_eq!(count_moves(&before, &colder), 46);
}

fn rules(state: &str) -> RuleSet {
    let mut text = "data-centre lac in # ops\n\
        service feed 203.0.113.1:443 class=flow tenant=b # ops\n"
        .to_owned();
    for n in 1..=4 {
        let state = if n == 1 { state } else { "serving" };
        text.push_str(&format!(
            "upstream u{n} service=feed at=127.0.0.{n} data-centre=lac slots=4 state={state} # o\n"
        ));
    }
    parse_rules(&text).expect("rules are valid")
}

fn phases(book: &PlacementBook) -> String {
    let table = &book.tables[0];
    let all = [
        BucketPhase::Steady,
        BucketPhase::Announced,
        BucketPhase::Collecting,
        BucketPhase::Settling,
    ];
    let counts = all.map(|phase| format!("{phase} {}", table.count_phase(phase)));
    format!("generation {}: {}\n", book.generation, counts.join(", "))
}

#[test]
fn a_drain_passes_through_every_phase_only_on_echoes() {
    let mut planner = PlacementPlanner::new(PlannerOptions::default());
    let weight = |_: &crate::rule::UpstreamRule| 400;
    let quiet = |applied, settled| EchoState { applied, settled, listed_missing: false };
    let step = |planner: &PlacementPlanner, book: &PlacementBook, state, echo, secs| {
        planner.propose(book, &rules(state), 1, &weight, echo, Duration::from_secs(secs))
    };
    let mut report = String::new();
    let mut book = step(&planner, &PlacementBook::default(), "serving", quiet(0, 0), 0)
        .expect("first tables are proposed");
    report.push_str(&phases(&book));
    let cases = [
        (1, 0, 1),  // The drain is announced.
        (1, 0, 2),  // Not every host has applied the announcement.
        (2, 0, 3),  // All have: the buckets move.
        (3, 0, 20), // The old flows have not had their time yet.
        (3, 0, 80), // They have: the exceptions are settled.
        (4, 3, 81), // Not every host holds them.
        (4, 4, 82), // All do: the guards end.
        (5, 5, 83), // Nothing is left to do.
    ];
    for (applied, settled, secs) in cases {
        planner.observe(&book, Duration::from_secs(secs - 1));
        match step(&planner, &book, "draining", quiet(applied, settled), secs) {
            Some(next) => book = next,
            None => report.push_str("unchanged "),
        }
        report.push_str(&phases(&book));
    }
    expect![[r#"
        generation 1: steady 1024, announced 0, collecting 0, settling 0
        generation 2: steady 768, announced 256, collecting 0, settling 0
        unchanged generation 2: steady 768, announced 256, collecting 0, settling 0
        generation 3: steady 768, announced 0, collecting 256, settling 0
        unchanged generation 3: steady 768, announced 0, collecting 256, settling 0
        generation 4: steady 768, announced 0, collecting 0, settling 256
        unchanged generation 4: steady 768, announced 0, collecting 0, settling 256
        generation 5: steady 1024, announced 0, collecting 0, settling 0
        unchanged generation 5: steady 1024, announced 0, collecting 0, settling 0
    "#]]
    .assert_eq(&report);
}

#[test]
fn settling_waits_for_hosts_that_are_listed_but_not_heard() {
    let mut planner = PlacementPlanner::new(PlannerOptions::default());
    let weight = |_: &crate::rule::UpstreamRule| 400;
    let missing = EchoState { applied: 9, settled: 9, listed_missing: true };
    let mut book = PlacementBook::default();
    for secs in 0..500 {
        let state = if secs < 10 { "serving" } else { "draining" };
        planner.observe(&book, Duration::from_secs(secs));
        let now = Duration::from_secs(secs);
        if let Some(next) = planner.propose(&book, &rules(state), 1, &weight, missing, now) {
            book = next;
        }
    }
    assert_eq!(book.tables[0].count_phase(BucketPhase::Collecting), 256);
}
