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

/// `LedgerEntry` says what a keeper must do with a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerEntry {
    /// The ticket is new: the request may run, once.
    Fresh,
    /// The ticket is used: this became of it.
    Used(TicketState),
    /// The ticket must be refused: its request has not run and never will.
    Refused,
    /// The ticket is past its life: nothing is known of it.
    Expired,
}

/// `TicketLedger` remembers used tickets until they expire, in bounded memory.
#[derive(Debug)]
pub struct TicketLedger {
    used: HashMap<u64, TicketState>,
    expiries: BTreeMap<u32, Vec<u64>>,
    refused_until: Duration,
    capacity: usize,
}

impl TicketLedger {
    /// Creates a ledger for at most `capacity` unexpired tickets.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            used: HashMap::new(),
            expiries: BTreeMap::new(),
            refused_until: Duration::ZERO,
            capacity,
        }
    }

    /// Returns the number of remembered tickets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Tells whether no ticket is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    /// Uses a ticket and returns what must be done with it.
    ///
    /// Acceptance and forgetting follow the same clock, so a ticket that is forgotten is expired
    /// too, however far the clocks of other hosts are off.
    pub fn use_ticket(&mut self, ticket: &RequestTicket, now: Duration) -> LedgerEntry {
        self.forget_expired(now);
        if let Some(state) = self.used.get(&ticket.nonce) {
            return LedgerEntry::Used(state.clone());
        }
        if ticket.expires() <= now {
            return LedgerEntry::Expired;
        }
        if ticket.expires() <= self.refused_until {
            return LedgerEntry::Refused;
        }
        if self.used.len() >= self.capacity {
            // Every unused ticket up to this expiry is refused from now on, so the refusal stays
            // true without an entry of its own.
            self.refused_until = ticket.expires();
            return LedgerEntry::Refused;
        }
        self.used.insert(ticket.nonce, TicketState::Running);
        self.expiries.entry(ticket.expires_secs).or_default().push(ticket.nonce);
        LedgerEntry::Fresh
    }

    /// Notes how the request of a ticket ended.
    pub fn end_ticket(&mut self, nonce: u64, reply: CallerReply) {
        if let Some(state) = self.used.get_mut(&nonce) {
            *state = TicketState::Ended(reply);
        }
    }

    fn forget_expired(&mut self, now: Duration) {
        let now = now.as_secs() as u32;
        while let Some(entry) = self.expiries.first_entry() {
            if *entry.key() > now {
                return;
            }
            for nonce in entry.remove() {
                self.used.remove(&nonce);
            }
        }
    }
}
