//! Documents in the store.

use mustardgrade_core::placement::PlacementMap;
use mustardgrade_core::rule::{RuleSet, parse_rules};
use serde::{Deserialize, Serialize};

use super::errors::{Result, StoreError};

/// Key of the rules.
pub const RULES_KEY: &str = "mustardgrade/rules";

/// Key of the placement.
pub const PLACEMENT_KEY: &str = "mustardgrade/placement";

/// `RulesDocument` is an accepted revision of the rules as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulesDocument {
    /// Number of the revision; it grows by one with each accepted edit.
    pub revision: u64,
    /// Random number of the edit that made this revision.
    pub edit: u64,
    /// Recent edits, newest first, by which a lost answer is settled.
    pub recent_edits: Vec<u64>,
    /// The rules file.
    pub text: String,
}

impl RulesDocument {
    /// Reads the rules of the document.
    ///
    /// # Errors
    ///
    /// Fails if the stored text is no valid rules file.
    pub fn parse_rule_set(&self) -> Result<RuleSet> {
        parse_rules(&self.text).map_err(|error| StoreError::invalid_value(RULES_KEY, error))
    }
}

/// Encodes rules for the store.
///
/// # Panics
///
/// Never panics: the document can always be encoded.
#[must_use]
pub fn encode_rules(document: &RulesDocument) -> Vec<u8> {
    serde_json::to_vec(document).expect("the document holds text and numbers only")
}

/// Decodes stored rules.
///
/// # Errors
///
/// Fails if the value is no rules document.
pub fn decode_rules(value: &[u8]) -> Result<RulesDocument> {
    serde_json::from_slice(value).map_err(|error| StoreError::invalid_value(RULES_KEY, error))
}

/// Encodes a placement for the store.
///
/// # Panics
///
/// Never panics: a placement can always be encoded.
#[must_use]
pub fn encode_placement(placement: &PlacementMap) -> Vec<u8> {
    postcard::to_stdvec(placement).expect("a placement holds numbers only")
}

/// Decodes a stored placement.
///
/// # Errors
///
/// Fails if the value is no placement.
pub fn decode_placement(value: &[u8]) -> Result<PlacementMap> {
    let placement: PlacementMap = postcard::from_bytes(value)
        .map_err(|error| StoreError::invalid_value(PLACEMENT_KEY, error))?;
    let has_valid_lengths =
        placement.tables.iter().all(|table| table.buckets.len().is_power_of_two());
    match has_valid_lengths {
        true => Ok(placement),
        false => Err(StoreError::invalid_value(PLACEMENT_KEY, "a table has a wrong length")),
    }
}
