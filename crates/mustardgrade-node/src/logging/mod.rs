//! Structured logs that never hold up the thread that writes them.

mod budget;
mod queue;

pub use budget::{LineBudget, LineGrant};
pub use queue::init_logging;

#[cfg(test)]
mod tests;
