//! Errors of the registry.

use std::net::SocketAddrV4;

use thiserror::Error;

/// `Result` of reading registered state.
pub type Result<T> = std::result::Result<T, RegistryError>;

/// `RegistryError` says which route of a manifest cannot be followed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RegistryError {
    /// Two routes have one address.
    #[error("routes '{first}' and '{second}' share the address {address}")]
    SharedAddress {
        /// Name of the first route.
        first: String,
        /// Name of the second route.
        second: String,
        /// Their address.
        address: SocketAddrV4,
    },
    /// A route leads to no service.
    #[error("route '{route}' leads to no service")]
    NoBackend {
        /// Name of the route.
        route: String,
    },
}
