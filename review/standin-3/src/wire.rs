//! Packets of the users' platform, as PROTOCOL.md gives them.

use std::net::Ipv4Addr;

pub const SYN: u8 = 128;
pub const ACK: u8 = 16;
pub const FIN: u8 = 32;
pub const RST: u8 = 64;
pub const HEAD: usize = 36;

/// The two ends of a flow, from the requester's side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    pub requester: Ipv4Addr,
    pub port: u16,
    pub route: Ipv4Addr,
    pub route_port: u16,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub src: Ipv4Addr,
    pub sport: u16,
    pub dst: Ipv4Addr,
    pub dport: u16,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub data: Vec<u8>,
    /// Whether `sum` is that of the sender.
    pub genuine: bool,
    pub sum: u32,
}

impl Packet {
    pub fn from_requester(key: FlowKey, flags: u8, seq: u32, ack: u32, echo: u32) -> Self {
        Self {
            src: key.requester,
            sport: key.port,
            dst: key.route,
            dport: key.route_port,
            echo,
            seq,
            ack,
            flags,
            data: Vec::new(),
            genuine: true,
            sum: 0,
        }
    }

    pub fn from_endpoint(key: FlowKey, flags: u8, seq: u32, ack: u32, echo: u32) -> Self {
        Self {
            src: key.route,
            sport: key.route_port,
            dst: key.requester,
            dport: key.port,
            ..Self::from_requester(key, flags, seq, ack, echo)
        }
    }

    pub fn with_data(mut self, data: &[u8]) -> Self {
        self.data = data.to_vec();
        self
    }

    pub fn key_from_requester(&self) -> FlowKey {
        FlowKey { requester: self.src, port: self.sport, route: self.dst, route_port: self.dport }
    }

    pub fn key_to_requester(&self) -> FlowKey {
        FlowKey { requester: self.dst, port: self.dport, route: self.src, route_port: self.sport }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        bytes[0..4].copy_from_slice(&u32::from(self.src).to_le_bytes());
        bytes[4..6].copy_from_slice(&self.dport.to_le_bytes());
        bytes[6..10].copy_from_slice(&u32::from(self.dst).to_le_bytes());
        bytes[10..12].copy_from_slice(&self.sport.to_le_bytes());
        bytes[16..20].copy_from_slice(&self.echo.to_le_bytes());
        bytes[20..24].copy_from_slice(&self.seq.to_le_bytes());
        bytes[24..28].copy_from_slice(&self.ack.to_le_bytes());
        bytes[28] = self.flags;
        bytes[34..36].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes.extend_from_slice(&self.data);
        let sum = keyed_sum(&bytes);
        bytes[12..16].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEAD {
            return None;
        }
        let u16_at = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        if usize::from(u16_at(34)) != bytes.len() - HEAD {
            return None;
        }
        Some(Self {
            src: Ipv4Addr::from(u32_at(0)),
            dport: u16_at(4),
            dst: Ipv4Addr::from(u32_at(6)),
            sport: u16_at(10),
            sum: u32_at(12),
            echo: u32_at(16),
            seq: u32_at(20),
            ack: u32_at(24),
            flags: bytes[28],
            data: bytes[HEAD..].to_vec(),
            genuine: keyed_sum(bytes) == u32_at(12),
        })
    }
}

/// A keyed sum over all fields but `sum`, `echo`, `pad` and the flag BOUNCED.
fn keyed_sum(bytes: &[u8]) -> u32 {
    let mut sum: u32 = 0x5eed_1234;
    for (at, byte) in bytes.iter().enumerate() {
        let byte = match at {
            12..=19 | 29..=33 => continue,
            28 => byte & !2,
            _ => *byte,
        };
        sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193).rotate_left(5);
    }
    sum | 1
}
