//! Errors that prevent a host from starting.

use thiserror::Error;

/// `Result` with a [`HostError`].
pub type Result<T> = std::result::Result<T, HostError>;

/// `HostError` is the reason why a host cannot start.
#[derive(Debug, Error)]
pub enum HostError {
    /// Binding a socket or starting a thread has failed.
    #[error("cannot bind a socket or start a thread: {0}")]
    Io(#[from] std::io::Error),
    /// The client of the platform's store cannot be created.
    #[error("cannot create the store client: {0}")]
    Store(#[from] crate::store::StoreError),
    /// The control thread ended before it reported the result of its start, as after a panic.
    #[error("control thread ended during startup")]
    ControlThreadEnded,
}
