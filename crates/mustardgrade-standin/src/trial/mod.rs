//! The trial that `mustardgrade try` runs: platform, fabric, hosts, upstreams and callers in one
//! process over loopback, while an upstream drains, a host is replaced, and a data centre is taken
//! out of and back into service.

mod errors;
mod report;
mod run;
mod setup;

pub use errors::{Result, TrialError};
pub use report::{GuaranteeCheck, TrialReport};
pub use run::{TrialOptions, TrialStage, run_trial};
