//! The placement tables of all services, as published in the store.

use serde::{Deserialize, Serialize};

use super::table::PlacementTable;
use crate::identity::ServiceId;

/// `PlacementMap` is one generation of all placement tables.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementMap {
    /// Number of the generation; it grows by one with each publication.
    pub generation: u64,
    /// Revision of the rules that the tables follow.
    pub rules_revision: u64,
    /// One table for each flow service.
    pub tables: Vec<PlacementTable>,
}

impl PlacementMap {
    /// Returns the table of a service.
    #[must_use]
    pub fn table(&self, service: ServiceId) -> Option<&PlacementTable> {
        self.tables.iter().find(|table| table.service == service)
    }

    /// Tells whether any bucket of any service is guarded.
    #[must_use]
    pub fn has_guarded_buckets(&self) -> bool {
        self.tables.iter().any(PlacementTable::has_guarded_buckets)
    }
}
