//! Logging that never blocks the logging thread, and rate limits for frequent log lines.

mod queue;
mod rate_limit;

pub use queue::{flush_logs, init_logging};
pub use rate_limit::{LogDecision, LogRateLimiter};

#[cfg(test)]
mod tests;
