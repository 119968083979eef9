//! What is known of single upstreams, and of those of a service in one data centre together.

use std::time::Duration;

use super::ejection::{EjectionChange, EjectionState};
use super::evidence::OutcomeCounts;
use super::window::OutcomeWindow;
use crate::cookie::flow_cookie::FlowCookie;
use crate::cookie::packet::FlowEvent;
use crate::cookie::upstream_view::UpstreamView;
use crate::identity::{DataCentreId, ServiceId, rendezvous_score};

/// `UpstreamOutcomes` is what is known of one run of an upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct UpstreamOutcomes {
    pub(super) cookie: FlowCookie,
    pub(super) service: ServiceId,
    pub(super) data_centre: DataCentreId,
    pub(super) is_modelled: bool,
    pub(super) slots: u32,
    pub(super) window: OutcomeWindow,
    pub(super) ejection: EjectionState,
    /// Evidence of the other hosts at the last refresh, and together with the own.
    pub(super) reported: OutcomeCounts,
    pub(super) merged: OutcomeCounts,
}

impl UpstreamOutcomes {
    pub(super) fn new(view: &UpstreamView, is_modelled: bool) -> Self {
        Self {
            cookie: view.cookie,
            service: view.service,
            data_centre: view.data_centre,
            is_modelled,
            slots: u32::from(view.slots),
            window: OutcomeWindow::default(),
            ejection: EjectionState::default(),
            reported: OutcomeCounts::default(),
            merged: OutcomeCounts::default(),
        }
    }

    pub(super) fn shares_group(&self, other: &Self) -> bool {
        (self.service, self.data_centre) == (other.service, other.data_centre)
    }
}

/// `GroupEvidence` is what is known of the upstreams of a service in a data centre.
#[derive(Debug, Clone, Copy)]
pub(super) struct GroupEvidence {
    pub(super) service: ServiceId,
    pub(super) data_centre: DataCentreId,
    /// Outcomes that this host has observed.
    pub(super) own: OutcomeCounts,
    /// Failed share of the median upstream.
    pub(super) median_share: f32,
}

impl GroupEvidence {
    pub(super) fn includes(&self, upstream: &UpstreamOutcomes) -> bool {
        (self.service, self.data_centre) == (upstream.service, upstream.data_centre)
    }
}

/// Returns a pseudo-random number from 0 to 1, which differs between the hosts because each decides
/// at another time.
pub(super) fn host_share(cookie: FlowCookie, now: Duration) -> f32 {
    (rendezvous_score(u64::from(cookie.0), now.as_nanos() as u64) % 1_024) as f32 / 1_024.0
}

/// Returns the event of a change of an upstream's ejection.
pub(super) fn event(upstream: &UpstreamOutcomes, change: EjectionChange) -> FlowEvent {
    let (cookie, counts) = (upstream.cookie, upstream.merged);
    let (failed, observed) = (counts.failed as u32, counts.total as u32);
    match change {
        EjectionChange::Ejected { hold } => {
            let expected_percent = (counts.expected * 100.0 / counts.total.max(1.0)) as u32;
            FlowEvent::Ejected { cookie, failed, observed, expected_percent, hold }
        }
        EjectionChange::Readmitted { ejected_for } => {
            FlowEvent::Readmitted { cookie, failed, observed, ejected_for }
        }
    }
}
