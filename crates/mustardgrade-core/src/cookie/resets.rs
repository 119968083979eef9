//! Resets of open flows: what a host must have seen itself before it breaks one.

use std::time::Duration;

use super::counters::{CookieDropCause, ResetCause};
use super::flow_cookie::FlowCookie;
use super::packet::{CookieVerdict, ResetEvidence};
use super::router::{CookieRouter, FabricKind};
use super::snapshot::{CookieRoute, CookieSnapshot};
use super::tracker::UpstreamTracker;
use crate::flow::{FlowKey, FlowPacket};
use crate::registry::RetryPolicy;

impl CookieRouter {
    /// Returns what this host knows of the upstream of a flow that it resets.
    pub(super) fn reset_evidence(
        &self,
        cookie: FlowCookie,
        now: Duration,
    ) -> Option<ResetEvidence> {
        let index = self.snapshot.upstream_index(cookie)?;
        let tracker = self.tracker_of_all_hosts(index);
        let age = |at: Duration| (!at.is_zero()).then(|| now.saturating_sub(at));
        Some(ResetEvidence {
            unanswered_flows: tracker.unanswered_flows,
            presumed_unanswered_flows: tracker.presumed_unanswered_flows,
            silence: age(tracker.last_alive),
            gone_for: self.snapshot.upstreams[index].gone_at.and_then(|at| now.checked_sub(at)),
            last_delayed_packet_age: age(self.last_delayed_packet),
        })
    }

    /// Returns whether a manifest has dropped the route of a flow that was open before.
    ///
    /// Other hosts may follow a newer manifest that has the route again; what they have opened by
    /// it is unknown here. A flow that this host has observed passed it while it had the route.
    pub(super) fn has_lost_route(&self, snapshot: &CookieSnapshot, key: &FlowKey) -> bool {
        snapshot.dropped_routes.contains(&key.service) && self.flows.get(key).is_some()
    }

    /// Returns the tracker of an upstream with what the other hosts report of it.
    fn tracker_of_all_hosts(&self, index: usize) -> UpstreamTracker {
        self.trackers[index].merged_with_peers(self.peer_loads[index])
    }

    /// Returns whether an open flow may be ended: its upstream has announced that it leaves, its entry
    /// has been removed, and it does not answer.
    ///
    /// Neither silence nor a missing entry shows by itself that an upstream is gone: a slow one may
    /// take long to answer, and one that was cut off from the store may serve all the while.
    pub(super) fn may_end_flow(&self, index: usize, segment: &FlowPacket, now: Duration) -> bool {
        let view = &self.snapshot.upstreams[index];
        if !view.has_announced_departure || !view.is_gone(now) {
            return false;
        }
        let last_alive = self.tracker_of_all_hosts(index).last_alive;
        if self.options.fabric == FabricKind::Any {
            // Under a fabric that sprays packets, a host rarely sees retransmissions.
            return view.gone_at.is_some_and(|gone_at| last_alive <= gone_at);
        }
        let timeout = self.options.failure_detection.silence_timeout;
        let has_lasted = |since: Duration| now.saturating_sub(since) >= timeout;
        let flow = self.flows.get(&segment.key).filter(|flow| flow.is_counted_unanswered);
        segment.payload_length > 0
            && flow.is_some_and(|flow| has_lasted(flow.last_data_sent_at))
            && has_lasted(last_alive)
    }

    /// Ends a flow whose upstream is gone; the caller gets a reset only if it can safely repeat its
    /// request and has not reset the flow itself.
    pub(super) fn end_gone_flow(
        &mut self,
        route: &CookieRoute,
        segment: &FlowPacket,
    ) -> CookieVerdict {
        let flow = self.remove_flow(&segment.key);
        let may_have_run = flow.is_none_or(|flow| flow.has_carried_data);
        let is_reset_useful = route.config.retry_policy == RetryPolicy::Idempotent || !may_have_run;
        match is_reset_useful && !segment.flags.rst {
            true => CookieVerdict::Reset(ResetCause::UpstreamGone),
            false => CookieVerdict::Drop(CookieDropCause::Unreachable),
        }
    }
}
