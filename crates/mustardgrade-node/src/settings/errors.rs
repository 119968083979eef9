//! Errors of the settings.

use thiserror::Error;

/// `Result` of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// `SettingsError` tells where a settings file is wrong and why.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {cause}")]
    Unreadable {
        /// Name of the file.
        file: String,
        /// The operating system's error.
        cause: std::io::Error,
    },
    /// A line of the file is wrong.
    #[error("{file}:{line}: {cause}")]
    InvalidLine {
        /// Name of the file.
        file: String,
        /// Number of the line.
        line: usize,
        /// What is wrong.
        cause: String,
    },
    /// Something is missing from the file.
    #[error("{file}: {cause}")]
    MissingKey {
        /// Name of the file.
        file: String,
        /// What is missing.
        cause: String,
    },
}
