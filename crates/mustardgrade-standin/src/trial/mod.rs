//! The trial that `mustardgrade try` runs: platform, fabric, hosts, upstreams and callers in one
//! process over loopback, while an upstream drains, a host is replaced, and a data centre is taken
//! out of and back into service.

mod addresses;
mod errors;
mod report;
mod run;
mod setup;

/// Log target of the lines about single packets of a trial.
pub use mustardgrade_node::traffic::PACKET_LOG_TARGET;

pub use errors::{Result, TrialError};
pub use report::{GuaranteeCheck, TrialReport};
pub use run::{TrialOptions, TrialStage, run_trial};

#[cfg(test)]
mod tests;
