//! Errors found when validating a manifest.

use std::net::SocketAddrV4;

use thiserror::Error;

/// `Result` of validating registry data.
pub type Result<T> = std::result::Result<T, RegistryError>;

/// `RegistryError` is the reason why a manifest is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RegistryError {
    /// Two routes have the same address.
    #[error("routes '{first}' and '{second}' share the address {address}")]
    SharedAddress {
        /// Name of the first route.
        first: String,
        /// Name of the second route.
        second: String,
        /// The address that both routes use.
        address: SocketAddrV4,
    },
    /// All backends of a route have weight 0, or it has none.
    #[error("route '{route}' has no backend with a non-zero weight")]
    NoBackend {
        /// Name of the route.
        route: String,
    },
}
