//! Setting of admission control.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// `AdmissionMode` is the rule by which openings are refused when capacity is too low.
#[derive(Debug, Display, FromStr, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionMode {
    /// By the work that routes of different priority demand from a service that they share; by load
    /// where no such service or no evidence exists.
    #[default]
    #[display("auto")]
    Auto,
    /// By the requests in flight at the least loaded upstream.
    #[display("load")]
    Load,
}
