//! What hosts take for true: messages out of order, doubled, lost and stale.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use crate::identity::DataCentreId;
use crate::registry::{Manifest, StateChange, StateKey, StateValue};
use crate::watch::{
    StateBatch, StoreCall, StoreFailure, WatchController, WatchInput, WatchOptions, WatchOutput,
    WatchSchedule,
};

fn controller() -> WatchController {
    let options = WatchOptions {
        address: Ipv4Addr::new(10, 0, 0, 1),
        data_centre: DataCentreId::from_name("a"),
        incarnation: 1,
        strength: 100,
        seeds: Vec::new(),
        schedule: WatchSchedule::default(),
        seed: 1,
    };
    WatchController::new(options, Duration::ZERO)
}

fn manifest(version: u64, revision: u64) -> StateChange {
    let manifest = Manifest { version, ..Manifest::default() };
    StateChange {
        key: StateKey::Manifest,
        revision,
        value: StateValue::Manifest(Arc::new(manifest)),
        age: Duration::ZERO,
    }
}

fn feed(controller: &mut WatchController, input: WatchInput, at: u64) -> Vec<WatchOutput> {
    let mut outputs = Vec::new();
    controller.handle(input, Duration::from_millis(at), &mut outputs);
    outputs
}

proptest! {
    /// A host never goes back, whatever order peers' answers come in.
    #[test]
    fn versions_only_grow(order in proptest::collection::vec((1_u64..40, any::<bool>()), 1..60)) {
        let mut controller = controller();
        let mut highest = 0;
        for (at, (revision, whole)) in order.into_iter().enumerate() {
            let after = if whole { 0 } else { revision - 1 };
            let batch =
                StateBatch { after, upto: revision, changes: vec![manifest(revision, revision)] };
            let from = Ipv4Addr::new(10, 0, 0, 2);
            feed(&mut controller, WatchInput::State { from, batch: Some(batch) }, at as u64);
            let version = controller.status(Duration::from_millis(at as u64)).version;
            prop_assert!(version >= highest);
            highest = version;
        }
    }
}

#[test]
fn stale_read_does_not_confirm() {
    let mut controller = controller();
    let outputs = feed(&mut controller, WatchInput::Tick, 0);
    assert!(outputs.contains(&WatchOutput::Call(StoreCall::ReadAll { stale: true })));
    let batch = StateBatch { after: 0, upto: 9, changes: vec![manifest(3, 9)] };
    let outputs = feed(&mut controller, WatchInput::Store(Ok(batch)), 5);
    assert_eq!(controller.status(Duration::from_millis(5)).confirmed, None);
    let asks = |output: &WatchOutput| matches!(output, WatchOutput::Call(StoreCall::Watch { .. }));
    assert!(outputs.iter().any(asks));
}

#[test]
fn lost_history_is_read_again_without_dropping_what_is_in_force() {
    let mut controller = controller();
    feed(&mut controller, WatchInput::Tick, 0);
    let batch = StateBatch { after: 0, upto: 9, changes: vec![manifest(3, 9)] };
    feed(&mut controller, WatchInput::Store(Ok(batch)), 5);
    let outputs = feed(&mut controller, WatchInput::Store(Err(StoreFailure::HistoryGone)), 20);
    assert!(outputs.contains(&WatchOutput::Call(StoreCall::ReadAll { stale: false })));
    assert_eq!(controller.status(Duration::from_millis(20)).version, 3);
    // The read is of a copy that lags: the newer manifest stays.
    let batch = StateBatch { after: 0, upto: 7, changes: vec![manifest(2, 7)] };
    feed(&mut controller, WatchInput::Store(Ok(batch)), 25);
    assert_eq!(controller.status(Duration::from_millis(25)).version, 3);
}

#[test]
fn silent_call_is_given_up_and_made_again() {
    let mut controller = controller();
    feed(&mut controller, WatchInput::Tick, 0);
    let calls = |outputs: &[WatchOutput]| {
        outputs.iter().filter(|output| matches!(output, WatchOutput::Call(_))).count()
    };
    let mut made = 0;
    for at in (100..3_000).step_by(100) {
        made += calls(&feed(&mut controller, WatchInput::Tick, at));
    }
    assert!((2..=8).contains(&made), "{made} calls");
}

#[test]
fn removals_long_after_an_outage_are_no_effect_of_it() {
    let mut controller = controller();
    let upstream = |revision, value| StateChange {
        key: StateKey::Upstream("i-1".to_owned()),
        revision,
        value,
        age: Duration::ZERO,
    };
    feed(&mut controller, WatchInput::Tick, 0);
    let failure = StoreFailure::Failed("store answered with status 503".to_owned());
    feed(&mut controller, WatchInput::Store(Err(failure)), 5);
    feed(&mut controller, WatchInput::Tick, 600);
    let changes = vec![manifest(3, 8), upstream(9, StateValue::Unusable)];
    let batch = StateBatch { after: 0, upto: 9, changes };
    feed(&mut controller, WatchInput::Store(Ok(batch)), 605);
    for at in (700..6_000).step_by(100) {
        // Each answer is followed by the next call.
        feed(&mut controller, WatchInput::Tick, at);
        let empty = StateBatch { after: 9, upto: 9, changes: Vec::new() };
        feed(&mut controller, WatchInput::Store(Ok(empty)), at + 4);
    }
    feed(&mut controller, WatchInput::Store(Err(StoreFailure::HistoryGone)), 6_000);
    let batch = StateBatch { after: 0, upto: 12, changes: vec![manifest(3, 8)] };
    feed(&mut controller, WatchInput::Store(Ok(batch)), 6_010);
    let item = controller.book().item(&StateKey::Upstream("i-1".to_owned()));
    let value = item.map(|item| item.value.clone());
    assert_eq!(value, Some(StateValue::Removed { lapsed: false }));
}

#[test]
fn manifest_that_the_store_accepted_is_in_force_although_a_route_leads_nowhere() {
    let mut controller = controller();
    feed(&mut controller, WatchInput::Tick, 0);
    let mut change = manifest(3, 9);
    let route = crate::registry::RoutePlan {
        name: "r".to_owned(),
        address: "198.18.0.1:443".parse().expect("an address"),
        backends: Vec::new(),
        repeat: crate::registry::RepeatPolicy::Idempotent,
        timeout: Duration::ZERO,
        objective: Duration::ZERO,
        priority: 0,
    };
    let doubtful = Manifest { version: 3, routes: vec![route], ..Manifest::default() };
    change.value = StateValue::Manifest(Arc::new(doubtful));
    let batch = StateBatch { after: 0, upto: 9, changes: vec![change] };
    feed(&mut controller, WatchInput::Store(Ok(batch)), 5);
    assert_eq!(controller.status(Duration::from_millis(5)).version, 3);
}
