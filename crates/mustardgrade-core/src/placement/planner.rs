//! The placement planner, which derives the next generation of the placement tables.

use std::time::Duration;

use super::assign::{AssignMethod, UpstreamWeight, assign_buckets};
use super::map::PlacementMap;
use super::table::{BucketPhase, BucketPlacement, PlacementTable, UNASSIGNED};
use crate::identity::{ServiceId, UpstreamId};
use crate::rule::{RuleSet, ServiceClass, ServiceRule, UpstreamRule};

/// Weight of an upstream per slot of its capacity, once it has warmed up.
pub const WARM_WEIGHT_PER_SLOT: u32 = 100;

/// `PlannerOptions` holds the settings of a [`PlacementPlanner`].
#[derive(Debug, Clone, Copy)]
pub struct PlannerOptions {
    /// Algorithm that assigns buckets to upstreams.
    pub method: AssignMethod,
    /// Whether buckets are guarded while they move; otherwise a move takes effect at once.
    pub guards_enabled: bool,
    /// Whether a move is announced first and waits until all live hosts have acknowledged it; only
    /// disabled to show that the checks detect a protocol without this step.
    pub wait_for_acknowledgement: bool,
    /// Duration of the collecting phase of a bucket; flows without a packet for this time are
    /// considered closed.
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

/// `ClusterProgress` says how far the live hosts have followed the published placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClusterProgress {
    /// Lowest placement generation in force on any live host that routes packets.
    pub applied_generation: u64,
    /// Generation up to which every live host that routes packets has all settled exceptions.
    pub settled_generation: u64,
    /// Whether a host that the platform lists, and not as leaving, sends no heartbeats.
    pub has_silent_listed_host: bool,
}

/// `PlacementPlanner` proposes the next generation of a [`PlacementMap`].
///
/// Its only state is when it first saw each bucket in the collecting phase. A new planner therefore
/// waits for the full collecting duration again, which is safe.
#[derive(Debug)]
pub struct PlacementPlanner {
    options: PlannerOptions,
    collecting_buckets: Vec<CollectingBucket>,
}

/// `CollectingBucket` records when a bucket was first seen in the collecting phase of a move to
/// `upstream`.
#[derive(Debug, Clone, PartialEq, Eq)]
struct CollectingBucket {
    service: ServiceId,
    bucket: usize,
    upstream: UpstreamId,
    since: Duration,
}

impl PlacementPlanner {
    /// Creates a planner that has seen no placement yet.
    #[must_use]
    pub fn new(options: PlannerOptions) -> Self {
        Self { options, collecting_buckets: Vec::new() }
    }

    /// Updates the start times of the collecting phases; to be called for each generation that
    /// comes into force.
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

    /// Returns the next generation after `map`, or `None` if nothing has to change yet.
    ///
    /// `weight_of` returns the weight of an upstream that accepts new flows; the others weigh 0.
    #[must_use]
    pub fn propose(
        &self,
        map: &PlacementMap,
        rules: &RuleSet,
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
        // The first generation is published even without tables, because joining hosts wait for it.
        (next.tables != map.tables || map.generation == 0).then_some(next)
    }

    #[expect(clippy::too_many_arguments, reason = "the inputs of one step of one table")]
    fn next_table(
        &self,
        generation: u64,
        table: &PlacementTable,
        rules: &RuleSet,
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

    /// Advances each bucket to its next phase if all hosts have acknowledged the current one; a
    /// collecting bucket must also have collected for the full duration.
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

    /// Returns whether a bucket has been collecting for the full duration of its move to
    /// `upstream`.
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

    /// Starts a move of a bucket to `upstream`, or redirects the move that is in progress.
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
                // Flows without a record already belong to the target, which is now the source.
                placement.source_upstream = placement.target_upstream;
                BucketPhase::Collecting
            }
        };
        placement.target_upstream = upstream;
    }
}

/// Returns the first table of a service, with all buckets steady.
fn initial_table(
    method: AssignMethod,
    rules: &RuleSet,
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

/// Adds the upstreams that the table lacks, and returns a weight for each upstream of the table.
fn add_upstreams_and_get_weights(
    table: &mut PlacementTable,
    rules: &RuleSet,
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
        rule.filter(|rule| rules.accepts_new_work(rule)).map_or(0, weight_of)
    };
    let weights = table.upstreams.iter();
    weights
        .map(|upstream| UpstreamWeight { upstream: *upstream, weight: weight(upstream) })
        .collect()
}
