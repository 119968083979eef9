//! What could bring a packet to a wrong upstream, or reset a flow that lives.

use std::collections::HashMap;

use super::world::{
    ARCHIVE, DESK, REGISTER, World, cookie, data, key, ms, open_and_close, route, syn, target,
    upstream,
};
use crate::cookie::{CookieVerdict, DiscardCause, FlowCookie, ResetCause};
use crate::registry::{RegistryKey, RegistryValue, RetryPolicy};

#[test]
fn any_host_routes_an_open_flow() {
    let mut world = World::new();
    world.add("desk", "a", 1..9);
    let mut first = world.router();
    let mut second = world.router();
    for caller in 0..64 {
        let key = key(caller, DESK);
        let chosen = target(&mut first, &syn(key, 0), ms(10));
        let cookie = cookie(&upstream("desk", "a", chosen));
        let packet = data(key, cookie, 101, 1, 200);
        assert_eq!(target(&mut second, &packet, ms(20)), chosen);
    }
}

#[test]
fn restart_under_one_name_ends_old_flows_at_the_upstream_itself() {
    let mut world = World::new();
    let old = upstream("desk", "a", 1);
    world.report(&old, ms(0));
    let mut young = old.clone();
    young.incarnation += 5_000;
    young.address.set_port(9_090);
    world.report(&young, ms(50));
    let mut router = world.router();
    let verdict = router.route(&data(key(1, DESK), cookie(&old), 101, 1, 10), ms(60));
    let CookieVerdict::Forward { at, .. } = verdict else { panic!("{verdict:?}") };
    // The present run answers with a reset of its own, which any caller may believe.
    assert_eq!(router.snapshot().upstreams[at].address, young.address);
    assert_ne!(cookie(&old), cookie(&young));
}

#[test]
fn address_of_another_service_gets_no_opening_of_the_former() {
    let mut world = World::new();
    let old = upstream("desk", "a", 1);
    world.report(&old, ms(0));
    let mut other = upstream("archive", "a", 2);
    other.address = old.address;
    other.incarnation = old.incarnation + 10_000;
    world.report(&other, ms(100));
    let mut router = world.router();
    let verdict = router.route(&syn(key(1, DESK), 0), ms(200));
    assert_eq!(verdict, CookieVerdict::Reset(ResetCause::NoUpstream));
    assert_eq!(target(&mut router, &syn(key(2, ARCHIVE), 0), ms(200)), 2);
}

#[test]
fn forged_cookie_reaches_no_other_service() {
    let mut world = World::new();
    world.add("desk", "a", 1..3);
    world.add("archive", "a", 8..9);
    let mut router = world.router();
    let foreign = cookie(&upstream("archive", "a", 8));
    let verdict = router.route(&data(key(1, DESK), foreign, 101, 1, 10), ms(10));
    assert_eq!(verdict, CookieVerdict::Drop(DiscardCause::ForeignCookie));
}

#[test]
fn unknown_cookie_is_dropped_and_never_reset() {
    let mut world = World::new();
    world.add("desk", "a", 1..3);
    let mut router = world.router();
    for forged in [0, 1, 77, u32::MAX] {
        let packet = data(key(1, DESK), FlowCookie(forged), 101, 1, 10);
        let verdict = router.route(&packet, ms(10));
        assert_eq!(verdict, CookieVerdict::Drop(DiscardCause::UnknownCookie));
    }
}

#[test]
fn colliding_cookies_leave_new_flows_to_the_older_upstream() {
    let (old_tag, young_tag) = colliding_tags();
    let mut world = World::new();
    let mut old = upstream("desk", "a", old_tag);
    old.incarnation = 7;
    let mut young = upstream("desk", "a", young_tag);
    young.incarnation = 7;
    young.address.set_port(9_999);
    assert_eq!(cookie(&old), cookie(&young));
    world.report(&old, ms(0));
    world.report(&young, ms(0));
    let mut router = world.router();
    for caller in 0..32 {
        assert_eq!(open_and_close(&mut router, key(caller, DESK), ms(10)), old_tag);
    }
}

/// Searches two upstream numbers whose runs share a cookie; the smaller counts as older.
fn colliding_tags() -> (u64, u64) {
    let mut seen = HashMap::new();
    let found = (1_u64..)
        .find_map(|tag| seen.insert(FlowCookie::derive(tag, 7), tag).map(|other| (other, tag)));
    found.expect("32 bits hold fewer values than there are numbers")
}

#[test]
fn route_that_is_not_known_yet_is_refused_with_the_second_copy() {
    let mut world = World::new();
    world.add("desk", "a", 1..3);
    let mut router = world.router();
    let unknown = "198.18.0.9:443".parse().expect("an address");
    let first = router.route(&syn(key(1, unknown), 0), ms(10));
    assert_eq!(first, CookieVerdict::Drop(DiscardCause::UnknownRoute));
    let second = router.route(&syn(key(1, unknown), 1), ms(210));
    assert_eq!(second, CookieVerdict::Reset(ResetCause::NoRoute));
    let open = router.route(&data(key(1, unknown), FlowCookie(5), 1, 1, 1), ms(220));
    assert_eq!(open, CookieVerdict::Drop(DiscardCause::UnknownRoute));
}

#[test]
fn open_flow_of_a_dropped_route_is_reset() {
    let mut world = World::new();
    world.add("desk", "a", 1..3);
    world.manifest(&[route("archive", ARCHIVE, "archive", RetryPolicy::Idempotent)]);
    world.scope.dropped.insert(DESK);
    let mut router = world.router();
    let packet = data(key(1, DESK), cookie(&upstream("desk", "a", 1)), 101, 1, 10);
    assert_eq!(router.route(&packet, ms(10)), CookieVerdict::Reset(ResetCause::RouteDropped));
}

#[test]
fn manifest_that_leads_elsewhere_leaves_open_flows() {
    let mut world = World::new();
    world.add("desk", "a", 1..3);
    world.add("archive", "a", 8..9);
    world.manifest(&[route("desk", DESK, "archive", RetryPolicy::Idempotent)]);
    let desk = crate::identity::ServiceId::from_name("desk");
    world.scope.led_to.entry(DESK).or_default().insert(desk);
    let mut router = world.router();
    let packet = data(key(1, DESK), cookie(&upstream("desk", "a", 1)), 101, 1, 10);
    assert_eq!(target(&mut router, &packet, ms(10)), 1);
    assert_eq!(target(&mut router, &syn(key(2, DESK), 0), ms(10)), 8);
}

#[test]
fn flow_of_a_gone_upstream_is_reset_only_where_a_repeat_is_safe() {
    let mut world = World::new();
    world.add("desk", "a", 1..3);
    world.remove(1, false, ms(1_000));
    let mut router = world.router();
    let gone = cookie(&upstream("desk", "a", 1));
    // The upstream may live although its entry is missing.
    assert_eq!(target(&mut router, &data(key(1, DESK), gone, 101, 1, 10), ms(2_000)), 1);
    let safe = router.route(&data(key(1, DESK), gone, 101, 1, 10), ms(4_000));
    assert_eq!(safe, CookieVerdict::Reset(ResetCause::UpstreamGone));
    let unsafe_one = router.route(&data(key(2, REGISTER), gone, 101, 1, 10), ms(4_000));
    assert_eq!(unsafe_one, CookieVerdict::Drop(DiscardCause::Unreachable));
}

#[test]
fn host_that_knows_nothing_is_silent() {
    let world = World::new();
    let mut router = crate::cookie::CookieRouter::new(crate::cookie::CookieOptions::default());
    let verdict = router.route(&syn(key(1, DESK), 2), ms(10));
    assert_eq!(verdict, CookieVerdict::Drop(DiscardCause::NotLoaded));
    world.install(&mut router);
    let verdict = router.route(&syn(key(1, DESK), 2), ms(10));
    assert_eq!(verdict, CookieVerdict::Reset(ResetCause::NoUpstream));
}

#[test]
fn unusable_entry_names_no_upstream() {
    let mut world = World::new();
    world.add("desk", "a", 1..3);
    world.change(RegistryKey::Upstream("i-1".to_owned()), RegistryValue::Unusable, ms(5));
    let mut router = world.router();
    for caller in 0..16 {
        assert_eq!(open_and_close(&mut router, key(caller, DESK), ms(10)), 2);
    }
}
