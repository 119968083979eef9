//! Differences between two rule sets.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::model::RuleSet;

/// `RuleChange` is one added or removed rule, as its line of text.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RuleChange {
    /// Rule that only the new rule set contains.
    #[display("+ {_0}")]
    Added(String),
    /// Rule that only the old rule set contains.
    #[display("- {_0}")]
    Removed(String),
}

/// `RuleDifference` lists the changes from one rule set to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RuleDifference {
    /// Removed rules, then added rules, each in the order of its rule set.
    pub changes: Vec<RuleChange>,
}

impl std::fmt::Display for RuleDifference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for change in &self.changes {
            writeln!(f, "{change}")?;
        }
        Ok(())
    }
}

/// Compares two rule sets by their formatted lines; order, blank lines and spacing do not count.
#[must_use]
pub fn diff_rules(old: &RuleSet, new: &RuleSet) -> RuleDifference {
    let old_text = old.to_text();
    let new_text = new.to_text();
    let removed_lines =
        old_text.lines().filter(|line| !new_text.lines().any(|other| other == *line));
    let added_lines = new_text.lines().filter(|line| !old_text.lines().any(|other| other == *line));
    let removed = removed_lines.map(|line| RuleChange::Removed(line.to_owned()));
    let added = added_lines.map(|line| RuleChange::Added(line.to_owned()));
    RuleDifference { changes: removed.chain(added).collect() }
}
