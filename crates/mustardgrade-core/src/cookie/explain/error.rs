//! Reasons why a flow cannot be explained.

use std::net::SocketAddrV4;

use thiserror::Error;

/// `Result` with an [`ExplainError`].
pub type Result<T> = std::result::Result<T, ExplainError>;

/// `ExplainError` is the reason why a flow cannot be explained.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ExplainError {
    /// The host has not read the registry yet.
    #[error("the host has not read the registry yet, so it drops all packets")]
    NotLoaded,
    /// No route has the address.
    #[error(
        "{address} is no route of the manifest (version {manifest_version}); its routes: {}",
        list_routes(routes)
    )]
    UnknownRoute {
        /// The address.
        address: SocketAddrV4,
        /// Version of the manifest in force.
        manifest_version: u64,
        /// Name and address of each route of the manifest, by address.
        routes: Vec<(String, SocketAddrV4)>,
    },
}

fn list_routes(routes: &[(String, SocketAddrV4)]) -> String {
    let routes: Vec<String> =
        routes.iter().map(|(name, address)| format!("{name} {address}")).collect();
    match routes.is_empty() {
        true => "none".to_owned(),
        false => routes.join(", "),
    }
}
