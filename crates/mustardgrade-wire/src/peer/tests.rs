//! Tests of sealed frames and replay windows.

use std::net::Ipv4Addr;

use mustardgrade_core::cookie::{
    FlowCookie, FlowHolder, LoadEntry, LoadReport, OutcomeEntry, SpeedEntry,
};
use mustardgrade_core::flow::FlowKey;
use mustardgrade_core::identity::{HostId, HostIncarnation};
use mustardgrade_core::watch::FleetMessage;
use proptest::prelude::*;

use super::*;

fn fleet_keys(current: &str, previous: Option<&str>) -> FleetKeys {
    let derive =
        |secret: &str| FleetKey::derive(secret.as_bytes()).expect("the secret is long enough");
    FleetKeys { current: derive(current), previous: previous.map(derive) }
}

fn sealer(secret: &str) -> FrameSealer {
    let sender = HostIncarnation { host: HostId(1), incarnation: 2 };
    FrameSealer::new(sender, 0, fleet_keys(secret, None))
}

#[test]
fn frames_open_once_and_only_with_the_current_or_previous_key() {
    let frame = sealer("the first secret").seal(&PeerCall::Configuration, b"rest");
    let mut opener = FrameOpener::new(fleet_keys("the second secret", Some("the first secret")));
    let opened = opener.open::<PeerCall>(&frame).expect("the previous key is still accepted");
    assert_eq!((opened.body, opened.trailing_bytes), (PeerCall::Configuration, b"rest".as_slice()));
    assert_eq!(opener.open::<PeerCall>(&frame), Err(FrameError::Replayed));
    let mut opener_without_old_key = FrameOpener::new(fleet_keys("the second secret", None));
    assert_eq!(opener_without_old_key.open::<PeerCall>(&frame), Err(FrameError::NotAuthentic));
    assert_eq!(FleetKey::derive(b"short"), Err(FrameError::SecretTooShort));
}

/// Returns the size of a sealed load report with the given numbers of entries and speeds.
fn report_size(entries: usize, speeds: usize, in_flight: u16) -> usize {
    report_size_with(entries, speeds, 0, in_flight)
}

fn report_size_with(entries: usize, speeds: usize, outcomes: usize, in_flight: u16) -> usize {
    let entry = |number: usize| LoadEntry {
        cookie: FlowCookie(u32::MAX - number as u32),
        in_flight,
        unanswered_flows: in_flight / 1_000,
        unanswered_age_ms: u16::MAX,
        alive_age_ms: in_flight.max(40),
    };
    let speed = |number: usize| SpeedEntry { position: number as u8, ratio: 255, samples: 255 };
    let cookie = FlowCookie(u32::MAX);
    let outcome = OutcomeEntry { cookie, total: 255, failed: 255, slow: 255, expected: 255 };
    let report = LoadReport {
        entries: (0..entries).map(entry).collect(),
        speeds: (0..speeds).map(speed).collect(),
        outcomes: vec![outcome; outcomes],
        ..LoadReport::default()
    };
    let message = FleetMessage::Load(Ipv4Addr::new(10, 0, 0, 1), report);
    sealer("the first secret").seal(&PeerMessage::Fleet(message), &[]).len()
}

/// Guards against reports that exceed a datagram or grow by 5% or more because of the speeds.
#[test]
fn load_report_with_speeds_fits_in_one_datagram() {
    assert!(report_size(96, 16, u16::MAX) <= 2_048);
    // At most 24 upstreams with failed requests are listed.
    assert!(report_size_with(96, 16, 24, u16::MAX) <= 2_048);
    for (entries, speeds) in [(12, 2), (48, 8), (96, 16)] {
        let without_speeds = report_size(entries, 0, 3);
        assert!(report_size(entries, speeds, 3) * 100 < without_speeds * 105);
    }
}

/// Guards against messages about holders that exceed a datagram.
#[test]
fn message_with_the_most_holders_fits_in_one_datagram() {
    let socket = "255.255.255.255:65535".parse().expect("valid socket address");
    let holder = FlowHolder {
        key: FlowKey { caller: socket, service: socket },
        cookie: FlowCookie(u32::MAX),
        sequence: u32::MAX,
        acknowledgement: u32::MAX,
    };
    let message = FleetMessage::Holders(vec![holder; 32]);
    assert!(sealer("the first secret").seal(&PeerMessage::Fleet(message), &[]).len() <= 2_048);
}

proptest! {
    #[test]
    fn replay_window_accepts_each_sequence_number_once(
        sequences in prop::collection::vec(1_u64..3_000, 1..200),
    ) {
        let mut window = ReplayWindow::default();
        let mut accepted = std::collections::HashSet::new();
        let mut highest = 0;
        for sequence in sequences {
            let is_new = window.accept(sequence);
            let too_old = sequence + 1_024 <= highest;
            prop_assert_eq!(is_new, !too_old && !accepted.contains(&sequence));
            if is_new {
                accepted.insert(sequence);
            }
            highest = highest.max(sequence);
        }
    }

    #[test]
    fn frame_with_a_flipped_bit_is_rejected(index in 0_usize..40, bit in 0_u8..8) {
        let mut frame = sealer("the first secret").seal(&PeerCall::Configuration, b"rest");
        let index = index % frame.len();
        frame[index] ^= 1 << bit;
        let mut opener = FrameOpener::new(fleet_keys("the first secret", None));
        prop_assert_eq!(opener.open::<PeerCall>(&frame), Err(FrameError::NotAuthentic));
    }
}
