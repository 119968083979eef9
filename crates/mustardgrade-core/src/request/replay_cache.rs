//! The ledger of used tickets on the keeper incarnation that they name.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::message::CallerReply;
use super::ticket::RequestTicket;

/// `TicketState` is what became of a used ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketState {
    /// The request waits or runs.
    Running,
    /// The request ended with this reply.
    Ended(CallerReply),
}

/// `TicketCheck` says what a keeper must do with a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketCheck {
    /// The ticket is new: the request may run, once.
    Fresh,
    /// The ticket is used: this became of it.
    Used(TicketState),
    /// The ticket must be refused: its request has not run and never will.
    Refused,
    /// The ticket is past its life: nothing is known of it.
    Expired,
}

/// `ReplayCache` remembers used tickets until they expire, in bounded memory.
#[derive(Debug)]
pub struct ReplayCache {
    states_by_nonce: HashMap<u64, TicketState>,
    nonces_by_expiry_secs: BTreeMap<u32, Vec<u64>>,
    refused_expiry: Duration,
    max_tickets: usize,
}

impl ReplayCache {
    /// Creates a ledger for at most `capacity` unexpired tickets.
    #[must_use]
    pub fn new(max_tickets: usize) -> Self {
        Self {
            states_by_nonce: HashMap::new(),
            nonces_by_expiry_secs: BTreeMap::new(),
            refused_expiry: Duration::ZERO,
            max_tickets,
        }
    }

    /// Returns the number of remembered tickets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.states_by_nonce.len()
    }

    /// Tells whether no ticket is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states_by_nonce.is_empty()
    }

    /// Uses a ticket and returns what must be done with it.
    ///
    /// Acceptance and forgetting follow the same clock, so a ticket that is forgotten is expired
    /// too, however far the clocks of other hosts are off.
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
            // Every unused ticket up to this expiry is refused from now on, so the refusal stays
            // true without an entry of its own.
            self.refused_expiry = ticket.expires_at();
            return TicketCheck::Refused;
        }
        self.states_by_nonce.insert(ticket.nonce, TicketState::Running);
        self.nonces_by_expiry_secs.entry(ticket.expires_at_secs).or_default().push(ticket.nonce);
        TicketCheck::Fresh
    }

    /// Notes how the request of a ticket ended.
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
