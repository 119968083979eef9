//! Resets of the observed flows of ended runs, before their next request.

use std::time::Duration;

use crate::cookie::counters::ResetCause;
use crate::cookie::observed_flows::{FlowStage, ObservedFlow};
use crate::cookie::packet::{CookiePacket, FlowEvent};
use crate::cookie::router::{CookieRouter, FabricKind};
use crate::flow::{FlowKey, FlowPacket, SegmentFlags};

/// Maximum number of idle flows that are reset in one tick of the traffic thread, so that their
/// callers' new openings do not come all at once, and packets do not wait for the resets.
const MAX_RESETS_PER_TICK: usize = 64;

impl CookieRouter {
    /// Appends to `resets` a packet of each observed open flow of an ended run that is to be reset
    /// now; its sequence numbers are those of the caller's last packet.
    ///
    /// The flows are removed. To be called once a tick.
    pub fn take_ended_flows(&mut self, now: Duration, resets: &mut Vec<CookiePacket>) {
        if self.ended_runs.idle_flows.is_empty() {
            return;
        }
        self.update_ended_runs(now);
        if self.has_backlog(now) || !self.ended_runs.is_current(now) {
            return;
        }
        for _ in 0..MAX_RESETS_PER_TICK {
            let Some(key) = self.ended_runs.idle_flows.pop_front() else { return };
            let Some(flow) = self.flows.get(&key).copied() else { continue };
            if !self.resets_idle_flow(&flow, now) {
                continue;
            }
            self.remove_flow(&key);
            let cause = ResetCause::UpstreamEnded;
            self.counters.count_reset(cause);
            self.events.push(FlowEvent::Reset { key, cookie: flow.cookie, cause });
            resets.push(last_packet(key, &flow));
        }
    }

    /// Returns whether a flow is certain to be that of an ended run in scope still. If its packets may pass
    /// another host, its caller may have opened another flow with the same addresses there.
    fn resets_idle_flow(&self, flow: &ObservedFlow, now: Duration) -> bool {
        let index = self.snapshot.running_index(flow.cookie);
        index.is_some_and(|index| self.load_model.is_modelled(index))
            && flow.stage == FlowStage::Open
            && !flow.has_foreign_cookie
            && self.options.fabric == FabricKind::Hash
            && self.ended_runs.keeps_host(flow.last_seen)
            && self.ended_runs.has_ended(flow.cookie, now)
    }
}

/// Returns an empty packet of a flow with the numbers of its caller's last one.
fn last_packet(key: FlowKey, flow: &ObservedFlow) -> CookiePacket {
    let segment = FlowPacket {
        key,
        flags: SegmentFlags { ack: true, ..SegmentFlags::default() },
        sequence: flow.next_sequence,
        acknowledgement: flow.last_acknowledgement,
        payload_length: 0,
    };
    CookiePacket { segment, cookie: flow.cookie }
}
