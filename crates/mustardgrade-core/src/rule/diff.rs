//! Differences between two rules files.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::model::RuleSet;

/// `RuleChange` is one changed rule, by its kind and name.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RuleChange {
    /// The rule is new.
    #[display("+ {_0}")]
    Added(String),
    /// The rule is gone.
    #[display("- {_0}")]
    Removed(String),
}

/// `RuleDifference` lists the changes from one rules file to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RuleDifference {
    /// Removed rules first, then added ones, each in the order of its file.
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

/// Compares two rules files line by line, ignoring order, blank lines and spacing.
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
