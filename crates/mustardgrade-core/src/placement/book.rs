//! The placement tables of all services, as published in the store.

use serde::{Deserialize, Serialize};

use super::table::PlacementTable;
use crate::identity::ServiceId;

/// `PlacementBook` is one generation of all placement tables.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementBook {
    /// Number of the generation; it grows by one with each publication.
    pub generation: u64,
    /// Revision of the rules that the tables follow.
    pub rules_revision: u64,
    /// One table for each flow service.
    pub tables: Vec<PlacementTable>,
}

impl PlacementBook {
    /// Returns the table of a service.
    #[must_use]
    pub fn table(&self, service: ServiceId) -> Option<&PlacementTable> {
        self.tables.iter().find(|table| table.service == service)
    }

    /// Tells whether any bucket of any service is guarded.
    #[must_use]
    pub fn has_guards(&self) -> bool {
        self.tables.iter().any(PlacementTable::has_guards)
    }
}
