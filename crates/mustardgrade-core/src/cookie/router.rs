//! Cookie-based packet router; each traffic thread has its own.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use super::admission::{AdmissionController, AdmissionMode};
use super::counters::{CookieCounters, CookieDropCause, ResetCause};
use super::ended_runs::{EndedRuns, EndedUpstreamAction};
use super::holders::HolderAnnouncements;
use super::load::{PeerLoad, PeerLoads};
use super::observed_flows::{FlowStage, ObservedFlow, ObservedFlowTable};
use super::openings::{QueuedOpening, RefusedOpening};
use super::outliers::{OutlierDetector, OutlierMode};
use super::packet::{CookiePacket, CookieVerdict, FlowEvent};
use super::picker::PickBuffers;
use super::reachability::ReachabilityTable;
use super::snapshot::CookieSnapshot;
use super::spillover::BackendSelector;
use super::startup_hold::StartupPackets;
use super::tracker::{FailureDetectionOptions, UpstreamTracker, carry_over_trackers};
use super::upstream_load::{LoadModel, RequestQueue};
use super::utilisation::LoadEstimator;
use crate::flow::{FlowKey, FlowPacket};
use crate::pace::{PaceTable, Pacing};

/// Interval at which idle flows are removed from the flow table.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time without any routing after which the host counts as stalled: openings that waited may have
/// been retransmitted to another host meanwhile.
const MIN_STALL: Duration = Duration::from_millis(150);

/// Time for which a packet may have waited at this host before its caller may have turned to
/// another host. What such a packet shows of an upstream is out of date.
const MAX_PACKET_DELAY: Duration = Duration::from_millis(250);

/// Idle timeout of flows if the manifest does not state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// `FabricKind` is how the fabric distributes the packets of one flow over the hosts.
#[derive(Debug, Display, FromStr, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FabricKind {
    /// Per packet, to any host. A missing follow-up packet of an opening is then no evidence of a
    /// failure, since another host may have received it.
    #[default]
    #[display("any")]
    Any,
    /// Per flow, all packets to one host while the set of hosts does not change.
    #[display("hash")]
    Hash,
}

/// `CookieOptions` are the settings of a [`CookieRouter`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CookieOptions {
    /// How the fabric distributes packets over the hosts.
    pub fabric: FabricKind,
    /// What becomes of packets of open flows before the first snapshot.
    pub startup_packets: StartupPackets,
    /// Maximum number of flows in the flow table.
    pub max_observed_flows: usize,
    /// Thresholds and timeouts of passive failure detection.
    pub failure_detection: FailureDetectionOptions,
    /// How openings are refused when capacity is too low.
    pub admission: AdmissionMode,
    /// How an upstream that has started or recovered is loaded.
    pub pacing: Pacing,
    /// What becomes of the open flows of an upstream that has provably ended.
    pub ended_upstreams: EndedUpstreamAction,
    /// Whether upstreams that fail a part of their requests are ejected.
    pub outlier_detection: OutlierMode,
}

impl Default for CookieOptions {
    fn default() -> Self {
        Self {
            fabric: FabricKind::default(),
            startup_packets: StartupPackets::default(),
            max_observed_flows: 65_536,
            failure_detection: FailureDetectionOptions::default(),
            admission: AdmissionMode::default(),
            pacing: Pacing::default(),
            ended_upstreams: EndedUpstreamAction::default(),
            outlier_detection: OutlierMode::default(),
        }
    }
}

/// `CookieRouter` decides for each packet of a caller whether to forward, reset or drop it.
#[derive(Debug)]
pub struct CookieRouter {
    pub(super) options: CookieOptions,
    pub(super) snapshot: Arc<CookieSnapshot>,
    pub(super) trackers: Vec<UpstreamTracker>,
    pub(super) peers: Arc<PeerLoads>,
    /// Load that the other hosts report, for each upstream of the snapshot.
    pub(super) peer_loads: Vec<PeerLoad>,
    pub(super) flows: ObservedFlowTable,
    pub(super) opening_queue: VecDeque<QueuedOpening>,
    pub(super) refused_openings: HashMap<FlowKey, RefusedOpening>,
    pub(super) request_queue: RequestQueue,
    pub(super) load_model: LoadModel,
    pub(super) counters: CookieCounters,
    pub(super) events: Vec<FlowEvent>,
    /// When all packets received so far were last known to be routed.
    pub(super) drained_at: Duration,
    /// Time after which the packet that is being routed was received.
    pub(super) received_after: Duration,
    /// When the router was last called.
    pub(super) last_called_at: Duration,
    /// Whether the host has stalled since its socket was last known to be empty.
    pub(super) has_stalled: bool,
    pub(super) last_expiry: Duration,
    pub(super) utilisation: f64,
    pub(super) load_estimator: LoadEstimator,
    pub(super) all_suspected_at: Option<Duration>,
    pub(super) reachability: ReachabilityTable,
    pub(super) report_cursor: usize,
    pub(super) pick_buffers: PickBuffers,
    pub(super) pace: PaceTable,
    pub(super) spillover: BackendSelector,
    pub(super) admission: AdmissionController,
    pub(super) ended_runs: EndedRuns,
    pub(super) holder_announcements: HolderAnnouncements,
    pub(super) outliers: OutlierDetector,
}

impl CookieRouter {
    /// Creates a router without a snapshot; it drops all packets until one is installed.
    #[must_use]
    pub fn new(options: CookieOptions) -> Self {
        Self {
            flows: ObservedFlowTable::new(options.max_observed_flows),
            options,
            snapshot: Arc::new(CookieSnapshot::default()),
            trackers: Vec::new(),
            peers: Arc::default(),
            peer_loads: Vec::new(),
            opening_queue: VecDeque::new(),
            refused_openings: HashMap::new(),
            request_queue: RequestQueue::default(),
            load_model: LoadModel::default(),
            counters: CookieCounters::default(),
            events: Vec::new(),
            drained_at: Duration::ZERO,
            received_after: Duration::ZERO,
            last_called_at: Duration::ZERO,
            has_stalled: false,
            last_expiry: Duration::ZERO,
            utilisation: 0.0,
            load_estimator: LoadEstimator::default(),
            all_suspected_at: None,
            reachability: ReachabilityTable::new(),
            report_cursor: 0,
            pick_buffers: PickBuffers::default(),
            pace: PaceTable::new(options.pacing),
            spillover: BackendSelector::default(),
            admission: AdmissionController::new(options.admission),
            ended_runs: EndedRuns::new(options.ended_upstreams),
            holder_announcements: HolderAnnouncements::default(),
            outliers: OutlierDetector::new(options.outlier_detection),
        }
    }

    /// Returns the counters since the router was created.
    #[must_use]
    pub fn counters(&self) -> &CookieCounters {
        &self.counters
    }

    /// Returns the installed snapshot.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<CookieSnapshot> {
        &self.snapshot
    }

    /// Returns the trackers of the upstreams, in the order of the snapshot.
    #[must_use]
    pub fn trackers(&self) -> &[UpstreamTracker] {
        &self.trackers
    }

    /// Returns whether any forwarded opening or request is awaiting an answer or its timeout.
    #[must_use]
    pub fn awaits_answers(&self) -> bool {
        !self.opening_queue.is_empty() || !self.request_queue.is_empty()
    }

    /// Appends the events since the last call to `events`.
    pub fn take_events(&mut self, events: &mut Vec<FlowEvent>) {
        events.append(&mut self.events);
    }

    /// Installs a snapshot; the trackers of upstreams that it still contains are kept.
    pub fn install_snapshot(&mut self, snapshot: Arc<CookieSnapshot>) {
        self.trackers = carry_over_trackers(&self.trackers, &snapshot);
        self.load_model.install_snapshot(&snapshot);
        self.snapshot = snapshot;
        self.spillover.install_snapshot(&self.snapshot);
        self.index_peer_loads();
        self.admission.configure(&self.snapshot);
        self.install_paces();
        self.install_ended_runs();
        let is_modelled = |index| self.load_model.is_modelled(index);
        self.outliers.install_snapshot(&self.snapshot, is_modelled, self.last_called_at);
    }

    /// Installs the aggregated load reports of the other hosts.
    pub fn install_peer_loads(&mut self, peers: Arc<PeerLoads>) {
        self.peers = peers;
        self.index_peer_loads();
    }

    /// Stores the reported loads by upstream index, so that openings need no look-up by cookie.
    fn index_peer_loads(&mut self) {
        self.peer_loads.clear();
        self.peer_loads.resize(self.snapshot.upstreams.len(), PeerLoad::default());
        for cookie in self.peers.upstreams() {
            let Some(index) = self.snapshot.upstream_index(cookie) else { continue };
            // The index also maps cookies of an earlier run, whose load is not that of this one.
            if self.snapshot.upstreams[index].cookie == cookie {
                let own_last_alive = self.trackers[index].last_alive;
                self.peer_loads[index] = self.peers.load(cookie, own_last_alive);
            }
        }
    }

    /// Routes one packet of a caller, which was received since the last call of
    /// [`process_timeouts`](Self::process_timeouts), and counts the verdict.
    pub fn route(&mut self, packet: &CookiePacket, now: Duration) -> CookieVerdict {
        self.route_received(packet, self.drained_at, now)
    }

    /// Routes one packet of a caller, which was received after `received_after`, and counts the
    /// verdict.
    pub fn route_received(
        &mut self,
        packet: &CookiePacket,
        received_after: Duration,
        now: Duration,
    ) -> CookieVerdict {
        let snapshot = Arc::clone(&self.snapshot);
        self.received_after = received_after;
        self.note_call(now);
        if self.is_delayed(now) {
            self.counters.packets_delayed += 1;
            self.outliers.note_disturbance(now);
        }
        let verdict = match snapshot.is_loaded {
            false => {
                if packet.segment.opens_flow() {
                    self.note_refusal(&packet.segment, now);
                }
                CookieVerdict::Drop(CookieDropCause::NotLoaded)
            }
            true if packet.segment.opens_flow() => self.route_opening(&snapshot, packet, now),
            true => self.route_established(&snapshot, packet, now),
        };
        self.record_verdict(&verdict, packet);
        verdict
    }

    /// Processes timeouts of openings and requests, and removes idle flows.
    ///
    /// Must be called only after all received packets of open flows are routed, since packets that
    /// show that an upstream has answered may be among them.
    pub fn process_timeouts(&mut self, now: Duration) {
        if now.saturating_sub(self.drained_at) > MAX_PACKET_DELAY {
            self.mark_openings_delayed();
            self.ended_runs.note_delay(now);
            self.outliers.note_disturbance(now);
        }
        self.drained_at = now;
        self.last_called_at = now;
        self.has_stalled = false;
        self.time_out_openings(now);
        self.expire_pending_requests(now);
        if now.saturating_sub(self.last_expiry) >= EXPIRY_INTERVAL {
            self.last_expiry = now;
            self.expire_flows(now);
            self.forget_refusals(now);
        }
    }

    pub(super) fn note_call(&mut self, now: Duration) {
        self.has_stalled |= now.saturating_sub(self.last_called_at) > MIN_STALL;
        self.last_called_at = now;
    }

    /// Returns whether a packet that is routed now may have waited too long at this host to show
    /// anything about its upstream.
    pub(super) fn is_delayed(&self, now: Duration) -> bool {
        now.saturating_sub(self.received_after) > MAX_PACKET_DELAY
    }

    /// Returns whether the opening that is routed now may have waited for so long that another
    /// transmission of it has reached another host.
    pub(super) fn may_be_retransmitted(&self, now: Duration) -> bool {
        self.has_stalled || now.saturating_sub(self.received_after) > MIN_STALL
    }

    pub(super) fn record_verdict(&mut self, verdict: &CookieVerdict, packet: &CookiePacket) {
        match verdict {
            CookieVerdict::Forward { .. } => self.counters.packets_forwarded += 1,
            CookieVerdict::Reset(cause) => {
                self.counters.count_reset(*cause);
                let (key, cookie) = (packet.segment.key, packet.cookie);
                self.events.push(FlowEvent::Reset { key, cookie, cause: *cause });
            }
            CookieVerdict::Drop(cause) => {
                self.counters.packets_dropped += 1;
                let (key, cookie) = (packet.segment.key, packet.cookie);
                self.events.push(FlowEvent::Dropped { key, cookie, cause: *cause });
            }
        }
    }

    /// Routes a packet of an open flow by its cookie.
    fn route_established(
        &mut self,
        snapshot: &CookieSnapshot,
        packet: &CookiePacket,
        now: Duration,
    ) -> CookieVerdict {
        let segment = &packet.segment;
        let Some(route) = snapshot.routes.get(&segment.key.service) else {
            return match self.has_lost_route(snapshot, segment) {
                true => CookieVerdict::Reset(ResetCause::RouteDropped),
                false => CookieVerdict::Drop(CookieDropCause::UnknownRoute),
            };
        };
        let cookie = self.holder_cookie(snapshot, packet);
        let former_run =
            || snapshot.former_run_index(cookie).filter(|_| self.ended_runs.resets_flows());
        let Some(index) = snapshot.upstream_index(cookie).or_else(former_run) else {
            return CookieVerdict::Drop(CookieDropCause::UnknownCookie);
        };
        let view = &snapshot.upstreams[index];
        if !route.allowed_services.contains(&view.service) {
            return CookieVerdict::Drop(CookieDropCause::ForeignCookie);
        }
        self.observe_segment(index, packet, view.cookie, now);
        if segment.closes_flow() {
            self.remove_flow(&segment.key);
        }
        if self.resets_ended_flow(index, packet, now) {
            self.remove_flow(&segment.key);
            return CookieVerdict::Reset(ResetCause::UpstreamEnded);
        }
        CookieVerdict::Forward { index, cookie }
    }

    /// Returns whether a manifest has dropped the route of a flow that was open before.
    ///
    /// Other hosts may follow a newer manifest that has the route again; what they have opened by
    /// it is unknown here. A flow that this host has observed passed it while it had the route; a
    /// later one from the same address is told apart by its sequence numbers.
    fn has_lost_route(&self, snapshot: &CookieSnapshot, segment: &FlowPacket) -> bool {
        let observed = self.flows.get(&segment.key);
        snapshot.dropped_routes.contains(&segment.key.service)
            && observed.is_some_and(|flow| flow.includes(segment))
    }

    pub(super) fn remove_flow(&mut self, key: &FlowKey) -> Option<ObservedFlow> {
        let flow = self.flows.remove(key)?;
        uncount_flow(&self.snapshot, &mut self.trackers, &flow);
        Some(flow)
    }

    fn expire_flows(&mut self, now: Duration) {
        let idle_timeout = match self.snapshot.idle_timeout.is_zero() {
            true => DEFAULT_IDLE_TIMEOUT,
            false => self.snapshot.idle_timeout,
        };
        let snapshot = Arc::clone(&self.snapshot);
        let trackers = &mut self.trackers;
        self.flows.expire(idle_timeout, now, |flow| uncount_flow(&snapshot, trackers, flow));
    }
}

/// Removes a flow from the counts of its upstream's tracker.
fn uncount_flow(snapshot: &CookieSnapshot, trackers: &mut [UpstreamTracker], flow: &ObservedFlow) {
    let Some(index) = snapshot.running_index(flow.cookie) else { return };
    let tracker = &mut trackers[index];
    let counted_in_flight = u32::from(flow.is_counted_in_flight);
    match flow.stage {
        FlowStage::Opening => {
            tracker.pending_openings = tracker.pending_openings.saturating_sub(counted_in_flight)
        }
        FlowStage::Open => {
            tracker.open_flows = tracker.open_flows.saturating_sub(1);
            tracker.pending_requests = tracker.pending_requests.saturating_sub(counted_in_flight);
        }
    }
}
