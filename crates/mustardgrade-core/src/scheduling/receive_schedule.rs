//! What a traffic thread does between two packets.

use std::time::Duration;

/// Longest turn of the thread while its socket does not become empty, the interval of the control
/// thread's ticks. A drain takes several turns of the control thread to reach all hosts.
const MAX_TURN: Duration = Duration::from_millis(100);

/// `ReceiveStep` is the next step of a traffic thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReceiveStep {
    /// Take a packet from the socket if there is one, without waiting.
    Poll,
    /// Wait for a packet, since the socket was found empty.
    Wait,
    /// Give way to the other threads of the host.
    Yield,
}

/// `ReceiveSchedule` decides when a traffic thread polls its socket, waits for it, or gives way.
#[derive(Debug, Clone, Default)]
pub struct ReceiveSchedule {
    /// Start of the current turn; a turn ends when the thread waits or gives way.
    turn_started_at: Option<Duration>,
}

impl ReceiveSchedule {
    /// Returns the next step at `now`; `socket_empty` tells whether a poll at that time has found no
    /// packet.
    pub fn next_step(&mut self, socket_empty: bool, now: Duration) -> ReceiveStep {
        let turn_started_at = *self.turn_started_at.get_or_insert(now);
        let step = match socket_empty {
            true => ReceiveStep::Wait,
            false if now.saturating_sub(turn_started_at) >= MAX_TURN => ReceiveStep::Yield,
            false => ReceiveStep::Poll,
        };
        if step != ReceiveStep::Poll {
            self.turn_started_at = None;
        }
        step
    }
}
