//! The upstream that holds a flow, if two have answered its opening.

use std::time::Duration;

use super::flow_cookie::FlowCookie;
use super::packet::{CookiePacket, FlowEvent};
use super::router::CookieRouter;
use super::snapshot::CookieSnapshot;

/// Time for which a host corrects the cookies of a flow's packets. By then the upstream that holds
/// it has answered, so that the caller returns its cookie again.
const MAX_COOKIE_CORRECTION: Duration = Duration::from_secs(1);

impl CookieRouter {
    /// Returns the cookie of the upstream that holds the flow of a packet.
    ///
    /// Two upstreams may have answered the opening's transmissions. A late answer of the one that
    /// does not hold the flow replaces the cookie that the caller returns, until the other one
    /// answers again.
    pub(super) fn holder_cookie(
        &mut self,
        snapshot: &CookieSnapshot,
        packet: &CookiePacket,
        now: Duration,
    ) -> FlowCookie {
        let key = packet.segment.key;
        let Some(flow) = self.flows.get_mut(&key) else { return packet.cookie };
        let holder = snapshot.upstream_index(flow.cookie);
        if holder == snapshot.upstream_index(packet.cookie) {
            flow.foreign_cookie_since = None;
            return packet.cookie;
        }
        let since = flow.foreign_cookie_since.unwrap_or(now);
        let is_corrected = now.saturating_sub(since) < MAX_COOKIE_CORRECTION;
        if holder.is_none() || !flow.is_held_for(&packet.segment) || !is_corrected {
            return packet.cookie;
        }
        self.counters.cookies_corrected += 1;
        if flow.foreign_cookie_since.replace(since).is_none() {
            let (from, to) = (packet.cookie, flow.cookie);
            self.events.push(FlowEvent::CookieCorrected { key, from, to });
        }
        flow.cookie
    }
}
