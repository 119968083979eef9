//! Which upstream holds a flow, as hosts tell each other.

use serde::{Deserialize, Serialize};

use crate::cookie::flow_cookie::FlowCookie;
use crate::cookie::observed_flows::may_share_flow;
use crate::flow::{FlowKey, FlowPacket};

/// `FlowHolder` names the upstream that a caller has accepted for a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowHolder {
    /// Addresses of the flow.
    pub key: FlowKey,
    /// Cookie of the upstream.
    pub cookie: FlowCookie,
    /// Sequence number of the caller's acceptance.
    pub sequence: u32,
    /// Acknowledgement number of the caller's acceptance.
    pub acknowledgement: u32,
}

impl FlowHolder {
    /// Returns the holder that a caller's acceptance names.
    #[must_use]
    pub fn of_acceptance(packet: &FlowPacket, cookie: FlowCookie) -> Self {
        let FlowPacket { key, sequence, acknowledgement, .. } = *packet;
        Self { key, cookie, sequence, acknowledgement }
    }

    /// Returns whether a packet belongs to the flow, and not to another one with the same addresses,
    /// by its sequence numbers.
    #[must_use]
    pub fn includes(&self, packet: &FlowPacket) -> bool {
        packet.key == self.key
            && may_share_flow(packet.sequence, self.sequence)
            && may_share_flow(packet.acknowledgement, self.acknowledgement)
    }
}
