//! Openings of flows: the choice of an upstream, retransmissions, and the timeout of the answer.

use std::time::Duration;

use super::admission::AdmissionDecision;
use super::counters::{CookieDropCause, ResetCause};
use super::observed_flows::{FlowStage, ObservedFlow};
use super::packet::{CookiePacket, CookieVerdict, FlowEvent};
use super::picker::{PickOutcome, PickedUpstream, UpstreamPicker};
use super::router::{CookieRouter, FabricKind};
use super::snapshot::CookieSnapshot;
use super::spillover::{SpilloverLog, SplitOpening};
use crate::flow::{FlowKey, FlowPacket};

/// Time for which a refused opening is remembered; a caller's attempt ends sooner.
const REFUSAL_RETENTION: Duration = Duration::from_secs(2);

/// `QueuedOpening` is a forwarded opening whose timeout has not been processed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct QueuedOpening {
    pub(super) key: FlowKey,
    pub(super) sent_at: Duration,
    /// Whether the opening was delayed at this host, so that its caller may have turned to another
    /// one.
    pub(super) is_delayed: bool,
}

/// `RefusedOpening` is an opening of which this host has received each transmission so far, and
/// forwarded none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RefusedOpening {
    /// Sequence number, which distinguishes the openings of one address.
    sequence: u32,
    /// Number of the latest retransmission.
    retransmission: u32,
    refused_at: Duration,
}

/// `PreviousUpstream` is the upstream of an earlier transmission of an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PreviousUpstream {
    /// Index in the snapshot.
    index: usize,
    /// Whether this transmission is to be sent there as well.
    is_kept: bool,
}

impl CookieRouter {
    /// Routes an opening or its retransmission.
    pub(super) fn route_opening(
        &mut self,
        snapshot: &CookieSnapshot,
        packet: &CookiePacket,
        now: Duration,
    ) -> CookieVerdict {
        let segment = &packet.segment;
        // Callers number the retransmissions of an opening in its acknowledgement field.
        let retransmission = segment.acknowledgement;
        let Some(route) = snapshot.routes.get(&segment.key.service) else {
            let verdict = self.refuse_opening(segment, ResetCause::NoRoute, now);
            // A manifest that adds the route may still arrive before the opening is retransmitted.
            return match retransmission {
                0 => CookieVerdict::Drop(CookieDropCause::UnknownRoute),
                _ => verdict,
            };
        };
        if self.has_opened(segment) {
            return CookieVerdict::Drop(CookieDropCause::AlreadyOpen);
        }
        let previous = self.previous_upstream(snapshot, segment, retransmission, now);
        if let Some(previous) = previous.filter(|previous| previous.is_kept) {
            return self.forward_opening(snapshot, previous.index, segment, now);
        }
        let fingerprint = segment.key.fingerprint(0);
        let service = UpstreamPicker::pick_service(route, fingerprint);
        let mut picker = UpstreamPicker {
            snapshot,
            trackers: &mut self.trackers,
            peers: &self.peer_loads,
            load_model: &self.load_model,
            detection: &self.options.failure_detection,
            pace: &mut self.pace,
            outliers: &mut self.outliers,
            buffers: &mut self.pick_buffers,
            admission: AdmissionDecision::ByLoad,
            now,
        };
        let exclude = previous.map(|previous| previous.index);
        let priority = route.config.priority;
        let outcome = match service {
            Some(_) if self.spillover.places(&segment.key.service) => {
                let (counters, events) = (&mut self.counters, &mut self.events);
                let mut log = SpilloverLog { counters, events };
                let opening = SplitOpening { route, segment, fingerprint, exclude };
                self.spillover.pick(&mut picker, &mut self.admission, &opening, &mut log)
            }
            Some(service) => {
                picker.admission = self.admission.decide_opening(service, segment, fingerprint);
                picker.pick(service, fingerprint, priority, exclude)
            }
            None => PickOutcome::NoUpstream,
        };
        let picked = match (outcome, exclude) {
            (PickOutcome::Picked(picked), _) => picked,
            (PickOutcome::NoRoom | PickOutcome::NoUpstream, Some(index)) => {
                return self.forward_opening(snapshot, index, segment, now);
            }
            (PickOutcome::NoRoom, None) => {
                self.counters.count_opening(priority, false);
                return self.refuse_opening(segment, ResetCause::NoRoom, now);
            }
            (PickOutcome::NoUpstream, None) => {
                return self.refuse_opening(segment, ResetCause::NoUpstream, now);
            }
        };
        if picked.all_suspected {
            self.all_suspected_at = Some(now);
        }
        self.counters.count_opening(priority, true);
        self.record_pick(snapshot, segment, picked, exclude);
        self.forward_opening(snapshot, picked.index, segment, now)
    }

    /// Returns whether the opening is a late transmission of that of an open flow. An entry of an
    /// earlier flow from the same address is removed.
    fn has_opened(&mut self, segment: &FlowPacket) -> bool {
        let Some(flow) = self.flows.get(&segment.key) else { return false };
        if flow.stage != FlowStage::Open {
            return false;
        }
        let has_opened = flow.continues_opening(segment);
        if !has_opened {
            self.remove_flow(&segment.key);
        }
        has_opened
    }

    /// Returns the verdict on an opening that cannot be forwarded: a reset, unless another
    /// transmission of it may have opened the flow through another host.
    fn refuse_opening(
        &mut self,
        segment: &FlowPacket,
        cause: ResetCause,
        now: Duration,
    ) -> CookieVerdict {
        let knows_earlier_transmissions = self.note_refusal(segment, now);
        match knows_earlier_transmissions && !self.may_be_retransmitted(now) {
            true => CookieVerdict::Reset(cause),
            false => CookieVerdict::Drop(CookieDropCause::MayBeOpen),
        }
    }

    /// Drops an opening that has waited for too long at this host.
    pub fn shed_opening(&mut self, packet: &CookiePacket, now: Duration) {
        self.note_call(now);
        self.note_refusal(&packet.segment, now);
        self.counters.openings_shed += 1;
        let verdict = CookieVerdict::Drop(CookieDropCause::Overloaded);
        self.record_verdict(&verdict, packet);
    }

    /// Remembers that a transmission of an opening is not forwarded; returns whether this host has
    /// received all earlier ones, and forwarded none.
    pub(super) fn note_refusal(&mut self, segment: &FlowPacket, now: Duration) -> bool {
        let retransmission = segment.acknowledgement;
        let known = self.refused_openings.get(&segment.key);
        let latest = known
            .filter(|refused| refused.sequence == segment.sequence)
            .map(|refused| refused.retransmission);
        if retransmission > latest.map_or(0, |latest| latest.saturating_add(1)) {
            return false;
        }
        let refused = RefusedOpening {
            sequence: segment.sequence,
            retransmission: latest.unwrap_or_default().max(retransmission),
            refused_at: now,
        };
        let has_room = self.refused_openings.len() < self.options.max_observed_flows;
        if has_room || known.is_some() {
            self.refused_openings.insert(segment.key, refused);
        }
        true
    }

    /// Forgets refused openings whose callers have given up.
    pub(super) fn forget_refusals(&mut self, now: Duration) {
        self.refused_openings
            .retain(|_, refused| now.saturating_sub(refused.refused_at) <= REFUSAL_RETENTION);
    }

    /// Counts and reports that an opening was assigned to an upstream, instead of `previous` if
    /// there was one.
    fn record_pick(
        &mut self,
        snapshot: &CookieSnapshot,
        segment: &FlowPacket,
        picked: PickedUpstream,
        previous: Option<usize>,
    ) {
        let key = segment.key;
        let cookie = snapshot.upstreams[picked.index].cookie;
        if let Some(from) = previous.map(|index| snapshot.upstreams[index].cookie) {
            self.counters.openings_redirected += 1;
            self.events.push(FlowEvent::Redirected { key, from, to: cookie });
        }
        self.counters.flows_opened += 1;
        self.counters.flows_opened_cold += u64::from(picked.cold);
        self.counters.flows_spilled += u64::from(picked.spilled);
        self.events.push(FlowEvent::Opened {
            key,
            cookie,
            in_flight: self.trackers[picked.index].in_flight(),
            retransmission: segment.acknowledgement,
            cold: picked.cold,
            spilled: picked.spilled,
        });
    }

    /// Returns the upstream of an earlier transmission of the opening, if there was one.
    fn previous_upstream(
        &self,
        snapshot: &CookieSnapshot,
        segment: &FlowPacket,
        retransmission: u32,
        now: Duration,
    ) -> Option<PreviousUpstream> {
        let flow = *self.flows.get(&segment.key)?;
        let index = snapshot.upstream_index(flow.cookie)?;
        let view = &snapshot.upstreams[index];
        let tracker = &self.trackers[index];
        let is_alive = tracker.last_alive > flow.opened_at;
        // Both transmissions may have waited at this host together; the upstream had no time then.
        let is_early = self.is_delayed(now) && self.received_after < flow.opened_at;
        let keeps_upstream = retransmission == 0 || is_alive || is_early;
        Some(PreviousUpstream { index, is_kept: keeps_upstream && view.accepts_flows(now) })
    }

    fn forward_opening(
        &mut self,
        snapshot: &CookieSnapshot,
        index: usize,
        segment: &FlowPacket,
        now: Duration,
    ) -> CookieVerdict {
        let cookie = snapshot.upstreams[index].cookie;
        let is_contested = self.is_contested_opening(snapshot, segment, index);
        self.remove_flow(&segment.key);
        let flow = ObservedFlow { is_contested, ..ObservedFlow::opening(cookie, segment, now) };
        if self.flows.insert(segment.key, flow) {
            self.trackers[index].record_opening(now);
            let is_delayed = self.is_delayed(now);
            let opening = QueuedOpening { key: segment.key, sent_at: now, is_delayed };
            self.opening_queue.push_back(opening);
        }
        CookieVerdict::Forward { index, cookie }
    }

    /// Notes that the answers to the forwarded openings may have been lost or delayed at this host.
    pub(super) fn mark_openings_delayed(&mut self) {
        for opening in &mut self.opening_queue {
            opening.is_delayed = true;
        }
    }

    /// Processes the timeouts of the openings that were forwarded long enough ago.
    pub(super) fn time_out_openings(&mut self, now: Duration) {
        let timeout = self.options.failure_detection.opening_timeout;
        while let Some(opening) = self.opening_queue.front().copied() {
            if now.saturating_sub(opening.sent_at) < timeout {
                break;
            }
            self.opening_queue.pop_front();
            self.time_out_opening(&opening, now);
        }
    }

    /// Processes the timeout of an opening; without a follow-up packet it counts as unanswered.
    fn time_out_opening(&mut self, opening: &QueuedOpening, now: Duration) {
        let Some(flow) = self.flows.get_mut(&opening.key) else { return };
        if flow.stage != FlowStage::Opening || flow.opened_at != opening.sent_at {
            return;
        }
        let counted_in_flight = std::mem::take(&mut flow.is_counted_in_flight);
        let Some(index) = self.snapshot.running_index(flow.cookie) else { return };
        // The opening no longer counts as in flight, since its caller may have given up.
        let pending_openings = &mut self.trackers[index].pending_openings;
        *pending_openings = pending_openings.saturating_sub(u32::from(counted_in_flight));
        if opening.is_delayed {
            self.counters.openings_delayed += 1;
        } else if self.options.fabric == FabricKind::Hash {
            self.record_unanswered(index, opening.sent_at, now);
        }
    }
}
