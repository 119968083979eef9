//! The routing snapshot: rules, placement and live hosts in the form that traffic threads use.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use crate::identity::{DataCentreId, HostId, ServiceId, UpstreamId, rendezvous_score};
use crate::placement::{
    BucketIndex, BucketPhase, BucketPlacement, PlacementMap, PlacementTable, UNASSIGNED,
};
use crate::rule::{RuleSet, ServiceClass, ServiceRule, UpstreamState};

use super::chain::{OwnerChain, owner_chain};

/// `OwnerEligibility` says whether a host may be in the owner chain of a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerEligibility {
    /// The host is serving and can own or replicate buckets.
    Eligible,
    /// The host is joining and receives copies of new records, but owns no buckets yet.
    Joining,
    /// The host is leaving, or its data centre is out of service.
    Ineligible,
}

/// `HostRoute` is the routing information of a live host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostRoute {
    /// Identity of the host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Address that packets are forwarded to.
    pub address: Ipv4Addr,
    /// Whether the host may be in owner chains.
    pub eligibility: OwnerEligibility,
}

/// `UpstreamRoute` is the routing information of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamRoute {
    /// Identity of the upstream.
    pub upstream: UpstreamId,
    /// Address that packets are tunnelled to; unspecified if the rules no longer list the upstream.
    pub address: Ipv4Addr,
    /// Data centre of the upstream.
    pub data_centre: DataCentreId,
    /// Whether it may receive packets: it is not gone, and its data centre is in service.
    pub accepts_packets: bool,
    /// Whether it may receive new flows: in addition, it is neither draining nor partitioned.
    pub accepts_new_flows: bool,
    /// Whether its data centre is unreachable for this host, as in a network partition.
    pub is_partitioned: bool,
}

impl UpstreamRoute {
    /// Returns whether packets from this host can arrive there: it accepts them, and no partition
    /// separates it from this host.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        self.accepts_packets && !self.is_partitioned
    }
}

/// `ServiceRoute` is the routing information of a flow service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRoute {
    /// Identity of the service.
    pub service: ServiceId,
    /// Customer whose metrics count the packets of the service (`tenant` in the rules file).
    pub customer: String,
    /// Published placement, with guards added for upstreams that accept no new flows.
    pub table: PlacementTable,
    /// One route for each upstream of `table`, at the same index.
    pub upstreams: Vec<UpstreamRoute>,
    /// For each bucket, whether it is guarded only because of a network partition; empty if guards
    /// are not enabled.
    pub partition_guards: Vec<bool>,
}

impl ServiceRoute {
    /// Returns the upstream at an index of the placement table.
    #[must_use]
    pub fn upstream(&self, index: u16) -> Option<&UpstreamRoute> {
        self.upstreams.get(usize::from(index))
    }
}

/// `RoutingSnapshot` is the configuration that a flow router routes by, shared by all traffic
/// threads of a host.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RoutingSnapshot {
    /// Generation of the placement that the snapshot was built from.
    pub generation: u64,
    /// Revision of the rules that the snapshot was built from.
    pub rules_revision: u64,
    /// Flow services that have a placement table.
    pub services: Vec<ServiceRoute>,
    /// Index into `services` for each service address.
    pub service_indexes: HashMap<SocketAddrV4, usize>,
    /// Live hosts, including this one.
    pub members: Vec<HostRoute>,
}

impl RoutingSnapshot {
    /// Returns the service that callers reach at `address`.
    #[must_use]
    pub fn service_at(&self, address: SocketAddrV4) -> Option<&ServiceRoute> {
        self.service_indexes.get(&address).map(|index| &self.services[*index])
    }

    /// Returns the route of a service, or `None` if it has no placement table.
    #[must_use]
    pub fn service(&self, service: ServiceId) -> Option<&ServiceRoute> {
        self.services.iter().find(|route| route.service == service)
    }

    /// Computes the owner chain of a bucket among the live hosts.
    #[must_use]
    pub fn chain(&self, route: &ServiceRoute, bucket: BucketIndex) -> Option<OwnerChain> {
        owner_chain(route.service, bucket, source_data_centre(route, bucket), &self.members)
    }

    /// Returns whether `member` may enter the owner chain of a bucket as other hosts come and go.
    ///
    /// Hosts that join at the same time start to serve one after the other, so each of them may
    /// briefly be in the chain of any bucket of its data centre.
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

    /// Returns whether any live host is joining.
    #[must_use]
    pub fn has_joining_host(&self) -> bool {
        self.members.iter().any(|member| member.eligibility == OwnerEligibility::Joining)
    }

    /// Returns the address of a host, or `None` if it is not live.
    #[must_use]
    pub fn host_address(&self, host: HostId) -> Option<Ipv4Addr> {
        self.members.iter().find(|member| member.host == host).map(|member| member.address)
    }
}

/// Returns the data centre of the upstream that a bucket moves from, or stays on.
fn source_data_centre(route: &ServiceRoute, bucket: BucketIndex) -> Option<DataCentreId> {
    let source_upstream = route.table.placement_of(bucket).source_upstream;
    route.upstream(source_upstream).map(|upstream| upstream.data_centre)
}

/// `SnapshotInputs` holds the arguments of [`build_snapshot`].
#[derive(Debug, Clone, Copy)]
pub struct SnapshotInputs<'a> {
    /// Rules in force on this host.
    pub rules: &'a RuleSet,
    /// Revision of `rules`.
    pub rules_revision: u64,
    /// Whether every live host that routes packets has at least this revision in force.
    pub rules_applied_by_all: bool,
    /// Placement in force on this host.
    pub placement: &'a PlacementMap,
    /// Live hosts, including this one.
    pub members: &'a [HostRoute],
    /// Data centres with hosts that should be live, none of which this host can reach.
    pub unreachable_data_centres: &'a [DataCentreId],
    /// Whether all live hosts see the same live hosts; read only for partitioned upstreams.
    pub views_converged: bool,
    /// Whether guards are added for upstreams that accept no new flows.
    pub guards_enabled: bool,
}

/// Builds a snapshot of the flow services; services without a placement table are left out.
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
        customer: service.customer.clone(),
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
            let is_partitioned = inputs.unreachable_data_centres.contains(&data_centre);
            UpstreamRoute {
                upstream,
                address: rule.address,
                data_centre,
                accepts_packets: rule.state != UpstreamState::Gone
                    && rules.is_in_service(&rule.data_centre),
                accepts_new_flows: rules.accepts_new_work(rule) && !is_partitioned,
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

/// Adds a guard to a bucket whose upstream for new flows accepts none.
///
/// New flows thus avoid a draining upstream as soon as the rules say so, even while the store
/// cannot accept a new placement. The same applies to a partitioned upstream: each side of a
/// partition places new flows on the upstreams that it reaches.
///
/// All hosts compute the same substitute upstream. As with an announced move, new flows go to it
/// only when all live hosts agree; a bucket whose new flows have already moved needs no agreement.
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
    let has_moved = matches!(placement.phase, BucketPhase::Collecting | BucketPhase::Settling);
    // Hosts agree on a partition when their views converge, on a drain when all have applied the
    // rules.
    let hosts_agree = match new_flow_route.is_some_and(|route| route.is_partitioned) {
        true => inputs.views_converged,
        false => inputs.rules_applied_by_all,
    };
    let redirects_new_flows = target != UNASSIGNED && (hosts_agree || has_moved);
    match redirects_new_flows {
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

/// Selects the upstream that receives the new flows of a bucket in place of its own, by rendezvous
/// hashing; returns [`UNASSIGNED`] if no upstream accepts new flows.
fn substitute_upstream(bucket: usize, upstreams: &[UpstreamRoute]) -> u16 {
    let candidates = (0..upstreams.len()).filter(|index| upstreams[*index].accepts_new_flows);
    candidates
        .max_by_key(|index| rendezvous_score(bucket as u64, upstreams[*index].upstream.0))
        .map_or(UNASSIGNED, |index| index as u16)
}
