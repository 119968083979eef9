//! Structured logs that never hold up the thread that writes them.

mod queue;
mod rate_limit;

pub use queue::{flush_logs, init_logging};
pub use rate_limit::{LogDecision, LogRateLimiter};

#[cfg(test)]
mod tests;
