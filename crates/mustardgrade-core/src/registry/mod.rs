//! What the platform's store says: the manifest, the upstreams that registered themselves, and the
//! data centres that are evacuated, each item ordered by the store's revision.

mod errors;
mod manifest;
mod table;
mod upstream;

pub use errors::{RegistryError, Result};
pub use manifest::{Manifest, RetryPolicy, RouteBackend, RouteConfig, ServiceConfig};
pub use table::{
    ApplyOutcome, RegistryChange, RegistryEntry, RegistryKey, RegistryTable, RegistryValue,
};
pub use upstream::{RegisteredState, UpstreamRegistration};

#[cfg(test)]
mod tests;
