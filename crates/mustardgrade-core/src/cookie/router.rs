//! The cookie router: one for each traffic thread.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use super::counters::{CookieCounters, DiscardCause, ResetCause};
use super::load::PeerLoads;
use super::memo::{FlowMemo, FlowStage, MemoTable};
use super::packet::{CookiePacket, CookieVerdict, FlowEvent};
use super::picker::{PickOutcome, PickScratch, UpstreamPicker};
use super::pressure::WorkShares;
use super::reach::ReachTable;
use super::snapshot::{CookieRoute, CookieSnapshot};
use super::token::FlowCookie;
use super::track::{TrackOptions, UpstreamTrack};
use crate::flow::{FlowKey, FlowPacket};
use crate::registry::RepeatPolicy;

/// Time between two rounds of forgetting idle flows.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Pause of the whole thread after which nothing is concluded from missing answers.
const STALL_TIME: Duration = Duration::from_millis(250);

/// Idle time of flows while no manifest states one.
const DEFAULT_IDLE: Duration = Duration::from_secs(60);

/// `FabricKind` says to which hosts the fabric hands the packets of one flow.
#[derive(Debug, Display, FromStr, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FabricKind {
    /// Each packet to any host: an opening whose follow-up passes elsewhere is no sign of silence.
    #[default]
    #[display("any")]
    Any,
    /// All to one host while the set of hosts stays as it is.
    #[display("hash")]
    Hash,
}

/// `CookieOptions` are the settings of a [`CookieRouter`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CookieOptions {
    /// The fabric before the hosts.
    pub fabric: FabricKind,
    /// Flows that the host remembers.
    pub flow_capacity: usize,
    /// Bounds of suspicion.
    pub track: TrackOptions,
}

impl Default for CookieOptions {
    fn default() -> Self {
        Self {
            fabric: FabricKind::default(),
            flow_capacity: 65_536,
            track: TrackOptions::default(),
        }
    }
}

/// `CookieRouter` decides on each packet of a caller.
#[derive(Debug)]
pub struct CookieRouter {
    pub(super) options: CookieOptions,
    pub(super) snapshot: Arc<CookieSnapshot>,
    pub(super) tracks: Vec<UpstreamTrack>,
    pub(super) peers: Arc<PeerLoads>,
    pub(super) memos: MemoTable,
    pub(super) pending: VecDeque<(Duration, FlowKey)>,
    pub(super) requests: VecDeque<(Duration, FlowKey)>,
    pub(super) counters: CookieCounters,
    pub(super) events: Vec<FlowEvent>,
    pub(super) swept: Duration,
    pub(super) expired: Duration,
    pub(super) pressure: f64,
    pub(super) shares: WorkShares,
    pub(super) stranded: Option<Duration>,
    pub(super) reach: ReachTable,
    pub(super) told_from: usize,
    scratch: PickScratch,
}

impl CookieRouter {
    /// Creates a router that knows nothing yet.
    #[must_use]
    pub fn new(options: CookieOptions) -> Self {
        Self {
            memos: MemoTable::new(options.flow_capacity),
            options,
            snapshot: Arc::new(CookieSnapshot::default()),
            tracks: Vec::new(),
            peers: Arc::default(),
            pending: VecDeque::new(),
            requests: VecDeque::new(),
            counters: CookieCounters::default(),
            events: Vec::new(),
            swept: Duration::ZERO,
            expired: Duration::ZERO,
            pressure: 0.0,
            shares: WorkShares::default(),
            stranded: None,
            reach: ReachTable::new(),
            told_from: 0,
            scratch: PickScratch::default(),
        }
    }

    /// Returns the totals.
    #[must_use]
    pub fn counters(&self) -> &CookieCounters {
        &self.counters
    }

    /// Returns the snapshot in force.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<CookieSnapshot> {
        &self.snapshot
    }

    /// Returns what is inferred of each upstream of the snapshot, in its order.
    #[must_use]
    pub fn tracks(&self) -> &[UpstreamTrack] {
        &self.tracks
    }

    /// Tells whether the router waits for the answer to an opening.
    #[must_use]
    pub fn awaits_answers(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Moves the events since the last call to `events`.
    pub fn take_events(&mut self, events: &mut Vec<FlowEvent>) {
        events.append(&mut self.events);
    }

    /// Puts a snapshot in force; what is known of upstreams that stay is kept.
    pub fn install(&mut self, snapshot: Arc<CookieSnapshot>) {
        let known: HashMap<FlowCookie, UpstreamTrack> =
            self.tracks.iter().map(|track| (track.cookie, *track)).collect();
        let track = |cookie| known.get(&cookie).copied().unwrap_or(UpstreamTrack::new(cookie));
        self.tracks = snapshot.upstreams.iter().map(|view| track(view.cookie)).collect();
        self.snapshot = snapshot;
    }

    /// Takes in what the other hosts have inferred of upstreams.
    pub fn install_loads(&mut self, peers: Arc<PeerLoads>) {
        self.peers = peers;
    }

    /// Decides on a packet.
    pub fn route(&mut self, packet: &CookiePacket, now: Duration) -> CookieVerdict {
        let snapshot = Arc::clone(&self.snapshot);
        let verdict = match snapshot.loaded {
            false => CookieVerdict::Drop(DiscardCause::NotLoaded),
            true if packet.segment.opens_flow() => self.open(&snapshot, packet, now),
            true => self.follow(&snapshot, packet, now),
        };
        self.count(&verdict, packet);
        verdict
    }

    /// Concludes from answers that are missing, and forgets idle flows.
    ///
    /// To be called when every packet that has arrived is routed.
    pub fn sweep(&mut self, now: Duration) {
        let stalled = now.saturating_sub(self.swept) > STALL_TIME;
        self.swept = now;
        if stalled {
            // Answers may have been lost or delayed at this host itself.
            self.pending.clear();
        }
        let patience = self.options.track.opening_patience;
        while let Some((sent, key)) = self.pending.front().copied() {
            if now.saturating_sub(sent) < patience {
                break;
            }
            self.pending.pop_front();
            self.note_missing(&key, sent, now);
        }
        self.settle_requests(now);
        if now.saturating_sub(self.expired) >= EXPIRY_INTERVAL {
            self.expired = now;
            self.expire(now);
        }
    }

    fn count(&mut self, verdict: &CookieVerdict, packet: &CookiePacket) {
        match verdict {
            CookieVerdict::Forward { .. } => self.counters.forwarded += 1,
            CookieVerdict::Reset(cause) => {
                match packet.segment.opens_flow() {
                    true => self.counters.refused += 1,
                    false => self.counters.reset += 1,
                }
                let (key, cookie) = (packet.segment.key, packet.cookie);
                self.events.push(FlowEvent::Reset { key, cookie, cause: *cause });
            }
            CookieVerdict::Drop(cause) => {
                self.counters.dropped += 1;
                let (key, cookie) = (packet.segment.key, packet.cookie);
                self.events.push(FlowEvent::Discarded { key, cookie, cause: *cause });
            }
        }
    }

    /// Decides on an opening or a copy of one.
    fn open(
        &mut self,
        snapshot: &CookieSnapshot,
        packet: &CookiePacket,
        now: Duration,
    ) -> CookieVerdict {
        let segment = &packet.segment;
        // Callers number the copies of an opening in its acknowledgement field.
        let copy = segment.acknowledgement;
        let Some(route) = snapshot.routes.get(&segment.key.service) else {
            // A manifest that adds the route may be on its way; the copies will tell.
            return match copy {
                0 => CookieVerdict::Drop(DiscardCause::UnknownRoute),
                _ => CookieVerdict::Reset(ResetCause::NoRoute),
            };
        };
        let first = self.first_choice(snapshot, segment, copy, now);
        if let Some((at, true)) = first {
            return self.open_at(snapshot, at, segment, now);
        }
        let fingerprint = segment.key.fingerprint(0);
        let mut picker = UpstreamPicker {
            snapshot,
            tracks: &mut self.tracks,
            peers: &self.peers,
            options: &self.options.track,
            scratch: &mut self.scratch,
            now,
        };
        let service = UpstreamPicker::service(route, fingerprint);
        let avoid = first.map(|(at, _)| at);
        let priority = route.plan.priority;
        let outcome = service.map_or(PickOutcome::Nothing, |service| {
            picker.pick(service, fingerprint, priority, avoid)
        });
        let picked = match (outcome, first) {
            (PickOutcome::Picked(picked), _) => picked,
            (PickOutcome::Full | PickOutcome::Nothing, Some((at, _))) => {
                return self.open_at(snapshot, at, segment, now);
            }
            (PickOutcome::Full, None) => return CookieVerdict::Reset(ResetCause::NoRoom),
            (PickOutcome::Nothing, None) => return CookieVerdict::Reset(ResetCause::NoUpstream),
        };
        let key = segment.key;
        let cookie = snapshot.upstreams[picked.at].cookie;
        if let Some(from) = avoid.map(|at| snapshot.upstreams[at].cookie) {
            self.counters.redirected += 1;
            self.events.push(FlowEvent::Redirected { key, from, to: cookie });
        }
        if picked.stranded {
            self.stranded = Some(now);
        }
        self.counters.opened += 1;
        self.counters.opened_cold += u64::from(picked.cold);
        self.counters.spilled += u64::from(picked.spilled);
        self.events.push(FlowEvent::Opened {
            key,
            cookie,
            work: self.tracks[picked.at].work(),
            copy,
            cold: picked.cold,
            spilled: picked.spilled,
        });
        self.open_at(snapshot, picked.at, segment, now)
    }

    /// Returns the upstream of an earlier copy and whether this copy shall go there as well.
    fn first_choice(
        &mut self,
        snapshot: &CookieSnapshot,
        segment: &FlowPacket,
        copy: u32,
        now: Duration,
    ) -> Option<(usize, bool)> {
        let memo = *self.memos.get(&segment.key)?;
        if copy == 0 && memo.stage == FlowStage::Open {
            self.forget(&segment.key);
            return None;
        }
        let at = snapshot.find(memo.cookie)?;
        let view = &snapshot.upstreams[at];
        let track = &self.tracks[at];
        let lives = track.alive > memo.opened;
        let keep = memo.stage == FlowStage::Open || copy == 0 || lives;
        Some((at, keep && view.takes_flows(now)))
    }

    fn open_at(
        &mut self,
        snapshot: &CookieSnapshot,
        at: usize,
        segment: &FlowPacket,
        now: Duration,
    ) -> CookieVerdict {
        let cookie = snapshot.upstreams[at].cookie;
        let known = self.memos.get(&segment.key).copied();
        if known.is_some_and(|memo| memo.stage == FlowStage::Open) {
            return CookieVerdict::Forward { at, cookie };
        }
        if known.is_some() {
            self.forget(&segment.key);
        }
        if self.memos.insert(segment.key, FlowMemo::opening(cookie, segment, now)) {
            self.tracks[at].note_opening(now);
            self.pending.push_back((now, segment.key));
        }
        CookieVerdict::Forward { at, cookie }
    }

    /// Decides on a packet of an open flow.
    fn follow(
        &mut self,
        snapshot: &CookieSnapshot,
        packet: &CookiePacket,
        now: Duration,
    ) -> CookieVerdict {
        let segment = &packet.segment;
        let Some(route) = snapshot.routes.get(&segment.key.service) else {
            return match snapshot.dropped.contains(&segment.key.service) {
                true => CookieVerdict::Reset(ResetCause::RouteDropped),
                false => CookieVerdict::Drop(DiscardCause::UnknownRoute),
            };
        };
        let Some(at) = snapshot.find(packet.cookie) else {
            return CookieVerdict::Drop(DiscardCause::UnknownCookie);
        };
        let view = &snapshot.upstreams[at];
        if !route.services.contains(&view.service) {
            return CookieVerdict::Drop(DiscardCause::ForeignCookie);
        }
        self.observe(at, packet, view.cookie, now);
        if view.is_gone(now) {
            return self.give_up(route, segment);
        }
        if self.is_stuck(snapshot, route, at, segment, now) {
            self.forget(&segment.key);
            return CookieVerdict::Reset(ResetCause::UpstreamSilent);
        }
        if segment.closes_flow() {
            self.forget(&segment.key);
        }
        CookieVerdict::Forward { at, cookie: packet.cookie }
    }

    /// Tells whether a flow is better opened anew: its caller sends a repeatable request, its upstream
    /// answers nobody, and another upstream of the service does.
    fn is_stuck(
        &self,
        snapshot: &CookieSnapshot,
        route: &CookieRoute,
        at: usize,
        segment: &FlowPacket,
        now: Duration,
    ) -> bool {
        let options = &self.options.track;
        if segment.payload_length == 0 || route.plan.repeat != RepeatPolicy::Idempotent {
            return false;
        }
        let track = self.tracks[at].with_peers(self.peers.get(self.tracks[at].cookie));
        if !track.is_silent(options, now) {
            return false;
        }
        let service = snapshot.upstreams[at].service;
        let others = snapshot.by_service.get(&service).into_iter().flatten();
        let answers = |other: &&usize| {
            **other != at
                && snapshot.upstreams[**other].takes_flows(now)
                && now.saturating_sub(self.tracks[**other].alive) < options.witness_time
        };
        others.filter(answers).count() >= 1
    }

    /// Ends a flow whose upstream is gone, where that helps its caller.
    fn give_up(&mut self, route: &CookieRoute, segment: &FlowPacket) -> CookieVerdict {
        let memo = self.forget(&segment.key);
        let carried = memo.is_none_or(|memo| memo.carried_data);
        let helps = route.plan.repeat == RepeatPolicy::Idempotent || !carried;
        match helps && !segment.flags.rst {
            true => CookieVerdict::Reset(ResetCause::UpstreamGone),
            false => CookieVerdict::Drop(DiscardCause::Unreachable),
        }
    }

    pub(super) fn forget(&mut self, key: &FlowKey) -> Option<FlowMemo> {
        let memo = self.memos.remove(key)?;
        release(&self.snapshot, &mut self.tracks, &memo);
        Some(memo)
    }

    fn expire(&mut self, now: Duration) {
        let idle = match self.snapshot.idle_timeout.is_zero() {
            true => DEFAULT_IDLE,
            false => self.snapshot.idle_timeout,
        };
        let snapshot = Arc::clone(&self.snapshot);
        let tracks = &mut self.tracks;
        self.memos.expire(idle, now, |memo| release(&snapshot, tracks, memo));
    }
}

/// Takes a flow out of what is counted for its upstream.
fn release(snapshot: &CookieSnapshot, tracks: &mut [UpstreamTrack], memo: &FlowMemo) {
    let Some(at) = snapshot.find(memo.cookie) else { return };
    let track = &mut tracks[at];
    let counted = u32::from(memo.counted);
    match memo.stage {
        FlowStage::Opening => track.opening = track.opening.saturating_sub(counted),
        FlowStage::Open => {
            track.open = track.open.saturating_sub(1);
            track.busy = track.busy.saturating_sub(counted);
        }
    }
}
