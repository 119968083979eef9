//! Steps that a host takes while it joins, recovers from a partition, or leaves.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

/// `JoinStep` is the progress of a host that joins.
///
/// Durations are the active time of the member table at the start of the step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JoinStep {
    /// The rules have taken the local data centre out of service.
    DataCentreOutOfService,
    /// Rules and placement are fetched from peers and the store.
    FetchingConfiguration,
    /// All settled exceptions are fetched from a serving peer.
    FetchingExceptions(Duration),
    /// The host waits until all live hosts report the same view, or the timeout has passed.
    AwaitingConvergence(Duration),
    /// The flow records that this host will own are fetched from all live peers.
    FetchingRecords,
    /// The host may serve.
    Joined,
}

/// `PartitionRecovery` is the progress of collecting exceptions that other hosts recorded while
/// this host did not receive their digests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PartitionRecovery {
    /// Active time of the member table at the start of the recovery.
    pub(super) since: Duration,
    /// Active time from which digests tell what their senders see now.
    pub(super) views_from: Duration,
    /// Whether the exceptions have been requested from the live peers.
    pub(super) fetch_started: bool,
    /// Live peers that have not answered yet.
    pub(super) pending_peers: BTreeSet<Ipv4Addr>,
}

/// `LeaveStep` is the progress of a host that leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaveStep {
    NotLeaving,
    Leaving { since: Duration, converged_at: Option<Duration> },
    Stopped,
}
