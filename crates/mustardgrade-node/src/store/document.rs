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
    /// Fails if the text is not a valid rules file.
    pub fn to_stored_rules(&self) -> Result<StoredRules> {
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
/// Fails if the value is not a rules document.
pub fn decode_rules(value: &[u8]) -> Result<RulesDocument> {
    serde_json::from_slice(value).map_err(|error| StoreError::invalid_value(RULES_KEY, error))
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
/// Fails if the value is not a placement, or a table has a number of buckets that is not a power of
/// two.
pub fn decode_placement(value: &[u8]) -> Result<PlacementMap> {
    let placement: PlacementMap = postcard::from_bytes(value)
        .map_err(|error| StoreError::invalid_value(PLACEMENT_KEY, error))?;
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
