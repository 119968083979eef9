//! Errors of the rules file.

use derive_more::Display;
use thiserror::Error;

/// `Result` of reading or checking rules.
pub type Result<T> = std::result::Result<T, RuleError>;

/// `RulePosition` is a position in a rules file; both numbers start at 1.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[display("line {line}, column {column}")]
pub struct RulePosition {
    /// Line number.
    pub line: usize,
    /// Column, counted in characters.
    pub column: usize,
}

/// `RuleError` tells where a rules file is wrong and why.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{position}: {cause}")]
pub struct RuleError {
    /// Where the fault is.
    pub position: RulePosition,
    /// What the fault is.
    pub cause: String,
}

impl RuleError {
    /// Creates an error at a line and column.
    pub fn new(line: usize, column: usize, cause: impl Into<String>) -> Self {
        Self { position: RulePosition { line, column }, cause: cause.into() }
    }
}
