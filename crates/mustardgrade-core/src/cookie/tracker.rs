//! Passive load and failure tracking of one upstream, from the callers' packets only.
//!
//! Answers do not pass through the host (direct server return). A caller that acknowledges new
//! bytes shows that its upstream is alive; an opening without a follow-up packet, or a
//! retransmitted payload, suggests that it is not.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::flow_cookie::FlowCookie;
use super::load::PeerLoad;
use super::snapshot::CookieSnapshot;
use super::upstream_view::UpstreamView;
use crate::identity::rendezvous_score;

/// Maximum multiple of the probe interval between two probes of one host; with the default interval
/// of 1 s, each host probes an upstream that recovers within 8 s, even if it hears no other host.
const MAX_INTERVAL_MULTIPLE: u32 = 8;

/// `FailureDetectionOptions` are the thresholds and timeouts of passive failure detection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDetectionOptions {
    /// Timeout after which an opening without a follow-up packet counts as unanswered; in normal
    /// operation the follow-up packet arrives within it.
    pub opening_timeout: Duration,
    /// Time after which a pending opening makes the picker prefer other upstreams.
    pub slow_opening_threshold: Duration,
    /// Number of unanswered flows, with no answer in between, from which an upstream is suspected.
    pub suspect_min_unanswered: u32,
    /// Interval between new flows that probe a suspected upstream; it doubles with each probe.
    pub probe_interval: Duration,
}

impl Default for FailureDetectionOptions {
    fn default() -> Self {
        Self {
            opening_timeout: Duration::from_millis(70),
            slow_opening_threshold: Duration::from_millis(20),
            suspect_min_unanswered: 2,
            probe_interval: Duration::from_millis(1_000),
        }
    }
}

/// `UpstreamTracker` is a host's estimate of the load and liveness of one run of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamTracker {
    /// Cookie of the upstream.
    pub cookie: FlowCookie,
    /// Forwarded openings without a follow-up packet so far.
    pub pending_openings: u32,
    /// When the first opening was forwarded after the upstream was last known to be alive.
    pub pending_openings_since: Duration,
    /// Open flows that this host has observed.
    pub open_flows: u32,
    /// Requests in flight at the upstream.
    pub pending_requests: u32,
    /// Requests and openings in flight when this host last built a load report.
    pub reported_in_flight: u32,
    /// When the upstream last showed that it is alive; zero if it never did.
    pub last_alive: Duration,
    /// Unanswered flows since then.
    pub unanswered_flows: u32,
    /// When the earliest of their unanswered packets was forwarded.
    pub unanswered_since: Duration,
    /// Unanswered flows that are presumed while the whole data centre is unreachable.
    pub presumed_unanswered_flows: u32,
    /// Since when the data centre has been unreachable.
    pub presumed_since: Duration,
    /// When a new flow last probed the upstream while it was suspected.
    pub last_probe: Duration,
    /// Probes since the upstream was last known to be alive.
    pub probe_count: u32,
    /// Earliest time at which this host may assign the next flow while the upstream is cold; zero
    /// before the first flow of a cold period.
    pub next_cold_flow_at: Duration,
}

impl UpstreamTracker {
    /// Creates the tracker of an upstream without any observations.
    #[must_use]
    pub fn new(cookie: FlowCookie) -> Self {
        Self {
            cookie,
            pending_openings: 0,
            pending_openings_since: Duration::ZERO,
            open_flows: 0,
            pending_requests: 0,
            reported_in_flight: 0,
            last_alive: Duration::ZERO,
            unanswered_flows: 0,
            unanswered_since: Duration::ZERO,
            presumed_unanswered_flows: 0,
            presumed_since: Duration::ZERO,
            last_probe: Duration::ZERO,
            probe_count: 0,
            next_cold_flow_at: Duration::ZERO,
        }
    }

    /// Records that an opening was forwarded.
    pub fn record_opening(&mut self, now: Duration) {
        if self.pending_openings == 0 || self.pending_openings_since <= self.last_alive {
            self.pending_openings_since = now;
        }
        self.pending_openings += 1;
    }

    /// Returns whether an opening has been pending for longer than the threshold for slow openings,
    /// which openings do not reach in normal operation.
    #[must_use]
    pub fn has_slow_opening(&self, options: &FailureDetectionOptions, now: Duration) -> bool {
        self.pending_openings > 0
            && self.pending_openings_since > self.last_alive
            && now.saturating_sub(self.pending_openings_since) > options.slow_opening_threshold
    }

    /// Records that the upstream was alive at `at`: a caller has acknowledged bytes that it sent at
    /// that time.
    pub fn record_alive(&mut self, at: Duration) {
        self.last_alive = self.last_alive.max(at);
        if at >= self.unanswered_since {
            self.unanswered_flows = 0;
        }
        if at >= self.presumed_since {
            self.presumed_unanswered_flows = 0;
        }
        if self.unanswered_flows.max(self.presumed_unanswered_flows) == 0 {
            self.probe_count = 0;
        }
    }

    /// Returns when the earliest unanswered packet was forwarded, if there is one.
    #[must_use]
    pub fn unanswered_since(&self) -> Option<Duration> {
        (self.unanswered_flows > 0).then_some(self.unanswered_since)
    }

    /// Presumes `flows` unanswered flows since `since`, when the whole data centre became
    /// unreachable, unless the upstream was alive after that.
    pub fn presume_unanswered(&mut self, since: Duration, flows: u32) {
        if self.last_alive <= since {
            self.presumed_unanswered_flows = flows;
            self.presumed_since = since;
        }
    }

    /// Discards presumed unanswered flows, and observed ones from `since` or later: the data centre
    /// is reachable again.
    pub fn clear_unanswered_since(&mut self, since: Duration) {
        self.presumed_unanswered_flows = 0;
        if self.unanswered_since >= since {
            self.unanswered_flows = 0;
            self.probe_count = 0;
        }
    }

    /// Records that a new flow probes the upstream, or another one that most likely failed with it.
    pub fn record_probe(&mut self, now: Duration) {
        self.last_probe = now;
        self.probe_count += 1;
    }

    /// Records that a packet forwarded at `sent_at` has been found unanswered; returns whether the
    /// upstream becomes suspected by it.
    pub fn record_unanswered(
        &mut self,
        sent_at: Duration,
        options: &FailureDetectionOptions,
    ) -> bool {
        if sent_at <= self.last_alive {
            return false;
        }
        if self.unanswered_flows == 0 {
            self.unanswered_since = sent_at;
        }
        self.unanswered_flows += 1;
        self.unanswered_since = self.unanswered_since.min(sent_at);
        self.unanswered_flows == options.suspect_min_unanswered
    }

    /// Returns whether the upstream is suspected of having failed.
    #[must_use]
    pub fn is_suspected(&self, options: &FailureDetectionOptions) -> bool {
        self.unanswered_flows.max(self.presumed_unanswered_flows) >= options.suspect_min_unanswered
    }

    /// Returns whether a suspected upstream is due for a probe by a new flow of this host.
    ///
    /// `local_hosts` hosts of the data centre share the probes, since they report to each other what
    /// they observe. An upstream that only other hosts have seen fail is left to their probes.
    #[must_use]
    pub fn is_probe_due(
        &self,
        options: &FailureDetectionOptions,
        local_hosts: usize,
        now: Duration,
    ) -> bool {
        let since = match (self.unanswered_flows, self.presumed_unanswered_flows) {
            (0, 0) => return false,
            (0, _) => self.presumed_since,
            _ => self.unanswered_since,
        };
        let hosts = u32::try_from(local_hosts).unwrap_or(u32::MAX).clamp(1, MAX_INTERVAL_MULTIPLE);
        let multiple = match self.probe_count {
            0 => self.first_probe_slot(since, hosts) + 1,
            count => hosts * 2_u32.pow(count.min(MAX_INTERVAL_MULTIPLE.ilog2())),
        };
        let interval = options.probe_interval * multiple.min(MAX_INTERVAL_MULTIPLE);
        now.saturating_sub(self.last_probe.max(since)) >= interval
    }

    /// Returns a pseudo-random number below `hosts`, which differs between the hosts because each
    /// has seen the failure at another time.
    fn first_probe_slot(&self, since: Duration, hosts: u32) -> u32 {
        let since_nanos = since.as_nanos() as u64;
        (rendezvous_score(u64::from(self.cookie.0), since_nanos) % u64::from(hosts)) as u32
    }

    /// Returns the tracker without what the upstream's answer to any host at `alive_at` refutes.
    #[must_use]
    pub fn cleared_by_answer(mut self, alive_at: Duration) -> Self {
        if alive_at <= self.last_alive {
            return self;
        }
        self.last_alive = alive_at;
        if alive_at >= self.unanswered_since {
            self.unanswered_flows = 0;
        }
        if alive_at >= self.presumed_since {
            self.presumed_unanswered_flows = 0;
        }
        self
    }

    /// Returns the tracker combined with the aggregated load of the other hosts.
    ///
    /// Their reports are a moment old, so each of them is assumed to have added as many requests
    /// since as this host has since its own last report.
    #[must_use]
    pub fn merged_with_peers(mut self, peers: PeerLoad) -> Self {
        let added = self.in_flight().saturating_sub(self.reported_in_flight);
        self.pending_requests += peers.in_flight + added * peers.active_hosts;
        self = self.cleared_by_answer(peers.last_alive);
        // Unanswered flows of other hosts count unless the upstream has answered any host since.
        if let Some(peers_since) = peers.unanswered_since.filter(|since| *since > self.last_alive) {
            let since = self.unanswered_since().map_or(peers_since, |own| own.min(peers_since));
            self.unanswered_since = since;
            self.unanswered_flows += peers.unanswered_flows;
        }
        self
    }

    /// Returns the requests in flight, including pending openings, each of which will soon bring
    /// one.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.pending_requests + self.pending_openings
    }
}

/// Returns the trackers of the upstreams of `snapshot`, in its order; those of upstreams that it has
/// in common with the last one are kept.
///
/// Both are in the same order, so neighbouring upstreams are mostly found without a search.
pub(super) fn carry_over_trackers(
    trackers: &[UpstreamTracker],
    snapshot: &CookieSnapshot,
) -> Vec<UpstreamTracker> {
    let mut by_cookie: Option<HashMap<FlowCookie, usize>> = None;
    let mut next = 0;
    let carry_over = |view: &UpstreamView| {
        let is_next = trackers.get(next).is_some_and(|tracker| tracker.cookie == view.cookie);
        let index = match is_next {
            true => Some(next),
            false => by_cookie
                .get_or_insert_with(|| {
                    let cookies = trackers.iter().map(|tracker| tracker.cookie);
                    cookies.enumerate().map(|(index, cookie)| (cookie, index)).collect()
                })
                .get(&view.cookie)
                .copied(),
        };
        next = index.map_or(next, |index| index + 1);
        index.map_or(UpstreamTracker::new(view.cookie), |index| trackers[index])
    };
    snapshot.upstreams.iter().map(carry_over).collect()
}
