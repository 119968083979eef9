//! The immutable view of rules, tables and hosts that traffic threads route by.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use crate::identity::{DataCentreId, HostId, ServiceId, UpstreamId, rendezvous_score};
use crate::placement::{
    BucketIndex, BucketPhase, BucketPlacement, PlacementMap, PlacementTable, UNASSIGNED,
};
use crate::rule::{RuleBook, ServiceClass, ServiceRule, UpstreamState};

use super::chain::{OwnerChain, owner_chain};

/// `OwnerEligibility` says whether a host may own buckets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerEligibility {
    /// The host owns buckets.
    Eligible,
    /// The host will soon own buckets and gets copies of new records.
    Joining,
    /// The host owns nothing.
    Ineligible,
}

/// `HostRoute` is a host as traffic threads see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostRoute {
    /// The host.
    pub host: HostId,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Its address.
    pub address: Ipv4Addr,
    /// Whether it may own buckets.
    pub eligibility: OwnerEligibility,
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
    pub accepts_packets: bool,
    /// Whether it may receive new flows.
    pub accepts_new_flows: bool,
    /// Whether this host is cut off from it.
    pub is_partitioned: bool,
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
    pub partition_guards: Vec<bool>,
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
    pub service_indexes: HashMap<SocketAddrV4, usize>,
    /// Live hosts, this one included.
    pub members: Vec<HostRoute>,
}

impl RoutingSnapshot {
    /// Returns the service that callers reach at `address`.
    #[must_use]
    pub fn service_at(&self, address: SocketAddrV4) -> Option<&ServiceRoute> {
        self.service_indexes.get(&address).map(|index| &self.services[*index])
    }

    /// Returns the route of a service.
    #[must_use]
    pub fn service(&self, service: ServiceId) -> Option<&ServiceRoute> {
        self.services.iter().find(|route| route.service == service)
    }

    /// Computes the chain of a bucket.
    #[must_use]
    pub fn chain(&self, route: &ServiceRoute, bucket: BucketIndex) -> Option<OwnerChain> {
        owner_chain(route.service, bucket, source_data_centre(route, bucket), &self.members)
    }

    /// Tells whether `member` may be in the chain of a bucket, whichever hosts come or go.
    ///
    /// Hosts that join together serve one after the other, so that each of them may be in the chain
    /// of any bucket of its data centre for a moment.
    #[must_use]
    pub fn may_join_chain(
        &self,
        route: &ServiceRoute,
        bucket: BucketIndex,
        member: &HostRoute,
    ) -> bool {
        let data_centre = source_data_centre(route, bucket);
        let is_local = |other: &HostRoute| Some(other.data_centre) == data_centre;
        let is_eligible_and_local =
            |other: &&HostRoute| other.eligibility == OwnerEligibility::Eligible && is_local(other);
        is_local(member) || !self.members.iter().any(|other| is_eligible_and_local(&other))
    }

    /// Tells whether any host is about to serve.
    #[must_use]
    pub fn has_joining_host(&self) -> bool {
        self.members.iter().any(|member| member.eligibility == OwnerEligibility::Joining)
    }

    /// Returns the address of a live host.
    #[must_use]
    pub fn host_address(&self, host: HostId) -> Option<Ipv4Addr> {
        self.members.iter().find(|member| member.host == host).map(|member| member.address)
    }
}

fn source_data_centre(route: &ServiceRoute, bucket: BucketIndex) -> Option<DataCentreId> {
    let source_upstream = route.table.placement_of(bucket).source_upstream;
    route.upstream(source_upstream).map(|upstream| upstream.data_centre)
}

/// `SnapshotInputs` is what a snapshot is built from.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotInputs<'a> {
    /// Rules in force.
    pub rules: &'a RuleBook,
    /// Their revision.
    pub rules_revision: u64,
    /// Whether every live host has these rules in force.
    pub rules_acknowledged: bool,
    /// Placement in force.
    pub placement: &'a PlacementMap,
    /// Live hosts, this one included.
    pub members: &'a [HostRoute],
    /// Data centres that this host is cut off from.
    pub partitioned_data_centres: &'a [DataCentreId],
    /// Whether all live hosts see the same hosts.
    pub views_converged: bool,
    /// Whether guards are added for upstreams that take no new work.
    pub guards_enabled: bool,
}

/// Builds the snapshot of a host.
#[must_use]
pub fn build_snapshot(inputs: SnapshotInputs<'_>) -> RoutingSnapshot {
    let mut snapshot = RoutingSnapshot {
        generation: inputs.placement.generation,
        rules_revision: inputs.rules_revision,
        members: inputs.members.to_vec(),
        ..RoutingSnapshot::default()
    };
    let flow_services =
        inputs.rules.services.iter().filter(|service| service.class == ServiceClass::Flow);
    for service in flow_services {
        let Some(table) = inputs.placement.table(service.id()) else {
            continue;
        };
        snapshot.service_indexes.insert(service.address, snapshot.services.len());
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
    let mut partition_guards = Vec::new();
    if inputs.guards_enabled {
        let upstream_is_partitioned = |index: u16| {
            upstreams.get(usize::from(index)).is_some_and(|upstream| upstream.is_partitioned)
        };
        partition_guards = table
            .buckets
            .iter()
            .map(|placement| {
                !placement.phase.is_guarded() && upstream_is_partitioned(placement.target_upstream)
            })
            .collect();
        for bucket in 0..table.buckets.len() {
            let placement = table.buckets[bucket];
            table.buckets[bucket] = effective_placement(placement, bucket, &upstreams, inputs);
        }
    }
    ServiceRoute {
        service: service.id(),
        tenant: service.tenant.clone(),
        table,
        upstreams,
        partition_guards,
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
            let is_partitioned = inputs.partitioned_data_centres.contains(&data_centre);
            UpstreamRoute {
                upstream,
                address: rule.address,
                data_centre,
                accepts_packets: rule.state != UpstreamState::Gone
                    && rules.is_in(&rule.data_centre),
                accepts_new_flows: rules.takes_new_work(rule) && !is_partitioned,
                is_partitioned,
            }
        }
        None => UpstreamRoute {
            upstream,
            address: Ipv4Addr::UNSPECIFIED,
            data_centre: DataCentreId(0),
            accepts_packets: false,
            accepts_new_flows: false,
            is_partitioned: false,
        },
    }
}

/// Adds a guard to a slot whose upstream takes no new work.
///
/// The same holds for an upstream that the host is cut off from: each side of a cut places new flows
/// on what it reaches. The rules alone thus keep new flows away from a draining upstream, also while the store cannot
/// take a new table. Every host computes the same substitute, and new flows go to it only once all
/// live hosts have the rules in force, which is the same step as the announcement of a move.
fn effective_placement(
    placement: BucketPlacement,
    bucket: usize,
    upstreams: &[UpstreamRoute],
    inputs: SnapshotInputs<'_>,
) -> BucketPlacement {
    let new_flow_route = upstreams.get(usize::from(placement.upstream_for_new_flow()));
    if new_flow_route.is_none_or(|route| route.accepts_new_flows) {
        return placement;
    }
    let target_route = upstreams.get(usize::from(placement.target_upstream));
    let target = match target_route.is_some_and(|route| route.accepts_new_flows) {
        true => placement.target_upstream,
        false => substitute_upstream(bucket, upstreams),
    };
    let source = placement.upstream_for_unrecorded_flow();
    let move_applied = matches!(placement.phase, BucketPhase::Collecting | BucketPhase::Settling);
    // A cut shows in the views of the hosts, a drain in their rules.
    let hosts_agree = match new_flow_route.is_some_and(|route| route.is_partitioned) {
        true => inputs.views_converged,
        false => inputs.rules_acknowledged,
    };
    let can_move = target != UNASSIGNED && (hosts_agree || move_applied);
    match can_move {
        true => BucketPlacement {
            source_upstream: source,
            target_upstream: target,
            phase: BucketPhase::Collecting,
        },
        false => BucketPlacement {
            source_upstream: source,
            target_upstream: source,
            phase: BucketPhase::Announced,
        },
    }
}

/// Picks the upstream that takes new flows in place of one that may not.
fn substitute_upstream(bucket: usize, upstreams: &[UpstreamRoute]) -> u16 {
    let candidates = (0..upstreams.len()).filter(|index| upstreams[*index].accepts_new_flows);
    candidates
        .max_by_key(|index| rendezvous_score(bucket as u64, upstreams[*index].upstream.0))
        .map_or(UNASSIGNED, |index| index as u16)
}
