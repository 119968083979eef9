//! Exchange of records and settled exceptions between hosts when the placement or the set of hosts
//! changes.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::messages::RecordTransfer;
use super::records::BindingRecord;
use super::router::FlowRouter;
use super::snapshot::{RoutingSnapshot, ServiceRoute};
use crate::identity::{HostId, ServiceId};
use crate::placement::BucketIndex;

impl FlowRouter {
    /// Returns the records of `buckets` whose upstream is not the target upstream of the bucket; they
    /// become settled exceptions when the guard ends.
    ///
    /// Returns `None` if this host is outside the owner chain of one of the buckets or routes by an
    /// older placement than `min_generation`: it may then lack records. A host that asks while it
    /// does not know all hosts yet computes a wrong chain, and must ask again.
    #[must_use]
    pub fn bucket_exceptions(
        &self,
        service: ServiceId,
        buckets: &[BucketIndex],
        min_generation: u64,
    ) -> Option<Vec<BindingRecord>> {
        let route = self.snapshot.service(service)?;
        let keeps_records = |bucket: &BucketIndex| {
            let chain = self.snapshot.chain(route, *bucket);
            chain.is_some_and(|chain| chain.contains(self.local_host))
        };
        if self.snapshot.generation < min_generation || !buckets.iter().all(keeps_records) {
            return None;
        }
        let buckets: HashSet<BucketIndex> = buckets.iter().copied().collect();
        let exceptions = self.records.select(service, |record| {
            let bucket = route.table.bucket_of(record.fingerprint);
            buckets.contains(&bucket)
                && route.table.placement_of(bucket).target_upstream != record.upstream
        });
        Some(exceptions)
    }

    /// Returns the settled exceptions, and the records of buckets that are guarded only because of
    /// a network partition.
    ///
    /// Other hosts need the latter when the partition heals, because each side placed new flows on
    /// its own.
    #[must_use]
    pub fn exceptions_for_sync(&self, service: ServiceId) -> Vec<BindingRecord> {
        let mut exceptions_to_send = self.exceptions.select(service, |_| true);
        if let Some(route) = self.snapshot.service(service) {
            exceptions_to_send.extend(self.records_in_buckets(service, &|bucket| {
                route.partition_guards.get(bucket.0 as usize).copied().unwrap_or_default()
            }));
        }
        exceptions_to_send
    }

    /// Returns all records of the buckets that `selects_bucket` accepts.
    #[must_use]
    pub fn records_in_buckets(
        &self,
        service: ServiceId,
        selects_bucket: &dyn Fn(BucketIndex) -> bool,
    ) -> Vec<BindingRecord> {
        let Some(route) = self.snapshot.service(service) else {
            return Vec::new();
        };
        self.records
            .select(service, |record| selects_bucket(route.table.bucket_of(record.fingerprint)))
    }

    /// Replaces the routing snapshot.
    ///
    /// Starts a new guard epoch for each bucket that becomes guarded, moves from another source, or
    /// has its whole owner chain replaced.
    /// Removes the records of buckets whose guard has ended; those that name another upstream than
    /// the target become settled exceptions. Removes the exceptions whose upstream no longer
    /// accepts packets. Queues the records that hosts new to an owner chain need.
    pub fn install(&mut self, snapshot: Arc<RoutingSnapshot>) {
        for route in &snapshot.services {
            self.update_guards(&snapshot, route);
            let table = &route.table;
            let is_steady = |record: BindingRecord| {
                !table.placement_of(table.bucket_of(record.fingerprint)).phase.is_guarded()
            };
            let deviates = |record: BindingRecord| {
                table.placement_of(table.bucket_of(record.fingerprint)).target_upstream
                    != record.upstream
            };
            // Flows that were placed on a substitute upstream stay there after the guard.
            for record in self.records.select(route.service, |r| is_steady(r) && deviates(r)) {
                self.exceptions.insert(route.service, record);
            }
            self.records.retain(route.service, |record| !is_steady(record));
            self.openings.retain(route.service, |record| !is_steady(record));
            // An upstream that this table does not have yet was told by a host with a later one.
            self.exceptions.retain(route.service, |record| {
                route.upstream(record.upstream).is_none_or(|upstream| upstream.accepts_packets)
            });
        }
        self.queue_transfers(&snapshot);
        self.snapshot = snapshot;
    }

    /// Queues the records of buckets whose owner chain gains a host with `new_snapshot`.
    pub(super) fn queue_transfers(&mut self, new_snapshot: &RoutingSnapshot) {
        if self.records.is_empty() {
            return;
        }
        for route in &new_snapshot.services {
            let Some(old_route) = self.snapshot.service(route.service) else {
                continue;
            };
            let mut records_by_receiver: HashMap<HostId, Vec<BindingRecord>> = HashMap::new();
            let mut added_hosts: HashMap<BucketIndex, Vec<HostId>> = HashMap::new();
            for record in self.records.select(route.service, |_| true) {
                let bucket = route.table.bucket_of(record.fingerprint);
                let hosts = added_hosts.entry(bucket).or_insert_with(|| {
                    hosts_added_to_chain(
                        &self.snapshot,
                        old_route,
                        new_snapshot,
                        route,
                        bucket,
                        self.local_host,
                    )
                });
                for host in hosts {
                    records_by_receiver.entry(*host).or_default().push(record);
                }
            }
            let mut records_by_receiver: Vec<_> = records_by_receiver.into_iter().collect();
            records_by_receiver.sort_unstable_by_key(|(host, _)| *host);
            let service = route.service;
            self.pending_transfers.extend(
                records_by_receiver.into_iter().map(|(to, records)| RecordTransfer {
                    to,
                    service,
                    records,
                }),
            );
        }
    }

    /// Adds records received from another host; existing records of the same flows are retained.
    pub fn merge_records(&mut self, service: ServiceId, records: &[BindingRecord]) {
        for record in records {
            let stored = self.records.insert_if_absent(service, *record);
            self.counters.record_table_full += u64::from(!stored);
        }
    }

    /// Stores settled exceptions, replacing earlier ones of the same flows.
    pub fn install_exceptions(&mut self, service: ServiceId, records: &[BindingRecord]) {
        for record in records {
            let stored = self.exceptions.insert(service, *record);
            self.counters.record_table_full += u64::from(!stored);
        }
    }

    /// Returns the queued transfers to hosts that have joined an owner chain, and clears the queue.
    pub fn take_transfers(&mut self) -> Vec<RecordTransfer> {
        std::mem::take(&mut self.pending_transfers)
    }

    /// Returns the records of all buckets whose owner chain `host` may enter.
    #[must_use]
    pub fn records_for_host(&self, host: HostId, service: ServiceId) -> Vec<BindingRecord> {
        let Some(route) = self.snapshot.service(service) else { return Vec::new() };
        let member = self.snapshot.members.iter().find(|member| member.host == host);
        let Some(member) = member else { return Vec::new() };
        self.records_in_buckets(service, &|bucket| {
            self.snapshot.may_join_chain(route, bucket, member)
        })
    }
}

/// Returns the hosts other than `local_host` that are in the owner chain of a bucket with
/// `new_snapshot` but not with `old_snapshot`.
///
/// Every host that has records of the bucket sends them, also one outside the old chain, in case
/// the hosts of the old chain are gone.
fn hosts_added_to_chain(
    old_snapshot: &RoutingSnapshot,
    old_route: &ServiceRoute,
    new_snapshot: &RoutingSnapshot,
    new_route: &ServiceRoute,
    bucket: BucketIndex,
    local_host: HostId,
) -> Vec<HostId> {
    let old_chain = old_snapshot.chain(old_route, bucket);
    let Some(new_chain) = new_snapshot.chain(new_route, bucket) else {
        return Vec::new();
    };
    let is_added = |host: &HostId| {
        *host != local_host && !old_chain.is_some_and(|old_chain| old_chain.contains(*host))
    };
    new_chain.hosts().filter(is_added).collect()
}
