//! The packet fields that routing reads.

use std::net::SocketAddrV4;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// `FlowKey` identifies a flow by the addresses of its caller and of the service it called.
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
    /// Computes the keyed hash of the flow; hosts agree on it only if they use the same `seed`.
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

/// `SegmentFlags` are the TCP control bits that routing reads (RFC 9293, section 3.1).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[expect(clippy::struct_excessive_bools, reason = "these are the flag bits of the TCP header")]
pub struct SegmentFlags {
    /// Synchronizes sequence numbers; set on the first segment of each side.
    pub syn: bool,
    /// The acknowledgement number of the segment is valid.
    pub ack: bool,
    /// The sender has no more data to send.
    pub fin: bool,
    /// The sender aborts the connection.
    pub rst: bool,
}

/// `FlowPacket` is one TCP segment sent by a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FlowPacket {
    /// The flow that the segment belongs to.
    pub key: FlowKey,
    /// TCP control bits of the segment.
    pub flags: SegmentFlags,
    /// Sequence number of the first byte of the segment.
    pub sequence: u32,
    /// Next sequence number that the caller expects from the service.
    pub acknowledgement: u32,
    /// Length of the TCP payload in bytes.
    pub payload_length: u16,
}

impl FlowPacket {
    /// Returns whether this is the SYN of a new flow.
    #[must_use]
    pub fn opens_flow(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Returns whether the segment only acknowledges: an ACK without payload, SYN, FIN or RST.
    #[must_use]
    pub fn is_pure_acknowledgement(&self) -> bool {
        let flags = self.flags;
        flags.ack && !(flags.syn || flags.fin || flags.rst) && self.payload_length == 0
    }

    /// Returns whether the segment carries FIN or RST.
    #[must_use]
    pub fn closes_flow(&self) -> bool {
        self.flags.fin || self.flags.rst
    }
}
