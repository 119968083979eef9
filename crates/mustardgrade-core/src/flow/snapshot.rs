//! The immutable view of rules, tables and hosts that traffic threads route by.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use crate::identity::{DataCentreId, HostId, ServiceId, UpstreamId, rendezvous_score};
use crate::placement::{
    BucketIndex, BucketPhase, BucketSlot, PlacementBook, PlacementTable, UNPLACED,
};
use crate::rule::{RuleSet, ServiceClass, ServiceRule, UpstreamState};

use super::chain::{OwnerChain, owner_chain};

/// `OwnerRole` says whether a host may own buckets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerRole {
    /// The host owns buckets.
    Eligible,
    /// The host will soon own buckets and gets copies of new records.
    Upcoming,
    /// The host owns nothing.
    None,
}

/// `RouteMember` is a host as traffic threads see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteMember {
    /// The host.
    pub host: HostId,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Its address.
    pub address: Ipv4Addr,
    /// Whether it may own buckets.
    pub role: OwnerRole,
}

/// `UpstreamRoute` is an upstream as traffic threads see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamRoute {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: Ipv4Addr,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Whether it may receive packets at all.
    pub reachable: bool,
    /// Whether it may receive new flows.
    pub takes_new: bool,
    /// Whether this host is cut off from it.
    pub cut_off: bool,
}

/// `ServiceRoute` is a flow service as traffic threads see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRoute {
    /// The service.
    pub service: ServiceId,
    /// The tenant that its packets are counted under.
    pub tenant: String,
    /// Its placement, with guards added for upstreams that the rules take out of new work.
    pub table: PlacementTable,
    /// One route for each upstream of the table.
    pub upstreams: Vec<UpstreamRoute>,
    /// Whether a bucket is guarded only because this host is cut off from its upstream.
    pub cut_guards: Vec<bool>,
}

impl ServiceRoute {
    /// Returns the route of an upstream index.
    #[must_use]
    pub fn upstream(&self, index: u16) -> Option<&UpstreamRoute> {
        self.upstreams.get(usize::from(index))
    }
}

/// `RoutingSnapshot` is everything that a flow router needs besides its own tables.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RoutingSnapshot {
    /// Placement generation.
    pub generation: u64,
    /// Rules revision.
    pub rules_revision: u64,
    /// Flow services.
    pub services: Vec<ServiceRoute>,
    /// Index into `services` by service address.
    pub addresses: HashMap<SocketAddrV4, usize>,
    /// Live hosts, this one included.
    pub members: Vec<RouteMember>,
}

impl RoutingSnapshot {
    /// Returns the service that callers reach at `address`.
    #[must_use]
    pub fn service_at(&self, address: SocketAddrV4) -> Option<&ServiceRoute> {
        self.addresses.get(&address).map(|index| &self.services[*index])
    }

    /// Returns the route of a service.
    #[must_use]
    pub fn service(&self, service: ServiceId) -> Option<&ServiceRoute> {
        self.services.iter().find(|route| route.service == service)
    }

    /// Computes the chain of a bucket.
    #[must_use]
    pub fn chain(&self, route: &ServiceRoute, bucket: BucketIndex) -> Option<OwnerChain> {
        owner_chain(route.service, bucket, base_data_centre(route, bucket), &self.members)
    }

    /// Tells whether `member` may be in the chain of a bucket, whichever hosts come or go.
    ///
    /// Hosts that join together serve one after the other, so that each of them may be in the chain
    /// of any bucket of its data centre for a moment.
    #[must_use]
    pub fn may_keep(
        &self,
        route: &ServiceRoute,
        bucket: BucketIndex,
        member: &RouteMember,
    ) -> bool {
        let data_centre = base_data_centre(route, bucket);
        let is_local = |other: &RouteMember| Some(other.data_centre) == data_centre;
        let served = |other: &&RouteMember| other.role == OwnerRole::Eligible && is_local(other);
        is_local(member) || !self.members.iter().any(|other| served(&other))
    }

    /// Tells whether any host is about to serve.
    #[must_use]
    pub fn has_upcoming(&self) -> bool {
        self.members.iter().any(|member| member.role == OwnerRole::Upcoming)
    }

    /// Returns the address of a live host.
    #[must_use]
    pub fn host_address(&self, host: HostId) -> Option<Ipv4Addr> {
        self.members.iter().find(|member| member.host == host).map(|member| member.address)
    }
}

fn base_data_centre(route: &ServiceRoute, bucket: BucketIndex) -> Option<DataCentreId> {
    let base = route.table.slot(bucket).base;
    route.upstream(base).map(|upstream| upstream.data_centre)
}

/// `SnapshotInputs` is what a snapshot is built from.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotInputs<'a> {
    /// Rules in force.
    pub rules: &'a RuleSet,
    /// Their revision.
    pub rules_revision: u64,
    /// Whether every live host has these rules in force.
    pub rules_echoed: bool,
    /// Placement in force.
    pub book: &'a PlacementBook,
    /// Live hosts, this one included.
    pub members: &'a [RouteMember],
    /// Data centres that this host is cut off from.
    pub cut_off: &'a [DataCentreId],
    /// Whether all live hosts see the same hosts.
    pub converged: bool,
    /// Whether guards are added for upstreams that take no new work.
    pub guarded: bool,
}

/// Builds the snapshot of a host.
#[must_use]
pub fn build_snapshot(inputs: SnapshotInputs<'_>) -> RoutingSnapshot {
    let mut snapshot = RoutingSnapshot {
        generation: inputs.book.generation,
        rules_revision: inputs.rules_revision,
        members: inputs.members.to_vec(),
        ..RoutingSnapshot::default()
    };
    let flow_services =
        inputs.rules.services.iter().filter(|service| service.class == ServiceClass::Flow);
    for service in flow_services {
        let Some(table) = inputs.book.table(service.id()) else {
            continue;
        };
        snapshot.addresses.insert(service.address, snapshot.services.len());
        snapshot.services.push(service_route(inputs, service, table));
    }
    snapshot
}

fn service_route(
    inputs: SnapshotInputs<'_>,
    service: &ServiceRule,
    table: &PlacementTable,
) -> ServiceRoute {
    let upstreams: Vec<UpstreamRoute> =
        table.upstreams.iter().map(|upstream| upstream_route(inputs, service, *upstream)).collect();
    let mut table = table.clone();
    let mut cut_guards = Vec::new();
    if inputs.guarded {
        let is_cut =
            |index: u16| upstreams.get(usize::from(index)).is_some_and(|upstream| upstream.cut_off);
        cut_guards = table
            .slots
            .iter()
            .map(|slot| !slot.phase.is_guarded() && is_cut(slot.current))
            .collect();
        for bucket in 0..table.slots.len() {
            let slot = table.slots[bucket];
            table.slots[bucket] = effective_slot(slot, bucket, &upstreams, inputs);
        }
    }
    ServiceRoute {
        service: service.id(),
        tenant: service.tenant.clone(),
        table,
        upstreams,
        cut_guards,
    }
}

fn upstream_route(
    inputs: SnapshotInputs<'_>,
    service: &ServiceRule,
    upstream: UpstreamId,
) -> UpstreamRoute {
    let rules = inputs.rules;
    match rules.upstreams_of(&service.name).find(|rule| rule.id() == upstream) {
        Some(rule) => {
            let data_centre = DataCentreId::from_name(&rule.data_centre);
            let cut_off = inputs.cut_off.contains(&data_centre);
            UpstreamRoute {
                upstream,
                address: rule.address,
                data_centre,
                reachable: rule.state != UpstreamState::Gone
                    && rules.is_in_service(&rule.data_centre),
                takes_new: rules.takes_new_work(rule) && !cut_off,
                cut_off,
            }
        }
        None => UpstreamRoute {
            upstream,
            address: Ipv4Addr::UNSPECIFIED,
            data_centre: DataCentreId(0),
            reachable: false,
            takes_new: false,
            cut_off: false,
        },
    }
}

/// Adds a guard to a slot whose upstream takes no new work.
///
/// The same holds for an upstream that the host is cut off from: each side of a cut places new flows
/// on what it reaches. The rules alone thus keep new flows away from a draining upstream, also while the store cannot
/// take a new table. Every host computes the same substitute, and new flows go to it only once all
/// live hosts have the rules in force, which is the same step as the announcement of a move.
fn effective_slot(
    slot: BucketSlot,
    bucket: usize,
    upstreams: &[UpstreamRoute],
    inputs: SnapshotInputs<'_>,
) -> BucketSlot {
    let opening = upstreams.get(usize::from(slot.opening()));
    if opening.is_none_or(|route| route.takes_new) {
        return slot;
    }
    let current = upstreams.get(usize::from(slot.current));
    let target = match current.is_some_and(|route| route.takes_new) {
        true => slot.current,
        false => substitute(bucket, upstreams),
    };
    let unlisted = slot.unlisted();
    let collecting = matches!(slot.phase, BucketPhase::Collecting | BucketPhase::Settling);
    // A cut shows in the views of the hosts, a drain in their rules.
    let echoed = match opening.is_some_and(|route| route.cut_off) {
        true => inputs.converged,
        false => inputs.rules_echoed,
    };
    let moves = target != UNPLACED && (echoed || collecting);
    match moves {
        true => BucketSlot { base: unlisted, current: target, phase: BucketPhase::Collecting },
        false => BucketSlot { base: unlisted, current: unlisted, phase: BucketPhase::Announced },
    }
}

/// Picks the upstream that takes new flows in place of one that may not.
fn substitute(bucket: usize, upstreams: &[UpstreamRoute]) -> u16 {
    let takers = (0..upstreams.len()).filter(|index| upstreams[*index].takes_new);
    takers
        .max_by_key(|index| rendezvous_score(bucket as u64, upstreams[*index].upstream.0))
        .map_or(UNPLACED, |index| index as u16)
}
