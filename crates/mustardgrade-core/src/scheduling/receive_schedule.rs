//! What a traffic thread does between two packets.

use std::time::Duration;

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
pub struct ReceiveSchedule;

impl ReceiveSchedule {
    /// Returns the next step at `now`; `socket_empty` tells whether a poll at that time has found no
    /// packet.
    pub fn next_step(&mut self, socket_empty: bool, _now: Duration) -> ReceiveStep {
        match socket_empty {
            true => ReceiveStep::Wait,
            false => ReceiveStep::Poll,
        }
    }
}
