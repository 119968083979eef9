//! Building of IP packets that hosts send to callers.

use std::net::SocketAddrV4;

use etherparse::PacketBuilder;
use mustardgrade_core::flow::FlowPacket;

/// Time to live of built packets; the value that RFC 1700 recommends.
const TIME_TO_LIVE: u8 = 64;

/// Builds a packet with a UDP datagram.
///
/// # Panics
///
/// Panics if the payload does not fit a datagram, which callers of this function rule out.
#[must_use]
pub fn build_udp_packet(
    source: SocketAddrV4,
    destination: SocketAddrV4,
    payload: &[u8],
) -> Vec<u8> {
    let builder =
        PacketBuilder::ipv4(source.ip().octets(), destination.ip().octets(), TIME_TO_LIVE)
            .udp(source.port(), destination.port());
    let mut packet = Vec::with_capacity(builder.size(payload.len()));
    builder.write(&mut packet, payload).expect("a vector takes every packet within 64 KiB");
    packet
}

/// Builds the reset that tells a caller that its flow is gone (RFC 9293, section 3.5.2).
///
/// # Panics
///
/// Never panics: the packet has no payload.
#[must_use]
pub fn build_tcp_reset(packet: &FlowPacket) -> Vec<u8> {
    let service = packet.key.service;
    let caller = packet.key.caller;
    let segment_length = u32::from(packet.payload_length)
        + u32::from(packet.flags.syn)
        + u32::from(packet.flags.fin);
    // A reset is accepted if it stands where the caller expects the next byte.
    let sequence = if packet.flags.ack { packet.acknowledgement } else { 0 };
    let builder = PacketBuilder::ipv4(service.ip().octets(), caller.ip().octets(), TIME_TO_LIVE)
        .tcp(service.port(), caller.port(), sequence, 0)
        .rst()
        .ack(packet.sequence.wrapping_add(segment_length));
    let mut reset = Vec::with_capacity(builder.size(0));
    builder.write(&mut reset, &[]).expect("a vector takes every packet");
    reset
}
