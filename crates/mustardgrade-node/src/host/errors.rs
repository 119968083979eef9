//! Errors of starting a host.

use thiserror::Error;

/// `Result` of starting a host.
pub type Result<T> = std::result::Result<T, HostError>;

/// `HostError` says why a host cannot start.
#[derive(Debug, Error)]
pub enum HostError {
    /// A socket cannot be bound or a thread cannot be started.
    #[error("cannot start: {0}")]
    Io(#[from] std::io::Error),
    /// The store's client cannot be set up.
    #[error("cannot reach the platform: {0}")]
    Store(#[from] crate::store::StoreError),
    /// A thread ended while it started.
    #[error("a thread ended while it started")]
    ControlThreadEnded,
}
