//! Holders that a host has observed and tells others of.

use std::collections::VecDeque;

use super::flow_holder::FlowHolder;

/// Number of messages in which a holder is named, since datagrams may be lost.
const REPETITIONS: u8 = 3;

/// Maximum number of holders in a message, so that it fits into one datagram.
const MAX_MESSAGE_HOLDERS: usize = 32;

/// Maximum number of holders that wait to be named; older ones are left out.
const MAX_WAITING_HOLDERS: usize = 512;

#[derive(Debug, Clone, Copy)]
struct Announcement {
    holder: FlowHolder,
    remaining: u8,
}

/// `HolderAnnouncements` holds the holders that this host has observed lately, until it has told
/// others of them.
#[derive(Debug, Clone, Default)]
pub(in crate::cookie) struct HolderAnnouncements {
    waiting: VecDeque<Announcement>,
}

impl HolderAnnouncements {
    /// Adds a holder.
    pub(super) fn add(&mut self, holder: FlowHolder) {
        if self.waiting.len() >= MAX_WAITING_HOLDERS {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Announcement { holder, remaining: REPETITIONS });
    }

    /// Returns the holders of the next message; each is returned three times.
    pub(in crate::cookie) fn next_message(&mut self) -> Vec<FlowHolder> {
        let count = self.waiting.len().min(MAX_MESSAGE_HOLDERS);
        let due: Vec<Announcement> = self.waiting.drain(..count).collect();
        let repeated = due.iter().filter(|announcement| announcement.remaining > 1);
        self.waiting.extend(repeated.map(|announcement| Announcement {
            remaining: announcement.remaining - 1,
            ..*announcement
        }));
        due.iter().map(|announcement| announcement.holder).collect()
    }
}
