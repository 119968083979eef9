//! Tests of packet reading and building.

use std::net::SocketAddrV4;

use expect_test::expect;
use proptest::prelude::*;

use super::{InnerPacket, build_reset, build_udp, parse_packet};

fn address(text: &str) -> SocketAddrV4 {
    text.parse().expect("test addresses are valid")
}

fn syn() -> Vec<u8> {
    let builder = etherparse::PacketBuilder::ipv4([192, 0, 2, 1], [203, 0, 113, 10], 64)
        .tcp(40_000, 443, 1_000, 512)
        .syn();
    let mut packet = Vec::new();
    builder.write(&mut packet, &[]).expect("the packet is small");
    packet
}

#[test]
fn damaged_packets_are_refused_with_a_cause() {
    let whole = syn();
    let mut fragment = whole.clone();
    fragment[6] = 0x20;
    let mut protocol = whole.clone();
    protocol[9] = 47;
    let mut offset = whole.clone();
    offset[32] = 0xF0;
    let cases = [&whole[..30], &fragment, &protocol, &offset, &[0x60, 0, 0, 0]];
    let report = cases.map(|case| match parse_packet(case) {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    });
    expect![[r#"
        not a whole IPv4 packet
        fragment
        transport protocol 47
        damaged transport header
        not a whole IPv4 packet"#]]
    .assert_eq(&report.join("\n"));
}

#[test]
fn a_reset_answers_the_segment() {
    let InnerPacket::Tcp(segment) = parse_packet(&syn()).expect("the packet is whole") else {
        panic!("the packet carries TCP");
    };
    let reset = build_reset(&segment);
    let parsed = parse_packet(&reset).expect("the reset is whole");
    expect!["Ok(Tcp(FlowPacket { key: FlowKey { caller: 203.0.113.10:443, service: 192.0.2.1:40000 }, flags: SegmentFlags { syn: false, ack: true, fin: false, rst: true }, sequence: 0, acknowledgement: 1001, payload_length: 0 }))"]
    .assert_eq(&format!("{:?}", Ok::<_, ()>(parsed)));
}

proptest! {
    #[test]
    fn datagrams_survive(payload in prop::collection::vec(any::<u8>(), 0..200)) {
        let from = address("192.0.2.1:5683");
        let to = address("203.0.113.10:5683");
        let packet = build_udp(from, to, &payload);
        let parsed = parse_packet(&packet).expect("built packets are whole");
        let InnerPacket::Udp(datagram) = parsed else { panic!("the packet carries UDP") };
        prop_assert_eq!(datagram.payload, payload.as_slice());
        prop_assert_eq!((datagram.source, datagram.destination), (from, to));
    }

    #[test]
    fn no_packet_panics(packet in prop::collection::vec(any::<u8>(), 0..80)) {
        let _outcome = parse_packet(&packet);
    }

    #[test]
    fn no_damaged_packet_panics(at in 0_usize..40, byte in any::<u8>(), length in 0_usize..=40) {
        let mut packet = syn();
        packet[at] = byte;
        let _outcome = parse_packet(&packet[..length]);
    }
}
