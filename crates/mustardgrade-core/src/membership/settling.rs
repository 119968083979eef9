//! Collection of settled exceptions.
//!
//! An exception is the record of a flow that stays on another upstream than the one to which its
//! bucket has moved. A move may end only when every host has installed the exceptions of the
//! bucket.

use std::collections::BTreeMap;
use std::time::Duration;

use super::controller::{FETCH_RETRY_INTERVAL, HostController};
use super::events::{ControllerOutput, RecordKeeper};
use crate::flow::{PlacementMode, RoutingSnapshot};
use crate::identity::ServiceId;
use crate::placement::{BucketIndex, BucketPhase, PlacementMap};

impl HostController {
    /// Detects moves that end with `next` although this host has not installed their exceptions;
    /// the host must then fetch all exceptions again.
    pub(super) fn detect_missed_exceptions(&mut self, next: &PlacementMap) {
        for table in &next.tables {
            let old_table = self.placement.table(table.service);
            let covered_buckets = self.covered_buckets.entry(table.service).or_default();
            for (index, placement) in table.buckets.iter().enumerate() {
                let bucket = BucketIndex(index as u32);
                let Some(old_placement) =
                    old_table.and_then(|old_table| old_table.buckets.get(index))
                else {
                    continue;
                };
                let was_moving = old_placement.phase.is_guarded()
                    || old_placement.target_upstream != placement.target_upstream;
                let move_ended = placement.phase == BucketPhase::Steady && was_moving;
                if move_ended && !covered_buckets.contains(&bucket) {
                    self.has_all_exceptions =
                        self.options.placement_mode == PlacementMode::Computed;
                }
                if placement.phase != BucketPhase::Settling {
                    covered_buckets.remove(&bucket);
                }
            }
        }
    }

    pub(super) fn complete_bucket_fetch(
        &mut self,
        service: ServiceId,
        generation: u64,
        buckets: &[BucketIndex],
    ) {
        if generation < self.placement.generation {
            return;
        }
        let Some(table) = self.placement.table(service) else {
            return;
        };
        let settling = buckets
            .iter()
            .filter(|bucket| table.placement_of(**bucket).phase == BucketPhase::Settling);
        self.covered_buckets.entry(service).or_default().extend(settling);
        self.last_bucket_fetch_at = None;
        self.update_settled_generation();
    }

    /// Raises the settled generation to the current one if no exceptions are missing.
    pub(super) fn update_settled_generation(&mut self) {
        let all_covered = !self.has_settling_buckets || self.uncovered_buckets().next().is_none();
        if all_covered && self.has_all_exceptions {
            self.settled_generation = self.placement.generation;
        }
    }

    /// Returns the settling buckets whose exceptions are not installed on this host.
    pub(super) fn uncovered_buckets(&self) -> impl Iterator<Item = (ServiceId, BucketIndex)> {
        self.placement.tables.iter().flat_map(|table| {
            let covered_buckets = self.covered_buckets.get(&table.service);
            let placements = table.buckets.iter().enumerate();
            placements.filter_map(move |(index, placement)| {
                let bucket = BucketIndex(index as u32);
                let is_uncovered = placement.phase == BucketPhase::Settling
                    && !covered_buckets
                        .is_some_and(|covered_buckets| covered_buckets.contains(&bucket));
                is_uncovered.then_some((table.service, bucket))
            })
        })
    }

    pub(super) fn fetch_bucket_exceptions(
        &mut self,
        now: Duration,
        outputs: &mut Vec<ControllerOutput>,
    ) {
        if !self.has_settling_buckets {
            self.update_settled_generation();
            return;
        }
        let retry_due =
            self.last_bucket_fetch_at.is_none_or(|last| now >= last + FETCH_RETRY_INTERVAL);
        let Some(snapshot) = self.last_snapshot.clone().filter(|_| retry_due) else {
            return;
        };
        let buckets_by_keepers = self.uncovered_buckets_by_keepers(&snapshot);
        if buckets_by_keepers.is_empty() {
            self.update_settled_generation();
            return;
        }
        self.last_bucket_fetch_at = Some(now);
        let generation = self.placement.generation;
        outputs.extend(buckets_by_keepers.into_iter().map(|((keepers, service), buckets)| {
            ControllerOutput::FetchBucketExceptions { keepers, service, generation, buckets }
        }));
    }

    /// Groups the settling buckets whose exceptions are missing by the hosts that keep their records.
    fn uncovered_buckets_by_keepers(
        &self,
        snapshot: &RoutingSnapshot,
    ) -> BTreeMap<(Vec<RecordKeeper>, ServiceId), Vec<BucketIndex>> {
        let mut buckets_by_keepers: BTreeMap<_, Vec<BucketIndex>> = BTreeMap::new();
        for (service, bucket) in self.uncovered_buckets() {
            let Some(route) = snapshot.service(service) else {
                continue;
            };
            let Some(chain) = snapshot.chain(route, bucket) else {
                continue;
            };
            let keeper = |host| {
                let address = snapshot.host_address(host)?;
                Some(RecordKeeper { host, address })
            };
            let keepers: Vec<RecordKeeper> = chain.hosts().filter_map(keeper).collect();
            buckets_by_keepers.entry((keepers, service)).or_default().push(bucket);
        }
        buckets_by_keepers
    }
}
