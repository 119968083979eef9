//! What a host holds of single flows: records and settled exceptions.

use std::collections::HashMap;
use std::sync::Arc;

use super::hop::RecordTransfer;
use super::records::BindingRecord;
use super::router::FlowRouter;
use super::snapshot::{RoutingSnapshot, ServiceRoute};
use crate::identity::{HostId, ServiceId};
use crate::placement::BucketIndex;

impl FlowRouter {
    /// Returns the records of the given buckets that differ from their current upstream.
    #[must_use]
    pub fn settled_records(
        &self,
        service: ServiceId,
        wanted: &dyn Fn(BucketIndex) -> bool,
    ) -> Vec<BindingRecord> {
        let Some(route) = self.snapshot.service(service) else {
            return Vec::new();
        };
        self.records.select(service, |record| {
            let bucket = route.table.bucket_of(record.fingerprint);
            wanted(bucket) && route.table.slot(bucket).current != record.upstream
        })
    }

    /// Returns the settled exceptions, and the flows that this side of a cut has placed.
    #[must_use]
    pub fn known_exceptions(&self, service: ServiceId) -> Vec<BindingRecord> {
        let mut known = self.exceptions.select(service, |_| true);
        if let Some(route) = self.snapshot.service(service) {
            known.extend(self.bucket_records(service, &|bucket| {
                route.cut_guards.get(bucket.0 as usize).copied().unwrap_or_default()
            }));
        }
        known
    }

    /// Returns all records of the buckets that `wanted` accepts.
    #[must_use]
    pub fn bucket_records(
        &self,
        service: ServiceId,
        wanted: &dyn Fn(BucketIndex) -> bool,
    ) -> Vec<BindingRecord> {
        let Some(route) = self.snapshot.service(service) else {
            return Vec::new();
        };
        self.records.select(service, |record| wanted(route.table.bucket_of(record.fingerprint)))
    }

    /// Puts a snapshot in force.
    ///
    /// Records of buckets that became steady are dropped: their exceptions are settled.
    pub fn install(&mut self, snapshot: Arc<RoutingSnapshot>) {
        for route in &snapshot.services {
            let previous = self.snapshot.service(route.service);
            let tags = self.guard_tags.entry(route.service).or_default();
            tags.resize(route.table.slots.len(), 0);
            for (bucket, slot) in route.table.slots.iter().enumerate() {
                let old = previous.and_then(|old| old.table.slots.get(bucket));
                let same_guard =
                    old.is_some_and(|old| old.phase.is_guarded() && old.base == slot.base);
                if slot.phase.is_guarded() && !same_guard {
                    tags[bucket] = tags[bucket].wrapping_add(1);
                }
            }
            let table = &route.table;
            let steady = |record: BindingRecord| {
                !table.slot(table.bucket_of(record.fingerprint)).phase.is_guarded()
            };
            let differs = |record: BindingRecord| {
                table.slot(table.bucket_of(record.fingerprint)).current != record.upstream
            };
            // Flows that a substitute took stay there after the guard.
            for record in self.records.select(route.service, |r| steady(r) && differs(r)) {
                self.exceptions.insert(route.service, record);
            }
            self.records.retain(route.service, |record| !steady(record));
            self.exceptions.retain(route.service, |record| {
                route.upstream(record.upstream).is_some_and(|upstream| upstream.reachable)
            });
        }
        self.plan_transfers(&snapshot);
        self.snapshot = snapshot;
    }

    /// Collects the records of buckets whose chain gains a member with `next`.
    pub(super) fn plan_transfers(&mut self, next: &RoutingSnapshot) {
        if self.records.is_empty() {
            return;
        }
        for route in &next.services {
            let Some(old) = self.snapshot.service(route.service) else {
                continue;
            };
            let mut gaining: HashMap<HostId, Vec<BindingRecord>> = HashMap::new();
            let mut newcomers: HashMap<BucketIndex, Vec<HostId>> = HashMap::new();
            for record in self.records.select(route.service, |_| true) {
                let bucket = route.table.bucket_of(record.fingerprint);
                let hosts = newcomers.entry(bucket).or_insert_with(|| {
                    chain_newcomers(&self.snapshot, old, next, route, bucket, self.me)
                });
                for host in hosts {
                    gaining.entry(*host).or_default().push(record);
                }
            }
            let mut gaining: Vec<_> = gaining.into_iter().collect();
            gaining.sort_unstable_by_key(|(host, _)| *host);
            let service = route.service;
            self.transfers.extend(gaining.into_iter().map(|(to, records)| RecordTransfer {
                to,
                service,
                records,
            }));
        }
    }

    /// Takes in records that another host kept; records held here win.
    pub fn merge_records(&mut self, service: ServiceId, records: &[BindingRecord]) {
        for record in records {
            let stored = self.records.insert_missing(service, *record);
            self.counters.records_full += u64::from(!stored);
        }
    }

    /// Takes in settled exceptions.
    pub fn install_exceptions(&mut self, service: ServiceId, records: &[BindingRecord]) {
        for record in records {
            let stored = self.exceptions.insert(service, *record);
            self.counters.records_full += u64::from(!stored);
        }
    }

    /// Returns the records that hosts need which have joined the chain of their buckets.
    pub fn take_transfers(&mut self) -> Vec<RecordTransfer> {
        std::mem::take(&mut self.transfers)
    }

    /// Returns the records of all buckets whose chain `host` may come to be in.
    #[must_use]
    pub fn records_for(&self, host: HostId, service: ServiceId) -> Vec<BindingRecord> {
        let Some(route) = self.snapshot.service(service) else { return Vec::new() };
        let member = self.snapshot.members.iter().find(|member| member.host == host);
        let Some(member) = member else { return Vec::new() };
        self.bucket_records(service, &|bucket| self.snapshot.may_keep(route, bucket, member))
    }
}

/// Returns the hosts that are in the chain of a bucket by `next` but were not before.
///
/// A member of the old chain sends them its records; where the old chain is gone, any holder does.
fn chain_newcomers(
    before: &RoutingSnapshot,
    old: &ServiceRoute,
    next: &RoutingSnapshot,
    route: &ServiceRoute,
    bucket: BucketIndex,
    me: HostId,
) -> Vec<HostId> {
    let old_chain = before.chain(old, bucket);
    let Some(chain) = next.chain(route, bucket) else {
        return Vec::new();
    };
    let joined = |host: &HostId| {
        *host != me && !old_chain.is_some_and(|old_chain| old_chain.contains(*host))
    };
    chain.hosts().filter(joined).collect()
}
