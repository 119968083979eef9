//! Parsing of IP packets.

use std::net::{Ipv4Addr, SocketAddrV4};

use etherparse::{IpNumber, Ipv4Slice, TcpHeaderSlice, UdpSlice};
use mustardgrade_core::flow::{FlowKey, FlowPacket, SegmentFlags};
use thiserror::Error;

/// `Result` of parsing a packet.
pub type Result<T> = std::result::Result<T, InnerError>;

/// `InnerError` is the reason why a packet could not be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InnerError {
    /// The packet is not IPv4, is truncated, or has inconsistent length fields.
    #[error("malformed IPv4 packet")]
    Malformed,
    /// The packet is a fragment; only the first fragment has the transport header with the ports.
    #[error("IPv4 packet is a fragment")]
    Fragment,
    /// The payload is neither TCP nor UDP; holds the IP protocol number.
    #[error("unsupported transport protocol {0}")]
    UnsupportedTransport(u8),
    /// The TCP or UDP header is truncated or inconsistent.
    #[error("malformed transport header")]
    MalformedTransportHeader,
}

/// `UdpDatagram` is the UDP datagram that an IP packet contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UdpDatagram<'a> {
    /// Address and port of the sender.
    pub source: SocketAddrV4,
    /// Address and port of the receiver.
    pub destination: SocketAddrV4,
    /// Data after the UDP header.
    pub payload: &'a [u8],
}

/// `InnerPacket` is a parsed IP packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InnerPacket<'a> {
    /// A TCP segment, which belongs to a flow.
    Tcp(FlowPacket),
    /// A UDP datagram, which may contain a CoAP request.
    Udp(UdpDatagram<'a>),
}

/// Parses an IPv4 packet up to the transport header.
///
/// # Errors
///
/// Fails if the packet is malformed, a fragment, or contains neither TCP nor UDP.
pub fn parse_packet(packet: &[u8]) -> Result<InnerPacket<'_>> {
    let ip_packet = Ipv4Slice::from_slice(packet).map_err(|_cause| InnerError::Malformed)?;
    if ip_packet.is_payload_fragmented() {
        return Err(InnerError::Fragment);
    }
    let header = ip_packet.header();
    let source = header.source_addr();
    let destination = header.destination_addr();
    let payload = ip_packet.payload().payload;
    match ip_packet.payload().ip_number {
        IpNumber::TCP => parse_tcp(source, destination, payload),
        IpNumber::UDP => parse_udp(source, destination, payload),
        protocol => Err(InnerError::UnsupportedTransport(protocol.0)),
    }
}

/// Returns the destination address of an IPv4 packet without parsing its payload.
///
/// # Errors
///
/// Fails if the packet has no valid IPv4 header.
pub fn destination_address(packet: &[u8]) -> Result<Ipv4Addr> {
    let header =
        etherparse::Ipv4HeaderSlice::from_slice(packet).map_err(|_cause| InnerError::Malformed)?;
    Ok(header.destination_addr())
}

fn parse_tcp(source: Ipv4Addr, destination: Ipv4Addr, payload: &[u8]) -> Result<InnerPacket<'_>> {
    let header = TcpHeaderSlice::from_slice(payload)
        .map_err(|_cause| InnerError::MalformedTransportHeader)?;
    let payload_length = payload.len() - header.slice().len();
    Ok(InnerPacket::Tcp(FlowPacket {
        key: FlowKey {
            caller: SocketAddrV4::new(source, header.source_port()),
            service: SocketAddrV4::new(destination, header.destination_port()),
        },
        flags: SegmentFlags {
            syn: header.syn(),
            ack: header.ack(),
            fin: header.fin(),
            rst: header.rst(),
        },
        sequence: header.sequence_number(),
        acknowledgement: header.acknowledgment_number(),
        payload_length: payload_length as u16,
    }))
}

fn parse_udp(source: Ipv4Addr, destination: Ipv4Addr, payload: &[u8]) -> Result<InnerPacket<'_>> {
    let datagram =
        UdpSlice::from_slice(payload).map_err(|_cause| InnerError::MalformedTransportHeader)?;
    Ok(InnerPacket::Udp(UdpDatagram {
        source: SocketAddrV4::new(source, datagram.source_port()),
        destination: SocketAddrV4::new(destination, datagram.destination_port()),
        payload: datagram.payload(),
    }))
}
