//! How a host gathers settled exceptions.

use std::collections::BTreeMap;
use std::time::Duration;

use super::controller::{ControllerOutput, FETCH_RETRY, HostController};
use crate::flow::PlacementMode;
use crate::identity::{HostId, ServiceId};
use crate::placement::{BucketIndex, BucketPhase, PlacementMap};

impl HostController {
    /// Finds out whether this host missed the exceptions of a guard that `next` ends.
    pub(super) fn check_exceptions(&mut self, next: &PlacementMap) {
        for table in &next.tables {
            let old = self.placement.table(table.service);
            let covered = self.covered.entry(table.service).or_default();
            for (index, slot) in table.buckets.iter().enumerate() {
                let bucket = BucketIndex(index as u32);
                let Some(old_slot) = old.and_then(|old| old.buckets.get(index)) else {
                    continue;
                };
                let changed =
                    old_slot.phase.is_guarded() || old_slot.target_upstream != slot.target_upstream;
                let ended = slot.phase == BucketPhase::Steady && changed;
                if ended && !covered.contains(&bucket) {
                    self.exceptions_complete = self.options.mode == PlacementMode::Computed;
                }
                if slot.phase != BucketPhase::Settling {
                    covered.remove(&bucket);
                }
            }
        }
    }

    pub(super) fn take_settled(
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
        self.covered.entry(service).or_default().extend(settling);
        self.last_settle_fetch = None;
        self.update_settled();
    }

    pub(super) fn update_settled(&mut self) {
        let complete = !self.is_settling || self.uncovered().next().is_none();
        if complete && self.exceptions_complete {
            self.settled = self.placement.generation;
        }
    }

    /// Returns the settling buckets whose exceptions this host lacks.
    pub(super) fn uncovered(&self) -> impl Iterator<Item = (ServiceId, BucketIndex)> {
        self.placement.tables.iter().flat_map(|table| {
            let covered = self.covered.get(&table.service);
            let slots = table.buckets.iter().enumerate();
            slots.filter_map(move |(index, slot)| {
                let bucket = BucketIndex(index as u32);
                let lacks = slot.phase == BucketPhase::Settling
                    && !covered.is_some_and(|covered| covered.contains(&bucket));
                lacks.then_some((table.service, bucket))
            })
        })
    }

    pub(super) fn fetch_settled(&mut self, now: Duration, out: &mut Vec<ControllerOutput>) {
        if !self.is_settling {
            self.update_settled();
            return;
        }
        let waited = self.last_settle_fetch.is_none_or(|last| now >= last + FETCH_RETRY);
        let Some(snapshot) = self.last_snapshot.clone().filter(|_| waited) else {
            return;
        };
        let mut wanted: BTreeMap<(HostId, ServiceId), Vec<BucketIndex>> = BTreeMap::new();
        for (service, bucket) in self.uncovered() {
            let Some(route) = snapshot.service(service) else {
                continue;
            };
            let Some(chain) = snapshot.chain(route, bucket) else {
                continue;
            };
            wanted.entry((chain.owner, service)).or_default().push(bucket);
        }
        if wanted.is_empty() {
            self.update_settled();
            return;
        }
        self.last_settle_fetch = Some(now);
        for ((owner, service), buckets) in wanted {
            let Some(address) = snapshot.host_address(owner) else {
                continue;
            };
            let generation = self.placement.generation;
            out.push(ControllerOutput::FetchSettled {
                owner,
                address,
                service,
                generation,
                buckets,
            });
        }
    }
}
