//! Errors of scenario files.

use thiserror::Error;

/// `Result` of parsing a scenario file.
pub type Result<T> = std::result::Result<T, ScenarioError>;

/// `ScenarioError` is the position and the message of an error in a scenario file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("line {line}, column {column}: {message}")]
pub struct ScenarioError {
    /// Line number, starting at 1; 0 for an error in an override.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// Message without the position.
    pub message: String,
}

impl ScenarioError {
    /// Creates an error at a line and column.
    pub fn new(line: usize, column: usize, message: impl Into<String>) -> Self {
        Self { line, column, message: message.into() }
    }
}
