//! The trial behind `mustardgrade try`: the whole path in one process over loopback, through a
//! drain, the replacement of a host, and a data centre's leave and return.

mod errors;
mod report;
mod run;
mod setup;

pub use errors::{Result, TrialError};
pub use report::{GuaranteeCheck, TrialReport};
pub use run::{TrialOptions, TrialStage, run_trial};
