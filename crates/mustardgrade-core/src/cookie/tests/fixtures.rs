//! Registry states, routers and caller packets for the tests.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use crate::cookie::{
    CookieOptions, CookiePacket, CookieRouter, CookieVerdict, FabricKind, FlowCookie, LoadEntry,
    LoadReport, PeerLoads, SnapshotContext, build_cookie_snapshot,
};
use crate::flow::{FlowKey, FlowPacket, SegmentFlags};
use crate::identity::{DataCentreId, ServiceId};
use crate::registry::{
    Manifest, RegisteredState, RegistryChange, RegistryKey, RegistryTable, RegistryValue,
    RetryPolicy, RouteBackend, RouteConfig, ServiceConfig, StorePosition, UpstreamRegistration,
};

/// Address of the route `desk`, whose requests are idempotent.
pub(super) const DESK_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Address of the route `register`, whose requests must run at most once.
pub(super) const REGISTER_ROUTE: SocketAddrV4 =
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_080);

/// Address of the route `archive`, whose requests are idempotent.
pub(super) const ARCHIVE_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);

/// `TestRegistry` builds registry states and the routers of hosts that use them.
pub(super) struct TestRegistry {
    pub(super) table: RegistryTable,
    pub(super) context: SnapshotContext,
    revision: u64,
}

impl TestRegistry {
    /// Creates a registry with three routes to the services `desk` and `archive`.
    pub(super) fn new() -> Self {
        let context = SnapshotContext {
            data_centre: Some(DataCentreId::from_name("a")),
            fleet_hosts: 4,
            local_hosts: 2,
            ..SnapshotContext::default()
        };
        let mut registry = Self { table: RegistryTable::default(), context, revision: 0 };
        registry.set_manifest(&[
            route_config("desk", DESK_ROUTE, "desk", RetryPolicy::Idempotent),
            route_config("register", REGISTER_ROUTE, "desk", RetryPolicy::AtMostOnce),
            route_config("archive", ARCHIVE_ROUTE, "archive", RetryPolicy::Idempotent),
        ]);
        registry
    }

    pub(super) fn set_manifest(&mut self, routes: &[RouteConfig]) {
        let service = |name: &str| ServiceConfig {
            name: name.to_owned(),
            max_connections: 4_000,
            cold_start_duration: Duration::from_secs(2),
            max_cold_requests_per_sec: 0.0,
        };
        let manifest = Manifest {
            version: self.revision + 1,
            routes: routes.to_vec(),
            services: vec![service("desk"), service("archive")],
            idle_timeout: Duration::from_secs(15),
        };
        self.apply_change(RegistryKey::Manifest, manifest_value(manifest), Duration::ZERO);
    }

    pub(super) fn apply_change(&mut self, key: RegistryKey, value: RegistryValue, now: Duration) {
        self.revision += 1;
        let position = StorePosition { epoch: 1, revision: self.revision };
        self.table.apply(RegistryChange { key, position, value, age: Duration::ZERO }, now);
        self.table.mark_complete(position);
    }

    /// Adds or replaces the entry of an upstream.
    pub(super) fn register(&mut self, registration: &UpstreamRegistration, now: Duration) {
        let key = RegistryKey::Upstream(registration.name.clone());
        self.apply_change(key, RegistryValue::Upstream(Arc::new(registration.clone())), now);
    }

    /// Adds ready upstreams with the numbers `tags` in a data centre.
    pub(super) fn add_upstreams(
        &mut self,
        service: &str,
        data_centre: &str,
        tags: std::ops::Range<u64>,
    ) {
        for tag in tags {
            self.register(&upstream_registration(service, data_centre, tag), Duration::ZERO);
        }
    }

    pub(super) fn remove_upstream(&mut self, tag: u64, possibly_spurious: bool, now: Duration) {
        self.apply_change(
            RegistryKey::Upstream(upstream_name(tag)),
            RegistryValue::Removed { possibly_spurious },
            now,
        );
    }

    /// Lets an upstream of `desk` announce that it leaves, and removes its entry; it may serve on.
    pub(super) fn depart_upstream(&mut self, tag: u64, now: Duration) {
        let mut registration = upstream_registration("desk", "a", tag);
        registration.state = RegisteredState::Draining;
        self.register(&registration, now);
        self.remove_upstream(tag, false, now);
    }

    /// Creates the router of a host that uses this registry behind a per-flow fabric.
    pub(super) fn router(&self) -> CookieRouter {
        self.router_with_fabric(FabricKind::Hash)
    }

    /// Creates the router of a host that uses this registry behind the given kind of fabric.
    pub(super) fn router_with_fabric(&self, fabric: FabricKind) -> CookieRouter {
        let mut router = CookieRouter::new(CookieOptions { fabric, ..CookieOptions::default() });
        self.install_into(&mut router);
        router
    }

    pub(super) fn install_into(&self, router: &mut CookieRouter) {
        router.install_snapshot(Arc::new(build_cookie_snapshot(&self.table, &self.context)));
    }
}

fn manifest_value(manifest: Manifest) -> RegistryValue {
    RegistryValue::Manifest(Arc::new(manifest))
}

pub(super) fn route_config(
    name: &str,
    address: SocketAddrV4,
    service: &str,
    retry_policy: RetryPolicy,
) -> RouteConfig {
    RouteConfig {
        name: name.to_owned(),
        address,
        backends: vec![RouteBackend { service: ServiceId::from_name(service), weight: 1 }],
        retry_policy,
        request_timeout: Duration::from_millis(2_500),
        latency_objective: Duration::from_millis(250),
        priority: 1,
    }
}

pub(super) fn upstream_name(tag: u64) -> String {
    format!("i-{tag:x}")
}

pub(super) fn upstream_registration(
    service: &str,
    data_centre: &str,
    tag: u64,
) -> UpstreamRegistration {
    UpstreamRegistration {
        name: upstream_name(tag),
        tag,
        incarnation: 1_000 + tag,
        service: ServiceId::from_name(service),
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a80_0000 + tag as u32), 8_080),
        data_centre: DataCentreId::from_name(data_centre),
        slots: 4,
        state: RegisteredState::Ready,
        cold_remaining: Duration::ZERO,
    }
}

pub(super) fn cookie_of(registration: &UpstreamRegistration) -> FlowCookie {
    FlowCookie::derive(registration.tag, registration.incarnation)
}

pub(super) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the key of a flow from the caller with the given number.
pub(super) fn flow_key(caller: u32, service: SocketAddrV4) -> FlowKey {
    let address = Ipv4Addr::from(0x6440_0000 + (caller >> 12));
    FlowKey { caller: SocketAddrV4::new(address, 1_024 + (caller & 0xfff) as u16), service }
}

/// Returns an opening that has been retransmitted `retransmission` times.
pub(super) fn syn_packet(key: FlowKey, retransmission: u32) -> CookiePacket {
    let flags = SegmentFlags { syn: true, ..SegmentFlags::default() };
    let segment = FlowPacket {
        key,
        flags,
        sequence: 100,
        acknowledgement: retransmission,
        payload_length: 0,
    };
    CookiePacket { segment, cookie: FlowCookie::NONE }
}

/// Returns a packet of an open flow; without payload it is a pure acknowledgement.
pub(super) fn established_packet(
    key: FlowKey,
    cookie: FlowCookie,
    sequence: u32,
    acknowledgement: u32,
    payload_length: u16,
) -> CookiePacket {
    let flags = SegmentFlags { ack: true, ..SegmentFlags::default() };
    let segment = FlowPacket { key, flags, sequence, acknowledgement, payload_length };
    CookiePacket { segment, cookie }
}

/// Routes a packet and returns the tag of the upstream that it is forwarded to.
pub(super) fn routed_tag(router: &mut CookieRouter, packet: &CookiePacket, now: Duration) -> u64 {
    match router.route(packet, now) {
        CookieVerdict::Forward { index, .. } => router.snapshot().upstreams[index].tag,
        verdict => panic!("packet was not forwarded: {verdict:?}"),
    }
}

/// Opens and closes a flow, so that it leaves no load; returns the tag of its upstream.
pub(super) fn open_and_close(router: &mut CookieRouter, key: FlowKey, now: Duration) -> u64 {
    let tag = routed_tag(router, &syn_packet(key, 0), now);
    let found = router.snapshot().upstreams.iter().find(|view| view.tag == tag);
    let cookie = found.map_or(FlowCookie::NONE, |view| view.cookie);
    let mut packet = established_packet(key, cookie, 101, 1, 0);
    packet.segment.flags.fin = true;
    router.route(&packet, now);
    tag
}

/// Returns the cookie of the upstream `desk` 1.
pub(super) fn cookie_of_upstream_1() -> FlowCookie {
    cookie_of(&upstream_registration("desk", "a", 1))
}

/// Returns a report of another host that lists upstream 1 only, with requests on open flows that it
/// leaves unanswered.
pub(super) fn report_of_1(
    unanswered_flows: u16,
    unanswered_age_ms: u16,
    alive_age_ms: u16,
) -> LoadReport {
    let entry = LoadEntry {
        cookie: cookie_of_upstream_1(),
        in_flight: 0,
        unanswered_flows,
        unanswered_age_ms,
        alive_age_ms,
    };
    LoadReport { entries: vec![entry], ..LoadReport::default() }
}

/// Installs reports that other hosts have sent just now.
pub(super) fn install_reports(
    router: &mut CookieRouter,
    reports: &[LoadReport],
    received_at_ms: u64,
) {
    let mut peers = PeerLoads::default();
    for report in reports {
        peers.add(report, ms(received_at_ms));
    }
    router.install_peer_loads(Arc::new(peers));
}
