//! Immutable view of the rules and live hosts that requests are routed by.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use crate::identity::{
    DataCentreId, HostId, HostIncarnation, ServiceId, UpstreamId, rendezvous_score,
};
use crate::membership::{HostDigest, HostState};
use crate::rule::{RuleSet, ServiceClass, UpstreamRule, UpstreamState};

/// `RequestUpstream` is an upstream of a request service, with the host that dispatches to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestUpstream {
    /// Identity of the upstream.
    pub id: UpstreamId,
    /// Address that requests are sent to.
    pub address: Ipv4Addr,
    /// Data centre of the upstream.
    pub data_centre: DataCentreId,
    /// Number of requests that the upstream serves at a time when warm.
    pub slots: u16,
    /// Whether new requests may be sent to the upstream.
    pub accepts_new_requests: bool,
    /// Whether the upstream may receive packets: it is not gone, and its data centre is in service.
    pub accepts_packets: bool,
    /// The host incarnation that enforces the concurrency limit of the upstream.
    pub dispatcher: HostIncarnation,
    /// Address of the dispatcher.
    pub dispatcher_address: Ipv4Addr,
}

/// `RequestService` is a service of the request class, with its upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestService {
    /// Identity of the service.
    pub id: ServiceId,
    /// Address and port that callers send to.
    pub address: SocketAddrV4,
    /// Upstreams that have a dispatcher, whether or not they accept new requests.
    pub upstreams: Vec<RequestUpstream>,
}

/// `RequestSnapshot` is the input of a request router from the rules and the membership.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestSnapshot {
    /// Request services by the address that callers send to.
    pub services: HashMap<SocketAddrV4, RequestService>,
    /// Incarnations and addresses of the live hosts, including the local one.
    pub live_hosts: HashMap<HostId, (HostIncarnation, Ipv4Addr)>,
}

impl RequestSnapshot {
    /// Looks up an upstream among those of all services.
    #[must_use]
    pub fn upstream(&self, upstream: UpstreamId) -> Option<&RequestUpstream> {
        let all = self.services.values().flat_map(|service| &service.upstreams);
        all.into_iter().find(|candidate| candidate.id == upstream)
    }

    /// Returns the incarnation of a host, if the host is live.
    #[must_use]
    pub fn live_incarnation(&self, host: HostId) -> Option<HostIncarnation> {
        self.live_hosts.get(&host).map(|(incarnation, _)| *incarnation)
    }

    /// Returns the address of a host, if the host is live.
    #[must_use]
    pub fn host_address(&self, host: HostId) -> Option<Ipv4Addr> {
        self.live_hosts.get(&host).map(|(_, address)| *address)
    }
}

/// Returns the digest of the host that dispatches to an upstream.
///
/// It is the host with the highest rendezvous score among the serving hosts in the upstream's data
/// centre, or among all serving hosts if that data centre has none.
#[must_use]
pub fn select_dispatcher<'a>(
    upstream: UpstreamId,
    data_centre: DataCentreId,
    hosts: &[&'a HostDigest],
) -> Option<&'a HostDigest> {
    let highest_score = |digests: &mut dyn Iterator<Item = &'a HostDigest>| {
        digests.max_by_key(|digest| rendezvous_score(upstream.0, digest.sender.host.0))
    };
    let serving = || hosts.iter().copied().filter(|digest| digest.state == HostState::Serving);
    let mut local = serving().filter(|digest| digest.data_centre == data_centre);
    highest_score(&mut local).or_else(|| highest_score(&mut serving()))
}

/// Builds a snapshot from the rules and the digests of all live hosts.
#[must_use]
pub fn build_request_snapshot(rules: &RuleSet, hosts: &[&HostDigest]) -> RequestSnapshot {
    let mut snapshot = RequestSnapshot::default();
    for digest in hosts {
        snapshot.live_hosts.insert(digest.sender.host, (digest.sender, digest.address));
    }
    let services = rules.services.iter().filter(|service| service.class == ServiceClass::Request);
    for service in services {
        let upstreams = rules
            .upstreams_of(&service.name)
            .filter_map(|rule| build_request_upstream(rules, rule, hosts))
            .collect();
        let address = service.address;
        let request_service = RequestService { id: service.id(), address, upstreams };
        snapshot.services.insert(address, request_service);
    }
    snapshot
}

fn build_request_upstream(
    rules: &RuleSet,
    rule: &UpstreamRule,
    hosts: &[&HostDigest],
) -> Option<RequestUpstream> {
    let data_centre = DataCentreId::from_name(&rule.data_centre);
    let dispatcher = select_dispatcher(rule.id(), data_centre, hosts)?;
    Some(RequestUpstream {
        id: rule.id(),
        address: rule.address,
        data_centre,
        slots: rule.slots,
        accepts_new_requests: rules.accepts_new_work(rule),
        accepts_packets: rule.state != UpstreamState::Gone
            && rules.is_in_service(&rule.data_centre),
        dispatcher: dispatcher.sender,
        dispatcher_address: dispatcher.address,
    })
}
