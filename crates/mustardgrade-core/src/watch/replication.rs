//! Replication of the registry: what a host takes from the store's answers and from its peers.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use super::controller::{CallInProgress, WatchController};
use super::events::{StoreCall, StoreFailure, WatchEvent, WatchOutput};
use super::gossip::BroadcastScope;
use super::message::{ChangeBatch, FleetDigest, FleetMemberState};
use crate::identity::{DataCentreId, ServiceId};
use crate::registry::{
    ApplyOutcome, Manifest, RegisteredState, RegistryChange, RegistryKey, RegistryValue,
    StorePosition,
};

/// Time after the store's recovery in which removals may be an effect of its outage.
const SPURIOUS_REMOVAL_WINDOW: Duration = Duration::from_millis(2_500);

/// Minimum interval between requests for changes to the same peer.
const PEER_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

impl WatchController {
    /// Requests changes if a digest names a newer position or manifest; otherwise adopts its
    /// confirmation, unless that is of an earlier epoch of the store.
    pub(super) fn compare_position(
        &mut self,
        digest: &FleetDigest,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        let known = self.registry.position();
        let sender = digest.sender.address;
        if digest.position > known {
            self.request_changes(sender, known, now, outputs);
        } else if digest.manifest_version > self.registry.manifest_version() {
            // A restored store holds an older manifest until the operators write theirs again.
            self.request_changes(sender, StorePosition::ORIGIN, now, outputs);
        } else if digest.position.epoch == known.epoch
            && !self.is_behind(now)
            && let Some(age_ms) = digest.confirmation_age_ms
        {
            let confirmed_at = now.saturating_sub(Duration::from_millis(u64::from(age_ms)));
            self.confirmed_at =
                Some(self.confirmed_at.map_or(confirmed_at, |latest| latest.max(confirmed_at)));
        }
    }

    fn request_changes(
        &mut self,
        to: Ipv4Addr,
        after: StorePosition,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        let recently = |at: &Duration| now.saturating_sub(*at) < PEER_REQUEST_INTERVAL;
        self.pending_change_requests.retain(|_, at| recently(at));
        if self.pending_change_requests.len() < 2 && !self.pending_change_requests.contains_key(&to)
        {
            self.pending_change_requests.insert(to, now);
            outputs.push(WatchOutput::RequestChanges { to, after });
        }
    }

    /// Applies the changes that a peer has sent on request.
    pub(super) fn handle_changes(
        &mut self,
        from: Ipv4Addr,
        batch: Option<ChangeBatch>,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        self.pending_change_requests.remove(&from);
        let known = self.registry.position();
        let Some(batch) = batch.filter(|batch| known.continues_with(batch.after)) else {
            return;
        };
        let starting = self.state == FleetMemberState::Starting;
        // A peer keeps only the last write of each entry.
        self.registry.begin_condensed_batch();
        let batch = match batch.is_complete() {
            true => self.reconcile(batch, now, outputs),
            false => batch,
        };
        self.apply_batch(&batch, now, outputs);
        if starting && self.state == FleetMemberState::Ready {
            self.broadcast(None, BroadcastScope::AllDataCentres, now, outputs);
        }
    }

    /// Adapts a peer's complete batch: entries that it lacks are removed. Of an earlier epoch only
    /// the manifest and the past services of routes are kept, since the restored store may have
    /// lost the rest.
    fn reconcile(
        &mut self,
        mut batch: ChangeBatch,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) -> ChangeBatch {
        let known = self.registry.position();
        if batch.through.epoch < known.epoch {
            for change in &batch.changes {
                if let RegistryValue::RouteServices(services) = &change.value {
                    self.learn_past_services(services, outputs);
                    self.services_changed = true;
                }
            }
            batch.changes.retain(|change| change.key == RegistryKey::Manifest);
            return batch;
        }
        if batch.through.epoch > known.epoch && !known.is_origin() {
            self.enter_epoch(batch.through, now, outputs);
        }
        self.with_implied_removals(batch, now)
    }

    /// Notes that the store has returned from a copy, and abandons a call that continues the lost
    /// history.
    fn enter_epoch(
        &mut self,
        position: StorePosition,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        let known = self.registry.position();
        outputs.push(WatchOutput::Event(WatchEvent::StoreRestored { known, position }));
        self.store_recovered_at = Some(now);
        self.call_in_progress = None;
        self.next_call_at = now;
    }

    /// Applies the answer to the store call in progress.
    pub(super) fn handle_store_result(
        &mut self,
        result: std::result::Result<ChangeBatch, StoreFailure>,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        let Some(call) = self.call_in_progress.take() else { return };
        let batch = match result {
            Ok(batch) => batch,
            Err(StoreFailure::HistoryUnavailable) => {
                let after = self.registry.position();
                outputs.push(WatchOutput::Event(WatchEvent::HistoryUnavailable { after }));
                self.start_call(StoreCall::ReadAll { allow_stale: false }, now, outputs);
                return;
            }
            Err(StoreFailure::Failed(cause)) => {
                return self.handle_store_failure(cause, now, outputs);
            }
        };
        let known = self.registry.position();
        if batch.through.epoch < known.epoch {
            let epoch = batch.through.epoch;
            let cause = format!("answer is of epoch {epoch}, but {} is known", known.epoch);
            return self.handle_store_failure(cause, now, outputs);
        }
        self.note_store_recovery(now, outputs);
        if !batch.is_complete() && batch.through.epoch != known.epoch {
            // The answer skips the changes of the new epoch up to the revision of the watch.
            self.start_call(StoreCall::ReadAll { allow_stale: false }, now, outputs);
            return;
        }
        self.apply_store_batch(call, batch, now, outputs);
    }

    fn note_store_recovery(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        if self.consecutive_failures > 0 {
            let failed_calls = std::mem::take(&mut self.consecutive_failures);
            self.store_recovered_at = Some(now);
            outputs.push(WatchOutput::Event(WatchEvent::StoreRecovered { failed_calls }));
        } else if !self.is_confirmation_fresh(now) {
            // No host has confirmed the registry lately, so the store may have had an outage.
            self.store_recovered_at = Some(now);
        }
    }

    fn apply_store_batch(
        &mut self,
        call: CallInProgress,
        batch: ChangeBatch,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        let known = self.registry.position();
        self.report_store_batch(&batch, outputs);
        if batch.through.epoch > known.epoch && !known.is_origin() {
            self.enter_epoch(batch.through, now, outputs);
        }
        let batch = match batch.is_complete() {
            true => self.with_implied_removals(batch, now),
            false => self.flag_spurious_removals(batch, now),
        };
        let changed = self.apply_batch(&batch, now, outputs);
        let allowed_stale = matches!(call.call, StoreCall::ReadAll { allow_stale: true });
        if !allowed_stale && !call.spans_stall {
            self.confirmed_at = Some(now);
        }
        let delay = if batch.changes.is_empty() {
            Duration::ZERO
        } else {
            self.options.schedule.coalescing_delay
        };
        self.next_call_at = now + if allowed_stale { Duration::ZERO } else { delay };
        let batch = (changed && !batch.is_complete()).then_some(batch);
        self.broadcast(batch, BroadcastScope::AllDataCentres, now, outputs);
    }

    /// Reports a read of the registry, and the changes from the store that will be ignored although
    /// their content is not in force.
    fn report_store_batch(&mut self, batch: &ChangeBatch, outputs: &mut Vec<WatchOutput>) {
        if batch.is_complete() {
            self.registry_reads += 1;
            outputs.push(WatchOutput::Event(WatchEvent::RegistryRead {
                position: batch.through,
                known: self.registry.position(),
            }));
        }
        for change in batch.changes.iter().filter(|change| self.registry.is_outdated(change)) {
            let Some(entry) = self.registry.entry(&change.key) else { continue };
            if change.value == entry.value {
                continue;
            }
            self.ignored_changes += 1;
            outputs.push(WatchOutput::Event(WatchEvent::ChangeIgnored {
                key: change.key.clone(),
                position: change.position,
                known: entry.position,
            }));
        }
    }

    /// Adds removals of the entries that a complete read no longer contains.
    fn with_implied_removals(&self, mut batch: ChangeBatch, now: Duration) -> ChangeBatch {
        let possibly_spurious = self.recovered_recently(now);
        let removals =
            self.registry.implied_removals(&batch.changes, batch.through, possibly_spurious);
        batch.changes.extend(removals);
        batch
    }

    /// Flags removals as possibly spurious shortly after a store outage.
    fn flag_spurious_removals(&self, mut batch: ChangeBatch, now: Duration) -> ChangeBatch {
        if self.recovered_recently(now) {
            for change in &mut batch.changes {
                if let RegistryValue::Removed { possibly_spurious } = &mut change.value {
                    *possibly_spurious = true;
                }
            }
        }
        batch
    }

    /// Applies the changes of a restored store that the host has deferred until now.
    pub(super) fn apply_deferred_changes(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let changes = self.registry.apply_due_changes(now);
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            self.report_change(change, now, outputs);
        }
        outputs.push(WatchOutput::InstallSnapshot);
    }

    /// Returns whether the store recovered within [`SPURIOUS_REMOVAL_WINDOW`].
    fn recovered_recently(&self, now: Duration) -> bool {
        self.store_recovered_at.is_some_and(|at| now.saturating_sub(at) < SPURIOUS_REMOVAL_WINDOW)
    }

    /// Applies a batch; returns true if an entry, its deferred change or the host's state changed.
    pub(super) fn apply_batch(
        &mut self,
        batch: &ChangeBatch,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) -> bool {
        let mut changed = false;
        if batch.is_complete() {
            self.registry.begin_condensed_batch();
        }
        for change in &batch.changes {
            if let RegistryValue::Manifest(manifest) = &change.value
                && let Err(error) = manifest.validate()
            {
                // Apply it nevertheless: the store has accepted it, so it is in force, and one
                // invalid route must not hold back the others.
                let cause = error.to_string();
                outputs.push(WatchOutput::Event(WatchEvent::InvalidRoute { cause }));
            }
            let previous_manifest = self.registry.manifest().cloned();
            self.services_changed |=
                matches!(change.key, RegistryKey::Manifest | RegistryKey::RouteServices);
            let ends_deferral = self.registry.may_have_returned(&change.key);
            match self.registry.apply(change.clone(), now) {
                ApplyOutcome::Outdated => continue,
                ApplyOutcome::Unchanged => {
                    changed |= ends_deferral;
                    continue;
                }
                ApplyOutcome::Deferred => {
                    let (key, position) = (change.key.clone(), change.position);
                    let event = WatchEvent::ChangeDeferred { key, position };
                    outputs.push(WatchOutput::Event(event));
                    // An upstream that may have returned no longer counts as gone.
                    changed = true;
                    continue;
                }
                ApplyOutcome::Applied => {}
            }
            changed = true;
            self.report_change(change, now, outputs);
            match &change.value {
                RegistryValue::Manifest(manifest) => {
                    self.track_past_routes(previous_manifest.as_deref(), manifest);
                }
                RegistryValue::RouteServices(services) => {
                    self.learn_past_services(services, outputs);
                }
                _ => {}
            }
        }
        match batch.is_complete() {
            true => self.registry.mark_read(batch.through),
            false => self.registry.mark_complete(batch.through),
        }
        if self.registry.manifest().is_some() && self.state == FleetMemberState::Starting {
            self.state = FleetMemberState::Ready;
            changed = true;
        }
        if changed {
            outputs.push(WatchOutput::InstallSnapshot);
        }
        changed
    }

    /// Emits the event of an applied change and records when an evacuation ended.
    fn report_change(
        &mut self,
        change: &RegistryChange,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        let RegistryChange { key, position, value, .. } = change;
        let position = *position;
        let state = match value {
            RegistryValue::Manifest(manifest) => {
                let version = manifest.version;
                outputs.push(WatchOutput::Event(WatchEvent::ManifestApplied { version, position }));
                return;
            }
            RegistryValue::Evacuated => "evacuated",
            RegistryValue::Upstream(registration)
                if !self.registry.names_service(registration.service) =>
            {
                "ignored, its service is not named by a manifest"
            }
            RegistryValue::Upstream(registration) => match registration.state {
                RegisteredState::Ready => "ready",
                RegisteredState::Draining => "draining",
            },
            RegistryValue::Unusable => "unusable",
            RegistryValue::RouteServices(_) => "stored",
            RegistryValue::Removed { possibly_spurious: true } => "lapsed",
            RegistryValue::Removed { possibly_spurious: false } => "removed",
        };
        if let (RegistryKey::Evacuation(name), RegistryValue::Removed { .. }) = (key, value) {
            self.snapshot_context.evacuation_ends.insert(DataCentreId::from_name(name), now);
        }
        outputs.push(WatchOutput::Event(WatchEvent::EntryChanged {
            key: key.clone(),
            state,
            position,
        }));
    }

    /// Records services and addresses of the previous manifest that open flows may still use.
    fn track_past_routes(&mut self, previous: Option<&Manifest>, manifest: &Manifest) {
        let current_addresses: HashSet<SocketAddrV4> =
            manifest.routes.iter().map(|route| route.address).collect();
        let previous_routes =
            previous.map(|previous| previous.routes.as_slice()).unwrap_or_default();
        for route in previous_routes {
            let services: HashSet<ServiceId> = route.backends.iter().map(|b| b.service).collect();
            self.snapshot_context.past_services.entry(route.address).or_default().extend(services);
            if !current_addresses.contains(&route.address) {
                self.snapshot_context.dropped_routes.insert(route.address);
            }
        }
        self.snapshot_context.dropped_routes.retain(|address| !current_addresses.contains(address));
    }
}
