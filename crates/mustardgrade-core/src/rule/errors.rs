//! Errors in rules files.

use derive_more::Display;
use thiserror::Error;

/// `Result` of parsing or checking rules.
pub type Result<T> = std::result::Result<T, RuleError>;

/// `RulePosition` is a position in a rules file; lines and columns count from 1.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[display("line {line}, column {column}")]
pub struct RulePosition {
    /// Line number.
    pub line: usize,
    /// Column, counted in characters.
    pub column: usize,
}

/// `RuleError` is an error in a rules file and its position.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{position}: {cause}")]
pub struct RuleError {
    /// Position of the error.
    pub position: RulePosition,
    /// Description of the error.
    pub cause: String,
}

impl RuleError {
    /// Creates an error at a line and column.
    pub fn new(line: usize, column: usize, cause: impl Into<String>) -> Self {
        Self { position: RulePosition { line, column }, cause: cause.into() }
    }
}
