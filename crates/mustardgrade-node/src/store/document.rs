//! Values that are kept in the store: the rules and the placement.

use std::sync::Arc;

use mustardgrade_core::membership::{MAX_RECENT_EDITS, StoredRules};
use mustardgrade_core::placement::PlacementMap;
use mustardgrade_core::rule::{RuleSet, parse_rules};
use serde::{Deserialize, Serialize};

use super::errors::{Result, StoreError};

/// Key under which the rules are stored.
pub const RULES_KEY: &str = "mustardgrade/rules";

/// Key under which the placement is stored.
pub const PLACEMENT_KEY: &str = "mustardgrade/placement";

/// Largest revision or generation; so many writes never happen, and the next number does not overflow.
const MAX_WRITE_NUMBER: u64 = u64::MAX / 2;

/// `RulesDocument` is the stored form of an accepted revision of the rules.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulesDocument {
    /// Revision number, which increases by one with each accepted edit.
    pub revision: u64,
    /// Random identifier of the edit that created this revision.
    pub edit: u64,
    /// Identifiers of recent edits, newest first; a client whose write got no reply finds out from
    /// them whether its edit was accepted.
    pub recent_edits: Vec<u64>,
    /// Content of the rules file.
    pub text: String,
}

impl RulesDocument {
    /// Creates the document of a revision.
    #[must_use]
    pub fn new(rules: &StoredRules) -> Self {
        Self {
            revision: rules.revision,
            edit: rules.recent_edits.first().copied().unwrap_or_default(),
            recent_edits: rules.recent_edits.clone(),
            text: rules.rule_set.to_text(),
        }
    }

    /// Creates the document of the revision after `stored`, which the edit `edit` leads to.
    #[must_use]
    pub fn next(stored: Option<&Self>, edit: u64, rule_set: &RuleSet) -> Self {
        let earlier_edits = stored.into_iter().flat_map(|stored| stored.recent_edits.iter());
        let recent_edits = std::iter::once(&edit).chain(earlier_edits).take(MAX_RECENT_EDITS);
        Self {
            revision: stored.map_or(0, |stored| stored.revision) + 1,
            edit,
            recent_edits: recent_edits.copied().collect(),
            text: rule_set.to_text(),
        }
    }

    /// Returns the revision that the document holds.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a valid rules file, or the revision is out of range.
    pub fn to_stored_rules(&self) -> Result<StoredRules> {
        check_number(RULES_KEY, "revision", self.revision)?;
        Ok(StoredRules {
            revision: self.revision,
            recent_edits: self.recent_edits.clone(),
            rule_set: Arc::new(self.parse_rule_set()?),
        })
    }

    /// Parses the text of the document.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a valid rules file.
    pub fn parse_rule_set(&self) -> Result<RuleSet> {
        parse_rules(&self.text).map_err(|error| StoreError::invalid_value(RULES_KEY, error))
    }
}

/// Encodes rules for the store.
///
/// # Panics
///
/// Never panics: every document can be encoded.
#[must_use]
pub fn encode_rules(document: &RulesDocument) -> Vec<u8> {
    serde_json::to_vec(document).expect("a rules document contains only text and numbers")
}

/// Decodes stored rules.
///
/// # Errors
///
/// Fails if the value is not a rules document, or its revision is out of range.
pub fn decode_rules(value: &[u8]) -> Result<RulesDocument> {
    let document: RulesDocument = serde_json::from_slice(value)
        .map_err(|error| StoreError::invalid_value(RULES_KEY, error))?;
    check_number(RULES_KEY, "revision", document.revision)?;
    Ok(document)
}

/// Checks a number that increases by one with each write.
fn check_number(key: &str, field: &str, number: u64) -> Result<()> {
    match number <= MAX_WRITE_NUMBER {
        true => Ok(()),
        false => Err(StoreError::invalid_value(key, format!("{field} {number} is out of range"))),
    }
}

/// Encodes a placement for the store.
///
/// # Panics
///
/// Never panics: every placement can be encoded.
#[must_use]
pub fn encode_placement(placement: &PlacementMap) -> Vec<u8> {
    postcard::to_stdvec(placement).expect("a placement contains only numbers")
}

/// Decodes a stored placement.
///
/// # Errors
///
/// Fails if the value is not a placement, its generation is out of range, or a table has a number of
/// buckets that is not a power of two.
pub fn decode_placement(value: &[u8]) -> Result<PlacementMap> {
    let placement: PlacementMap = postcard::from_bytes(value)
        .map_err(|error| StoreError::invalid_value(PLACEMENT_KEY, error))?;
    check_number(PLACEMENT_KEY, "generation", placement.generation)?;
    let has_valid_lengths =
        placement.tables.iter().all(|table| table.buckets.len().is_power_of_two());
    match has_valid_lengths {
        true => Ok(placement),
        false => Err(StoreError::invalid_value(
            PLACEMENT_KEY,
            "number of buckets in a table is not a power of two",
        )),
    }
}
