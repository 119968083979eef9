//! Holders that other hosts have observed.

use std::collections::HashMap;
use std::time::Duration;

use super::flow_holder::FlowHolder;
use crate::cookie::flow_cookie::FlowCookie;
use crate::flow::{FlowKey, FlowPacket};

/// Time for which a holder is remembered. An upstream repeats its answer to an opening for 10 s, and
/// the caller may then pause for as long as flows may be idle.
const HOLDER_RETENTION: Duration = Duration::from_secs(30);

/// Interval at which expired holders are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of holders that are remembered.
const MAX_HOLDERS: usize = 8_192;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReportedHolder {
    holder: FlowHolder,
    received_at: Duration,
}

/// `PeerHolders` holds the holders of flows that other hosts have observed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerHolders {
    by_flow: HashMap<FlowKey, ReportedHolder>,
    last_expiry: Duration,
}

impl PeerHolders {
    /// Records holders that another host has observed.
    pub fn record(&mut self, holders: &[FlowHolder], now: Duration) {
        for holder in holders {
            if self.by_flow.len() >= MAX_HOLDERS && !self.by_flow.contains_key(&holder.key) {
                return;
            }
            self.by_flow.insert(holder.key, ReportedHolder { holder: *holder, received_at: now });
        }
    }

    /// Returns whether [`remove_expired`](Self::remove_expired) is due.
    #[must_use]
    pub fn is_expiry_due(&self, now: Duration) -> bool {
        !self.by_flow.is_empty() && now.saturating_sub(self.last_expiry) >= EXPIRY_INTERVAL
    }

    /// Removes the holders that were received too long ago.
    pub fn remove_expired(&mut self, now: Duration) {
        self.last_expiry = now;
        self.by_flow.retain(|_, known| now.saturating_sub(known.received_at) <= HOLDER_RETENTION);
    }

    /// Returns the cookie of the upstream that holds the flow of a packet, if another host has told.
    #[must_use]
    pub fn holder_of(&self, packet: &FlowPacket) -> Option<FlowCookie> {
        let known = self.by_flow.get(&packet.key)?;
        known.holder.includes(packet).then_some(known.holder.cookie)
    }
}
