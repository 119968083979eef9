//! A registry to build by hand, and packets of callers.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use crate::cookie::{
    CookieOptions, CookiePacket, CookieRouter, CookieVerdict, FabricKind, FlowCookie,
    SnapshotScope, build_cookie_snapshot,
};
use crate::flow::{FlowKey, FlowPacket, SegmentFlags};
use crate::identity::{DataCentreId, ServiceId};
use crate::registry::{
    Manifest, RegisteredState, RegistryChange, RegistryKey, RegistryTable, RegistryValue,
    RetryPolicy, RouteBackend, RouteConfig, ServiceConfig, UpstreamRegistration,
};

/// Address of the route `desk`, whose requests may be repeated.
pub(super) const DESK: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Address of the route `register`, whose requests may not be repeated.
pub(super) const REGISTER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_080);

/// Address of the route `archive`.
pub(super) const ARCHIVE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);

/// `World` is a registry with the routers of some hosts.
pub(super) struct World {
    pub(super) book: RegistryTable,
    pub(super) scope: SnapshotScope,
    revision: u64,
}

impl World {
    /// Creates a world with three routes to the services `desk` and `archive`.
    pub(super) fn new() -> Self {
        let scope = SnapshotScope {
            data_centre: Some(DataCentreId::from_name("a")),
            hosts: 4,
            local_hosts: 2,
            ..SnapshotScope::default()
        };
        let mut world = Self { book: RegistryTable::default(), scope, revision: 0 };
        world.manifest(&[
            route("desk", DESK, "desk", RetryPolicy::Idempotent),
            route("register", REGISTER, "desk", RetryPolicy::AtMostOnce),
            route("archive", ARCHIVE, "archive", RetryPolicy::Idempotent),
        ]);
        world
    }

    pub(super) fn manifest(&mut self, routes: &[RouteConfig]) {
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
        self.change(RegistryKey::Manifest, manifest_value(manifest), Duration::ZERO);
    }

    pub(super) fn change(&mut self, key: RegistryKey, value: RegistryValue, now: Duration) {
        self.revision += 1;
        let change = RegistryChange { key, revision: self.revision, value, age: Duration::ZERO };
        self.book.apply(change, now);
        self.book.mark_complete(self.revision);
    }

    /// Registers an upstream.
    pub(super) fn report(&mut self, report: &UpstreamRegistration, now: Duration) {
        let key = RegistryKey::Upstream(report.name.clone());
        self.change(key, RegistryValue::Upstream(Arc::new(report.clone())), now);
    }

    /// Registers upstreams with the numbers `tags` in a data centre.
    pub(super) fn add(&mut self, service: &str, data_centre: &str, tags: std::ops::Range<u64>) {
        for tag in tags {
            self.report(&upstream(service, data_centre, tag), Duration::ZERO);
        }
    }

    pub(super) fn remove(&mut self, tag: u64, lapsed: bool, now: Duration) {
        self.change(
            RegistryKey::Upstream(name(tag)),
            RegistryValue::Removed { possibly_spurious: lapsed },
            now,
        );
    }

    /// Creates the router of a host that knows this world.
    pub(super) fn router(&self) -> CookieRouter {
        self.router_behind(FabricKind::Hash)
    }

    /// Creates the router of a host behind a fabric.
    pub(super) fn router_behind(&self, fabric: FabricKind) -> CookieRouter {
        let mut router = CookieRouter::new(CookieOptions { fabric, ..CookieOptions::default() });
        self.install(&mut router);
        router
    }

    pub(super) fn install(&self, router: &mut CookieRouter) {
        router.install(Arc::new(build_cookie_snapshot(&self.book, &self.scope)));
    }
}

fn manifest_value(manifest: Manifest) -> RegistryValue {
    RegistryValue::Manifest(Arc::new(manifest))
}

pub(super) fn route(
    name: &str,
    address: SocketAddrV4,
    service: &str,
    repeat: RetryPolicy,
) -> RouteConfig {
    RouteConfig {
        name: name.to_owned(),
        address,
        backends: vec![RouteBackend { service: ServiceId::from_name(service), weight: 1 }],
        retry_policy: repeat,
        request_timeout: Duration::from_millis(2_500),
        latency_objective: Duration::from_millis(250),
        priority: 1,
    }
}

pub(super) fn name(tag: u64) -> String {
    format!("i-{tag:x}")
}

pub(super) fn upstream(service: &str, data_centre: &str, tag: u64) -> UpstreamRegistration {
    UpstreamRegistration {
        name: name(tag),
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

pub(super) fn cookie(report: &UpstreamRegistration) -> FlowCookie {
    FlowCookie::derive(report.tag, report.incarnation)
}

pub(super) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the key of the caller with a number.
pub(super) fn key(caller: u32, service: SocketAddrV4) -> FlowKey {
    let address = Ipv4Addr::from(0x6440_0000 + (caller >> 12));
    FlowKey { caller: SocketAddrV4::new(address, 1_024 + (caller & 0xfff) as u16), service }
}

/// Returns a copy of an opening.
pub(super) fn syn(key: FlowKey, copy: u32) -> CookiePacket {
    let flags = SegmentFlags { syn: true, ..SegmentFlags::default() };
    let segment =
        FlowPacket { key, flags, sequence: 100, acknowledgement: copy, payload_length: 0 };
    CookiePacket { segment, cookie: FlowCookie::NONE }
}

/// Returns a packet of an open flow.
pub(super) fn data(
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

/// Returns the number of the upstream that a packet goes to.
pub(super) fn target(router: &mut CookieRouter, packet: &CookiePacket, now: Duration) -> u64 {
    match router.route(packet, now) {
        CookieVerdict::Forward { at, .. } => router.snapshot().upstreams[at].tag,
        verdict => panic!("the packet goes nowhere: {verdict:?}"),
    }
}

/// Opens a flow and closes it again, so that it leaves no work; returns its upstream.
pub(super) fn open_and_close(router: &mut CookieRouter, key: FlowKey, now: Duration) -> u64 {
    let tag = target(router, &syn(key, 0), now);
    let found = router.snapshot().upstreams.iter().find(|view| view.tag == tag);
    let cookie = found.map_or(FlowCookie::NONE, |view| view.cookie);
    let mut packet = data(key, cookie, 101, 1, 0);
    packet.segment.flags.fin = true;
    router.route(&packet, now);
    tag
}
