//! Openings that one host may move to a service.

use std::time::Duration;

/// Number of renewals, one with each load report, for which a granted opening may be used: as long
/// as the longest age of what hosts know of each other's requests.
const GRANT_LIFETIME: usize = 4;

/// Time constant of renewals, the lifetime of load reports.
pub(super) const REPORT_DELAY: Duration = Duration::from_millis(350);

/// `MoveAllowance` is the number of openings that a host may move to a service.
///
/// Unused ones expire. Hosts would otherwise save them up in ordinary times, and all use them at
/// the same moment.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MoveAllowance {
    grants: [u32; GRANT_LIFETIME],
    has_spare: bool,
}

impl MoveAllowance {
    /// Grants `expected` openings; `draw`, a pseudo-random number below one, decides on a fraction.
    pub(super) fn renew(&mut self, expected: f64, draw: f64) {
        self.grants.rotate_right(1);
        self.grants[0] = (expected + draw) as u32;
        self.has_spare = expected > 0.0;
    }

    /// Withdraws all openings.
    pub(super) fn withdraw(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the service has spare capacity, granted to this host or to others.
    pub(super) fn has_spare(&self) -> bool {
        self.has_spare
    }

    pub(super) fn is_available(&self) -> bool {
        self.grants.iter().any(|grant| *grant > 0)
    }

    /// Uses up one opening, the oldest.
    pub(super) fn use_one(&mut self) {
        if let Some(grant) = self.grants.iter_mut().rev().find(|grant| **grant > 0) {
            *grant -= 1;
        }
    }
}
