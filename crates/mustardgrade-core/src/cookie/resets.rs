//! Resets of open flows: what a host must have seen itself before it breaks one.

use std::time::Duration;

use super::counters::{CookieDropCause, ResetCause};
use super::flow_cookie::FlowCookie;
use super::packet::{CookieVerdict, ResetEvidence};
use super::router::{CookieRouter, FabricKind};
use super::snapshot::{CookieRoute, CookieSnapshot};
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
        let tracker = self.trackers[index].merged_with_peers(self.peer_loads[index]);
        let age = |at: Duration| (!at.is_zero()).then(|| now.saturating_sub(at));
        Some(ResetEvidence {
            unanswered_flows: tracker.unanswered_flows,
            unanswered_requests: tracker.unanswered_requests,
            presumed_unanswered_flows: tracker.presumed_unanswered_flows,
            silence: age(tracker.last_alive),
            last_unanswered_request_age: age(tracker.last_unanswered_request),
            gone_for: self.snapshot.upstreams[index].gone_at.and_then(|at| now.checked_sub(at)),
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
        // With a fabric that sprays packets, a host rarely sees the retransmissions of a flow.
        let own = self.trackers[index].without_expired_requests(options, now);
        let has_evidence = self.options.fabric == FabricKind::Any
            || own.has_own_evidence(options, now)
            || self.flows.get(&segment.key).is_some_and(|flow| flow.is_counted_unanswered);
        if !has_evidence || !own.merged_with_peers(self.peer_loads[index]).is_silent(options, now) {
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

    /// Returns whether an open flow of an upstream that has no entry may be ended: this host has
    /// found a request to the upstream unanswered.
    ///
    /// The entry alone does not show it: an upstream that was cut off from the store, or that a
    /// restored store has lost, may answer all the while. With a fabric that sprays packets, a host
    /// rarely sees the retransmissions of a flow, so no answer since the removal has to do.
    pub(super) fn is_gone_for_open_flows(
        &self,
        index: usize,
        key: &FlowKey,
        now: Duration,
    ) -> bool {
        let options = &self.options.failure_detection;
        let own = self.trackers[index].without_expired_requests(options, now);
        let of_all_hosts = own.merged_with_peers(self.peer_loads[index]);
        let gone_at = self.snapshot.upstreams[index].gone_at.unwrap_or(Duration::MAX);
        match self.options.fabric {
            FabricKind::Any => of_all_hosts.last_alive <= gone_at,
            FabricKind::Hash => {
                let has_evidence = own.recent_unanswered_requests(options, now) > 0
                    || self.flows.get(key).is_some_and(|flow| flow.is_counted_unanswered);
                has_evidence && of_all_hosts.has_lasting_unanswered_request(options, now)
            }
        }
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
