//! Tests of GUE encapsulation and decapsulation.

use proptest::prelude::*;

use super::{GueError, decapsulate, encapsulate};

#[test]
fn malformed_datagrams_are_rejected() {
    assert_eq!(decapsulate(&[]), Err(GueError::Truncated(0)));
    assert_eq!(decapsulate(&[0, 4]), Err(GueError::Truncated(2)));
    assert_eq!(decapsulate(&[3, 4, 0, 0, 1]), Err(GueError::Truncated(5)));
    assert_eq!(decapsulate(&[0x20, 4, 0, 0]), Err(GueError::UnsupportedPayload));
    assert_eq!(decapsulate(&[0x60]), Err(GueError::UnsupportedPayload));
    assert_eq!(decapsulate(&[0xC0]), Err(GueError::UnknownVariant(3)));
}

proptest! {
    #[test]
    fn encapsulated_packets_round_trip(packet in prop::collection::vec(any::<u8>(), 0..100)) {
        let mut datagram = Vec::new();
        encapsulate(&packet, &mut datagram);
        prop_assert_eq!(decapsulate(&datagram), Ok(packet.as_slice()));
    }

    #[test]
    fn decapsulating_arbitrary_datagrams_does_not_panic(
        datagram in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let _result = decapsulate(&datagram);
    }
}
