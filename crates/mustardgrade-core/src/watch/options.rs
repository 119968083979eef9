//! Settings of the controller of a registry replica.

use std::net::Ipv4Addr;

use super::schedule::WatchSchedule;
use crate::identity::DataCentreId;

/// `WatchOptions` are the settings of a [`WatchController`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchOptions {
    /// Address on which other hosts reach this one.
    pub address: Ipv4Addr,
    /// The data centre in which the host is located.
    pub data_centre: DataCentreId,
    /// Number of this run of the host, which differs after a restart.
    pub incarnation: u64,
    /// CPU share of the host in thousandths of a core; hosts with a larger one watch first.
    pub cpu_millicores: u16,
    /// Configured peers to contact first; some may be down or decommissioned.
    pub seed_hosts: Vec<Ipv4Addr>,
    /// Timing of the store calls.
    pub schedule: WatchSchedule,
    /// Seed of the random number generator.
    pub rng_seed: u64,
}
