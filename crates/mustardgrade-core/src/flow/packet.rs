//! What the router needs to know of a packet.

use std::net::SocketAddrV4;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// `FlowKey` names a flow by the two addresses of its caller side.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{caller}>{service}")]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port of the service.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// Computes the fingerprint of the flow under a seed that all hosts share.
    #[must_use]
    pub fn fingerprint(&self, seed: u64) -> u64 {
        let mut bytes = [0_u8; 12];
        bytes[..4].copy_from_slice(&self.caller.ip().octets());
        bytes[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.service.ip().octets());
        bytes[10..].copy_from_slice(&self.service.port().to_be_bytes());
        xxh3_64_with_seed(&bytes, seed)
    }
}

/// `SegmentFlags` are the TCP flags that routing looks at (RFC 9293, section 3.1).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[expect(clippy::struct_excessive_bools, reason = "these are the flag bits of the TCP header")]
pub struct SegmentFlags {
    /// The segment opens the flow.
    pub syn: bool,
    /// The acknowledgement number is valid.
    pub ack: bool,
    /// The sender closes its side.
    pub fin: bool,
    /// The flow is reset.
    pub rst: bool,
}

/// `FlowPacket` is one segment from a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FlowPacket {
    /// The flow that the segment belongs to.
    pub key: FlowKey,
    /// Its flags.
    pub flags: SegmentFlags,
    /// Sequence number.
    pub sequence: u32,
    /// Acknowledgement number.
    pub acknowledgement: u32,
    /// Bytes of payload.
    pub payload_length: u16,
}

impl FlowPacket {
    /// Tells whether the segment opens a flow.
    #[must_use]
    pub fn opens_flow(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Tells whether the segment does nothing but acknowledge.
    #[must_use]
    pub fn is_pure_acknowledgement(&self) -> bool {
        let flags = self.flags;
        flags.ack && !(flags.syn || flags.fin || flags.rst) && self.payload_length == 0
    }

    /// Tells whether the segment ends a flow.
    #[must_use]
    pub fn closes_flow(&self) -> bool {
        self.flags.fin || self.flags.rst
    }
}
