//! Holders of flows, as hosts tell each other.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::controller::{controller, digest_of_peer, handle_at};
use crate::cookie::{FlowCookie, FlowHolder, LoadReport, PeerLoads};
use crate::flow::{FlowKey, FlowPacket, SegmentFlags};
use crate::identity::DataCentreId;
use crate::watch::{FleetDigest, FleetMessage, WatchInput, WatchOutput};

fn holder(port: u16) -> FlowHolder {
    let caller = std::net::SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port);
    let service = std::net::SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
    let key = FlowKey { caller, service };
    FlowHolder { key, cookie: FlowCookie(7), sequence: 101, acknowledgement: 5_001 }
}

fn packet(port: u16) -> FlowPacket {
    let flags = SegmentFlags { ack: true, ..SegmentFlags::default() };
    let key = holder(port).key;
    FlowPacket { key, flags, sequence: 151, acknowledgement: 5_101, payload_length: 50 }
}

/// Guards against hosts that a flow moves to, and that do not know which upstream holds it, since
/// on a calm day no load is reported.
#[test]
fn hosts_of_the_data_centre_are_told_of_holders() {
    let mut controller = controller();
    handle_at(&mut controller, WatchInput::Tick, 0);
    let local = digest_of_peer(0);
    let mut remote = digest_of_peer(0);
    remote.sender.address = Ipv4Addr::new(10, 0, 1, 2);
    remote.sender.data_centre = DataCentreId::from_name("b");
    for digest in [&local, &remote] {
        let message: FleetDigest = digest.clone();
        handle_at(&mut controller, WatchInput::Message(FleetMessage::Digest(message)), 10);
    }
    let report = LoadReport { holders: vec![holder(1), holder(2)], ..LoadReport::default() };
    let outputs = handle_at(&mut controller, WatchInput::LocalLoad(report), 20);
    let sent = outputs.iter().filter_map(|output| match output {
        WatchOutput::Send { to, message: FleetMessage::Holders(holders) } => Some((*to, holders)),
        _ => None,
    });
    assert_eq!(sent.collect::<Vec<_>>(), [(local.sender.address, &vec![holder(1), holder(2)])]);
}

/// Guards against holders that do not reach the traffic threads, or are never forgotten.
#[test]
fn holders_of_other_hosts_are_installed_and_forgotten() {
    let mut controller = controller();
    handle_at(&mut controller, WatchInput::Tick, 0);
    let message = FleetMessage::Holders(vec![holder(1)]);
    let outputs = handle_at(&mut controller, WatchInput::Message(message), 10);
    let installed = |outputs: &[WatchOutput]| -> Option<PeerLoads> {
        outputs.iter().rev().find_map(|output| match output {
            WatchOutput::InstallPeerLoads(loads) => Some(loads.clone()),
            _ => None,
        })
    };
    let loads = installed(&outputs).expect("the holders are installed");
    assert_eq!(loads.holder_of(&packet(1)), Some(FlowCookie(7)));
    assert_eq!(loads.holder_of(&packet(2)), None);
    for second in 1..40 {
        handle_at(&mut controller, WatchInput::Tick, second * 1_000);
    }
    let message = FleetMessage::Holders(vec![holder(2)]);
    let outputs = handle_at(&mut controller, WatchInput::Message(message), 40_000);
    let loads = installed(&outputs).expect("the holders are installed");
    let known = [1, 2].map(|port| loads.holder_of(&packet(port)).is_some());
    assert_eq!(known, [false, true], "{:?}", Duration::from_secs(40));
}
