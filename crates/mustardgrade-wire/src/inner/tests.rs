//! Tests of parsing and building IP packets.

use std::net::SocketAddrV4;

use expect_test::expect;
use proptest::prelude::*;

use super::{InnerPacket, build_tcp_reset, build_udp_packet, parse_packet};

fn address(text: &str) -> SocketAddrV4 {
    text.parse().expect("test addresses are valid")
}

fn syn_packet() -> Vec<u8> {
    let builder = etherparse::PacketBuilder::ipv4([192, 0, 2, 1], [203, 0, 113, 10], 64)
        .tcp(40_000, 443, 1_000, 512)
        .syn();
    let mut packet = Vec::new();
    builder.write(&mut packet, &[]).expect("the packet is small");
    packet
}

#[test]
fn rejected_packets_report_the_reason() {
    let valid = syn_packet();
    let mut fragment = valid.clone();
    fragment[6] = 0x20;
    let mut unsupported_transport = valid.clone();
    unsupported_transport[9] = 47;
    let mut invalid_data_offset = valid.clone();
    invalid_data_offset[32] = 0xF0;
    let cases =
        [&valid[..30], &fragment, &unsupported_transport, &invalid_data_offset, &[0x60, 0, 0, 0]];
    let report = cases.map(|case| match parse_packet(case) {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    });
    expect![[r#"
        malformed IPv4 packet
        IPv4 packet is a fragment
        unsupported transport protocol 47
        malformed transport header
        malformed IPv4 packet"#]]
    .assert_eq(&report.join("\n"));
}

#[test]
fn reset_acknowledges_the_segment_from_the_service_address() {
    let InnerPacket::Tcp(segment) = parse_packet(&syn_packet()).expect("the packet is valid")
    else {
        panic!("the packet should contain TCP");
    };
    let reset = build_tcp_reset(&segment);
    let parsed = parse_packet(&reset).expect("the reset is valid");
    expect!["Ok(Tcp(FlowPacket { key: FlowKey { caller: 203.0.113.10:443, service: 192.0.2.1:40000 }, flags: SegmentFlags { syn: false, ack: true, fin: false, rst: true }, sequence: 0, acknowledgement: 1001, payload_length: 0 }))"]
    .assert_eq(&format!("{:?}", Ok::<_, ()>(parsed)));
}

proptest! {
    #[test]
    fn udp_packets_round_trip(payload in prop::collection::vec(any::<u8>(), 0..200)) {
        let source = address("192.0.2.1:5683");
        let destination = address("203.0.113.10:5683");
        let packet = build_udp_packet(source, destination, &payload);
        let parsed = parse_packet(&packet).expect("built packets are valid");
        let InnerPacket::Udp(datagram) = parsed else { panic!("the packet should contain UDP") };
        prop_assert_eq!(datagram.payload, payload.as_slice());
        prop_assert_eq!((datagram.source, datagram.destination), (source, destination));
    }

    #[test]
    fn parsing_arbitrary_packets_does_not_panic(
        packet in prop::collection::vec(any::<u8>(), 0..80),
    ) {
        let _result = parse_packet(&packet);
    }

    #[test]
    fn parsing_corrupted_packets_does_not_panic(
        index in 0_usize..40,
        byte in any::<u8>(),
        length in 0_usize..=40,
    ) {
        let mut packet = syn_packet();
        packet[index] = byte;
        let _result = parse_packet(&packet[..length]);
    }
}
