//! Errors of reading a settings file.

use thiserror::Error;

/// `Result` with a [`SettingsError`].
pub type Result<T> = std::result::Result<T, SettingsError>;

/// `SettingsError` is the first problem found in a settings file, with its location and cause.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// Reading the file has failed.
    #[error("{file}: {cause}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// A line has a syntax error, an unknown name or an invalid value.
    #[error("{file}:{line}: {cause}")]
    InvalidLine {
        /// Path of the file.
        file: String,
        /// Line number, starting at 1.
        line: usize,
        /// Description of the problem.
        cause: String,
    },
    /// A required section or key is missing.
    #[error("{file}: {cause}")]
    MissingKey {
        /// Path of the file.
        file: String,
        /// Description of the missing section or key.
        cause: String,
    },
}
