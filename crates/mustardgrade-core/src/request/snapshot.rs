//! The view of rules and hosts that requests are routed by.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use crate::identity::{
    DataCentreId, HostId, HostIncarnation, ServiceId, UpstreamId, rendezvous_score,
};
use crate::membership::{HostDigest, HostState};
use crate::rule::{RuleSet, ServiceClass, UpstreamRule, UpstreamState};

/// `KeptUpstream` is an upstream of a request service with its keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeptUpstream {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: Ipv4Addr,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Its slots.
    pub slots: u16,
    /// Whether it may receive new requests.
    pub takes_new: bool,
    /// Whether it may receive packets at all.
    pub reachable: bool,
    /// The host that keeps its limit.
    pub keeper: HostIncarnation,
    /// Address of that host.
    pub keeper_address: Ipv4Addr,
}

/// `RequestService` is a request service as hosts see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestService {
    /// The service.
    pub service: ServiceId,
    /// Its address.
    pub address: SocketAddrV4,
    /// Its upstreams.
    pub upstreams: Vec<KeptUpstream>,
}

/// `RequestSnapshot` is everything that a request router needs besides its own state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestSnapshot {
    /// Services by address.
    pub services: HashMap<SocketAddrV4, RequestService>,
    /// Incarnations and addresses of live hosts, this one included.
    pub hosts: HashMap<HostId, (HostIncarnation, Ipv4Addr)>,
}

impl RequestSnapshot {
    /// Returns an upstream and its service's address.
    #[must_use]
    pub fn upstream(&self, upstream: UpstreamId) -> Option<&KeptUpstream> {
        let all = self.services.values().flat_map(|service| &service.upstreams);
        all.into_iter().find(|kept| kept.upstream == upstream)
    }

    /// Returns the live incarnation of a host.
    #[must_use]
    pub fn incarnation(&self, host: HostId) -> Option<HostIncarnation> {
        self.hosts.get(&host).map(|(incarnation, _)| *incarnation)
    }

    /// Returns the address of a live host.
    #[must_use]
    pub fn address(&self, host: HostId) -> Option<Ipv4Addr> {
        self.hosts.get(&host).map(|(_, address)| *address)
    }
}

/// Returns the digest of the host that keeps an upstream: the first in rendezvous order of those in
/// the upstream's data centre, or of all hosts if there are none.
#[must_use]
pub fn keeper_of<'a>(
    upstream: UpstreamId,
    data_centre: DataCentreId,
    hosts: &[&'a HostDigest],
) -> Option<&'a HostDigest> {
    let best = |digests: &mut dyn Iterator<Item = &'a HostDigest>| {
        digests.max_by_key(|digest| rendezvous_score(upstream.0, digest.sender.host.0))
    };
    let serving = || hosts.iter().copied().filter(|digest| digest.state == HostState::Serving);
    let mut local = serving().filter(|digest| digest.data_centre == data_centre);
    best(&mut local).or_else(|| best(&mut serving()))
}

/// Builds the request snapshot of a host from the rules and the digests of all live hosts.
#[must_use]
pub fn build_request_snapshot(rules: &RuleSet, hosts: &[&HostDigest]) -> RequestSnapshot {
    let mut snapshot = RequestSnapshot::default();
    for digest in hosts {
        snapshot.hosts.insert(digest.sender.host, (digest.sender, digest.address));
    }
    let services = rules.services.iter().filter(|service| service.class == ServiceClass::Request);
    for service in services {
        let upstreams = rules
            .upstreams_of(&service.name)
            .filter_map(|rule| kept_upstream(rules, rule, hosts))
            .collect();
        let address = service.address;
        let route = RequestService { service: service.id(), address, upstreams };
        snapshot.services.insert(address, route);
    }
    snapshot
}

fn kept_upstream(
    rules: &RuleSet,
    rule: &UpstreamRule,
    hosts: &[&HostDigest],
) -> Option<KeptUpstream> {
    let data_centre = DataCentreId::from_name(&rule.data_centre);
    let keeper = keeper_of(rule.id(), data_centre, hosts)?;
    Some(KeptUpstream {
        upstream: rule.id(),
        address: rule.address,
        data_centre,
        slots: rule.slots,
        takes_new: rules.takes_new_work(rule),
        reachable: rule.state != UpstreamState::Gone && rules.is_in_service(&rule.data_centre),
        keeper: keeper.sender,
        keeper_address: keeper.address,
    })
}
