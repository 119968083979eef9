//! Cache of used tickets, held by the dispatcher incarnation that the tickets name.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::message::CallerReply;
use super::ticket::RequestTicket;

/// `TicketState` is the state of the request that used a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketState {
    /// The request is queued or in flight.
    Running,
    /// The request ended with this reply, which repeated requests get again.
    Ended(CallerReply),
}

/// `TicketCheck` is the result of checking a ticket against the [`ReplayCache`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketCheck {
    /// The ticket was unused and is now marked as used: its request may be executed.
    Fresh,
    /// The ticket was used before, by a request in this state.
    Used(TicketState),
    /// The cache was full when an unused ticket of this or a later expiry arrived; the request has
    /// not been executed and never will be.
    Refused,
    /// The ticket has expired, so the cache no longer knows whether it was used.
    Expired,
}

/// `ReplayCache` records used tickets until they expire, for a bounded number of tickets.
#[derive(Debug)]
pub struct ReplayCache {
    states_by_nonce: HashMap<u64, TicketState>,
    nonces_by_expiry_secs: BTreeMap<u32, Vec<u64>>,
    /// Latest expiry of a ticket that was refused because the cache was full.
    refused_expiry: Duration,
    max_tickets: usize,
}

impl ReplayCache {
    /// Creates a cache that holds at most `max_tickets` unexpired tickets.
    #[must_use]
    pub fn new(max_tickets: usize) -> Self {
        Self {
            states_by_nonce: HashMap::new(),
            nonces_by_expiry_secs: BTreeMap::new(),
            refused_expiry: Duration::ZERO,
            max_tickets,
        }
    }

    /// Returns the number of recorded tickets, including expired ones that are not yet evicted.
    #[must_use]
    pub fn len(&self) -> usize {
        self.states_by_nonce.len()
    }

    /// Returns whether no ticket is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states_by_nonce.is_empty()
    }

    /// Checks whether a ticket may still be used and, if so, marks it as used.
    ///
    /// Expiry checks and eviction use the same local clock. An evicted ticket is therefore always
    /// rejected as expired, however much the clocks of other hosts differ.
    pub fn check_and_mark_used(&mut self, ticket: &RequestTicket, now: Duration) -> TicketCheck {
        self.evict_expired(now);
        if let Some(state) = self.states_by_nonce.get(&ticket.nonce) {
            return TicketCheck::Used(state.clone());
        }
        if ticket.expires_at() <= now {
            return TicketCheck::Expired;
        }
        if ticket.expires_at() <= self.refused_expiry {
            return TicketCheck::Refused;
        }
        if self.states_by_nonce.len() >= self.max_tickets {
            // All unused tickets up to this expiry are refused from now on, so this ticket stays
            // refused although the cache holds no entry for it.
            self.refused_expiry = ticket.expires_at();
            return TicketCheck::Refused;
        }
        self.states_by_nonce.insert(ticket.nonce, TicketState::Running);
        self.nonces_by_expiry_secs.entry(ticket.expires_at_secs).or_default().push(ticket.nonce);
        TicketCheck::Fresh
    }

    /// Records the final reply to the request of a used ticket; an unknown nonce is ignored.
    pub fn record_reply(&mut self, nonce: u64, reply: CallerReply) {
        if let Some(state) = self.states_by_nonce.get_mut(&nonce) {
            *state = TicketState::Ended(reply);
        }
    }

    fn evict_expired(&mut self, now: Duration) {
        let now_secs = now.as_secs() as u32;
        while let Some(entry) = self.nonces_by_expiry_secs.first_entry() {
            if *entry.key() > now_secs {
                return;
            }
            for nonce in entry.remove() {
                self.states_by_nonce.remove(&nonce);
            }
        }
    }
}
