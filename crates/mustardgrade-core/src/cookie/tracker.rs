//! What a host infers of one upstream from the packets that callers send.
//!
//! Answers do not pass the host. A flow whose caller acknowledges new bytes shows that its upstream
//! lives; an opening that nothing follows, or a payload that is sent again, shows the opposite.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::flow_cookie::FlowCookie;
use super::load::PeerLoad;

/// Doublings of the time between trials; an upstream that returns is tried within 8 s.
const MAX_INTERVAL_DOUBLINGS: u32 = 3;

/// `FailureDetectionOptions` are the bounds of suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDetectionOptions {
    /// Time in which an opening is followed up when all is well.
    pub opening_timeout: Duration,
    /// Time after which an opening without follow-up makes other upstreams preferable.
    pub slow_opening_threshold: Duration,
    /// Flows without an answer, with no sign of life between them, that raise a suspicion.
    pub suspect_min_unanswered: u32,
    /// Time before a new flow tries a suspected upstream; it doubles with each trial.
    pub probe_interval: Duration,
    /// Silence on every flow after which an open flow may be reset.
    pub silence_timeout: Duration,
    /// Flows without an answer, over all hosts, that are needed for a reset.
    pub silent_min_unanswered: u32,
    /// Time within which another upstream has answered, so that this host's links are well.
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
            alternative_alive_window: Duration::from_millis(300),
        }
    }
}

/// `UpstreamTracker` is what a host infers of one run of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamTracker {
    /// The upstream.
    pub cookie: FlowCookie,
    /// Openings that nothing has followed yet.
    pub pending_openings: u32,
    /// When the oldest of them was sent on.
    pub pending_openings_since: Duration,
    /// Open flows.
    pub open_flows: u32,
    /// Requests that the upstream has in hand.
    pub pending_requests: u32,
    /// Work in hand when it was last told to the other hosts.
    pub reported_in_flight: u32,
    /// Last sign of life.
    pub last_alive: Duration,
    /// Flows without an answer since the last sign of life.
    pub unanswered_flows: u32,
    /// When the first of them was sent.
    pub unanswered_since: Duration,
    /// Flows without an answer that are presumed while the whole data centre is silent.
    pub presumed_unanswered_flows: u32,
    /// Since when it is.
    pub presumed_since: Duration,
    /// When a new flow last tried the upstream while it was suspected.
    pub last_probe: Duration,
    /// Trials since the last sign of life.
    pub probe_count: u32,
    /// Earliest time of the next new flow while the upstream is cold.
    pub next_cold_flow_at: Duration,
}

impl UpstreamTracker {
    /// Creates the track of an upstream that nothing is known of.
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

    /// Notes that an opening was sent on.
    pub fn record_opening(&mut self, now: Duration) {
        if self.pending_openings == 0 || self.pending_openings_since <= self.last_alive {
            self.pending_openings_since = now;
        }
        self.pending_openings += 1;
    }

    /// Tells whether an opening has waited for longer than it takes when all is well.
    #[must_use]
    pub fn has_slow_opening(&self, options: &FailureDetectionOptions, now: Duration) -> bool {
        self.pending_openings > 0
            && self.pending_openings_since > self.last_alive
            && now.saturating_sub(self.pending_openings_since) > options.slow_opening_threshold
    }

    /// Notes a sign of life at `life`: a caller has acknowledged bytes that the upstream sent then.
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

    /// Returns when the first flow without an answer was sent.
    #[must_use]
    pub fn unanswered_since(&self) -> Option<Duration> {
        (self.unanswered_flows > 0).then_some(self.unanswered_since)
    }

    /// Takes the upstream for silent since `since`, as its whole data centre is.
    pub fn presume_unanswered(&mut self, since: Duration, flows: u32) {
        if self.last_alive <= since {
            self.presumed_unanswered_flows = flows;
            self.presumed_since = since;
        }
    }

    /// Forgets the silence that began at `since` or later: the data centre is in reach again.
    pub fn clear_unanswered_since(&mut self, since: Duration) {
        self.presumed_unanswered_flows = 0;
        if self.unanswered_since >= since {
            self.unanswered_flows = 0;
            self.probe_count = 0;
        }
    }

    /// Notes that a new flow tries the upstream, or one that shares its fate.
    pub fn record_probe(&mut self, now: Duration) {
        self.last_probe = now;
        self.probe_count += 1;
    }

    /// Notes a flow whose packet of `sent` is unanswered; returns whether that raises a suspicion.
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

    /// Tells whether the upstream is taken for silent.
    #[must_use]
    pub fn is_suspected(&self, options: &FailureDetectionOptions) -> bool {
        self.unanswered_flows.max(self.presumed_unanswered_flows) >= options.suspect_min_unanswered
    }

    /// Tells whether a new flow may try the upstream although it is suspected.
    #[must_use]
    pub fn is_probe_due(&self, options: &FailureDetectionOptions, now: Duration) -> bool {
        let interval =
            options.probe_interval * 2_u32.pow(self.probe_count.min(MAX_INTERVAL_DOUBLINGS));
        let since = match self.unanswered_flows {
            0 => self.presumed_since,
            _ => self.unanswered_since,
        };
        now.saturating_sub(self.last_probe.max(since)) >= interval
    }

    /// Returns the track with what the other hosts have inferred; what this host has added since it
    /// last told them, each of them is taken to have added as well.
    #[must_use]
    pub fn merged_with_peers(mut self, peers: PeerLoad) -> Self {
        let added = self.in_flight().saturating_sub(self.reported_in_flight);
        self.pending_requests += peers.in_flight + added * peers.active_hosts;
        if peers.last_alive > self.last_alive {
            self.last_alive = peers.last_alive;
            if peers.last_alive >= self.unanswered_since {
                self.unanswered_flows = 0;
            }
            if peers.last_alive >= self.presumed_since {
                self.presumed_unanswered_flows = 0;
            }
        }
        // What others wait for counts unless somebody has heard the upstream since.
        if peers.unanswered_since.is_some_and(|since| since > self.last_alive) {
            self.unanswered_flows += peers.unanswered_flows;
        }
        self
    }

    /// Tells whether the upstream has been silent on so many flows that open ones are given up.
    #[must_use]
    pub fn is_silent(&self, options: &FailureDetectionOptions, now: Duration) -> bool {
        let has_lasted = |since| now.saturating_sub(since) >= options.silence_timeout;
        let observed = self.unanswered_flows >= options.silent_min_unanswered
            && has_lasted(self.unanswered_since);
        let presumed = self.presumed_unanswered_flows >= options.silent_min_unanswered
            && has_lasted(self.presumed_since);
        (observed || presumed) && has_lasted(self.last_alive)
    }

    /// Returns the work in hand: requests, and openings that will soon bring one.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.pending_requests + self.pending_openings
    }
}
