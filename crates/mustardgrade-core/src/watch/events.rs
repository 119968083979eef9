//! Inputs and outputs of the watch controller, and the events that it logs.

use std::net::Ipv4Addr;
use std::time::Duration;

use derive_more::Display;

use super::message::{ChangeBatch, FleetMessage};
use crate::cookie::{LoadReport, PeerLoads};
use crate::registry::RegistryKey;

/// `StoreCall` is a request to the platform's store.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads all entries.
    #[display("read, stale={allow_stale}")]
    ReadAll {
        /// Whether a replica of the store may answer with data that is seconds old.
        allow_stale: bool,
    },
    /// Waits for changes (long poll).
    #[display("watch after {after_revision}")]
    Watch {
        /// Revision after which changes are returned.
        after_revision: u64,
        /// Maximum time that the store waits for a change before it answers.
        max_wait: Duration,
    },
}

/// `StoreFailure` is the reason why a store call returned no changes.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum StoreFailure {
    /// The store no longer holds the history after the revision of the watch.
    #[display("watch history was compacted")]
    HistoryCompacted,
    /// The call failed or was rejected, for the given cause.
    #[display("{_0}")]
    Failed(String),
}

/// `WatchInput` is an event that the controller has to process.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchInput {
    /// Periodic timer tick.
    Tick,
    /// An authenticated datagram from another host.
    Message(FleetMessage),
    /// Another host's answer to a request for changes.
    Changes {
        /// The host that was asked.
        from: Ipv4Addr,
        /// The changes; `None` if the host did not answer.
        batch: Option<ChangeBatch>,
    },
    /// The result of the store call in progress.
    StoreResult(std::result::Result<ChangeBatch, StoreFailure>),
    /// This host's own load report, from its traffic thread.
    LocalLoad(LoadReport),
    /// The configured seed hosts have changed.
    SeedHosts(Vec<Ipv4Addr>),
    /// The host is about to stop.
    Leave,
}

/// `WatchOutput` is an action that the controller requests.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchOutput {
    /// Send a datagram to another host.
    Send {
        /// Address of the receiving host.
        to: Ipv4Addr,
        /// Message to send.
        message: FleetMessage,
    },
    /// Request the changes after a revision from another host.
    RequestChanges {
        /// Address of the host to ask.
        to: Ipv4Addr,
        /// Revision up to which every change is already known.
        after_revision: u64,
    },
    /// Call the store, and cancel the call in progress, if any.
    CallStore(StoreCall),
    /// Rebuild the snapshot and hand it to the traffic threads.
    InstallSnapshot,
    /// Hand the aggregated load reports of the other hosts to the traffic threads.
    InstallPeerLoads(PeerLoads),
    /// Write an event to the log.
    Event(WatchEvent),
}

/// `WatchEvent` is a change in the controller's state that is logged.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// A manifest has been applied.
    #[display("manifest in force version={version} revision={revision}")]
    ManifestApplied {
        /// Version of the manifest.
        version: u64,
        /// Store revision of the manifest.
        revision: u64,
    },
    /// A manifest contains a route that fails validation.
    #[display("manifest has an invalid route: {cause}")]
    InvalidRoute {
        /// The route and the reason.
        cause: String,
    },
    /// An entry other than the manifest has changed.
    #[display("{key} {state} revision={revision}")]
    EntryChanged {
        /// The entry that changed.
        key: RegistryKey,
        /// Its new state, as logged.
        state: &'static str,
        /// Store revision of the change.
        revision: u64,
    },
    /// The store has rejected a watch because it does not have the history after the revision.
    #[display("store has no history after revision={after_revision}")]
    HistoryUnavailable {
        /// Revision after which the watch was to continue.
        after_revision: u64,
    },
    /// The store has returned the whole registry.
    #[display("registry read revision={revision} known_revision={known_revision}")]
    RegistryRead {
        /// Revision of the store as of the read.
        revision: u64,
        /// Revision up to which the host had applied every change before the read.
        known_revision: u64,
    },
    /// A change from the store was ignored as outdated although its content is not in force.
    #[display("{key} ignored revision={revision} known_revision={known_revision}")]
    ChangeIgnored {
        /// The entry that the change concerns.
        key: RegistryKey,
        /// Store revision of the change.
        revision: u64,
        /// Store revision of the content in force.
        known_revision: u64,
    },
    /// A store call has succeeded after failures.
    #[display("store reachable again after {failed_calls} failed calls")]
    StoreRecovered {
        /// Number of consecutive calls that failed.
        failed_calls: u32,
    },
    /// A store call has failed; logged only for the first of several consecutive failures.
    #[display("store call failed: {cause}")]
    StoreFailed {
        /// Reason for the failure.
        cause: String,
    },
    /// The host has started or stopped watching the store.
    #[display("watching={watching} rank={rank} confirmed_ms={confirmation_age_ms:?}")]
    WatchingChanged {
        /// Whether the host watches the store from now on.
        watching: bool,
        /// Rank of the host in its data centre; 0 watches first.
        rank: usize,
        /// Milliseconds since the registry was last confirmed to be current, if it was.
        confirmation_age_ms: Option<u32>,
    },
    /// The host has left the platform's rotation because it is isolated, or has rejoined it.
    #[display("isolated={isolated}")]
    IsolationChanged {
        /// Whether callers should be directed to another data centre.
        isolated: bool,
    },
    /// The host has started or stopped sending load reports to other hosts.
    #[display("sharing={sharing} pressed={saturated} suspects={has_unanswered}")]
    LoadSharingChanged {
        /// Whether the host sends load reports.
        sharing: bool,
        /// Whether the upstreams in the host's data centre are saturated.
        saturated: bool,
        /// Whether an upstream leaves flows of this host unanswered.
        has_unanswered: bool,
    },
    /// The host itself was not running for a while.
    #[display("host stalled for {stall_ms} ms")]
    Stalled {
        /// Duration of the stall in milliseconds.
        stall_ms: u32,
    },
    /// Another host was heard for the first time, after a restart, or after a silence.
    #[display("host {address} joined or returned")]
    HostJoined {
        /// Address of that host.
        address: Ipv4Addr,
    },
}
