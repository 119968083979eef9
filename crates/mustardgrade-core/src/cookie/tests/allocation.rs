//! The path of a packet allocates nothing once its tables have their size.

use super::world::{DESK, World, data, key, ms, syn};
use crate::cookie::{CookieRouter, CookieVerdict, FlowEvent};

/// Flows that are open at a time.
const OPEN: u32 = 200;

/// Upstreams of the service; every one of them is looked at for each new flow.
const UPSTREAMS: u64 = 120;

/// Opens a flow, sends a request and its repetition, acknowledges the answer and closes.
fn play_flow(router: &mut CookieRouter, caller: u32) {
    let now = ms(1_000 + u64::from(caller));
    let flow = key(caller, DESK);
    let CookieVerdict::Forward { cookie, .. } = router.route(&syn(flow, 0), now) else {
        return;
    };
    router.route(&data(flow, cookie, 101, 1, 0), now + ms(2));
    router.route(&data(flow, cookie, 101, 1, 90), now + ms(3));
    router.route(&data(flow, cookie, 101, 1, 90), now + ms(170));
    router.sweep(now + ms(171));
    if let Some(past) = caller.checked_sub(OPEN) {
        let mut last = data(key(past, DESK), cookie, 191, 700, 0);
        last.segment.flags.fin = true;
        router.route(&last, now + ms(172));
    }
}

/// Plays `callers` and returns the allocations that it took.
fn allocations(router: &mut CookieRouter, callers: std::ops::Range<u32>) -> u64 {
    let mut events: Vec<FlowEvent> = Vec::with_capacity(1_024);
    let counted = allocation_counter::measure(|| {
        for caller in callers {
            play_flow(router, caller);
            router.take_events(&mut events);
            events.clear();
        }
    });
    counted.count_total
}

#[test]
fn packets_allocate_nothing() {
    let mut world = World::new();
    world.add("desk", "a", 1..UPSTREAMS / 2);
    world.add("desk", "b", UPSTREAMS / 2..UPSTREAMS);
    let mut router = world.router();
    allocations(&mut router, 0..4_000);
    assert_eq!(allocations(&mut router, 4_000..8_000), 0);
}
