//! One log line for each decision on a flow.

use std::time::Duration;

use mustardgrade_core::cookie::{CookieSnapshot, FlowCookie, FlowEvent, ResetCause};
use mustardgrade_core::flow::FlowKey;

use crate::logging::{LineBudget, LineGrant};

/// Lines of one kind in a second.
const LINES_PER_SECOND: u32 = 20;

/// `FlowLines` writes the decisions of a traffic thread to the log.
#[derive(Debug)]
pub(super) struct FlowLines {
    opened: LineBudget,
    redirected: LineBudget,
    refused: LineBudget,
    reset: LineBudget,
    believed: LineBudget,
    reached: LineBudget,
    discarded: LineBudget,
}

impl FlowLines {
    pub(super) fn new() -> Self {
        let budget = LineBudget::new(LINES_PER_SECOND);
        Self {
            opened: budget,
            redirected: budget,
            refused: budget,
            reset: budget,
            believed: budget,
            reached: budget,
            discarded: budget,
        }
    }

    /// Writes a line for `event`, unless its kind has had its lines of this second; the times of
    /// answers are no decisions and go to histograms only.
    pub(super) fn write(&mut self, event: &FlowEvent, snapshot: &CookieSnapshot, now: Duration) {
        let budget = match event {
            FlowEvent::Opened { .. } => &mut self.opened,
            FlowEvent::Redirected { .. } => &mut self.redirected,
            FlowEvent::Reset {
                cause: ResetCause::NoUpstream | ResetCause::NoRoom | ResetCause::NoRoute,
                ..
            } => &mut self.refused,
            FlowEvent::Reset { .. } => &mut self.reset,
            FlowEvent::Suspected { .. } | FlowEvent::Recovered { .. } => &mut self.believed,
            FlowEvent::DataCentreUnreachable { .. } | FlowEvent::DataCentreReachable { .. } => {
                &mut self.reached
            }
            FlowEvent::Dropped { .. } => &mut self.discarded,
            FlowEvent::Answered { .. } => return,
        };
        let LineGrant::Write { omitted } = budget.ask(now) else { return };
        let version = snapshot.manifest_version;
        let revision = snapshot.store_revision;
        let upstream = |cookie| name(snapshot, cookie);
        match event {
            FlowEvent::Opened {
                key,
                cookie,
                in_flight: work,
                retransmission: copy,
                cold,
                spilled,
            } => log::info!(
                flow = id(key), key:% = key, upstream = upstream(*cookie), cookie:% = cookie,
                work, copy, cold, spilled, version, revision, omitted; "flow opened"
            ),
            FlowEvent::Redirected { key, from, to } => log::info!(
                flow = id(key), key:% = key, from = upstream(*from), to = upstream(*to),
                version, revision, omitted; "opening redirected"
            ),
            FlowEvent::Reset { key, cookie, cause } => log::info!(
                flow = id(key), key:% = key, upstream = upstream(*cookie), cause:% = cause,
                version, revision, omitted; "flow reset"
            ),
            FlowEvent::Suspected { cookie, unanswered_flows: unanswered, silence } => log::info!(
                upstream = upstream(*cookie), unanswered, silent_ms = silence.as_millis() as u64,
                revision, omitted; "upstream suspected"
            ),
            FlowEvent::Recovered { cookie } => log::info!(
                upstream = upstream(*cookie), revision, omitted; "upstream alive"
            ),
            FlowEvent::DataCentreUnreachable { data_centre, silent_upstreams: silent, silence } => {
                log::info!(
                    data_centre:% = data_centre, silent, silent_ms = silence.as_millis() as u64,
                    revision, omitted; "data centre out of reach"
                )
            }
            FlowEvent::DataCentreReachable { data_centre } => log::info!(
                data_centre:% = data_centre, revision, omitted; "data centre in reach"
            ),
            FlowEvent::Dropped { key, cookie, cause } => log::info!(
                flow = id(key), key:% = key, cookie:% = cookie, cause:% = cause,
                version, revision, omitted; "packet dropped"
            ),
            FlowEvent::Answered { .. } => {}
        }
    }
}

/// Returns the short id of a flow, the same on all hosts.
fn id(key: &FlowKey) -> String {
    format!("{:016x}", key.fingerprint(0))
}

fn name(snapshot: &CookieSnapshot, cookie: FlowCookie) -> &str {
    snapshot.upstream_index(cookie).map_or("-", |at| &snapshot.upstreams[at].name)
}
