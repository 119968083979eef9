//! Packets that a host has received and not routed yet.

use std::collections::VecDeque;
use std::time::Duration;

use super::packet::CookiePacket;

/// Time after which a waiting opening is shed. Its caller soon sends it again, and a host that lets
/// openings wait for longer serves all of them late.
pub const MAX_OPENING_WAIT: Duration = Duration::from_millis(100);

/// `WaitingPacket` is a received packet together with its datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingPacket {
    /// The decoded packet.
    pub packet: CookiePacket,
    /// The datagram as it was received.
    pub datagram: Vec<u8>,
    /// Time after which the packet was received: the socket was empty then.
    pub received_after: Duration,
}

impl WaitingPacket {
    /// Returns the longest time for which the packet may have waited.
    #[must_use]
    pub fn max_wait(&self, now: Duration) -> Duration {
        now.saturating_sub(self.received_after)
    }
}

/// `DuePacket` is the packet that a host has to handle next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DuePacket {
    /// To be routed.
    Route(WaitingPacket),
    /// An opening that has waited for too long, to be dropped.
    Shed(WaitingPacket),
}

/// `PacketBacklog` orders the packets of a host that receives more than it can route.
///
/// Packets of open flows go first: they cost work that was admitted before, and they show which
/// upstreams answer. Openings follow in the order of their arrival.
#[derive(Debug, Default)]
pub struct PacketBacklog {
    established: VecDeque<WaitingPacket>,
    openings: VecDeque<WaitingPacket>,
}

impl PacketBacklog {
    /// Returns the number of waiting packets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.established.len() + self.openings.len()
    }

    /// Returns whether no packet waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.established.is_empty() && self.openings.is_empty()
    }

    /// Returns whether a packet of an open flow waits.
    #[must_use]
    pub fn has_established(&self) -> bool {
        !self.established.is_empty()
    }

    /// Adds a received packet.
    pub fn push(&mut self, waiting: WaitingPacket) {
        match waiting.packet.segment.opens_flow() {
            true => self.openings.push_back(waiting),
            false => self.established.push_back(waiting),
        }
    }

    /// Removes the packet to handle next.
    pub fn pop(&mut self, now: Duration) -> Option<DuePacket> {
        if let Some(waiting) = self.established.pop_front() {
            return Some(DuePacket::Route(waiting));
        }
        let waiting = self.openings.pop_front()?;
        match waiting.max_wait(now) <= MAX_OPENING_WAIT {
            true => Some(DuePacket::Route(waiting)),
            false => Some(DuePacket::Shed(waiting)),
        }
    }
}
