//! Structured logs that never hold up the thread that writes them.

mod budget;
mod queue;

pub use budget::{LineBudget, LineGrant};
pub use queue::{finish_logging, init_logging};

#[cfg(test)]
mod tests;
