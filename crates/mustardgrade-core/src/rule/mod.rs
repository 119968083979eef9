//! Operator rules: the model, its grammar, whole-file checks and differences.
//!
//! Each rule is one line followed by a comment that names who asked for it. The grammar is in
//! `docs/RULES.md`.

mod check;
mod diff;
mod errors;
mod grammar;
mod merge;
mod model;

pub use check::{check_rules, nearest_word};
pub use diff::{RuleChange, RuleDifference, diff_rules};
pub use errors::{Result, RuleError, RulePosition};
pub use grammar::parse_rules;
pub use merge::{MergeOutcome, RuleConflict, merge_rules};
pub use model::{
    DataCentreRule, DataCentreState, RuleComment, RuleSet, ServiceClass, ServiceRule, UpstreamRule,
    UpstreamState,
};

#[cfg(test)]
mod tests;
