//! Errors of the store.

use thiserror::Error;

/// `Result` of a store call.
pub type Result<T> = std::result::Result<T, StoreError>;

/// `StoreError` says why a store call failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store did not answer in time or not at all; a write may have taken effect.
    #[error("store does not answer: {0}")]
    Unreachable(String),
    /// The store answered with an error.
    #[error("store answered with status {0}")]
    Status(u16),
    /// A stored value cannot be read.
    #[error("value of '{key}' cannot be read: {cause}")]
    InvalidValue {
        /// Its key.
        key: String,
        /// What is wrong with it.
        cause: String,
    },
}

impl StoreError {
    /// Creates the error of a damaged value.
    pub fn invalid_value(key: &str, cause: impl ToString) -> Self {
        Self::InvalidValue { key: key.to_owned(), cause: cause.to_string() }
    }
}

impl From<reqwest::Error> for StoreError {
    fn from(error: reqwest::Error) -> Self {
        // The URL is left out: it may hold a token.
        Self::Unreachable(error.without_url().to_string())
    }
}
