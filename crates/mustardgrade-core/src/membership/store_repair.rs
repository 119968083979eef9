//! Repair of a store that has returned from an older copy of itself.
//!
//! The hosts still have what the store has lost: they write the rules and the placement in force
//! back, so that accepted rules stay in force and revisions go on from where they were.

use std::sync::Arc;
use std::time::Duration;

use super::controller::HostController;
use super::events::{ControllerOutput, StoredPlacement};
use super::stored_rules::{RulesRelation, StoredRules};

impl HostController {
    /// Applies the rules in the store if they are newer; otherwise writes back those in force if the
    /// store has lost them.
    ///
    /// An edit that the store has accepted since becomes the next revision: whoever made it was told
    /// that it was accepted.
    pub(super) fn handle_rules_read(
        &mut self,
        stored: Option<StoredRules>,
        now: Duration,
        outputs: &mut Vec<ControllerOutput>,
    ) {
        let replaced_revision = stored.as_ref().map_or(0, |stored| stored.revision);
        let rules = match (self.rules.clone(), stored) {
            (None, None) => return,
            (None, Some(stored)) => return self.apply_rules(stored, now),
            (Some(known), None) => known,
            (Some(known), Some(stored)) => match known.relation_of(&stored) {
                RulesRelation::Newer => return self.apply_rules(stored, now),
                RulesRelation::Current => return,
                RulesRelation::Lost => known,
                RulesRelation::Diverged => known.followed_by(&stored),
            },
        };
        outputs.push(ControllerOutput::RestoreRules { rules, replaced_revision });
    }

    /// Applies the placement in the store if it is newer; writes back the one in force if the store
    /// has lost it.
    pub(super) fn handle_placement_read(
        &mut self,
        stored: Option<StoredPlacement>,
        now: Duration,
        outputs: &mut Vec<ControllerOutput>,
    ) {
        let stored_generation = stored.as_ref().map_or(0, |stored| stored.generation);
        if stored_generation < self.placement.generation {
            outputs.push(ControllerOutput::RestorePlacement(Arc::clone(&self.placement)));
        } else if let Some(stored) = stored {
            self.apply_placement(stored, now);
        }
    }
}
