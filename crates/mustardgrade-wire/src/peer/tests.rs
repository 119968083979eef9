//! Tests of sealed frames.

use mustardgrade_core::identity::{HostId, HostIncarnation};
use proptest::prelude::*;

use super::*;

fn keys(current: &str, previous: Option<&str>) -> FleetKeys {
    let derive = |secret: &str| FleetKey::derive(secret.as_bytes()).expect("secrets are long");
    FleetKeys { current: derive(current), previous: previous.map(derive) }
}

fn sealer(secret: &str) -> FrameSealer {
    let from = HostIncarnation { host: HostId(1), incarnation: 2 };
    FrameSealer::new(from, 0, keys(secret, None))
}

#[test]
fn frames_are_opened_once_and_only_under_a_key_in_force() {
    let frame = sealer("the first secret").seal(&PeerCall::State, b"rest");
    let mut opener = FrameOpener::new(keys("the second secret", Some("the first secret")));
    let opened = opener.open::<PeerCall>(&frame).expect("the old key is still in force");
    assert_eq!((opened.body, opened.rest), (PeerCall::State, b"rest".as_slice()));
    assert_eq!(opener.open::<PeerCall>(&frame), Err(FrameError::Replayed));
    let mut stranger = FrameOpener::new(keys("the second secret", None));
    assert_eq!(stranger.open::<PeerCall>(&frame), Err(FrameError::Forged));
    assert_eq!(FleetKey::derive(b"short"), Err(FrameError::WeakSecret));
}

proptest! {
    #[test]
    fn the_window_accepts_each_number_once(numbers in prop::collection::vec(1_u64..3_000, 1..200)) {
        let mut window = ReplayWindow::default();
        let mut accepted = std::collections::HashSet::new();
        let mut highest = 0;
        for number in numbers {
            let fresh = window.accept(number);
            let too_old = number + 1_024 <= highest;
            prop_assert_eq!(fresh, !too_old && !accepted.contains(&number));
            if fresh {
                accepted.insert(number);
            }
            highest = highest.max(number);
        }
    }

    #[test]
    fn a_changed_frame_is_refused(at in 0_usize..40, bit in 0_u8..8) {
        let mut frame = sealer("the first secret").seal(&PeerCall::State, b"rest");
        let at = at % frame.len();
        frame[at] ^= 1 << bit;
        let mut opener = FrameOpener::new(keys("the first secret", None));
        prop_assert_eq!(opener.open::<PeerCall>(&frame), Err(FrameError::Forged));
    }
}
