//! Errors of scenario files.

use thiserror::Error;

/// `Result` of reading a scenario.
pub type Result<T> = std::result::Result<T, ScenarioError>;

/// `ScenarioError` tells where a scenario is wrong and why; line and column start at 1.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("line {line}, column {column}: {message}")]
pub struct ScenarioError {
    /// Line number; 0 for an override.
    pub line: usize,
    /// Column, counted in characters.
    pub column: usize,
    /// What is wrong.
    pub message: String,
}

impl ScenarioError {
    /// Creates an error at a line and column.
    pub fn new(line: usize, column: usize, message: impl Into<String>) -> Self {
        Self { line, column, message: message.into() }
    }
}
