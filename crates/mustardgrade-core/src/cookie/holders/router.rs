//! What a router learns of the holders of flows, and how it follows them.

use super::flow_holder::FlowHolder;
use crate::cookie::flow_cookie::FlowCookie;
use crate::cookie::observed_flows::ObservedFlow;
use crate::cookie::packet::{CookiePacket, FlowEvent};
use crate::cookie::router::CookieRouter;
use crate::cookie::snapshot::CookieSnapshot;
use crate::flow::FlowPacket;

impl CookieRouter {
    /// Returns the cookie of the upstream that holds the flow of a packet.
    ///
    /// Two upstreams may have answered the opening's transmissions. A late answer of the one that
    /// does not hold the flow replaces the cookie that the caller returns, until the other one
    /// answers again. Packets would be reset there, so they go to the known holder for as long as
    /// the caller returns the wrong cookie.
    pub(in crate::cookie) fn holder_cookie(
        &mut self,
        snapshot: &CookieSnapshot,
        packet: &CookiePacket,
    ) -> FlowCookie {
        let segment = &packet.segment;
        let flow = self.flows.get_mut(&segment.key);
        let observed = flow.as_ref().filter(|flow| flow.is_held_for(segment));
        let observed = observed.map(|flow| flow.cookie);
        let holder = observed.or_else(|| self.peers.holder_of(segment));
        let is_other_upstream = |holder: &FlowCookie| {
            let index = snapshot.upstream_index(*holder);
            index.is_some() && index != snapshot.upstream_index(packet.cookie)
        };
        let holder = holder.filter(is_other_upstream);
        let was_foreign = flow
            .is_some_and(|flow| std::mem::replace(&mut flow.has_foreign_cookie, holder.is_some()));
        let Some(holder) = holder else { return packet.cookie };
        self.counters.cookies_corrected += 1;
        if !was_foreign {
            let (key, from) = (segment.key, packet.cookie);
            self.events.push(FlowEvent::CookieCorrected { key, from, to: holder });
        }
        holder
    }

    /// Returns whether a transmission of an opening that goes to the upstream `index` may not be the
    /// only one that an upstream receives: an earlier one has gone to another upstream, or may have
    /// passed another host.
    pub(in crate::cookie) fn is_contested_opening(
        &self,
        snapshot: &CookieSnapshot,
        opening: &FlowPacket,
        index: usize,
    ) -> bool {
        let earlier = self.flows.get(&opening.key).filter(|flow| flow.continues_opening(opening));
        match earlier {
            Some(flow) => flow.is_contested || snapshot.upstream_index(flow.cookie) != Some(index),
            None => opening.acknowledgement > 0,
        }
    }

    /// Notes that the caller has accepted the upstream with this cookie. Other hosts are told if
    /// another upstream may have answered, too.
    pub(in crate::cookie) fn note_acceptance(
        &mut self,
        opening: &ObservedFlow,
        packet: &FlowPacket,
        cookie: FlowCookie,
    ) {
        if opening.is_contested || opening.cookie != cookie {
            self.holder_announcements.add(FlowHolder::of_acceptance(packet, cookie));
        }
    }
}
