//! Writes of rules and placements that the store has lost.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use kameo::actor::ActorRef;
use mustardgrade_core::membership::{StoredPlacement, StoredRules};

use super::actor::{
    ApplyPeerRules, ControlActor, StoreWriteFinished, decode_stored_placement, decode_stored_rules,
};
use crate::metrics::HostMetrics;
use crate::store::{
    PLACEMENT_KEY, RULES_KEY, Result, RulesDocument, StoreClient, encode_placement, encode_rules,
};

impl ControlActor {
    /// Writes rules that the store has lost, if it still holds the revision `replaced_revision`.
    pub(super) fn restore_rules(
        &mut self,
        rules: &StoredRules,
        replaced_revision: u64,
        actor_ref: &ActorRef<Self>,
    ) {
        if std::mem::replace(&mut self.is_writing_rules, true) {
            return;
        }
        let document = RulesDocument::new(rules);
        let store = self.resources.store.clone();
        let metrics = Arc::clone(&self.resources.metrics);
        let actor_ref = actor_ref.clone();
        tokio::spawn(async move {
            let revision = document.revision;
            let result = write_lost_rules(&store, &document, replaced_revision).await;
            count_calls(&metrics, &result);
            if matches!(result, Ok(true)) {
                log::warn!(
                    revision, replaced_revision;
                    "store has lost rules in force; they are written again"
                );
                let _result = actor_ref.tell(ApplyPeerRules(document)).await;
            }
            let _result = actor_ref.tell(StoreWriteFinished::Rules).await;
        });
    }

    /// Writes a placement that the store has lost, if it still holds an earlier one.
    pub(super) fn restore_placement(
        &mut self,
        placement: StoredPlacement,
        actor_ref: &ActorRef<Self>,
    ) {
        if std::mem::replace(&mut self.is_writing_placement, true) {
            return;
        }
        let store = self.resources.store.clone();
        let metrics = Arc::clone(&self.resources.metrics);
        let actor_ref = actor_ref.clone();
        tokio::spawn(async move {
            let generation = placement.generation;
            let result = write_lost_placement(&store, &placement).await;
            count_calls(&metrics, &result);
            if matches!(result, Ok(true)) {
                log::warn!(generation; "store has lost the placement; it is written again");
            }
            let _result = actor_ref.tell(StoreWriteFinished::Placement).await;
        });
    }
}

/// Counts the read and the write of a repair, and its failure.
fn count_calls(metrics: &HostMetrics, result: &Result<bool>) {
    metrics.store_calls.fetch_add(2, Ordering::Relaxed);
    match result {
        Ok(true) => metrics.store_repairs.fetch_add(1, Ordering::Relaxed),
        Ok(false) => 0,
        Err(_) => metrics.store_failures.fetch_add(1, Ordering::Relaxed),
    };
}

async fn write_lost_rules(
    store: &StoreClient,
    document: &RulesDocument,
    replaced_revision: u64,
) -> Result<bool> {
    let reply = store.read(RULES_KEY).await?;
    let stored_rules = decode_stored_rules(reply.value.as_ref())?;
    if stored_rules.map_or(0, |rules| rules.revision) != replaced_revision {
        return Ok(false);
    }
    let expected_index = reply.value.map_or(0, |stored| stored.modify_index);
    store.write(RULES_KEY, &encode_rules(document), expected_index).await
}

async fn write_lost_placement(store: &StoreClient, placement: &StoredPlacement) -> Result<bool> {
    let reply = store.read(PLACEMENT_KEY).await?;
    let stored_placement = decode_stored_placement(reply.value.as_ref())?;
    if stored_placement.map_or(0, |stored| stored.generation) >= placement.generation {
        return Ok(false);
    }
    let expected_index = reply.value.map_or(0, |stored| stored.modify_index);
    store.write(PLACEMENT_KEY, &encode_placement(placement), expected_index).await
}
