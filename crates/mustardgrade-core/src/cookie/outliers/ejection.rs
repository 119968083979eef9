//! Ejection, probation and readmission of one upstream.

use std::time::Duration;

use super::evidence::OutcomeCounts;

/// Time for which an upstream must look like an outlier before it is ejected. Hosts without a
/// failure report their answers of an upstream only after another host has reported a failure.
const CONFIRMATION: Duration = Duration::from_millis(400);

/// Time without openings after the first ejection. It is longer than the window of outcomes and the
/// validity of reports, so that a probation is not judged by requests from before the ejection.
const FIRST_HOLD: Duration = Duration::from_secs(5);

/// Maximum number of doublings of that time, up to 40 s. Each ejection or failed probation after a
/// recent one adds one.
const MAX_DOUBLINGS: u32 = 3;

/// Time after a readmission for which another ejection counts as one after a recent one.
const DAMPING_TIME: Duration = Duration::from_secs(60);

/// Interval between the openings of the hosts of a data centre during a probation.
const PROBATION_INTERVAL: Duration = Duration::from_millis(500);

/// Time without evidence after which a probation ends. What a host does not know is no reason to
/// leave out an upstream.
const MAX_SILENCE: Duration = Duration::from_secs(8);

/// `EjectionChange` is a change of an upstream's ejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EjectionChange {
    Ejected { hold: Duration },
    Readmitted { ejected_for: Duration },
}

/// `EjectionState` is whether an upstream is ejected, and its recent ejections.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EjectionState {
    outlier_since: Option<Duration>,
    ejected_at: Option<Duration>,
    hold_until: Duration,
    last_evidence_at: Duration,
    /// Recent ejections and failed probations.
    level: u32,
    readmitted_at: Duration,
    next_probation_at: Duration,
}

impl EjectionState {
    pub(super) fn is_ejected(&self) -> bool {
        self.ejected_at.is_some()
    }

    /// Returns whether the upstream has looked like an outlier for long enough to be ejected.
    pub(super) fn is_ejection_due(&mut self, counts: &OutcomeCounts, now: Duration) -> bool {
        if self.is_ejected() || !counts.is_outlier() {
            self.outlier_since = None;
            return false;
        }
        let since = *self.outlier_since.get_or_insert(now);
        now.saturating_sub(since) >= CONFIRMATION
    }

    /// Ejects the upstream. `host_share` from 0 to 1 spreads the probations of the hosts.
    pub(super) fn eject(&mut self, now: Duration, host_share: f32, hosts: u32) -> EjectionChange {
        if now.saturating_sub(self.readmitted_at) >= DAMPING_TIME {
            self.level = 0;
        }
        self.ejected_at = Some(now);
        self.outlier_since = None;
        EjectionChange::Ejected { hold: self.begin_hold(now, host_share, hosts) }
    }

    fn begin_hold(&mut self, now: Duration, host_share: f32, hosts: u32) -> Duration {
        let hold = self.hold();
        self.level += 1;
        self.hold_until = now + hold;
        self.last_evidence_at = self.hold_until;
        let first_probation = (PROBATION_INTERVAL * hosts.max(1)).mul_f32(host_share);
        self.next_probation_at = self.hold_until + first_probation;
        hold
    }

    fn hold(&self) -> Duration {
        FIRST_HOLD * 2_u32.pow(self.level.min(MAX_DOUBLINGS))
    }

    /// Advances an ejection by the evidence, and returns the change if it ends.
    pub(super) fn advance(
        &mut self,
        counts: &OutcomeCounts,
        now: Duration,
        host_share: f32,
        hosts: u32,
    ) -> Option<EjectionChange> {
        if !self.is_ejected() || now < self.hold_until {
            return None;
        }
        if counts.total > 0.0 {
            self.last_evidence_at = now;
        }
        if counts.fails_probation() {
            self.begin_hold(now, host_share, hosts);
            return None;
        }
        let silence = now.saturating_sub(self.last_evidence_at);
        let is_unknown = silence >= MAX_SILENCE;
        match counts.allows_readmission() || is_unknown {
            true => self.readmit(now),
            false => None,
        }
    }

    /// Ends the ejection, if there is one.
    pub(super) fn readmit(&mut self, now: Duration) -> Option<EjectionChange> {
        let ejected_at = self.ejected_at.take()?;
        self.readmitted_at = now;
        Some(EjectionChange::Readmitted { ejected_for: now.saturating_sub(ejected_at) })
    }

    /// Returns whether this host may send an opening to the ejected upstream.
    pub(super) fn is_probation_due(&self, now: Duration) -> bool {
        self.is_ejected() && now >= self.next_probation_at
    }

    /// Records that this host sends an opening; `hosts` of the data centre share the probation.
    pub(super) fn record_probation(&mut self, now: Duration, hosts: u32) {
        self.next_probation_at = now + PROBATION_INTERVAL * hosts.max(1);
    }
}
