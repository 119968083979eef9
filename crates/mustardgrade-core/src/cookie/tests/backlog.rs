//! Order of the packets of a host that receives more than it can route.

use super::fixtures::{
    DESK_ROUTE, cookie_of_upstream_1, established_packet, flow_key, ms, syn_packet,
};
use crate::cookie::{CookiePacket, DuePacket, PacketBacklog, WaitingPacket};

fn waiting(packet: CookiePacket, received_after_ms: u64) -> WaitingPacket {
    WaitingPacket { packet, datagram: Vec::new(), received_after: ms(received_after_ms) }
}

fn opening(caller: u32, received_after_ms: u64) -> WaitingPacket {
    waiting(syn_packet(flow_key(caller, DESK_ROUTE), 0), received_after_ms)
}

fn request(caller: u32, received_after_ms: u64) -> WaitingPacket {
    let key = flow_key(caller, DESK_ROUTE);
    waiting(established_packet(key, cookie_of_upstream_1(), 101, 1, 200), received_after_ms)
}

#[test]
fn packets_of_open_flows_go_before_openings() {
    let mut backlog = PacketBacklog::default();
    let packets = [opening(1, 1_000), request(2, 1_000), opening(3, 1_020), request(4, 1_020)];
    for packet in packets.clone() {
        backlog.push(packet);
    }
    let order: Vec<_> = std::iter::from_fn(|| backlog.pop(ms(1_050))).collect();
    let expected = [1, 3, 0, 2].map(|index| DuePacket::Route(packets[index].clone()));
    assert_eq!(order, expected);
}

/// Guards against an overloaded host that serves each caller late.
#[test]
fn only_openings_are_shed_when_they_have_waited() {
    let mut backlog = PacketBacklog::default();
    for packet in [opening(1, 1_000), opening(2, 1_080), request(3, 1_000)] {
        backlog.push(packet);
    }
    assert_eq!(backlog.pop(ms(1_120)), Some(DuePacket::Route(request(3, 1_000))));
    assert_eq!(backlog.pop(ms(1_120)), Some(DuePacket::Shed(opening(1, 1_000))));
    assert_eq!(backlog.pop(ms(1_120)), Some(DuePacket::Route(opening(2, 1_080))));
    assert_eq!((backlog.pop(ms(1_120)), backlog.is_empty()), (None, true));
}
