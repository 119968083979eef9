//! The comparison of an upstream's failed share with that of the others.

/// Failed requests from which an upstream can be an outlier; fewer may be an accident of one
/// caller, which also retries at most twice.
const MIN_FAILED: f32 = 5.0;

/// Failed share beyond the expected one from which an upstream is an outlier. Below it, the
/// capacity that an ejection costs is worth more than the attempts that it saves.
const MIN_EXCESS_SHARE: f32 = 0.15;

/// Expected failed share above which no upstream is judged: most likely the route, the network or
/// the load fails, and the differences between the upstreams are chance.
const MAX_EXPECTED_SHARE: f32 = 0.25;

/// Standard deviations by which failures must exceed the expected ones. Each host compares over a
/// hundred upstreams several times a second, so that three would be exceeded by chance within
/// minutes.
const MIN_DEVIATIONS: f32 = 4.0;

/// Failures for each slow answer from which an upstream can be an outlier. One that is merely slow
/// or has a queue shows it in its other answers; its requests without an answer may still get one.
const MIN_FAILED_PER_SLOW: f32 = 2.0;

/// Outcomes from which an ejected upstream can be readmitted. One that still fails half of its
/// requests passes five of them with a probability of 1/32.
const MIN_READMISSION_OUTCOMES: f32 = 5.0;

/// Failed share beyond the expected one up to which an upstream is readmitted.
const MAX_READMISSION_SHARE: f32 = 0.05;

/// Failures from which the probation of an upstream has failed; one may be an accident.
const MIN_PROBATION_FAILED: f32 = 2.0;

/// `RequestOutcome` is the certain outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    Answered,
    /// Answered as late as to suggest that others are answered even later.
    AnsweredSlowly,
    Failed,
}

/// `OutcomeCounts` are sums over the outcomes of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct OutcomeCounts {
    /// Requests with a certain outcome.
    pub(super) total: f32,
    /// Requests of them that failed.
    pub(super) failed: f32,
    /// Requests of them that were answered slowly.
    pub(super) slow: f32,
    /// Failures that the failed shares of the same routes at all upstreams make likely.
    pub(super) expected: f32,
}

impl OutcomeCounts {
    pub(super) fn plus(self, other: &Self) -> Self {
        Self {
            total: self.total + other.total,
            failed: self.failed + other.failed,
            slow: self.slow + other.slow,
            expected: self.expected + other.expected,
        }
    }

    pub(super) fn add(&mut self, outcome: RequestOutcome, expected: f32) {
        self.total += 1.0;
        self.expected += expected;
        match outcome {
            RequestOutcome::Answered => {}
            RequestOutcome::AnsweredSlowly => self.slow += 1.0,
            RequestOutcome::Failed => self.failed += 1.0,
        }
    }

    /// Turns a failure into a slow answer.
    pub(super) fn retract_failure(&mut self) {
        let retracted = self.failed.min(1.0);
        self.failed -= retracted;
        self.slow += retracted;
    }

    /// Returns the failed share.
    pub(super) fn failed_share(&self) -> f32 {
        if self.total > 0.0 { self.failed / self.total } else { 0.0 }
    }

    /// Returns the counts with at least `share` of all requests as expected failures.
    pub(super) fn with_expected_share(mut self, share: f32) -> Self {
        self.expected = self.expected.max(share * self.total);
        self
    }

    /// Returns the failed share beyond the expected one.
    pub(super) fn excess_share(&self) -> f32 {
        if self.total > 0.0 { (self.failed - self.expected) / self.total } else { 0.0 }
    }

    /// Returns whether the upstream fails clearly more of its requests than the others do.
    pub(super) fn is_outlier(&self) -> bool {
        if self.failed < MIN_FAILED || self.expected > MAX_EXPECTED_SHARE * self.total {
            return false;
        }
        if self.failed < self.slow * MIN_FAILED_PER_SLOW {
            return false;
        }
        let expected_share = self.expected / self.total;
        // One is added since few outcomes say little of a share that is close to zero.
        let variance = self.expected * (1.0 - expected_share) + 1.0;
        let excess = self.failed - self.expected;
        self.excess_share() >= MIN_EXCESS_SHARE && excess >= MIN_DEVIATIONS * variance.sqrt()
    }

    /// Returns whether enough requests of an ejected upstream were answered.
    pub(super) fn allows_readmission(&self) -> bool {
        self.total >= MIN_READMISSION_OUTCOMES && self.excess_share() <= MAX_READMISSION_SHARE
    }

    /// Returns whether an ejected upstream still fails requests.
    pub(super) fn fails_probation(&self) -> bool {
        self.failed >= MIN_PROBATION_FAILED && self.excess_share() >= MIN_EXCESS_SHARE
    }
}
