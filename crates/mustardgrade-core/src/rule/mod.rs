//! Operator rules: data model, parser, whole-file checks, diff and merge.
//!
//! Each rule is one line that ends with a comment naming who requested it. `docs/RULES.md`
//! describes the grammar.

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
