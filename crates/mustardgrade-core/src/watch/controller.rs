//! The controller of a host's registry replica, free of I/O.

use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::events::{StoreCall, StoreFailure, WatchEvent, WatchInput, WatchOutput};
use super::fleet_view::FleetView;
use super::gossip::BroadcastScope;
use super::message::{ChangeBatch, FleetDigest, FleetMemberState, FleetMessage, saturating_millis};
use super::options::WatchOptions;
use super::peer_loads::PeerLoadTable;
use super::status::WatchStatus;
use super::store_calls::is_seed_host;
use crate::cookie::{CookieSnapshot, SnapshotContext, build_cookie_snapshot};
use crate::identity::{DataCentreId, ServiceId};
use crate::registry::{ApplyOutcome, Manifest, RegistryKey, RegistryTable, RegistryValue};

/// Interval between regular digests.
const DIGEST_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two ticks above which the host counts as stalled; confirmations from before the
/// stall are discarded.
const STALL_THRESHOLD: Duration = Duration::from_millis(1_000);

/// Time after the store's recovery in which removals may be an effect of its outage.
const SPURIOUS_REMOVAL_WINDOW: Duration = Duration::from_millis(2_500);

/// Minimum interval between requests for changes to the same peer.
const PEER_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// Delay after the start before the host count is reliable enough to divide fleet-wide rate limits.
const HOST_COUNT_DELAY: Duration = Duration::from_secs(3);

/// Time for which the peak host count is kept for dividing fleet-wide rate limits.
const PEAK_HOSTS_RETENTION: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallInProgress {
    pub(super) call: StoreCall,
    pub(super) started_at: Duration,
    pub(super) spans_stall: bool,
}

/// `WatchController` decides when a host calls the store, which changes it applies, and what it
/// sends to other hosts.
#[derive(Debug)]
pub struct WatchController {
    pub(super) options: WatchOptions,
    pub(super) state: FleetMemberState,
    pub(super) registry: RegistryTable,
    pub(super) fleet: FleetView,
    pub(super) peer_loads: PeerLoadTable,
    pub(super) sharing_load: bool,
    pub(super) isolated_since: Option<Duration>,
    pub(super) rng: ChaCha8Rng,
    pub(super) started_at: Duration,
    pub(super) last_tick_at: Duration,
    pub(super) confirmed_at: Option<Duration>,
    pub(super) call_in_progress: Option<CallInProgress>,
    pub(super) next_call_at: Duration,
    pub(super) next_digest_at: Duration,
    pub(super) next_introduction_at: Duration,
    pub(super) next_probe_at: Duration,
    pub(super) watching: bool,
    pub(super) consecutive_failures: u32,
    pub(super) store_recovered_at: Option<Duration>,
    pub(super) pending_change_requests: HashMap<Ipv4Addr, Duration>,
    pub(super) first_read_at: Duration,
    pub(super) snapshot_context: SnapshotContext,
    pub(super) peak_live_hosts: (usize, Duration),
    pub(super) summary_offset: usize,
    pub(super) store_calls: u64,
    pub(super) registry_reads: u64,
    pub(super) ignored_changes: u64,
}

impl WatchController {
    /// Creates the controller of a host that starts at `now`.
    #[must_use]
    pub fn new(options: WatchOptions, now: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.rng_seed);
        let first_read_delay = options.schedule.first_read_delay;
        let first_read_at = match is_seed_host(&options) {
            true => now,
            false => now + first_read_delay.mul_f64(0.5 + rng.random::<f64>()),
        };
        let snapshot_context = SnapshotContext {
            data_centre: Some(options.data_centre),
            ..SnapshotContext::default()
        };
        Self {
            options,
            state: FleetMemberState::Starting,
            registry: RegistryTable::default(),
            fleet: FleetView::default(),
            peer_loads: PeerLoadTable::default(),
            sharing_load: false,
            isolated_since: None,
            rng,
            started_at: now,
            last_tick_at: now,
            confirmed_at: None,
            call_in_progress: None,
            next_call_at: now,
            next_digest_at: now,
            next_introduction_at: now,
            next_probe_at: now,
            watching: false,
            consecutive_failures: 0,
            store_recovered_at: None,
            pending_change_requests: HashMap::new(),
            first_read_at,
            snapshot_context,
            peak_live_hosts: (0, now),
            summary_offset: 0,
            store_calls: 0,
            registry_reads: 0,
            ignored_changes: 0,
        }
    }

    /// Returns the current status of the replica.
    #[must_use]
    pub fn status(&self, now: Duration) -> WatchStatus {
        WatchStatus {
            state: self.state,
            revision: self.registry.revision(),
            manifest_version: self.registry.manifest().map_or(0, |manifest| manifest.version),
            confirmation_age: self.confirmed_at.map(|at| now.saturating_sub(at)),
            watching: self.watching,
            live_hosts: self.fleet.live(now).count() + 1,
            store_calls: self.store_calls,
            registry_reads: self.registry_reads,
            ignored_changes: self.ignored_changes,
        }
    }

    /// Returns the registry as applied so far.
    #[must_use]
    pub fn registry(&self) -> &RegistryTable {
        &self.registry
    }

    /// Builds the snapshot from which traffic threads route packets.
    #[must_use]
    pub fn snapshot(&self) -> CookieSnapshot {
        build_cookie_snapshot(&self.registry, &self.snapshot_context)
    }

    /// Returns the changes after `revision`, which another host has requested.
    ///
    /// The batch holds all entries if the changes since then are no longer known in full.
    #[must_use]
    pub fn changes_after(&self, revision: u64, now: Duration) -> ChangeBatch {
        let (changes, incremental) = self.registry.changes_since(revision, now);
        let after_revision = if incremental { revision } else { 0 };
        ChangeBatch { after_revision, through_revision: self.registry.revision(), changes }
    }

    /// Processes an input and appends the resulting actions to `outputs`.
    pub fn handle(&mut self, input: WatchInput, now: Duration, outputs: &mut Vec<WatchOutput>) {
        match input {
            WatchInput::Tick => self.handle_tick(now, outputs),
            WatchInput::Message(message) => self.handle_message(&message, now, outputs),
            WatchInput::Changes { from, batch } => self.handle_changes(from, batch, now, outputs),
            WatchInput::StoreResult(result) => self.handle_store_result(result, now, outputs),
            WatchInput::LocalLoad(report) => self.share_load_report(report, now, outputs),
            WatchInput::SeedHosts(seed_hosts) => {
                self.options.seed_hosts = seed_hosts;
                self.next_introduction_at = now;
            }
            WatchInput::Leave => {
                self.state = FleetMemberState::Leaving;
                self.watching = false;
                self.broadcast(None, BroadcastScope::AllDataCentres, now, outputs);
            }
        }
        self.call_store_if_due(now, outputs);
    }

    fn handle_tick(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let elapsed = now.saturating_sub(self.last_tick_at);
        self.last_tick_at = now;
        if elapsed > STALL_THRESHOLD {
            self.handle_stall(elapsed, outputs);
        }
        self.time_out_call(now, outputs);
        if self.peer_loads.remove_expired(now) {
            outputs.push(WatchOutput::InstallPeerLoads(self.peer_loads.total()));
        }
        self.introduce_to_seed_hosts(now, outputs);
        self.probe_before_takeover(now, outputs);
        if self.isolated_since.is_some() {
            self.update_isolation(false, now, outputs);
        }
        if now >= self.next_digest_at {
            self.next_digest_at = now + DIGEST_INTERVAL;
            self.send_digests(now, outputs);
            self.fleet.remove_expired(now);
            self.registry.purge_tombstones(now);
        }
        self.update_host_counts(now, outputs);
    }

    /// Discards the last confirmation after a stall of the host itself.
    fn handle_stall(&mut self, elapsed: Duration, outputs: &mut Vec<WatchOutput>) {
        self.confirmed_at = None;
        self.next_call_at = self.last_tick_at;
        if let Some(call) = &mut self.call_in_progress {
            call.spans_stall = true;
        }
        outputs
            .push(WatchOutput::Event(WatchEvent::Stalled { stall_ms: saturating_millis(elapsed) }));
    }

    fn handle_message(
        &mut self,
        message: &FleetMessage,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        if let FleetMessage::Load(from, report) = message {
            self.peer_loads.record(*from, report.clone(), now);
            outputs.push(WatchOutput::InstallPeerLoads(self.peer_loads.total()));
        }
        let Some(digest) = message.digest() else { return };
        let from = digest.sender.address;
        if from == self.options.address {
            return;
        }
        let joined = self.fleet.update(&digest.sender, now);
        for member in digest.members.iter().filter(|member| member.address != self.options.address)
        {
            self.fleet.update(member, now);
        }
        if joined {
            outputs.push(WatchOutput::Event(WatchEvent::HostJoined { address: from }));
        }
        if digest.wants_reply || joined {
            let message = FleetMessage::Digest(self.build_digest(now));
            outputs.push(WatchOutput::Send { to: from, message });
        }
        if let FleetMessage::Changes(_, batch) = message
            && batch.after_revision <= self.registry.revision()
            && self.apply_batch(batch, now, outputs)
        {
            let scope = match digest.sender.data_centre == self.options.data_centre {
                true => BroadcastScope::LocalSample,
                false => BroadcastScope::LocalDataCentre,
            };
            self.broadcast(Some(batch.clone()), scope, now, outputs);
        }
        self.compare_revision(digest, now, outputs);
    }

    /// Requests changes if a digest names a newer revision; otherwise adopts its confirmation.
    fn compare_revision(
        &mut self,
        digest: &FleetDigest,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        if digest.revision > self.registry.revision() {
            self.request_changes(digest.sender.address, now, outputs);
        } else if let Some(age_ms) = digest.confirmation_age_ms {
            let confirmed_at = now.saturating_sub(Duration::from_millis(u64::from(age_ms)));
            self.confirmed_at =
                Some(self.confirmed_at.map_or(confirmed_at, |latest| latest.max(confirmed_at)));
        }
    }

    fn request_changes(&mut self, to: Ipv4Addr, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let recently = |at: &Duration| now.saturating_sub(*at) < PEER_REQUEST_INTERVAL;
        self.pending_change_requests.retain(|_, at| recently(at));
        if self.pending_change_requests.len() < 2 && !self.pending_change_requests.contains_key(&to)
        {
            self.pending_change_requests.insert(to, now);
            outputs
                .push(WatchOutput::RequestChanges { to, after_revision: self.registry.revision() });
        }
    }

    fn handle_changes(
        &mut self,
        from: Ipv4Addr,
        batch: Option<ChangeBatch>,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        self.pending_change_requests.remove(&from);
        let Some(batch) = batch.filter(|batch| batch.after_revision <= self.registry.revision())
        else {
            return;
        };
        let starting = self.state == FleetMemberState::Starting;
        self.apply_batch(&batch, now, outputs);
        if starting && self.state == FleetMemberState::Ready {
            self.broadcast(None, BroadcastScope::AllDataCentres, now, outputs);
        }
    }

    pub(super) fn handle_store_result(
        &mut self,
        result: std::result::Result<ChangeBatch, StoreFailure>,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        let Some(call) = self.call_in_progress.take() else { return };
        let batch = match result {
            Ok(batch) => batch,
            Err(StoreFailure::HistoryCompacted) => {
                let after_revision = self.registry.revision();
                outputs.push(WatchOutput::Event(WatchEvent::HistoryUnavailable { after_revision }));
                self.start_call(StoreCall::ReadAll { allow_stale: false }, now, outputs);
                return;
            }
            Err(StoreFailure::Failed(cause)) => {
                return self.handle_store_failure(cause, now, outputs);
            }
        };
        if self.consecutive_failures > 0 {
            let failed_calls = std::mem::take(&mut self.consecutive_failures);
            self.store_recovered_at = Some(now);
            outputs.push(WatchOutput::Event(WatchEvent::StoreRecovered { failed_calls }));
        } else if !self.is_confirmation_fresh(now) {
            // No host has confirmed the registry lately, so the store may have had an outage.
            self.store_recovered_at = Some(now);
        }
        self.report_store_batch(call.call, &batch, outputs);
        let batch = match call.call {
            StoreCall::ReadAll { .. } => self.with_implied_removals(batch, now),
            StoreCall::Watch { .. } => self.flag_spurious_removals(batch, now),
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
        let batch = (changed && batch.after_revision > 0).then_some(batch);
        self.broadcast(batch, BroadcastScope::AllDataCentres, now, outputs);
    }

    /// Reports a read of the registry, and the changes from the store that will be ignored although
    /// their content is not in force.
    fn report_store_batch(
        &mut self,
        call: StoreCall,
        batch: &ChangeBatch,
        outputs: &mut Vec<WatchOutput>,
    ) {
        if matches!(call, StoreCall::ReadAll { .. }) {
            self.registry_reads += 1;
            outputs.push(WatchOutput::Event(WatchEvent::RegistryRead {
                revision: batch.through_revision,
                known_revision: self.registry.revision(),
            }));
        }
        for change in &batch.changes {
            let Some(entry) = self.registry.entry(&change.key) else { continue };
            if change.revision > entry.revision || change.value == entry.value {
                continue;
            }
            self.ignored_changes += 1;
            outputs.push(WatchOutput::Event(WatchEvent::ChangeIgnored {
                key: change.key.clone(),
                revision: change.revision,
                known_revision: entry.revision,
            }));
        }
    }

    /// Adds removals of the entries that a complete read no longer contains.
    fn with_implied_removals(&self, mut batch: ChangeBatch, now: Duration) -> ChangeBatch {
        let possibly_spurious = self.recovered_recently(now);
        let removals = self.registry.implied_removals(
            &batch.changes,
            batch.through_revision,
            possibly_spurious,
        );
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

    /// Returns whether the store recovered within [`SPURIOUS_REMOVAL_WINDOW`].
    fn recovered_recently(&self, now: Duration) -> bool {
        self.store_recovered_at.is_some_and(|at| now.saturating_sub(at) < SPURIOUS_REMOVAL_WINDOW)
    }

    /// Applies a batch; returns true if an entry or the host's state changed.
    fn apply_batch(
        &mut self,
        batch: &ChangeBatch,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) -> bool {
        let mut changed = false;
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
            if self.registry.apply(change.clone(), now) == ApplyOutcome::Outdated {
                continue;
            }
            changed = true;
            self.report_change(&change.key, &change.value, change.revision, now, outputs);
            if let RegistryValue::Manifest(manifest) = &change.value {
                self.track_past_routes(previous_manifest.as_deref(), manifest);
            }
        }
        self.registry.mark_complete(batch.through_revision);
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
        key: &RegistryKey,
        value: &RegistryValue,
        revision: u64,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        let state = match value {
            RegistryValue::Manifest(manifest) => {
                let version = manifest.version;
                outputs.push(WatchOutput::Event(WatchEvent::ManifestApplied { version, revision }));
                return;
            }
            RegistryValue::Evacuated => "evacuated",
            RegistryValue::Upstream(registration) => match registration.state {
                crate::registry::RegisteredState::Ready => "ready",
                crate::registry::RegisteredState::Draining => "draining",
            },
            RegistryValue::Unusable => "unusable",
            RegistryValue::Removed { possibly_spurious: true } => "lapsed",
            RegistryValue::Removed { possibly_spurious: false } => "removed",
        };
        if let (RegistryKey::Evacuation(name), RegistryValue::Removed { .. }) = (key, value) {
            self.snapshot_context.evacuation_ends.insert(DataCentreId::from_name(name), now);
        }
        outputs.push(WatchOutput::Event(WatchEvent::EntryChanged {
            key: key.clone(),
            state,
            revision,
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

    /// Updates the number of local hosts and the recent peak of live hosts, by which fleet-wide
    /// rate limits are divided.
    fn update_host_counts(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let local_hosts = self.fleet.active_in(self.options.data_centre, now).count() + 1;
        if self.snapshot_context.local_hosts != local_hosts {
            self.snapshot_context.local_hosts = local_hosts;
            outputs.push(WatchOutput::InstallSnapshot);
        }
        if now.saturating_sub(self.started_at) < HOST_COUNT_DELAY {
            return;
        }
        let live_hosts = self.fleet.live(now).count() + 1;
        let (peak, reached_at) = self.peak_live_hosts;
        if live_hosts >= peak || now.saturating_sub(reached_at) > PEAK_HOSTS_RETENTION {
            self.peak_live_hosts = (live_hosts, now);
        }
        if self.snapshot_context.fleet_hosts != self.peak_live_hosts.0 {
            self.snapshot_context.fleet_hosts = self.peak_live_hosts.0;
            outputs.push(WatchOutput::InstallSnapshot);
        }
    }
}
