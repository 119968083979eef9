//! The platform's packets: a header of 36 bytes, little-endian, and the data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 128;
pub const ACK: u8 = 16;
pub const FIN: u8 = 32;
pub const RST: u8 = 64;

pub const HEADER_BYTES: usize = 36;

#[derive(Clone, Debug)]
pub struct Packet {
    pub source: SocketAddrV4,
    pub destination: SocketAddrV4,
    pub sum: u32,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(source: SocketAddrV4, destination: SocketAddrV4, flags: u8) -> Self {
        Self { source, destination, sum: 0, echo: 0, seq: 0, ack: 0, flags, data: Vec::new() }
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// A stand-in for the keyed sum over all fields except the echo; not 0.
    fn computed_sum(&self) -> u32 {
        let mut plain = self.clone();
        (plain.sum, plain.echo) = (0, 0);
        let bytes = plain.encode_fields();
        let hash = |sum: u32, byte: &u8| (sum ^ u32::from(*byte)).wrapping_mul(16_777_619);
        bytes.iter().fold(2_166_136_261 ^ 0x5eed_cafe, hash).max(1)
    }

    pub fn is_genuine(&self) -> bool {
        self.sum == self.computed_sum()
    }

    pub fn encode(mut self) -> Vec<u8> {
        self.sum = self.computed_sum();
        self.encode_fields()
    }

    fn encode_fields(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.data.len());
        bytes.extend(u32::from(*self.source.ip()).to_le_bytes());
        bytes.extend(self.destination.port().to_le_bytes());
        bytes.extend(u32::from(*self.destination.ip()).to_le_bytes());
        bytes.extend(self.source.port().to_le_bytes());
        for number in [self.sum, self.echo, self.seq, self.ack] {
            bytes.extend(number.to_le_bytes());
        }
        bytes.push(self.flags);
        bytes.extend([0; 5]);
        bytes.extend((self.data.len() as u16).to_le_bytes());
        bytes.extend(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let u16_at = |at: usize| Some(u16::from_le_bytes(bytes.get(at..at + 2)?.try_into().ok()?));
        let u32_at = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let data = bytes.get(HEADER_BYTES..)?.to_vec();
        if usize::from(u16_at(34)?) != data.len() {
            return None;
        }
        Some(Self {
            source: SocketAddrV4::new(Ipv4Addr::from(u32_at(0)?), u16_at(10)?),
            destination: SocketAddrV4::new(Ipv4Addr::from(u32_at(6)?), u16_at(4)?),
            sum: u32_at(12)?,
            echo: u32_at(16)?,
            seq: u32_at(20)?,
            ack: u32_at(24)?,
            flags: bytes[28],
            data,
        })
    }
}

/// A small generator of numbers that differ; nothing here needs to be unpredictable.
pub fn next_random(state: &mut u64) -> u32 {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (*state >> 33) as u32
}
