//! Tests of one controller whose store returned from an older copy of itself.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use super::controller::{complete_batch, controller, handle_at, manifest};
use crate::identity::{DataCentreId, ServiceId};
use crate::registry::{
    RegisteredState, RegistryChange, RegistryKey, RegistryValue, StorePosition,
    UpstreamRegistration,
};
use crate::watch::{
    ChangeBatch, FleetDigest, FleetMemberState, FleetMemberSummary, FleetMessage, StoreCall,
    StoreFailure, WatchController, WatchInput, WatchOutput,
};

/// Address of the other host.
const PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

fn position(epoch: u64, revision: u64) -> StorePosition {
    StorePosition { epoch, revision }
}

fn at_position(epoch: u64, revision: u64, mut change: RegistryChange) -> RegistryChange {
    change.position = position(epoch, revision);
    change
}

fn registration(state: RegisteredState, incarnation: u64) -> RegistryChange {
    let registration = UpstreamRegistration {
        name: "i-1".to_owned(),
        tag: 1,
        incarnation,
        service: ServiceId::from_name("desk"),
        address: "10.9.0.1:80".parse().expect("an address"),
        data_centre: DataCentreId::from_name("a"),
        slots: 4,
        state,
        cold_remaining: Duration::ZERO,
    };
    RegistryChange {
        key: RegistryKey::Upstream("i-1".to_owned()),
        position: StorePosition::ORIGIN,
        value: RegistryValue::Upstream(Arc::new(registration)),
        age: Duration::ZERO,
    }
}

fn complete_batch_at(through: StorePosition, changes: Vec<RegistryChange>) -> ChangeBatch {
    ChangeBatch { after: StorePosition::ORIGIN, through, changes }
}

/// Returns a controller that watches the store after revision 9 of epoch 1.
fn watching_controller(changes: Vec<RegistryChange>) -> WatchController {
    let mut controller = controller();
    handle_at(&mut controller, WatchInput::Tick, 0);
    handle_at(&mut controller, WatchInput::StoreResult(Ok(complete_batch(9, changes))), 5);
    controller
}

fn has_complete_read(outputs: &[WatchOutput]) -> bool {
    outputs.contains(&WatchOutput::CallStore(StoreCall::ReadAll { allow_stale: false }))
}

fn in_force(controller: &WatchController) -> Option<&RegistryValue> {
    let entry = controller.registry().entry(&RegistryKey::Upstream("i-1".to_owned()));
    entry.map(|entry| &entry.value)
}

fn digest(position: StorePosition, manifest_version: u64) -> WatchInput {
    let sender = FleetMemberSummary {
        address: PEER,
        data_centre: DataCentreId::from_name("a"),
        incarnation: 1,
        cpu_millicores: 50,
        state: FleetMemberState::Ready,
        watching: false,
        heard_ago_ms: 0,
    };
    WatchInput::Message(FleetMessage::Digest(FleetDigest {
        sender,
        position,
        manifest_version,
        confirmation_age_ms: Some(0),
        wants_reply: false,
        members: Vec::new(),
    }))
}

#[test]
fn watch_answered_from_a_later_epoch_is_followed_by_a_complete_read() {
    let mut controller = watching_controller(vec![manifest(3, 9)]);
    let skipping =
        ChangeBatch { after: position(1, 9), through: position(2, 10), changes: Vec::new() };
    let outputs = handle_at(&mut controller, WatchInput::StoreResult(Ok(skipping)), 20);
    assert!(has_complete_read(&outputs));
    assert_eq!(controller.status(Duration::ZERO).position, position(1, 9));
    let batch = complete_batch_at(position(2, 10), vec![at_position(2, 4, manifest(4, 0))]);
    let outputs = handle_at(&mut controller, WatchInput::StoreResult(Ok(batch)), 25);
    let status = controller.status(Duration::from_millis(25));
    assert_eq!((status.manifest_version, status.position), (4, position(2, 10)));
    let continues = outputs.iter().all(|output| !matches!(output, WatchOutput::CallStore(_)));
    assert!(continues, "the next watch waits for the coalescing delay");
}

#[test]
fn manifest_that_the_copy_lacks_stays_in_force() {
    let mut controller = watching_controller(vec![manifest(3, 9)]);
    handle_at(&mut controller, WatchInput::StoreResult(Err(StoreFailure::HistoryUnavailable)), 20);
    let batch = complete_batch_at(position(2, 2), Vec::new());
    handle_at(&mut controller, WatchInput::StoreResult(Ok(batch)), 25);
    assert_eq!(controller.status(Duration::from_millis(25)).manifest_version, 3);
}

#[test]
fn confirmation_of_an_earlier_epoch_is_not_adopted() {
    let mut controller = watching_controller(vec![manifest(3, 9)]);
    let confirmed = |controller: &WatchController| {
        controller.status(Duration::from_millis(40)).confirmation_age.is_some()
    };
    handle_at(&mut controller, WatchInput::Changes { from: PEER, batch: None }, 10);
    let batch = complete_batch_at(position(2, 5), vec![at_position(2, 4, manifest(3, 0))]);
    handle_at(&mut controller, WatchInput::Changes { from: PEER, batch: Some(batch) }, 20);
    handle_at(&mut controller, digest(position(1, 30), 3), 30);
    assert!(!confirmed(&controller));
    handle_at(&mut controller, digest(position(2, 5), 3), 35);
    assert!(confirmed(&controller));
}

#[test]
fn peer_of_an_earlier_epoch_supplies_its_newer_manifest_but_no_lost_entry() {
    let mut controller = controller();
    handle_at(&mut controller, WatchInput::Tick, 0);
    let batch = complete_batch_at(position(2, 5), vec![at_position(2, 4, manifest(3, 0))]);
    handle_at(&mut controller, WatchInput::StoreResult(Ok(batch)), 5);
    let outputs = handle_at(&mut controller, digest(position(1, 30), 7), 10);
    let request = WatchOutput::RequestChanges { to: PEER, after: StorePosition::ORIGIN };
    assert!(outputs.contains(&request));
    let lost = at_position(1, 29, registration(RegisteredState::Ready, 1));
    let changes = vec![at_position(1, 30, manifest(7, 0)), lost];
    let batch = Some(complete_batch_at(position(1, 30), changes));
    handle_at(&mut controller, WatchInput::Changes { from: PEER, batch }, 15);
    let status = controller.status(Duration::from_millis(15));
    assert_eq!((status.manifest_version, status.position), (7, position(2, 5)));
    assert_eq!(in_force(&controller), None);
}

#[test]
fn drain_that_a_restored_store_undoes_is_given_up_only_after_the_deferral() {
    let draining = at_position(1, 9, registration(RegisteredState::Draining, 1));
    let mut controller = watching_controller(vec![manifest(3, 2), draining.clone()]);
    let ready = at_position(2, 4, registration(RegisteredState::Ready, 1));
    let changes = vec![at_position(2, 2, manifest(3, 0)), ready.clone()];
    let batch = Some(complete_batch_at(position(2, 5), changes));
    handle_at(&mut controller, WatchInput::Changes { from: PEER, batch }, 100);
    for now_ms in (200..4_100).step_by(100) {
        handle_at(&mut controller, WatchInput::Tick, now_ms);
        assert_eq!(in_force(&controller), Some(&draining.value), "{now_ms} ms");
    }
    handle_at(&mut controller, WatchInput::Tick, 4_100);
    assert_eq!(in_force(&controller), Some(&ready.value));
}

/// Guards against flows that are reset after a cut: an upstream that had lapsed in the lost history
/// registers again with the restored store, which is no remainder of the copy.
#[test]
fn registration_after_the_epoch_was_entered_is_in_force_at_once() {
    let ready = registration(RegisteredState::Ready, 1);
    let mut controller =
        watching_controller(vec![manifest(3, 2), at_position(1, 4, ready.clone())]);
    let mut lapsed = at_position(1, 10, ready.clone());
    lapsed.value = RegistryValue::Removed { possibly_spurious: false };
    let batch =
        ChangeBatch { after: position(1, 9), through: position(1, 10), changes: vec![lapsed] };
    handle_at(&mut controller, WatchInput::Changes { from: PEER, batch: Some(batch) }, 100);
    let batch = complete_batch_at(position(2, 7), vec![at_position(2, 2, manifest(3, 0))]);
    handle_at(&mut controller, WatchInput::Changes { from: PEER, batch: Some(batch) }, 200);
    let again = at_position(2, 8, ready);
    let changes = vec![again.clone()];
    let batch = ChangeBatch { after: position(2, 7), through: position(2, 8), changes };
    handle_at(&mut controller, WatchInput::Changes { from: PEER, batch: Some(batch) }, 300);
    assert_eq!(in_force(&controller), Some(&again.value));
}

/// Guards against resets by a host that enters an epoch after lapsed upstreams have registered again.
#[test]
fn lapsed_upstream_that_a_restored_store_holds_keeps_its_open_flows() {
    let ready = registration(RegisteredState::Ready, 1);
    let mut controller =
        watching_controller(vec![manifest(3, 2), at_position(1, 4, ready.clone())]);
    let mut lapsed = at_position(1, 10, ready.clone());
    lapsed.value = RegistryValue::Removed { possibly_spurious: false };
    let batch =
        ChangeBatch { after: position(1, 9), through: position(1, 10), changes: vec![lapsed] };
    handle_at(&mut controller, WatchInput::Changes { from: PEER, batch: Some(batch) }, 100);
    let is_gone = |controller: &WatchController, now_ms| {
        controller.snapshot().upstreams[0].is_gone(Duration::from_millis(now_ms))
    };
    assert!(is_gone(&controller, 3_000));
    let batch = complete_batch_at(position(2, 9), vec![at_position(2, 8, ready)]);
    let input = WatchInput::Changes { from: PEER, batch: Some(batch) };
    let outputs = handle_at(&mut controller, input, 3_000);
    assert!(outputs.contains(&WatchOutput::InstallSnapshot));
    assert!(!is_gone(&controller, 6_900));
    // Whether it is back is not known yet, so it gets no new flows.
    let now = Duration::from_millis(6_900);
    assert!(!controller.snapshot().upstreams[0].accepts_flows(now));
}

#[test]
fn later_run_that_a_restored_store_does_not_know_is_not_replaced_by_the_earlier() {
    let later = at_position(1, 9, registration(RegisteredState::Ready, 8));
    let mut controller = watching_controller(vec![manifest(3, 2), later.clone()]);
    let earlier = at_position(2, 4, registration(RegisteredState::Ready, 7));
    let batch = complete_batch_at(position(2, 5), vec![at_position(2, 2, manifest(3, 0)), earlier]);
    let input = WatchInput::Changes { from: PEER, batch: Some(batch) };
    handle_at(&mut controller, input, 100);
    assert_eq!(in_force(&controller), Some(&later.value));
    // The upstream registers again, which ends the deferral.
    let again = at_position(2, 6, registration(RegisteredState::Draining, 8));
    let changes = vec![again.clone()];
    let batch = ChangeBatch { after: position(2, 5), through: position(2, 6), changes };
    handle_at(&mut controller, WatchInput::Changes { from: PEER, batch: Some(batch) }, 200);
    handle_at(&mut controller, WatchInput::Tick, 9_000);
    assert_eq!(in_force(&controller), Some(&again.value));
}

#[test]
fn changes_requested_across_epochs_hold_all_entries() {
    let changes = vec![manifest(3, 2), at_position(1, 9, registration(RegisteredState::Ready, 1))];
    let controller = watching_controller(changes);
    let now = Duration::from_millis(10);
    let own_position = controller.status(now).position;
    assert!(!controller.changes_after(own_position, now).is_complete());
    // What was removed before the host's only read is not known.
    assert!(controller.changes_after(position(1, 3), now).is_complete());
    let batch = controller.changes_after(position(0, 8), now);
    assert!(batch.is_complete());
    assert_eq!(batch.changes.len(), 2);
}

#[test]
fn upstream_whose_remainder_a_restored_store_removes_counts_as_gone() {
    let ready = registration(RegisteredState::Ready, 1);
    let mut controller =
        watching_controller(vec![manifest(3, 2), at_position(1, 4, ready.clone())]);
    let mut removed = at_position(1, 10, ready.clone());
    removed.value = RegistryValue::Removed { possibly_spurious: false };
    let batch = ChangeBatch {
        after: position(1, 9),
        through: position(1, 10),
        changes: vec![removed.clone()],
    };
    handle_at(&mut controller, WatchInput::Changes { from: PEER, batch: Some(batch) }, 100);
    let batch = complete_batch_at(position(2, 9), vec![at_position(2, 8, ready)]);
    handle_at(&mut controller, WatchInput::Changes { from: PEER, batch: Some(batch) }, 3_000);
    removed.position = position(2, 10);
    let batch =
        ChangeBatch { after: position(2, 9), through: position(2, 10), changes: vec![removed] };
    let outputs =
        handle_at(&mut controller, WatchInput::Changes { from: PEER, batch: Some(batch) }, 4_000);
    assert!(controller.snapshot().upstreams[0].is_gone(Duration::from_millis(7_000)));
    assert!(outputs.contains(&WatchOutput::InstallSnapshot));
}
