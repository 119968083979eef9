//! Rules that the store has accepted, and how two such revisions are related.

use std::sync::Arc;

use derive_more::Display;

use crate::rule::RuleSet;

/// Upper limit on the edits that a revision lists. If the answer to a write is lost, the edit is known
/// to be accepted as long as it is listed.
pub const MAX_RECENT_EDITS: usize = 32;

/// `StoredRules` is a revision of the rules that the store has accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRules {
    /// Revision number.
    pub revision: u64,
    /// Identifiers of the edits that led to this revision, newest first; older ones are left out.
    pub recent_edits: Vec<u64>,
    /// Rules of this revision.
    pub rule_set: Arc<RuleSet>,
}

/// `RulesRelation` says how the rules in the store are related to those in force on a host.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum RulesRelation {
    /// The store has a later revision.
    #[display("newer")]
    Newer,
    /// The store has the revision in force.
    #[display("current")]
    Current,
    /// The store has lost the revision in force and holds one that it is based on.
    #[display("lost")]
    Lost,
    /// The store has lost the revision in force and has accepted another edit since.
    #[display("diverged")]
    Diverged,
}

impl StoredRules {
    /// Compares the rules in the store with these rules, which are in force.
    #[must_use]
    pub fn relation_of(&self, stored: &Self) -> RulesRelation {
        if stored.revision > self.revision {
            return RulesRelation::Newer;
        }
        let newest_stored = stored.recent_edits.first();
        if stored.revision == self.revision && newest_stored == self.recent_edits.first() {
            return RulesRelation::Current;
        }
        let is_listed = newest_stored.is_some_and(|edit| self.recent_edits.contains(edit));
        // Edits before the oldest listed one cannot be told from unknown ones.
        let would_be_listed = self.revision - stored.revision < self.recent_edits.len() as u64;
        match newest_stored.is_some() && would_be_listed && !is_listed {
            true => RulesRelation::Diverged,
            false => RulesRelation::Lost,
        }
    }

    /// Returns the revision after this one with the rules of `stored`, which the store has accepted
    /// after it lost this one.
    #[must_use]
    pub fn followed_by(&self, stored: &Self) -> Self {
        let is_unknown = |edit: &&u64| !self.recent_edits.contains(edit);
        let later_edits = stored.recent_edits.iter().take_while(is_unknown);
        let recent_edits = later_edits.chain(&self.recent_edits).copied().take(MAX_RECENT_EDITS);
        Self {
            revision: self.revision + 1,
            recent_edits: recent_edits.collect(),
            rule_set: Arc::clone(&stored.rule_set),
        }
    }
}
