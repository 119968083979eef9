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
use super::snapshot::{CookieSnapshot, UpstreamView};
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
    /// Time without an answer on any flow after which an upstream counts as silent and its open
    /// flows may be reset.
    pub silence_timeout: Duration,
    /// Number of open flows with an unanswered request, over all hosts, that an upstream needs to
    /// count as silent.
    pub silent_min_unanswered: u32,
    /// Time for which the unanswered requests that this host has found suffice to reset other
    /// flows, from the last one found. What made an upstream silent, such as a partition, may have
    /// ended since.
    pub silence_evidence_ttl: Duration,
    /// Time without another unanswered request after which their count starts anew; longer than the
    /// longest interval at which callers retransmit.
    pub silence_restart_gap: Duration,
    /// Flows of a silent upstream are reset only if another upstream of the service has answered
    /// within this time, which shows that this host's own network works.
    pub alternative_alive_window: Duration,
}

impl Default for FailureDetectionOptions {
    fn default() -> Self {
        Self {
            opening_timeout: Duration::from_millis(70),
            slow_opening_threshold: Duration::from_millis(20),
            suspect_min_unanswered: 2,
            probe_interval: Duration::from_millis(1_000),
            silence_timeout: Duration::from_millis(450),
            silent_min_unanswered: 4,
            silence_evidence_ttl: Duration::from_millis(2_000),
            silence_restart_gap: Duration::from_millis(3_000),
            alternative_alive_window: Duration::from_millis(300),
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
    /// Those of the unanswered flows that are open, whose callers have retransmitted a request.
    pub unanswered_requests: u32,
    /// When the earliest of these requests was forwarded.
    pub unanswered_requests_since: Duration,
    /// When this host last found a request unanswered.
    pub last_unanswered_request: Duration,
    /// Unanswered flows that are presumed while the whole data centre is unreachable.
    pub presumed_unanswered_flows: u32,
    /// Since when the data centre has been unreachable.
    pub presumed_since: Duration,
    /// Unanswered requests to the unreachable data centre that this host has recently found.
    pub presumed_own_requests: u32,
    /// When a new flow last probed the upstream while it was suspected.
    pub last_probe: Duration,
    /// Probes since the upstream was last known to be alive.
    pub probe_count: u32,
    /// Earliest time at which this host may assign the next flow while the upstream is cold.
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
            unanswered_requests: 0,
            unanswered_requests_since: Duration::ZERO,
            last_unanswered_request: Duration::ZERO,
            presumed_unanswered_flows: 0,
            presumed_since: Duration::ZERO,
            presumed_own_requests: 0,
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
        if at >= self.unanswered_requests_since {
            self.unanswered_requests = 0;
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

    /// Returns the tracker without unanswered requests if the last one was found too long ago.
    #[must_use]
    pub fn without_expired_requests(
        mut self,
        options: &FailureDetectionOptions,
        now: Duration,
    ) -> Self {
        if now.saturating_sub(self.last_unanswered_request) >= options.silence_restart_gap {
            self.unanswered_requests = 0;
        }
        self
    }

    /// Returns the number of unanswered requests if this host has found the last one recently.
    #[must_use]
    pub fn recent_unanswered_requests(
        &self,
        options: &FailureDetectionOptions,
        now: Duration,
    ) -> u32 {
        let age = now.saturating_sub(self.last_unanswered_request);
        if age < options.silence_evidence_ttl { self.unanswered_requests } else { 0 }
    }

    /// Returns when the earliest unanswered request was forwarded, if there is one.
    #[must_use]
    pub fn unanswered_requests_since(&self) -> Option<Duration> {
        (self.unanswered_requests > 0).then_some(self.unanswered_requests_since)
    }

    /// Presumes `flows` unanswered flows since `since`, when the whole data centre became
    /// unreachable, unless the upstream was alive after that. `own_requests` of this host to the
    /// data centre have recently been found unanswered.
    pub fn presume_unanswered(&mut self, since: Duration, flows: u32, own_requests: u32) {
        if self.last_alive <= since {
            self.presumed_unanswered_flows = flows;
            self.presumed_since = since;
            self.presumed_own_requests = own_requests;
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
        if self.unanswered_requests_since >= since {
            self.unanswered_requests = 0;
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

    /// Records that a request forwarded at `sent_at` on an open flow has been found unanswered;
    /// returns whether the upstream becomes suspected by it.
    pub fn record_unanswered_request(
        &mut self,
        sent_at: Duration,
        options: &FailureDetectionOptions,
        now: Duration,
    ) -> bool {
        if sent_at > self.last_alive {
            *self = self.without_expired_requests(options, now);
            let since = self.unanswered_requests_since().unwrap_or(sent_at);
            self.unanswered_requests_since = since.min(sent_at);
            self.unanswered_requests += 1;
            self.last_unanswered_request = now;
        }
        self.record_unanswered(sent_at, options)
    }

    /// Takes back an unanswered request, since its caller has sent more data after retransmitting.
    /// The others count from now on, since the earliest one may be the one taken back.
    pub fn withdraw_unanswered_request(&mut self, now: Duration) {
        self.unanswered_requests = self.unanswered_requests.saturating_sub(1);
        self.unanswered_requests_since = now;
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
        if alive_at >= self.unanswered_requests_since {
            self.unanswered_requests = 0;
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
        let requests_since = peers.unanswered_requests_since;
        if let Some(peers_since) = requests_since.filter(|since| *since > self.last_alive) {
            let own_since = self.unanswered_requests_since();
            self.unanswered_requests_since = own_since.unwrap_or(peers_since).min(peers_since);
            self.unanswered_requests += peers.unanswered_requests;
        }
        self
    }

    /// Returns whether this host itself has recently found the requests of so many open flows to
    /// the upstream, or to its unreachable data centre, unanswered that it may reset others.
    ///
    /// Reports of other hosts may be wrong, so together with one lost request of this host they
    /// suffice to reset only the flow that carries it.
    #[must_use]
    pub fn has_own_evidence(&self, options: &FailureDetectionOptions, now: Duration) -> bool {
        let presumed = match self.presumed_unanswered_flows {
            0 => 0,
            _ => self.presumed_own_requests,
        };
        let observed = self.recent_unanswered_requests(options, now);
        observed.max(presumed) >= options.silent_min_unanswered
    }

    /// Returns whether the upstream has been silent for so long, and on so many open flows, that
    /// its open flows may be reset.
    ///
    /// Openings do not count: a full upstream answers none, and their callers may have given up or
    /// been moved to another host by the fabric.
    #[must_use]
    pub fn is_silent(&self, options: &FailureDetectionOptions, now: Duration) -> bool {
        let has_lasted = |since| now.saturating_sub(since) >= options.silence_timeout;
        let observed = self.unanswered_requests >= options.silent_min_unanswered
            && has_lasted(self.unanswered_requests_since);
        let presumed = self.presumed_unanswered_flows >= options.silent_min_unanswered
            && has_lasted(self.presumed_since);
        (observed || presumed) && has_lasted(self.last_alive)
    }

    /// Returns whether a request on an open flow has been unanswered, and the upstream silent, for
    /// as long as answers may take.
    #[must_use]
    pub fn has_lasting_unanswered_request(
        &self,
        options: &FailureDetectionOptions,
        now: Duration,
    ) -> bool {
        let has_lasted = |since| now.saturating_sub(since) >= options.silence_timeout;
        self.unanswered_requests_since().is_some_and(has_lasted) && has_lasted(self.last_alive)
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
