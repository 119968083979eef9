//! Building of IP packets.

use std::net::SocketAddrV4;

use etherparse::PacketBuilder;
use mustardgrade_core::flow::FlowPacket;

/// Time to live of the packets, as recommended by RFC 1700.
const TIME_TO_LIVE: u8 = 64;

/// Builds an IPv4 packet that contains a UDP datagram.
///
/// # Panics
///
/// Panics if the payload does not fit into a UDP datagram; the caller must ensure that it does.
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
    builder.write(&mut packet, payload).expect("the payload fits into a UDP datagram");
    packet
}

/// Builds the TCP reset that tells a caller that its connection no longer exists (RFC 9293, section
/// 3.5.2).
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
    // The caller accepts a reset only with the sequence number that it expects next.
    let sequence = if packet.flags.ack { packet.acknowledgement } else { 0 };
    let builder = PacketBuilder::ipv4(service.ip().octets(), caller.ip().octets(), TIME_TO_LIVE)
        .tcp(service.port(), caller.port(), sequence, 0)
        .rst()
        .ack(packet.sequence.wrapping_add(segment_length));
    let mut reset = Vec::with_capacity(builder.size(0));
    builder.write(&mut reset, &[]).expect("a packet without payload fits into an IPv4 packet");
    reset
}
