//! Log lines for what changes the beliefs of a host, bounded by kind.

use std::collections::HashMap;
use std::mem::Discriminant;
use std::time::Duration;

use mustardgrade_core::watch::WatchEvent;

use crate::logging::{LineBudget, LineGrant};

/// Lines of one kind in a second; a host that starts learns of every upstream at once.
const LINES_PER_SECOND: u32 = 20;

/// `NoteLines` writes notes to the log.
#[derive(Debug, Default)]
pub(super) struct NoteLines {
    budgets: HashMap<Discriminant<WatchEvent>, LineBudget>,
}

impl NoteLines {
    /// Writes a line for `note`, unless its kind has had its lines of this second.
    pub(super) fn write(&mut self, note: &WatchEvent, host: &str, now: Duration) {
        let kind = std::mem::discriminant(note);
        let budget = self.budgets.entry(kind).or_insert(LineBudget::new(LINES_PER_SECOND));
        let LineGrant::Write { omitted } = budget.ask(now) else { return };
        match note {
            WatchEvent::InvalidRoute { .. } | WatchEvent::StoreFailed { .. } => {
                log::warn!(host, omitted; "{note}");
            }
            _ => log::info!(host, omitted; "{note}"),
        }
    }
}
