//! The controller of a host's registry replica, free of I/O.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::events::{StoreCall, WatchEvent, WatchInput, WatchOutput};
use super::fleet_view::FleetView;
use super::gossip::BroadcastScope;
use super::message::{ChangeBatch, FleetMemberState, FleetMessage, saturating_millis};
use super::options::WatchOptions;
use super::peer_loads::PeerLoadTable;
use super::route_services::RouteServicesWriter;
use super::status::WatchStatus;
use super::store_calls::is_seed_host;
use crate::cookie::{CookieSnapshot, SnapshotContext, build_cookie_snapshot};
use crate::registry::{RegistryTable, StorePosition};

/// Interval between regular digests.
const DIGEST_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two ticks above which the host counts as stalled; confirmations from before the
/// stall are discarded.
const STALL_THRESHOLD: Duration = Duration::from_millis(1_000);

/// Time between two ticks above which messages may have waited at this host itself. What they say
/// counts from their arrival, which is not known then.
const MAX_MESSAGE_DELAY: Duration = Duration::from_millis(500);

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
    /// Whether the last tick was so late that messages from before it may still be waiting.
    pub(super) last_tick_late: bool,
    pub(super) confirmed_at: Option<Duration>,
    pub(super) call_in_progress: Option<CallInProgress>,
    pub(super) next_call_at: Duration,
    pub(super) next_digest_at: Duration,
    pub(super) next_introduction_at: Duration,
    pub(super) next_probe_at: Duration,
    pub(super) watching: bool,
    pub(super) consecutive_failures: u32,
    /// When the first of the consecutive failures was noticed.
    pub(super) first_failure_at: Duration,
    pub(super) store_recovered_at: Option<Duration>,
    pub(super) pending_change_requests: HashMap<Ipv4Addr, Duration>,
    pub(super) first_read_at: Duration,
    pub(super) snapshot_context: SnapshotContext,
    pub(super) route_services: RouteServicesWriter,
    /// Whether the manifest or the stored services may have changed since they were compared.
    pub(super) services_changed: bool,
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
            last_tick_late: false,
            confirmed_at: None,
            call_in_progress: None,
            next_call_at: now,
            next_digest_at: now,
            next_introduction_at: now,
            next_probe_at: now,
            watching: false,
            consecutive_failures: 0,
            first_failure_at: now,
            store_recovered_at: None,
            pending_change_requests: HashMap::new(),
            first_read_at,
            snapshot_context,
            route_services: RouteServicesWriter::default(),
            services_changed: false,
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
            position: self.registry.position(),
            manifest_version: self.registry.manifest_version(),
            confirmation_age: self.confirmed_at.map(|at| now.saturating_sub(at)),
            watching: self.watching,
            live_hosts: self.fleet.live(now).count() + 1,
            store_calls: self.store_calls,
            registry_reads: self.registry_reads,
            ignored_changes: self.ignored_changes,
            service_writes: self.route_services.counters(),
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

    /// Returns the changes after a position, which another host has requested.
    ///
    /// The batch holds all entries if the changes since then are not known in full.
    #[must_use]
    pub fn changes_after(&self, after: StorePosition, now: Duration) -> ChangeBatch {
        let (changes, incremental) = self.registry.changes_since(after, now);
        let after = if incremental { after } else { StorePosition::ORIGIN };
        ChangeBatch { after, through: self.registry.position(), changes }
    }

    /// Processes an input and appends the resulting actions to `outputs`.
    pub fn handle(&mut self, input: WatchInput, now: Duration, outputs: &mut Vec<WatchOutput>) {
        match input {
            WatchInput::Tick => self.handle_tick(now, outputs),
            WatchInput::Message(message) => self.handle_message(&message, now, outputs),
            WatchInput::Changes { from, batch } => self.handle_changes(from, batch, now, outputs),
            WatchInput::StoreResult(result) => self.handle_store_result(result, now, outputs),
            WatchInput::WriteResult(result) => self.handle_write_result(result, now, outputs),
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
        self.write_services_if_due(now, outputs);
    }

    fn handle_tick(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let elapsed = now.saturating_sub(self.last_tick_at);
        self.last_tick_at = now;
        self.note_lateness(elapsed, outputs);
        if elapsed > STALL_THRESHOLD {
            self.handle_stall(elapsed, outputs);
        }
        self.time_out_call(now, outputs);
        if self.peer_loads.remove_expired(now) {
            outputs.push(WatchOutput::InstallPeerLoads(self.peer_loads.total()));
        }
        self.apply_deferred_changes(now, outputs);
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

    /// Returns whether a message that is handled now may have waited at this host.
    pub(super) fn is_behind(&self, now: Duration) -> bool {
        self.last_tick_late || now.saturating_sub(self.last_tick_at) > MAX_MESSAGE_DELAY
    }

    /// Notes whether the tick was late, and reports when ticks begin or cease to be.
    fn note_lateness(&mut self, elapsed: Duration, outputs: &mut Vec<WatchOutput>) {
        let late = elapsed > MAX_MESSAGE_DELAY;
        if late != self.last_tick_late {
            self.last_tick_late = late;
            let elapsed_ms = saturating_millis(elapsed);
            outputs.push(WatchOutput::Event(WatchEvent::LatenessChanged { late, elapsed_ms }));
        }
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
        if let FleetMessage::Load(from, report) = message
            && !self.is_behind(now)
        {
            self.peer_loads.record(*from, report.clone(), now);
            outputs.push(WatchOutput::InstallPeerLoads(self.peer_loads.total()));
        }
        if let FleetMessage::Holders(holders) = message {
            self.peer_loads.record_holders(holders, now);
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
            && self.registry.position().continues_with(batch.after)
            && self.apply_batch(batch, now, outputs)
        {
            let scope = match digest.sender.data_centre == self.options.data_centre {
                true => BroadcastScope::LocalSample,
                false => BroadcastScope::LocalDataCentre,
            };
            self.broadcast(Some(batch.clone()), scope, now, outputs);
        }
        self.compare_position(digest, now, outputs);
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
