//! The placement map: the tables of all flow services, as published in the store.

use serde::{Deserialize, Serialize};

use super::table::PlacementTable;
use crate::identity::ServiceId;

/// `PlacementMap` is one published generation of the placement tables of all flow services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementMap {
    /// Number of the generation, which increases by one with each publication; 0 before the first.
    pub generation: u64,
    /// Revision of the rules that the tables were planned from.
    pub rules_revision: u64,
    /// One table for each flow service.
    pub tables: Vec<PlacementTable>,
}

impl PlacementMap {
    /// Returns the table of a service, or `None` if it has none.
    #[must_use]
    pub fn table(&self, service: ServiceId) -> Option<&PlacementTable> {
        self.tables.iter().find(|table| table.service == service)
    }

    /// Returns whether any bucket of any service is guarded, that is, moving between upstreams.
    #[must_use]
    pub fn has_guarded_buckets(&self) -> bool {
        self.tables.iter().any(PlacementTable::has_guarded_buckets)
    }
}
