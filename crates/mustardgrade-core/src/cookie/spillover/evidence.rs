//! How often the upstreams of a service refuse requests, as one host sees it.

use std::time::Duration;

/// Time constant with which older answers lose weight; a host has only a few answers a second, and
/// an overload may last for seconds.
const EVIDENCE_DECAY: Duration = Duration::from_millis(500);

/// Number of recent refusals from which they count as evidence; a single one may be chance.
const MIN_REFUSALS: f64 = 1.5;

/// Excess of the share of refused requests over the ordinary one from which a service counts as
/// refusing.
const REFUSING_EXCESS: f64 = 0.05;

/// Excess below which a service no longer counts as refusing; lower than [`REFUSING_EXCESS`], so
/// that the state does not flap.
const RELIEVED_EXCESS: f64 = 0.02;

/// Number of answers up to which a ratio is taken of this number instead.
const MIN_ANSWERS: f64 = 8.0;

/// Time constant with which the ordinary share falls. It begins at one, so that a host judges a
/// service only after it has seen it for a few seconds.
const ORDINARY_FALL: Duration = Duration::from_secs(1);

/// Time constant with which the ordinary share rises; much longer than an overload.
const ORDINARY_RISE: Duration = Duration::from_secs(60);

/// `RefusalEvidence` holds decaying counts of the requests that a service has answered and refused.
///
/// Callers may close a flow right after a quick answer that is no refusal. The share of such
/// answers in ordinary times is therefore subtracted.
#[derive(Debug, Clone, Copy)]
pub(super) struct RefusalEvidence {
    answers: f64,
    refusals: f64,
    /// Time since a request was refused.
    quiet: Duration,
    ordinary_ratio: f64,
}

impl Default for RefusalEvidence {
    fn default() -> Self {
        Self { answers: 0.0, refusals: 0.0, quiet: Duration::ZERO, ordinary_ratio: 1.0 }
    }
}

impl RefusalEvidence {
    pub(super) fn record(&mut self, is_refusal: bool) {
        self.answers += 1.0;
        self.refusals += f64::from(u8::from(is_refusal));
        if is_refusal {
            self.quiet = Duration::ZERO;
        }
    }

    /// Takes back a refusal that was recorded `age` ago, by what is left of it.
    pub(super) fn retract(&mut self, age: Duration) {
        let remaining = (-age.as_secs_f64() / EVIDENCE_DECAY.as_secs_f64()).exp();
        self.refusals = (self.refusals - remaining).max(0.0);
    }

    pub(super) fn decay(&mut self, elapsed: Duration) {
        self.update_ordinary_ratio(elapsed);
        let remaining = 1.0 - fraction_of(elapsed, EVIDENCE_DECAY);
        self.answers *= remaining;
        self.refusals *= remaining;
        self.quiet += elapsed;
    }

    fn update_ordinary_ratio(&mut self, elapsed: Duration) {
        if self.answers < 1.0 {
            return;
        }
        let ratio = self.ratio();
        let time = if ratio < self.ordinary_ratio { ORDINARY_FALL } else { ORDINARY_RISE };
        self.ordinary_ratio += (ratio - self.ordinary_ratio) * fraction_of(elapsed, time);
    }

    fn ratio(&self) -> f64 {
        self.refusals / self.answers.max(MIN_ANSWERS)
    }

    /// Returns the share of recent requests that were refused, beyond that in ordinary times.
    pub(super) fn excess(&self) -> f64 {
        (self.ratio() - self.ordinary_ratio).max(0.0)
    }

    /// Returns whether the service is refusing a substantial share of the requests.
    pub(super) fn is_refusing(&self) -> bool {
        self.refusals >= MIN_REFUSALS && self.excess() >= REFUSING_EXCESS && !self.is_quiet()
    }

    /// Returns whether the service is refusing and has refused a request since the last decay.
    pub(super) fn has_new_refusals(&self) -> bool {
        self.quiet.is_zero() && self.is_refusing()
    }

    /// Returns whether the service has not refused requests of late, or only a few.
    pub(super) fn is_relieved(&self) -> bool {
        self.excess() < RELIEVED_EXCESS || self.is_quiet()
    }

    fn is_quiet(&self) -> bool {
        self.quiet >= EVIDENCE_DECAY
    }
}

/// Returns the weight that an average with time constant `time` gives to the last `elapsed`.
pub(super) fn fraction_of(elapsed: Duration, time: Duration) -> f64 {
    (elapsed.as_secs_f64() / time.as_secs_f64()).min(1.0)
}
