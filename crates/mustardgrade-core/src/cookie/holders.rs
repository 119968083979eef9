//! The upstream that holds a flow, if two have answered its opening.

use super::flow_cookie::FlowCookie;
use super::packet::{CookiePacket, FlowEvent};
use super::router::CookieRouter;
use super::snapshot::CookieSnapshot;

impl CookieRouter {
    /// Returns the cookie of the upstream that holds the flow of a packet.
    ///
    /// Two upstreams may have answered the opening's transmissions. A late answer of the one that
    /// does not hold the flow replaces the cookie that the caller returns, until the other one
    /// answers again. Packets would be reset there, so they go to the known holder for as long as
    /// the caller returns the wrong cookie.
    pub(super) fn holder_cookie(
        &mut self,
        snapshot: &CookieSnapshot,
        packet: &CookiePacket,
    ) -> FlowCookie {
        let key = packet.segment.key;
        let Some(flow) = self.flows.get_mut(&key) else { return packet.cookie };
        let holder = snapshot.upstream_index(flow.cookie);
        if holder == snapshot.upstream_index(packet.cookie) {
            flow.has_foreign_cookie = false;
            return packet.cookie;
        }
        if holder.is_none() || !flow.is_held_for(&packet.segment) {
            return packet.cookie;
        }
        self.counters.cookies_corrected += 1;
        if !std::mem::replace(&mut flow.has_foreign_cookie, true) {
            let (from, to) = (packet.cookie, flow.cookie);
            self.events.push(FlowEvent::CookieCorrected { key, from, to });
        }
        flow.cookie
    }
}
