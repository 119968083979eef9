//! What a host infers of one upstream from the packets that callers send.
//!
//! Answers do not pass the host. A flow whose caller acknowledges new bytes shows that its upstream
//! lives; an opening that nothing follows, or a payload that is sent again, shows the opposite.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::load::PeerLoad;
use super::token::FlowCookie;

/// Doublings of the time between trials; an upstream that returns is tried within 8 s.
const MOST_DOUBLINGS: u32 = 3;

/// `TrackOptions` are the bounds of suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrackOptions {
    /// Time in which an opening is followed up when all is well.
    pub opening_patience: Duration,
    /// Time after which an opening without follow-up makes other upstreams preferable.
    pub opening_doubt: Duration,
    /// Flows without an answer, with no sign of life between them, that raise a suspicion.
    pub suspect_after: u32,
    /// Time before a new flow tries a suspected upstream; it doubles with each trial.
    pub trial_interval: Duration,
    /// Silence on every flow after which an open flow may be reset.
    pub silent_after: Duration,
    /// Flows without an answer, over all hosts, that are needed for a reset.
    pub silent_flows: u32,
    /// Time within which another upstream has answered, so that this host's links are well.
    pub witness_time: Duration,
}

impl Default for TrackOptions {
    fn default() -> Self {
        Self {
            opening_patience: Duration::from_millis(70),
            opening_doubt: Duration::from_millis(20),
            suspect_after: 2,
            trial_interval: Duration::from_millis(1_000),
            silent_after: Duration::from_millis(450),
            silent_flows: 4,
            witness_time: Duration::from_millis(300),
        }
    }
}

/// `UpstreamTrack` is what a host infers of one run of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamTrack {
    /// The upstream.
    pub cookie: FlowCookie,
    /// Openings that nothing has followed yet.
    pub opening: u32,
    /// When the oldest of them was sent on.
    pub opening_since: Duration,
    /// Open flows.
    pub open: u32,
    /// Requests that the upstream has in hand.
    pub busy: u32,
    /// Work in hand when it was last told to the other hosts.
    pub told: u32,
    /// Last sign of life.
    pub alive: Duration,
    /// Flows without an answer since the last sign of life.
    pub unanswered: u32,
    /// When the first of them was sent.
    pub unanswered_since: Duration,
    /// Flows without an answer that are presumed while the whole data centre is silent.
    pub presumed: u32,
    /// Since when it is.
    pub presumed_since: Duration,
    /// When a new flow last tried the upstream while it was suspected.
    pub tried: Duration,
    /// Trials since the last sign of life.
    pub trials: u32,
    /// Earliest time of the next new flow while the upstream is cold.
    pub next_cold: Duration,
}

impl UpstreamTrack {
    /// Creates the track of an upstream that nothing is known of.
    #[must_use]
    pub fn new(cookie: FlowCookie) -> Self {
        Self {
            cookie,
            opening: 0,
            opening_since: Duration::ZERO,
            open: 0,
            busy: 0,
            told: 0,
            alive: Duration::ZERO,
            unanswered: 0,
            unanswered_since: Duration::ZERO,
            presumed: 0,
            presumed_since: Duration::ZERO,
            tried: Duration::ZERO,
            trials: 0,
            next_cold: Duration::ZERO,
        }
    }

    /// Notes that an opening was sent on.
    pub fn note_opening(&mut self, now: Duration) {
        if self.opening == 0 || self.opening_since <= self.alive {
            self.opening_since = now;
        }
        self.opening += 1;
    }

    /// Tells whether an opening has waited for longer than it takes when all is well.
    #[must_use]
    pub fn is_doubtful(&self, options: &TrackOptions, now: Duration) -> bool {
        self.opening > 0
            && self.opening_since > self.alive
            && now.saturating_sub(self.opening_since) > options.opening_doubt
    }

    /// Notes a sign of life at `life`: a caller has acknowledged bytes that the upstream sent then.
    pub fn note_alive(&mut self, life: Duration) {
        self.alive = self.alive.max(life);
        if life >= self.unanswered_since {
            self.unanswered = 0;
        }
        if life >= self.presumed_since {
            self.presumed = 0;
        }
        if self.unanswered.max(self.presumed) == 0 {
            self.trials = 0;
        }
    }

    /// Returns when the first flow without an answer was sent.
    #[must_use]
    pub fn silent_since(&self) -> Option<Duration> {
        (self.unanswered > 0).then_some(self.unanswered_since)
    }

    /// Takes the upstream for silent since `since`, as its whole data centre is.
    pub fn presume_silent(&mut self, since: Duration, flows: u32) {
        if self.alive <= since {
            self.presumed = flows;
            self.presumed_since = since;
        }
    }

    /// Forgets the silence that began at `since` or later: the data centre is in reach again.
    pub fn trust_again(&mut self, since: Duration) {
        self.presumed = 0;
        if self.unanswered_since >= since {
            self.unanswered = 0;
            self.trials = 0;
        }
    }

    /// Notes that a new flow tries the upstream, or one that shares its fate.
    pub fn note_trial(&mut self, now: Duration) {
        self.tried = now;
        self.trials += 1;
    }

    /// Notes a flow whose packet of `sent` is unanswered; returns whether that raises a suspicion.
    pub fn note_unanswered(&mut self, sent: Duration, options: &TrackOptions) -> bool {
        if sent <= self.alive {
            return false;
        }
        if self.unanswered == 0 {
            self.unanswered_since = sent;
        }
        self.unanswered += 1;
        self.unanswered_since = self.unanswered_since.min(sent);
        self.unanswered == options.suspect_after
    }

    /// Tells whether the upstream is taken for silent.
    #[must_use]
    pub fn is_suspected(&self, options: &TrackOptions) -> bool {
        self.unanswered.max(self.presumed) >= options.suspect_after
    }

    /// Tells whether a new flow may try the upstream although it is suspected.
    #[must_use]
    pub fn may_try(&self, options: &TrackOptions, now: Duration) -> bool {
        let interval = options.trial_interval * 2_u32.pow(self.trials.min(MOST_DOUBLINGS));
        let since = match self.unanswered {
            0 => self.presumed_since,
            _ => self.unanswered_since,
        };
        now.saturating_sub(self.tried.max(since)) >= interval
    }

    /// Returns the track with what the other hosts have inferred; what this host has added since it
    /// last told them, each of them is taken to have added as well.
    #[must_use]
    pub fn with_peers(mut self, peers: PeerLoad) -> Self {
        let since = self.work().saturating_sub(self.told);
        self.busy += peers.work + since * peers.hosts;
        if peers.alive > self.alive {
            self.alive = peers.alive;
            if peers.alive >= self.unanswered_since {
                self.unanswered = 0;
            }
            if peers.alive >= self.presumed_since {
                self.presumed = 0;
            }
        }
        // What others wait for counts unless somebody has heard the upstream since.
        if peers.silent_since.is_some_and(|since| since > self.alive) {
            self.unanswered += peers.unanswered;
        }
        self
    }

    /// Tells whether the upstream has been silent on so many flows that open ones are given up.
    #[must_use]
    pub fn is_silent(&self, options: &TrackOptions, now: Duration) -> bool {
        let lasts = |since| now.saturating_sub(since) >= options.silent_after;
        let seen = self.unanswered >= options.silent_flows && lasts(self.unanswered_since);
        let presumed = self.presumed >= options.silent_flows && lasts(self.presumed_since);
        (seen || presumed) && lasts(self.alive)
    }

    /// Returns the work in hand: requests, and openings that will soon bring one.
    #[must_use]
    pub fn work(&self) -> u32 {
        self.busy + self.opening
    }
}
