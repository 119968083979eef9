//! Guards of moving buckets, and the epochs that tell apart what was learned during each of them.

use std::sync::Arc;

use super::router::FlowRouter;
use super::snapshot::{RoutingSnapshot, ServiceRoute};
use crate::identity::ServiceId;
use crate::placement::BucketIndex;

/// `BucketGuard` is what a host notes about the guards of one bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct BucketGuard {
    /// Number of the current guard, or of the last one; wraps around at 256.
    pub(super) epoch: u8,
    /// Times that hosts without the records have replaced the whole owner chain during the guard, as
    /// when a partition cuts off its data centre. Each time starts a new epoch.
    pub(super) chain_replacements: u8,
}

impl BucketGuard {
    /// Returns whether an entry of `entry_epoch` was confirmed in this guard by an earlier chain.
    pub(super) fn was_confirmed_by_earlier_chain(self, entry_epoch: u8) -> bool {
        (1..=self.chain_replacements).contains(&self.epoch.wrapping_sub(entry_epoch))
    }
}

impl FlowRouter {
    /// Starts the guard epochs of a service that begin with `new_snapshot`.
    pub(super) fn update_guards(&mut self, new_snapshot: &RoutingSnapshot, route: &ServiceRoute) {
        let old_snapshot = Arc::clone(&self.snapshot);
        let old_route = old_snapshot.service(route.service);
        let guards = self.guards.entry(route.service).or_default();
        guards.resize(route.table.buckets.len(), BucketGuard::default());
        for (index, guard) in guards.iter_mut().enumerate() {
            let bucket = BucketIndex(index as u32);
            let placement = route.table.placement_of(bucket);
            if !placement.phase.is_guarded() {
                continue;
            }
            let old_route = old_route.filter(|old_route| {
                old_route.table.buckets.get(index).is_some_and(|old| {
                    old.phase.is_guarded() && old.source_upstream == placement.source_upstream
                })
            });
            let chain_is_replaced = old_route.is_some_and(|old_route| {
                is_chain_replaced(&old_snapshot, old_route, new_snapshot, route, bucket)
            });
            if old_route.is_none() || chain_is_replaced {
                guard.epoch = guard.epoch.wrapping_add(1);
                guard.chain_replacements = match chain_is_replaced {
                    true => guard.chain_replacements.saturating_add(1),
                    false => 0,
                };
            }
        }
    }

    /// Returns the epoch of the current guard of a bucket.
    pub(super) fn guard_epoch(&self, service: ServiceId, bucket: BucketIndex) -> u8 {
        self.guard_of(service, bucket).epoch
    }

    /// Returns the current guard of a bucket, or the last one.
    pub(super) fn guard_of(&self, service: ServiceId, bucket: BucketIndex) -> BucketGuard {
        let guards = self.guards.get(&service);
        guards.and_then(|guards| guards.get(bucket.0 as usize)).copied().unwrap_or_default()
    }
}

/// Returns whether no host of the owner chain of a bucket with `old_snapshot` is in that with
/// `new_snapshot`.
fn is_chain_replaced(
    old_snapshot: &RoutingSnapshot,
    old_route: &ServiceRoute,
    new_snapshot: &RoutingSnapshot,
    new_route: &ServiceRoute,
    bucket: BucketIndex,
) -> bool {
    if old_snapshot.members == new_snapshot.members {
        return false;
    }
    let old_chain = old_snapshot.chain(old_route, bucket);
    let new_chain = new_snapshot.chain(new_route, bucket);
    old_chain.zip(new_chain).is_some_and(|(old_chain, new_chain)| {
        !new_chain.hosts().any(|host| old_chain.contains(host))
    })
}
