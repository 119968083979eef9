//! Errors of the rules file.

use derive_more::Display;
use thiserror::Error;

/// `Result` of reading or checking rules.
pub type Result<T> = std::result::Result<T, RuleError>;

/// `RulePlace` is a position in a rules file; both numbers start at 1.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[display("line {line}, column {column}")]
pub struct RulePlace {
    /// Line number.
    pub line: usize,
    /// Column, counted in characters.
    pub column: usize,
}

/// `RuleError` tells where a rules file is wrong and why.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{place}: {cause}")]
pub struct RuleError {
    /// Where the fault is.
    pub place: RulePlace,
    /// What the fault is.
    pub cause: String,
}

impl RuleError {
    /// Creates an error at a line and column.
    pub fn new(line: usize, column: usize, cause: impl Into<String>) -> Self {
        Self { place: RulePlace { line, column }, cause: cause.into() }
    }
}
