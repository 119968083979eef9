//! Setting of outlier detection.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// `OutlierMode` is whether upstreams that fail a part of their requests are ejected.
#[derive(Debug, Display, FromStr, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutlierMode {
    /// Where the load of the service is modelled and the fabric sends a flow to one host.
    #[default]
    #[display("auto")]
    Auto,
    /// Never; no outcome is observed.
    #[display("off")]
    Off,
}
