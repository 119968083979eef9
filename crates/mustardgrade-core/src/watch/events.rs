//! Inputs and outputs of the watch controller, and the events that it logs.

use std::net::Ipv4Addr;
use std::time::Duration;

use derive_more::Display;

use super::message::{ChangeBatch, FleetMessage};
use super::route_services::{RouteServicesWrite, WriteResult};
use crate::cookie::{LoadReport, PeerLoads};
use crate::registry::{RegistryKey, StorePosition};

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
    #[display("watch after {after}")]
    Watch {
        /// Position after which changes are returned.
        after: StorePosition,
        /// Maximum time that the store waits for a change before it answers.
        max_wait: Duration,
    },
}

/// `StoreFailure` is the reason why a store call returned no changes.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum StoreFailure {
    /// The store does not hold the history after the position of the watch.
    #[display("history of the watch is not available")]
    HistoryUnavailable,
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
    /// The result of the write in progress.
    WriteResult(WriteResult),
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
    /// Request the changes after a position from another host.
    RequestChanges {
        /// Address of the host to ask.
        to: Ipv4Addr,
        /// Position up to which every change is already known; the origin to get all entries.
        after: StorePosition,
    },
    /// Call the store, and cancel the call in progress, if any.
    CallStore(StoreCall),
    /// Write an entry to the store; the call in progress goes on.
    WriteRouteServices(RouteServicesWrite),
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
    #[display("manifest in force version={version} {position}")]
    ManifestApplied {
        /// Version of the manifest.
        version: u64,
        /// Position of the manifest in the store's history.
        position: StorePosition,
    },
    /// A manifest contains a route that fails validation.
    #[display("manifest has an invalid route: {cause}")]
    InvalidRoute {
        /// The route and the reason.
        cause: String,
    },
    /// An entry other than the manifest has changed.
    #[display("{key} {state} {position}")]
    EntryChanged {
        /// The entry that changed.
        key: RegistryKey,
        /// Its new state, as logged.
        state: &'static str,
        /// Position of the change in the store's history.
        position: StorePosition,
    },
    /// The store has rejected a watch because it does not have the history after the position.
    #[display("store has no history after {after}")]
    HistoryUnavailable {
        /// Position after which the watch was to continue.
        after: StorePosition,
    },
    /// The store has returned the whole registry.
    #[display("registry read {position} known_epoch={} known_revision={}", known.epoch, known.revision)]
    RegistryRead {
        /// Position of the store as of the read.
        position: StorePosition,
        /// Position up to which the host had applied every change before the read.
        known: StorePosition,
    },
    /// The store has returned from an older copy of itself.
    #[display("store was restored known_epoch={} known_revision={} {position}", known.epoch, known.revision)]
    StoreRestored {
        /// Position up to which the host had applied every change of the lost history.
        known: StorePosition,
        /// Position of the store as of the first read.
        position: StorePosition,
    },
    /// A change from the store was ignored as outdated although its content is not in force.
    #[display("{key} ignored {position} known_epoch={} known_revision={}", known.epoch, known.revision)]
    ChangeIgnored {
        /// The entry that the change concerns.
        key: RegistryKey,
        /// Position of the change in the store's history.
        position: StorePosition,
        /// Position of the content in force.
        known: StorePosition,
    },
    /// A change of a restored store takes effect later, since it contradicts newer knowledge.
    #[display("{key} change deferred {position}")]
    ChangeDeferred {
        /// The entry that the change concerns.
        key: RegistryKey,
        /// Position of the change in the store's history.
        position: StorePosition,
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
    /// The services that routes have had were written to the store.
    #[display("route-services written {position}")]
    RouteServicesWritten {
        /// Position of the write in the store's history.
        position: StorePosition,
    },
    /// Another writer has changed the services that routes have had before this host's write.
    #[display("route-services changed by another writer {position}")]
    RouteServicesConflict {
        /// Position of the other change in the store's history.
        position: StorePosition,
    },
    /// A write of the services that routes have had was rejected, failed or was not answered.
    #[display("route-services not written: {cause}")]
    RouteServicesFailed {
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
    /// Ticks of the host have begun to be late, or are in time again.
    #[display("control late={late} since_tick_ms={elapsed_ms}")]
    LatenessChanged {
        /// Whether the last tick was late, so that messages may have waited at the host.
        late: bool,
        /// Milliseconds between the last two ticks.
        elapsed_ms: u32,
    },
    /// Another host was heard for the first time, after a restart, or after a silence.
    #[display("host {address} joined or returned")]
    HostJoined {
        /// Address of that host.
        address: Ipv4Addr,
    },
}
