//! Entries of other writers: their service is one that no manifest names.

use super::fixtures::{
    DESK_ROUTE, TestRegistry, cookie_of, established_packet, flow_key, ms, open_and_close,
    route_config, routed_tag, upstream_name, upstream_registration,
};
use crate::cookie::build_cookie_snapshot;
use crate::identity::ServiceId;
use crate::registry::{RetryPolicy, RouteServices, UpstreamRegistration};

/// Returns the registration that another writer has made of that of an upstream, but for its name.
fn foreign_registration(name: &str, copied: &UpstreamRegistration) -> UpstreamRegistration {
    UpstreamRegistration {
        name: name.to_owned(),
        tag: 0x6971,
        incarnation: copied.incarnation + 10_000,
        service: ServiceId::from_name("inventory-agent"),
        ..copied.clone()
    }
}

fn registry_with_upstreams() -> TestRegistry {
    let mut registry = TestRegistry::new();
    registry.add_upstreams("desk", "a", 1..3);
    registry
}

/// Returns the upstreams that the flows of 16 callers are assigned to, in ascending order.
fn assigned_tags(registry: &TestRegistry) -> Vec<u64> {
    let mut router = registry.router();
    let callers = 0..16;
    let tags =
        callers.map(|caller| open_and_close(&mut router, flow_key(caller, DESK_ROUTE), ms(200)));
    let mut tags: Vec<u64> = tags.collect();
    tags.sort_unstable();
    tags.dedup();
    tags
}

/// Guards against upstreams without new flows because an entry of another writer has their address.
#[test]
fn entry_of_an_unnamed_service_does_not_take_over_an_address() {
    let mut registry = registry_with_upstreams();
    for tag in 1..3 {
        let upstream = upstream_registration("desk", "a", tag);
        let mut foreign = foreign_registration(&format!("x-{tag}"), &upstream);
        foreign.tag += tag;
        registry.register(&foreign, ms(100));
    }
    assert_eq!(assigned_tags(&registry), [1, 2]);
}

/// Guards against an upstream that is closed, and whose open flows are dropped, since an entry of
/// another writer has its number and start time, and so its cookie.
#[test]
fn entry_of_an_unnamed_service_does_not_take_over_a_cookie() {
    // Views are in the order of their services' ids.
    for service in ["a-service", "b-service", "c-service", "z-service"] {
        let mut registry = registry_with_upstreams();
        let upstream = upstream_registration("desk", "a", 1);
        let mut foreign = foreign_registration("x-1", &upstream);
        foreign.service = ServiceId::from_name(service);
        (foreign.tag, foreign.incarnation) = (upstream.tag, upstream.incarnation);
        registry.register(&foreign, ms(100));
        assert_eq!(assigned_tags(&registry), [1, 2], "{service}");
        let packet = established_packet(flow_key(1, DESK_ROUTE), cookie_of(&upstream), 101, 1, 10);
        assert_eq!(routed_tag(&mut registry.router(), &packet, ms(200)), 1, "{service}");
    }
}

/// Guards against open flows that are dropped since another writer has written over the entry of
/// their upstream, once or several times, and has removed it.
#[test]
fn open_flow_goes_on_after_another_writer_has_replaced_the_entry_of_its_upstream() {
    let mut registry = registry_with_upstreams();
    let upstream = upstream_registration("desk", "a", 1);
    let packet = established_packet(flow_key(1, DESK_ROUTE), cookie_of(&upstream), 101, 1, 10);
    for at_ms in [100, 200] {
        let mut foreign = foreign_registration(&upstream.name, &upstream);
        foreign.address.set_port(9_999);
        foreign.incarnation += at_ms;
        registry.register(&foreign, ms(at_ms));
        let mut router = registry.router();
        assert_eq!(routed_tag(&mut router, &packet, ms(at_ms)), 1);
        assert_eq!(assigned_tags(&registry), [2]);
    }
    registry.remove_upstream(1, false, ms(300));
    assert_eq!(routed_tag(&mut registry.router(), &packet, ms(300)), 1);
    registry.register(&upstream, ms(400));
    assert_eq!(assigned_tags(&registry), [1, 2]);
}

/// Guards against a reset of open flows because an entry of another writer, at the address of an
/// upstream whose own entry has lapsed, counts as a proof that the upstream has ended.
#[test]
fn entry_of_an_unnamed_service_proves_no_end() {
    let mut registry = registry_with_upstreams();
    registry.remove_upstream(1, false, ms(100));
    let foreign = foreign_registration("x-1", &upstream_registration("desk", "a", 1));
    registry.register(&foreign, ms(200));
    assert_eq!(registry.table.ended_runs(), []);
    // Nor does it prevent the proof by the upstream that really has the address now.
    let mut successor = upstream_registration("archive", "a", 9);
    successor.address = foreign.address;
    registry.register(&successor, ms(300));
    let ended: Vec<String> =
        registry.table.ended_runs().iter().map(|run| run.successor.name.clone()).collect();
    assert_eq!(ended, [upstream_name(9)]);
}

/// Guards against an upstream of a new service that stays ignored since it registered before the
/// manifest that names the service.
#[test]
fn registration_is_in_force_as_soon_as_a_manifest_names_its_service() {
    let mut registry = registry_with_upstreams();
    registry.register(&upstream_registration("forms", "a", 7), ms(100));
    let is_in_force = |registry: &TestRegistry| {
        let snapshot = build_cookie_snapshot(&registry.table, &registry.context);
        snapshot.upstreams.iter().any(|view| view.tag == 7)
    };
    assert!(!is_in_force(&registry));
    registry.set_manifest(&[route_config("desk", DESK_ROUTE, "forms", RetryPolicy::Idempotent)]);
    assert!(is_in_force(&registry));
    assert_eq!(assigned_tags(&registry), [7]);
}

/// Guards against open flows that are dropped by a host that has started after the manifests that
/// named the service of their upstream.
#[test]
fn service_that_a_route_has_had_is_named() {
    let mut registry = registry_with_upstreams();
    registry.register(&upstream_registration("forms", "a", 7), ms(100));
    let mut stored = RouteServices::default();
    stored.extend(DESK_ROUTE, [ServiceId::from_name("forms")]);
    registry.table.learn_route_services(&stored);
    let past_services = registry.context.past_services.entry(DESK_ROUTE).or_default();
    past_services.insert(ServiceId::from_name("forms"));
    let cookie = cookie_of(&upstream_registration("forms", "a", 7));
    let packet = established_packet(flow_key(1, DESK_ROUTE), cookie, 101, 1, 10);
    assert_eq!(routed_tag(&mut registry.router(), &packet, ms(200)), 7);
}
