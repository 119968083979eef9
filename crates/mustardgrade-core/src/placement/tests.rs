//! Tests of the assignment methods and of the placement planner.

use std::time::Duration;

use expect_test::expect;

use super::*;
use crate::identity::UpstreamId;
use crate::rule::{RuleSet, parse_rules};

fn equal_weights(count: u64) -> Vec<UpstreamWeight> {
    (0..count).map(|n| UpstreamWeight { upstream: UpstreamId(n * 7_919), weight: 100 }).collect()
}

/// Returns the number of buckets of the most loaded upstream relative to the mean.
fn imbalance(assigned: &[u16], count: usize) -> f64 {
    let mut bucket_counts = vec![0_usize; count];
    assigned.iter().for_each(|index| bucket_counts[usize::from(*index)] += 1);
    let busiest = bucket_counts.iter().max().copied().unwrap_or_default() as f64;
    busiest * count as f64 / assigned.len() as f64
}

#[test]
fn methods_differ_in_reassigned_buckets_and_imbalance() {
    let mut report = String::new();
    for method in [AssignMethod::Bounded, AssignMethod::Rendezvous, AssignMethod::Maglev] {
        let full_weights = equal_weights(14);
        let before = assign_buckets(method, &[UNASSIGNED; 4_096], &full_weights);
        let mut drained_weights = full_weights.clone();
        drained_weights[3].weight = 0;
        let after = assign_buckets(method, &before, &drained_weights);
        let fewest_moves = before.iter().filter(|index| **index == 3).count();
        let moves_to_fewest =
            count_reassigned_buckets(&before, &after) as f64 / fewest_moves as f64;
        let max_to_mean = imbalance(&before, 14);
        report.push_str(&format!(
            "{method}: imbalance {max_to_mean:.3}, moves/least {moves_to_fewest:.2}\n"
        ));
    }
    expect![[r#"
        bounded: imbalance 1.001, moves/least 1.00
        rendezvous: imbalance 1.131, moves/least 1.00
        maglev: imbalance 1.001, moves/least 1.19
    "#]]
    .assert_eq(&report);
}

#[test]
fn bounded_assignment_restores_bucket_counts_with_the_weights() {
    let full_weights = equal_weights(5);
    let before = assign_buckets(AssignMethod::Bounded, &[UNASSIGNED; 256], &full_weights);
    let mut lowered_weights = full_weights.clone();
    lowered_weights[0].weight = 10;
    let reduced = assign_buckets(AssignMethod::Bounded, &before, &lowered_weights);
    let restored = assign_buckets(AssignMethod::Bounded, &reduced, &full_weights);
    let bucket_count = |table: &[u16]| table.iter().filter(|index| **index == 0).count();
    let counts = [bucket_count(&before), bucket_count(&reduced), bucket_count(&restored)];
    assert_eq!(counts, [52, 6, 52]);
    assert_eq!(count_reassigned_buckets(&before, &reduced), 46);
}

/// Rules with four upstreams, of which the first is in `state` and the others are serving.
fn rules_with_first_upstream(state: &str) -> RuleSet {
    let mut text = "data-centre lac in # ops\n\
        service feed 203.0.113.1:443 class=flow tenant=b # ops\n"
        .to_owned();
    for n in 1..=4 {
        let state = if n == 1 { state } else { "serving" };
        text.push_str(&format!(
            "upstream u{n} service=feed at=127.0.0.{n} data-centre=lac slots=4 state={state} # o\n"
        ));
    }
    parse_rules(&text).expect("the rules are valid")
}

fn phase_counts(map: &PlacementMap) -> String {
    let table = &map.tables[0];
    let all = [
        BucketPhase::Steady,
        BucketPhase::Announced,
        BucketPhase::Collecting,
        BucketPhase::Settling,
    ];
    let counts = all.map(|phase| format!("{phase} {}", table.count_buckets_in_phase(phase)));
    format!("generation {}: {}\n", map.generation, counts.join(", "))
}

#[test]
fn drain_advances_one_phase_after_every_host_has_acknowledged() {
    let mut planner = PlacementPlanner::new(PlannerOptions::default());
    let weight = |_: &crate::rule::UpstreamRule| 400;
    let progress_at = |applied_generation, settled_generation| ClusterProgress {
        applied_generation,
        settled_generation,
        has_silent_listed_host: false,
    };
    let propose_at = |planner: &PlacementPlanner, map: &PlacementMap, state, progress, secs| {
        planner.propose(
            map,
            &rules_with_first_upstream(state),
            1,
            &weight,
            progress,
            Duration::from_secs(secs),
        )
    };
    let mut report = String::new();
    let mut map = propose_at(&planner, &PlacementMap::default(), "serving", progress_at(0, 0), 0)
        .expect("the first generation is always proposed");
    report.push_str(&phase_counts(&map));
    let steps = [
        (1, 0, 1),  // The drain starts, so the move is announced.
        (1, 0, 2),  // Not all hosts have applied the announcement.
        (2, 0, 3),  // All hosts have applied it, so the buckets start to collect.
        (3, 0, 20), // The collecting duration has not elapsed.
        (3, 0, 80), // It has elapsed, so the buckets start to settle.
        (4, 3, 81), // Not all hosts have the settled exceptions.
        (4, 4, 82), // All hosts have them, so the buckets become steady.
        (5, 5, 83), // The move is complete.
    ];
    for (applied_generation, settled_generation, secs) in steps {
        planner.track_collecting_buckets(&map, Duration::from_secs(secs - 1));
        match propose_at(
            &planner,
            &map,
            "draining",
            progress_at(applied_generation, settled_generation),
            secs,
        ) {
            Some(next) => map = next,
            None => report.push_str("unchanged "),
        }
        report.push_str(&phase_counts(&map));
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
fn settling_waits_for_listed_hosts_that_are_silent() {
    let mut planner = PlacementPlanner::new(PlannerOptions::default());
    let weight = |_: &crate::rule::UpstreamRule| 400;
    let progress = ClusterProgress {
        applied_generation: 9,
        settled_generation: 9,
        has_silent_listed_host: true,
    };
    let mut map = PlacementMap::default();
    for secs in 0..500 {
        let state = if secs < 10 { "serving" } else { "draining" };
        planner.track_collecting_buckets(&map, Duration::from_secs(secs));
        let now = Duration::from_secs(secs);
        if let Some(next) =
            planner.propose(&map, &rules_with_first_upstream(state), 1, &weight, progress, now)
        {
            map = next;
        }
    }
    assert_eq!(map.tables[0].count_buckets_in_phase(BucketPhase::Collecting), 256);
}
