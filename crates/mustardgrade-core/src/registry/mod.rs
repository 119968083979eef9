//! What the platform's store says: the manifest, the upstreams that registered themselves, and the
//! data centres that are evacuated, each item ordered by the store's revision.

mod book;
mod errors;
mod manifest;
mod upstream;

pub use book::{ApplyOutcome, StateBook, StateChange, StateItem, StateKey, StateValue};
pub use errors::{RegistryError, Result};
pub use manifest::{Manifest, RepeatPolicy, RouteBackend, RoutePlan, ServicePlan};
pub use upstream::{ReportedState, UpstreamReport};

#[cfg(test)]
mod tests;
