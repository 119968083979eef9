//! Three-way merge of concurrent edits.

use std::collections::BTreeSet;

use derive_more::Display;

use super::grammar::parse_rules;
use super::model::RuleSet;

/// `RuleConflict` is a rule that two edits changed in different ways, or an error in the merged
/// rules.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
#[display("rule '{key}' was changed by another edit\n  theirs: {theirs}\n  yours:  {yours}")]
pub struct RuleConflict {
    /// Kind and name of the rule; `whole file` for an error in the merged rules.
    pub key: String,
    /// The rule after the other edit; empty if that edit removed the rule, and for an error.
    pub theirs: String,
    /// The rule after this edit, empty if this edit removes the rule; for an error, its cause.
    pub yours: String,
}

/// `MergeOutcome` is the result of merging two edits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The edits do not conflict; the rules contain both.
    Merged(RuleSet),
    /// The edits changed the same rule differently, or the merged rules fail the whole-file checks.
    Conflict(RuleConflict),
}

/// Merges the edit from `base` to `yours` into `theirs`, the result of other edits of `base`.
#[must_use]
pub fn merge_rules(base: &RuleSet, theirs: &RuleSet, yours: &RuleSet) -> MergeOutcome {
    let texts = [base.to_text(), theirs.to_text(), yours.to_text()];
    let [base, theirs, yours] = texts.each_ref().map(|text| split_keyed_lines(text));
    let keys: BTreeSet<&str> = yours.iter().chain(&base).map(|line| line.key).collect();
    let mut merged = theirs.clone();
    for key in keys {
        let [base_line, their_line, your_line] =
            [&base, &theirs, &yours].map(|lines| line_with_key(lines, key));
        if your_line == base_line || your_line == their_line {
            continue;
        }
        if their_line != base_line {
            let text = |line: Option<&str>| line.unwrap_or_default().to_owned();
            let key = key.to_owned();
            let conflict = RuleConflict { key, theirs: text(their_line), yours: text(your_line) };
            return MergeOutcome::Conflict(conflict);
        }
        merged.retain(|line| line.key != key);
        merged.extend(your_line.map(|text| KeyedLine { key, text }));
    }
    let text: String = merged.iter().map(|line| format!("{}\n", line.text)).collect();
    match parse_rules(&text) {
        Ok(rule_set) => MergeOutcome::Merged(rule_set),
        // Each edit is valid on its own, but their combination is not.
        Err(error) => MergeOutcome::Conflict(RuleConflict {
            key: "whole file".to_owned(),
            theirs: String::new(),
            yours: error.cause,
        }),
    }
}

/// `KeyedLine` is the text of a rule, keyed by its kind and name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KeyedLine<'a> {
    key: &'a str,
    text: &'a str,
}

fn split_keyed_lines(text: &str) -> Vec<KeyedLine<'_>> {
    text.lines()
        .map(|line| {
            let spaces = line.match_indices(' ').map(|(at, _)| at);
            let key = &line[..spaces.take(2).last().unwrap_or(line.len())];
            KeyedLine { key, text: line }
        })
        .collect()
}

fn line_with_key<'a>(lines: &[KeyedLine<'a>], key: &str) -> Option<&'a str> {
    lines.iter().find(|line| line.key == key).map(|line| line.text)
}
