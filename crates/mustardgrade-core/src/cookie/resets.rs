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

/// `OwnEvidence` is what a host itself has found unanswered at the upstream of a flow. Reports of
/// other hosts may be wrong, so they do not suffice to break a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnEvidence {
    /// Nothing, or too long ago.
    Missing,
    /// A request of this flow.
    ThisFlow {
        /// When its last new payload was forwarded.
        since: Duration,
    },
    /// So many flows that others may be reset. Under a fabric that sprays packets, a host rarely
    /// sees retransmissions, so no evidence is asked of it.
    SeveralFlows,
}

impl CookieRouter {
    /// Returns what this host knows of the upstream of a flow that it resets.
    pub(super) fn reset_evidence(
        &self,
        cookie: FlowCookie,
        now: Duration,
    ) -> Option<ResetEvidence> {
        let index = self.snapshot.upstream_index(cookie)?;
        let tracker = self.tracker_of_all_hosts(index, now);
        let age = |at: Duration| (!at.is_zero()).then(|| now.saturating_sub(at));
        Some(ResetEvidence {
            unanswered_flows: tracker.unanswered_flows,
            unanswered_requests: tracker.unanswered_requests,
            presumed_unanswered_flows: tracker.presumed_unanswered_flows,
            silence: age(tracker.last_alive),
            last_unanswered_request_age: age(tracker.last_unanswered_request),
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

    /// Returns whether to reset an open flow so that its caller reconnects: the packet carries a
    /// request of an idempotent route, the upstream is silent, and another upstream of the service
    /// answers. This host itself must have found the request, or those of several other open flows,
    /// unanswered.
    pub(super) fn should_reset_silent(
        &self,
        snapshot: &CookieSnapshot,
        route: &CookieRoute,
        index: usize,
        segment: &FlowPacket,
        now: Duration,
    ) -> bool {
        let options = &self.options.failure_detection;
        if segment.payload_length == 0 || route.config.retry_policy != RetryPolicy::Idempotent {
            return false;
        }
        if self.own_evidence(index, &segment.key, now) == OwnEvidence::Missing
            || !self.tracker_of_all_hosts(index, now).is_silent(options, now)
        {
            return false;
        }
        let service = snapshot.upstreams[index].service;
        let alternatives = snapshot.upstreams_by_service.get(&service).into_iter().flatten();
        let is_alive = |other: &&usize| {
            **other != index
                && snapshot.upstreams[**other].accepts_flows(now)
                && now.saturating_sub(self.trackers[**other].last_alive)
                    < options.alternative_alive_window
        };
        alternatives.filter(is_alive).count() >= 1
    }

    /// Returns the tracker of an upstream with what the other hosts report of it.
    fn tracker_of_all_hosts(&self, index: usize, now: Duration) -> UpstreamTracker {
        self.trackers[index]
            .without_expired_requests(&self.options.failure_detection, now)
            .merged_with_peers(self.peer_loads[index])
    }

    /// Returns what this host itself has found unanswered at a flow's upstream, if no host has been
    /// answered since.
    fn own_evidence(&self, index: usize, key: &FlowKey, now: Duration) -> OwnEvidence {
        let options = &self.options.failure_detection;
        let tracker = &self.trackers[index];
        if self.options.fabric == FabricKind::Any {
            return OwnEvidence::SeveralFlows;
        }
        if tracker.unanswered_requests == 0 && tracker.presumed_unanswered_flows == 0 {
            return OwnEvidence::Missing;
        }
        let own = tracker
            .without_expired_requests(options, now)
            .cleared_by_answer(self.peer_loads[index].last_alive);
        if own.has_own_evidence(options, now) {
            return OwnEvidence::SeveralFlows;
        }
        let flow = self.flows.get(key).filter(|flow| flow.is_counted_unanswered);
        match flow.filter(|_| own.unanswered_requests > 0) {
            Some(flow) => OwnEvidence::ThisFlow { since: flow.last_data_sent_at },
            None => OwnEvidence::Missing,
        }
    }

    /// Returns whether an open flow of an upstream that has no entry may be ended: its request, or
    /// those of several other flows, have stayed unanswered at this host.
    ///
    /// The entry alone does not show it: an upstream that was cut off from the store, or that a
    /// restored store has lost, may answer all the while. With a fabric that sprays packets, no
    /// answer since the removal has to do.
    pub(super) fn may_end_flow_without_entry(
        &self,
        index: usize,
        segment: &FlowPacket,
        now: Duration,
    ) -> bool {
        let options = &self.options.failure_detection;
        if self.options.fabric == FabricKind::Any {
            let last_alive = self.tracker_of_all_hosts(index, now).last_alive;
            let gone_at = self.snapshot.upstreams[index].gone_at;
            return gone_at.is_some_and(|gone_at| last_alive <= gone_at);
        }
        let has_lasted = match self.own_evidence(index, &segment.key, now) {
            OwnEvidence::Missing => false,
            OwnEvidence::ThisFlow { since } => now.saturating_sub(since) >= options.silence_timeout,
            OwnEvidence::SeveralFlows => true,
        };
        has_lasted
            && segment.payload_length > 0
            && self.tracker_of_all_hosts(index, now).has_lasting_unanswered_request(options, now)
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
