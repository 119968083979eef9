//! The planner: derives the next generation of the placement tables.

use std::time::Duration;

use super::assign::{AssignMethod, UpstreamWeight, assign_buckets};
use super::map::PlacementMap;
use super::table::{BucketPhase, BucketPlacement, PlacementTable, UNASSIGNED};
use crate::identity::{ServiceId, UpstreamId};
use crate::rule::{RuleBook, ServiceClass, ServiceRule, UpstreamRule};

/// Weight of a warm upstream for each of its slots.
pub const WARM_WEIGHT_PER_SLOT: u32 = 100;

/// `PlannerOptions` holds the settings of a [`PlacementPlanner`].
#[derive(Debug, Clone, Copy)]
pub struct PlannerOptions {
    /// How buckets are given to upstreams.
    pub method: AssignMethod,
    /// Whether moves go through guards; without them a move takes effect at once.
    pub guards_enabled: bool,
    /// Whether moves are announced and wait for the echo of all live hosts; off only to show that
    /// the checks catch a protocol without it.
    pub wait_for_acknowledgement: bool,
    /// Time for which a moved bucket collects its old flows; flows that stay silent for longer are
    /// taken for closed.
    pub collecting_duration: Duration,
}

impl Default for PlannerOptions {
    fn default() -> Self {
        Self {
            method: AssignMethod::Bounded,
            guards_enabled: true,
            wait_for_acknowledgement: true,
            collecting_duration: Duration::from_secs(60),
        }
    }
}

/// `ClusterProgress` is what the planner knows of the other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClusterProgress {
    /// Lowest generation in force on any live host.
    pub applied_generation: u64,
    /// Lowest generation for which any listed host holds all settled exceptions.
    pub settled_generation: u64,
    /// Whether hosts that are listed as live cannot be heard.
    pub has_silent_listed_host: bool,
}

/// `PlacementPlanner` proposes generations of the [`PlacementMap`].
///
/// It keeps only the time at which it first saw the current collecting phase; a new planner waits
/// the whole time again, which is safe.
#[derive(Debug)]
pub struct PlacementPlanner {
    options: PlannerOptions,
    collecting_buckets: Vec<CollectingBucket>,
}

/// `CollectingBucket` remembers when a moved bucket was first seen collecting.
#[derive(Debug, Clone, PartialEq, Eq)]
struct CollectingBucket {
    service: ServiceId,
    bucket: usize,
    upstream: UpstreamId,
    since: Duration,
}

impl PlacementPlanner {
    /// Creates a planner.
    #[must_use]
    pub fn new(options: PlannerOptions) -> Self {
        Self { options, collecting_buckets: Vec::new() }
    }

    /// Records which buckets are collecting; called whenever a generation comes into force.
    pub fn track_collecting_buckets(&mut self, map: &PlacementMap, now: Duration) {
        let mut updated_buckets = Vec::new();
        for table in &map.tables {
            let collecting = table
                .buckets
                .iter()
                .enumerate()
                .filter(|(_, placement)| placement.phase == BucketPhase::Collecting);
            for (bucket, placement) in collecting {
                let Some(upstream) = table.upstream(placement.target_upstream) else {
                    continue;
                };
                updated_buckets.push(CollectingBucket {
                    service: table.service,
                    bucket,
                    upstream,
                    since: now,
                });
            }
        }
        let key = |entry: &CollectingBucket| (entry.service, entry.bucket, entry.upstream);
        updated_buckets.sort_by_key(key);
        for entry in &mut updated_buckets {
            if let Ok(index) = self.collecting_buckets.binary_search_by_key(&key(entry), key) {
                entry.since = self.collecting_buckets[index].since;
            }
        }
        self.collecting_buckets = updated_buckets;
    }

    /// Returns the next generation, or `None` if the current one needs no change yet.
    ///
    /// `weight_of` gives the share of an upstream that takes new work.
    #[must_use]
    pub fn propose(
        &self,
        map: &PlacementMap,
        rules: &RuleBook,
        rules_revision: u64,
        weight_of: &dyn Fn(&UpstreamRule) -> u32,
        progress: ClusterProgress,
        now: Duration,
    ) -> Option<PlacementMap> {
        let mut next =
            PlacementMap { generation: map.generation + 1, rules_revision, tables: Vec::new() };
        let flow_services =
            rules.services.iter().filter(|service| service.class == ServiceClass::Flow);
        for service in flow_services {
            let table = match map.table(service.id()) {
                Some(table) => {
                    self.next_table(map.generation, table, rules, service, weight_of, progress, now)
                }
                None => initial_table(self.options.method, rules, service, weight_of),
            };
            next.tables.push(table);
        }
        // The first generation is published even if no service needs a table: joining hosts wait
        // for it.
        (next.tables != map.tables || map.generation == 0).then_some(next)
    }

    #[expect(clippy::too_many_arguments, reason = "the inputs of one step of one table")]
    fn next_table(
        &self,
        generation: u64,
        table: &PlacementTable,
        rules: &RuleBook,
        service: &ServiceRule,
        weight_of: &dyn Fn(&UpstreamRule) -> u32,
        progress: ClusterProgress,
        now: Duration,
    ) -> PlacementTable {
        let mut next = table.clone();
        self.advance_phases(generation, &mut next, progress, now);
        let weights = add_upstreams_and_get_weights(&mut next, rules, service, weight_of);
        let old_targets: Vec<u16> =
            next.buckets.iter().map(|placement| placement.target_upstream).collect();
        let new_targets = assign_buckets(self.options.method, &old_targets, &weights);
        for (placement, upstream) in next.buckets.iter_mut().zip(new_targets) {
            self.set_target(placement, upstream);
        }
        next
    }

    /// Moves every bucket to its next phase where all hosts have followed the current one.
    fn advance_phases(
        &self,
        generation: u64,
        table: &mut PlacementTable,
        progress: ClusterProgress,
        now: Duration,
    ) {
        let is_applied =
            progress.applied_generation >= generation || !self.options.wait_for_acknowledgement;
        let is_settled =
            progress.settled_generation >= generation && !progress.has_silent_listed_host;
        let service = table.service;
        let upstreams = &table.upstreams;
        for (bucket, placement) in table.buckets.iter_mut().enumerate() {
            let next_phase = match placement.phase {
                BucketPhase::Announced if is_applied => BucketPhase::Collecting,
                BucketPhase::Collecting if is_applied && !progress.has_silent_listed_host => {
                    let upstream = upstreams.get(usize::from(placement.target_upstream)).copied();
                    match self.is_collecting_period_over(service, bucket, upstream, now) {
                        true => BucketPhase::Settling,
                        false => continue,
                    }
                }
                BucketPhase::Settling if is_settled => {
                    placement.source_upstream = placement.target_upstream;
                    BucketPhase::Steady
                }
                BucketPhase::Steady
                | BucketPhase::Announced
                | BucketPhase::Collecting
                | BucketPhase::Settling => continue,
            };
            placement.phase = next_phase;
        }
    }

    fn is_collecting_period_over(
        &self,
        service: ServiceId,
        bucket: usize,
        upstream: Option<UpstreamId>,
        now: Duration,
    ) -> bool {
        let Some(upstream) = upstream else {
            return false;
        };
        let key = |entry: &CollectingBucket| (entry.service, entry.bucket, entry.upstream);
        let found = self.collecting_buckets.binary_search_by_key(&(service, bucket, upstream), key);
        match found {
            Ok(index) => {
                now >= self.collecting_buckets[index].since + self.options.collecting_duration
            }
            Err(_) => false,
        }
    }

    /// Turns a slot towards a new upstream, by way of the guard phases.
    fn set_target(&self, placement: &mut BucketPlacement, upstream: u16) {
        if placement.target_upstream == upstream {
            return;
        }
        if !self.options.guards_enabled
            || placement.source_upstream == UNASSIGNED && placement.phase == BucketPhase::Steady
        {
            *placement = BucketPlacement::steady(upstream);
            return;
        }
        placement.phase = match placement.phase {
            BucketPhase::Steady | BucketPhase::Announced
                if !self.options.wait_for_acknowledgement =>
            {
                BucketPhase::Collecting
            }
            BucketPhase::Steady | BucketPhase::Announced => BucketPhase::Announced,
            BucketPhase::Collecting => BucketPhase::Collecting,
            BucketPhase::Settling => {
                // Unlisted flows already belong to the upstream that is now left.
                placement.source_upstream = placement.target_upstream;
                BucketPhase::Collecting
            }
        };
        placement.target_upstream = upstream;
    }
}

fn initial_table(
    method: AssignMethod,
    rules: &RuleBook,
    service: &ServiceRule,
    weight_of: &dyn Fn(&UpstreamRule) -> u32,
) -> PlacementTable {
    let count = PlacementTable::bucket_count_for(rules.upstreams_of(&service.name).count());
    let mut table = PlacementTable {
        service: service.id(),
        upstreams: Vec::new(),
        buckets: vec![BucketPlacement::steady(UNASSIGNED); count],
    };
    let weights = add_upstreams_and_get_weights(&mut table, rules, service, weight_of);
    let new_targets = assign_buckets(method, &vec![UNASSIGNED; count], &weights);
    table.buckets = new_targets.into_iter().map(BucketPlacement::steady).collect();
    table
}

/// Returns a weight for each upstream of the table, adding upstreams that are new.
fn add_upstreams_and_get_weights(
    table: &mut PlacementTable,
    rules: &RuleBook,
    service: &ServiceRule,
    weight_of: &dyn Fn(&UpstreamRule) -> u32,
) -> Vec<UpstreamWeight> {
    for rule in rules.upstreams_of(&service.name) {
        if table.index_of_upstream(rule.id()).is_none() {
            table.upstreams.push(rule.id());
        }
    }
    let weight = |upstream: &UpstreamId| {
        let rule = rules.upstreams_of(&service.name).find(|rule| rule.id() == *upstream);
        rule.filter(|rule| rules.takes_new_work(rule)).map_or(0, weight_of)
    };
    let weights = table.upstreams.iter();
    weights
        .map(|upstream| UpstreamWeight { upstream: *upstream, weight: weight(upstream) })
        .collect()
}
