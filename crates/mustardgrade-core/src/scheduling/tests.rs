//! Tests of the schedule of a traffic thread.

use std::time::Duration;

use super::{ReceiveSchedule, ReceiveStep};

/// Time from one packet to the next at a socket that never empties.
const PACKET_INTERVAL: Duration = Duration::from_micros(500);

/// Time within which the other threads must get their turn: the interval of the control thread's
/// ticks.
const MAX_TURN_DELAY: Duration = Duration::from_millis(100);

/// Guards against drains that overloaded hosts learn of seconds late: their control thread starved.
#[test]
fn thread_whose_socket_never_empties_gives_way() {
    let mut schedule = ReceiveSchedule::default();
    let (mut now, mut gave_way_at) = (Duration::ZERO, Duration::ZERO);
    while now < Duration::from_secs(2) {
        now += PACKET_INTERVAL;
        if schedule.next_step(false, now) != ReceiveStep::Poll {
            gave_way_at = now;
        }
        assert!(
            now - gave_way_at <= MAX_TURN_DELAY + PACKET_INTERVAL,
            "no other thread ran until {now:?}"
        );
    }
}

/// Guards against needless switches between threads on hosts that are not overloaded.
#[test]
fn thread_that_waits_for_packets_does_not_give_way_besides() {
    let mut schedule = ReceiveSchedule::default();
    let mut now = Duration::ZERO;
    for _ in 0..1_000 {
        now += PACKET_INTERVAL;
        assert_eq!(schedule.next_step(false, now), ReceiveStep::Poll);
        now += PACKET_INTERVAL;
        assert_eq!(schedule.next_step(true, now), ReceiveStep::Wait);
        now += Duration::from_millis(40);
    }
}
