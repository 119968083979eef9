//! Tests of one controller that receives reordered, repeated, missing and stale answers.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use crate::cookie::LoadReport;
use crate::identity::DataCentreId;
use crate::registry::{
    Manifest, RegistryChange, RegistryKey, RegistryValue, ServiceConfig, StorePosition,
};
use crate::watch::{
    ChangeBatch, FleetDigest, FleetMemberState, FleetMemberSummary, FleetMessage, StoreCall,
    StoreFailure, WatchController, WatchInput, WatchOptions, WatchOutput, WatchSchedule,
};

pub(super) fn controller() -> WatchController {
    let options = WatchOptions {
        address: Ipv4Addr::new(10, 0, 0, 1),
        data_centre: DataCentreId::from_name("a"),
        incarnation: 1,
        cpu_millicores: 100,
        seed_hosts: Vec::new(),
        schedule: WatchSchedule::default(),
        rng_seed: 1,
    };
    WatchController::new(options, Duration::ZERO)
}

/// Returns a position in the store's first epoch.
fn position(revision: u64) -> StorePosition {
    StorePosition { epoch: 1, revision }
}

/// Returns a batch of all entries as of a revision of the store's first epoch.
pub(super) fn complete_batch(revision: u64, changes: Vec<RegistryChange>) -> ChangeBatch {
    ChangeBatch { after: StorePosition::ORIGIN, through: position(revision), changes }
}

/// Returns a manifest without routes that names the service `desk`.
pub(super) fn manifest(version: u64, revision: u64) -> RegistryChange {
    let desk = ServiceConfig {
        name: "desk".to_owned(),
        max_connections: 4_000,
        cold_start_duration: Duration::ZERO,
        max_cold_requests_per_sec: 0.0,
    };
    let manifest = Manifest { version, services: vec![desk], ..Manifest::default() };
    RegistryChange {
        key: RegistryKey::Manifest,
        position: position(revision),
        value: RegistryValue::Manifest(Arc::new(manifest)),
        age: Duration::ZERO,
    }
}

pub(super) fn handle_at(
    controller: &mut WatchController,
    input: WatchInput,
    now_ms: u64,
) -> Vec<WatchOutput> {
    let mut outputs = Vec::new();
    controller.handle(input, Duration::from_millis(now_ms), &mut outputs);
    outputs
}

proptest! {
    /// Answers from peers may arrive in any order; an older manifest must not replace a newer one.
    #[test]
    fn manifest_version_never_decreases(
        answers in proptest::collection::vec((1_u64..40, any::<bool>()), 1..60),
    ) {
        let mut controller = controller();
        let mut highest = 0;
        for (now_ms, (revision, complete)) in answers.into_iter().enumerate() {
            let after = if complete { StorePosition::ORIGIN } else { position(revision - 1) };
            let changes = vec![manifest(revision, revision)];
            let batch = ChangeBatch { after, through: position(revision), changes };
            let from = Ipv4Addr::new(10, 0, 0, 2);
            handle_at(
                &mut controller,
                WatchInput::Changes { from, batch: Some(batch) },
                now_ms as u64,
            );
            let version = controller.status(Duration::from_millis(now_ms as u64)).manifest_version;
            prop_assert!(version >= highest);
            highest = version;
        }
    }
}

#[test]
fn stale_read_does_not_count_as_a_confirmation() {
    let mut controller = controller();
    let outputs = handle_at(&mut controller, WatchInput::Tick, 0);
    assert!(outputs.contains(&WatchOutput::CallStore(StoreCall::ReadAll { allow_stale: true })));
    let batch = complete_batch(9, vec![manifest(3, 9)]);
    let outputs = handle_at(&mut controller, WatchInput::StoreResult(Ok(batch)), 5);
    assert_eq!(controller.status(Duration::from_millis(5)).confirmation_age, None);
    let is_watch_call =
        |output: &WatchOutput| matches!(output, WatchOutput::CallStore(StoreCall::Watch { .. }));
    assert!(outputs.iter().any(is_watch_call));
}

#[test]
fn registry_is_read_again_after_compaction_and_an_older_manifest_is_ignored() {
    let mut controller = controller();
    handle_at(&mut controller, WatchInput::Tick, 0);
    let batch = complete_batch(9, vec![manifest(3, 9)]);
    handle_at(&mut controller, WatchInput::StoreResult(Ok(batch)), 5);
    let outputs = handle_at(
        &mut controller,
        WatchInput::StoreResult(Err(StoreFailure::HistoryUnavailable)),
        20,
    );
    assert!(outputs.contains(&WatchOutput::CallStore(StoreCall::ReadAll { allow_stale: false })));
    assert_eq!(controller.status(Duration::from_millis(20)).manifest_version, 3);
    // The store answers from a lagging replica: the newer manifest must stay.
    let batch = complete_batch(7, vec![manifest(2, 7)]);
    handle_at(&mut controller, WatchInput::StoreResult(Ok(batch)), 25);
    assert_eq!(controller.status(Duration::from_millis(25)).manifest_version, 3);
}

/// Guards against an upstream that stays in a peer's registry after its removal: a host that has
/// read all entries does not know which ones were removed shortly before the read.
#[test]
fn changes_from_before_a_complete_read_are_not_taken_as_known() {
    let mut controller = controller();
    handle_at(&mut controller, WatchInput::Tick, 0);
    let read = |revision| WatchInput::StoreResult(Ok(complete_batch(revision, Vec::new())));
    handle_at(&mut controller, read(9), 5);
    let after = |controller: &WatchController, revision| {
        controller.changes_after(position(revision), Duration::from_millis(30)).after
    };
    let all_entries = StorePosition::ORIGIN;
    assert_eq!([8, 9].map(|at| after(&controller, at)), [all_entries, position(9)]);
    let compacted = WatchInput::StoreResult(Err(StoreFailure::HistoryUnavailable));
    handle_at(&mut controller, compacted, 20);
    handle_at(&mut controller, read(15), 25);
    // Whatever a peer at 9 knows was known here too, so its removal was noticed.
    assert_eq!(
        [8, 9, 12, 15].map(|at| after(&controller, at)),
        [all_entries, position(9), all_entries, position(15)],
    );
}

pub(super) fn digest_of_peer(confirmation_age_ms: u32) -> FleetDigest {
    let sender = FleetMemberSummary {
        address: Ipv4Addr::new(10, 0, 0, 2),
        data_centre: DataCentreId::from_name("a"),
        incarnation: 1,
        cpu_millicores: 100,
        state: FleetMemberState::Ready,
        watching: true,
        heard_ago_ms: 0,
    };
    FleetDigest {
        sender,
        position: position(9),
        manifest_version: 3,
        confirmation_age_ms: Some(confirmation_age_ms),
        wants_reply: false,
        members: Vec::new(),
    }
}

/// Guards against a woken host that takes what waited in its socket for just sent: confirmations of
/// the registry, and load reports with the ages of silent upstreams.
#[test]
fn messages_that_waited_for_a_stalled_host_neither_confirm_nor_report_load() {
    let mut controller = controller();
    handle_at(&mut controller, WatchInput::Tick, 0);
    let batch = complete_batch(9, vec![manifest(3, 9)]);
    handle_at(&mut controller, WatchInput::StoreResult(Ok(batch)), 5);
    handle_at(&mut controller, WatchInput::Tick, 100);
    let digest = || WatchInput::Message(FleetMessage::Digest(digest_of_peer(10)));
    let report = || {
        WatchInput::Message(FleetMessage::Load(Ipv4Addr::new(10, 0, 0, 2), LoadReport::default()))
    };
    let installs_loads = |outputs: &[WatchOutput]| {
        outputs.iter().any(|output| matches!(output, WatchOutput::InstallPeerLoads(_)))
    };
    let confirmation_age = |controller: &WatchController| {
        controller.status(Duration::from_millis(2_310)).confirmation_age
    };
    // The tick may come before or after the messages that have waited.
    for at_ms in [2_200, 2_201] {
        assert!(!installs_loads(&handle_at(&mut controller, report(), at_ms)));
        handle_at(&mut controller, digest(), at_ms);
        assert_eq!(confirmation_age(&controller), None);
        handle_at(&mut controller, WatchInput::Tick, 2_201);
    }
    handle_at(&mut controller, WatchInput::Tick, 2_301);
    assert!(installs_loads(&handle_at(&mut controller, report(), 2_310)));
    handle_at(&mut controller, digest(), 2_310);
    assert_eq!(confirmation_age(&controller), Some(Duration::from_millis(10)));
}

/// Returns a controller whose last confirmation is of 1,080 ms and whose watch since then gets no
/// answer; it gives up the watch at 3,300 ms.
fn controller_with_a_silent_store_connection() -> WatchController {
    let mut controller = controller();
    handle_at(&mut controller, WatchInput::Tick, 0);
    let batch = complete_batch(9, vec![manifest(3, 9)]);
    handle_at(&mut controller, WatchInput::StoreResult(Ok(batch)), 5);
    let no_change = || {
        let changes = Vec::new();
        WatchInput::StoreResult(Ok(ChangeBatch {
            after: position(9),
            through: position(9),
            changes,
        }))
    };
    handle_at(&mut controller, no_change(), 10);
    for at_ms in (100..=3_300).step_by(100) {
        if at_ms == 1_100 {
            handle_at(&mut controller, no_change(), 1_080);
        }
        handle_at(&mut controller, WatchInput::Tick, at_ms);
    }
    assert_eq!(controller.consecutive_failures, 1);
    controller
}

/// Returns when the controller, ticking from `from_ms` on, calls the store.
fn next_store_call(controller: &mut WatchController, from_ms: u64) -> u64 {
    let is_call = |output: &WatchOutput| matches!(output, WatchOutput::CallStore(_));
    let mut ticks = (from_ms..from_ms + 10_000).step_by(100);
    ticks
        .find(|at_ms| handle_at(controller, WatchInput::Tick, *at_ms).iter().any(is_call))
        .expect("the store is called again")
}

/// Guards against a lone host that stays behind for seconds after a connection to the store has
/// gone silent, since it takes its own last confirmation for that of other hosts.
#[test]
fn own_confirmation_does_not_delay_the_call_after_a_failure() {
    let mut controller = controller_with_a_silent_store_connection();
    let called_at = next_store_call(&mut controller, 3_400);
    assert!(called_at <= 3_900, "called at {called_at} ms");
}

#[test]
fn confirmation_by_another_host_since_the_failure_delays_the_next_call() {
    let mut controller = controller_with_a_silent_store_connection();
    let called_at = next_store_call(&mut controller, 3_400);
    handle_at(
        &mut controller,
        WatchInput::Message(FleetMessage::Digest(digest_of_peer(10))),
        called_at + 10,
    );
    let failure = StoreFailure::Failed("status 503".to_owned());
    handle_at(&mut controller, WatchInput::StoreResult(Err(failure)), called_at + 20);
    let delay = next_store_call(&mut controller, called_at + 100) - called_at;
    assert!(delay >= 2_000, "called again after {delay} ms");
}

#[test]
fn unanswered_store_call_times_out_and_is_retried() {
    let mut controller = controller();
    handle_at(&mut controller, WatchInput::Tick, 0);
    let count_calls = |outputs: &[WatchOutput]| {
        outputs.iter().filter(|output| matches!(output, WatchOutput::CallStore(_))).count()
    };
    let mut call_count = 0;
    for now_ms in (100..3_000).step_by(100) {
        call_count += count_calls(&handle_at(&mut controller, WatchInput::Tick, now_ms));
    }
    assert!((2..=8).contains(&call_count), "{call_count} calls");
}

#[test]
fn removal_long_after_an_outage_is_not_marked_possibly_spurious() {
    let mut controller = controller();
    let upstream = |revision, value| RegistryChange {
        key: RegistryKey::Upstream("i-1".to_owned()),
        position: position(revision),
        value,
        age: Duration::ZERO,
    };
    handle_at(&mut controller, WatchInput::Tick, 0);
    let failure = StoreFailure::Failed("store answered with status 503".to_owned());
    handle_at(&mut controller, WatchInput::StoreResult(Err(failure)), 5);
    handle_at(&mut controller, WatchInput::Tick, 600);
    let changes = vec![manifest(3, 8), upstream(9, RegistryValue::Unusable)];
    let batch = complete_batch(9, changes);
    handle_at(&mut controller, WatchInput::StoreResult(Ok(batch)), 605);
    for now_ms in (700..6_000).step_by(100) {
        // The answer to each watch starts the next one.
        handle_at(&mut controller, WatchInput::Tick, now_ms);
        let empty = ChangeBatch { after: position(9), through: position(9), changes: Vec::new() };
        handle_at(&mut controller, WatchInput::StoreResult(Ok(empty)), now_ms + 4);
    }
    handle_at(
        &mut controller,
        WatchInput::StoreResult(Err(StoreFailure::HistoryUnavailable)),
        6_000,
    );
    let batch = complete_batch(12, vec![manifest(3, 8)]);
    handle_at(&mut controller, WatchInput::StoreResult(Ok(batch)), 6_010);
    let entry = controller.registry().entry(&RegistryKey::Upstream("i-1".to_owned()));
    let value = entry.map(|entry| entry.value.clone());
    assert_eq!(value, Some(RegistryValue::Removed { possibly_spurious: false }));
}

#[test]
fn manifest_with_an_invalid_route_is_applied() {
    let mut controller = controller();
    handle_at(&mut controller, WatchInput::Tick, 0);
    let mut change = manifest(3, 9);
    let route = crate::registry::RouteConfig {
        name: "r".to_owned(),
        address: "198.18.0.1:443".parse().expect("valid socket address"),
        backends: Vec::new(),
        retry_policy: crate::registry::RetryPolicy::Idempotent,
        request_timeout: Duration::ZERO,
        latency_objective: Duration::ZERO,
        priority: 0,
    };
    let manifest_with_invalid_route =
        Manifest { version: 3, routes: vec![route], ..Manifest::default() };
    change.value = RegistryValue::Manifest(Arc::new(manifest_with_invalid_route));
    let batch = complete_batch(9, vec![change]);
    handle_at(&mut controller, WatchInput::StoreResult(Ok(batch)), 5);
    assert_eq!(controller.status(Duration::from_millis(5)).manifest_version, 3);
}

// A peer that has purged the tombstone of a removal can only send all of its entries.
#[test]
fn entry_that_a_peer_no_longer_has_is_removed_when_it_sends_all_entries() {
    let key = RegistryKey::Upstream("i-1".to_owned());
    let upstream = RegistryChange {
        key: key.clone(),
        position: position(9),
        value: RegistryValue::Unusable,
        age: Duration::ZERO,
    };
    let mut controller = controller();
    let from = Ipv4Addr::new(10, 0, 0, 2);
    let batch = Some(complete_batch(9, vec![manifest(3, 8), upstream]));
    handle_at(&mut controller, WatchInput::Changes { from, batch }, 5);
    // An answer that is older than the entry says nothing about it.
    let batch = Some(complete_batch(8, vec![manifest(3, 8)]));
    handle_at(&mut controller, WatchInput::Changes { from, batch }, 10);
    let value = |controller: &WatchController| {
        controller.registry().entry(&key).map(|entry| entry.value.clone())
    };
    assert_eq!(value(&controller), Some(RegistryValue::Unusable));
    let batch = Some(complete_batch(40, vec![manifest(3, 8)]));
    handle_at(&mut controller, WatchInput::Changes { from, batch }, 15);
    assert!(matches!(value(&controller), Some(RegistryValue::Removed { .. })));
}
