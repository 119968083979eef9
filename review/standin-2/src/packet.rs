//! Packets as `PROTOCOL.md` describes them.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 128;
pub const ACK: u8 = 16;
pub const FIN: u8 = 32;
pub const RST: u8 = 64;

const HEAD_BYTES: usize = 36;

/// Key of the sum that the ends of a flow use; a reset of the system's own has sum 0.
const SUM_KEY: u32 = 0x5bd1_e995;

#[derive(Debug, Clone)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub sum: u32,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(src: SocketAddrV4, dst: SocketAddrV4, flags: u8) -> Self {
        Self { src, dst, sum: 0, echo: 0, seq: 0, ack: 0, flags, data: Vec::new() }
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Sum over all fields except `echo`, `pad` and BOUNCED.
    pub fn expected_sum(&self) -> u32 {
        let mut sum = SUM_KEY;
        let mut mix = |value: u32| sum = (sum ^ value).rotate_left(7).wrapping_mul(0x0100_0193);
        mix(u32::from(*self.src.ip()));
        mix(u32::from(*self.dst.ip()));
        mix(u32::from(self.src.port()) << 16 | u32::from(self.dst.port()));
        mix(self.seq);
        mix(self.ack);
        mix(u32::from(self.flags & !2));
        self.data.iter().for_each(|byte| mix(u32::from(*byte)));
        sum.max(1)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD_BYTES + self.data.len());
        out.extend_from_slice(&u32::from(*self.src.ip()).to_le_bytes());
        out.extend_from_slice(&self.dst.port().to_le_bytes());
        out.extend_from_slice(&u32::from(*self.dst.ip()).to_le_bytes());
        out.extend_from_slice(&self.src.port().to_le_bytes());
        out.extend_from_slice(&self.expected_sum().to_le_bytes());
        out.extend_from_slice(&self.echo.to_le_bytes());
        out.extend_from_slice(&self.seq.to_le_bytes());
        out.extend_from_slice(&self.ack.to_le_bytes());
        out.push(self.flags);
        out.extend_from_slice(&[0; 5]);
        out.extend_from_slice(&(self.data.len() as u16).to_le_bytes());
        out.extend_from_slice(&self.data);
        out
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let data = bytes.get(HEAD_BYTES..)?;
        let u16_at = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        if usize::from(u16_at(34)) != data.len() {
            return None;
        }
        Some(Self {
            src: SocketAddrV4::new(Ipv4Addr::from(u32_at(0)), u16_at(10)),
            dst: SocketAddrV4::new(Ipv4Addr::from(u32_at(6)), u16_at(4)),
            sum: u32_at(12),
            echo: u32_at(16),
            seq: u32_at(20),
            ack: u32_at(24),
            flags: bytes[28],
            data: data.to_vec(),
        })
    }
}
