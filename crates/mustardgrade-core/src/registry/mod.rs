//! Registry of the platform: the manifest, the registered upstreams, the evacuated data centres
//! and the services that routes have had, read from the platform's store and ordered by its
//! revisions.

mod ended_runs;
mod errors;
mod manifest;
mod named_services;
mod position;
mod route_services;
mod run_history;
mod setback;
mod table;
mod upstream;

pub use ended_runs::EndedRun;
pub use errors::{RegistryError, Result};
pub use manifest::{Manifest, RetryPolicy, RouteBackend, RouteConfig, ServiceConfig};
pub use position::StorePosition;
pub use route_services::RouteServices;
pub use run_history::UpstreamRun;
pub use table::{
    ApplyOutcome, RegistryChange, RegistryEntry, RegistryKey, RegistryTable, RegistryValue,
};
pub use upstream::{RegisteredState, UpstreamRegistration};

#[cfg(test)]
mod tests;
