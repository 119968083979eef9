//! What happens to a host and what it does about it.

use std::net::Ipv4Addr;
use std::time::Duration;

use derive_more::Display;

use super::message::{ChangeBatch, FleetMessage};
use crate::cookie::{LoadReport, PeerLoads};
use crate::registry::RegistryKey;

/// `StoreCall` is a call to the store.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads everything.
    #[display("read, stale={allow_stale}")]
    ReadAll {
        /// An answer that is seconds old will do.
        allow_stale: bool,
    },
    /// Waits for changes.
    #[display("watch after {after_revision}")]
    Watch {
        /// Revision after which changes count.
        after_revision: u64,
        /// Time to wait for one.
        max_wait: Duration,
    },
}

/// `StoreFailure` says why a call to the store brought nothing.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum StoreFailure {
    /// The store does not hold the history after the watch's revision any more.
    #[display("history is gone")]
    HistoryCompacted,
    /// The call failed or was refused.
    #[display("{_0}")]
    Failed(String),
}

/// `WatchInput` is what happens to a host.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchInput {
    /// Time has passed.
    Tick,
    /// A datagram of another host, found authentic.
    Message(FleetMessage),
    /// Another host's answer to a request for state.
    Changes {
        /// The host.
        from: Ipv4Addr,
        /// Its state; none if it did not answer.
        batch: Option<ChangeBatch>,
    },
    /// The store's answer to the call in progress.
    StoreResult(std::result::Result<ChangeBatch, StoreFailure>),
    /// What the host's traffic thread has inferred of upstreams.
    LocalLoad(LoadReport),
    /// The configured peers have changed.
    SeedHosts(Vec<Ipv4Addr>),
    /// The host shall stop.
    Leave,
}

/// `WatchOutput` is what a host does.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchOutput {
    /// Sends a datagram to another host.
    Send {
        /// The host.
        to: Ipv4Addr,
        /// The message.
        message: FleetMessage,
    },
    /// Asks another host for its state after a revision.
    RequestChanges {
        /// The host.
        to: Ipv4Addr,
        /// The revision.
        after_revision: u64,
    },
    /// Calls the store; any call in progress is given up.
    CallStore(StoreCall),
    /// What traffic threads need to know has changed.
    InstallSnapshot,
    /// What the other hosts have inferred of upstreams has changed.
    InstallPeerLoads(PeerLoads),
    /// Something worth a line in the log has happened.
    Event(WatchEvent),
}

/// `WatchEvent` is a change of what a host believes.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// A manifest is in force.
    #[display("manifest in force version={version} revision={revision}")]
    ManifestApplied {
        /// Its version.
        version: u64,
        /// Its revision.
        revision: u64,
    },
    /// A route of a manifest cannot be followed.
    #[display("manifest doubtful: {cause}")]
    InvalidRoute {
        /// Which, and why.
        cause: String,
    },
    /// An item other than the manifest has changed.
    #[display("{key} {state} revision={revision}")]
    EntryChanged {
        /// The item.
        key: RegistryKey,
        /// What has become of it.
        state: &'static str,
        /// Its revision.
        revision: u64,
    },
    /// The store answers again.
    #[display("store regained after {failed_calls} failed calls")]
    StoreRecovered {
        /// Calls that failed in a row.
        failed_calls: u32,
    },
    /// The store does not answer.
    #[display("store lost: {cause}")]
    StoreFailed {
        /// What the call brought.
        cause: String,
    },
    /// The host takes up or gives up the watch.
    #[display("watching={watching} rank={rank} confirmed_ms={confirmation_age_ms:?}")]
    WatchingChanged {
        /// Whether it watches from now on.
        watching: bool,
        /// Its place in the order of its data centre.
        rank: usize,
        /// Age of the last confirmation in milliseconds.
        confirmation_age_ms: Option<u32>,
    },
    /// The host leaves or rejoins the rotation of the platform.
    #[display("isolated={isolated}")]
    IsolationChanged {
        /// Whether callers are better served elsewhere.
        isolated: bool,
    },
    /// The host begins or ends to tell others of load and silence.
    #[display("sharing={sharing} pressed={near_capacity} suspects={suspects_upstream}")]
    LoadSharingChanged {
        /// Whether it tells others.
        sharing: bool,
        /// Whether its upstreams have little room left.
        near_capacity: bool,
        /// Whether it suspects an upstream itself.
        suspects_upstream: bool,
    },
    /// The host did not run for a while.
    #[display("stalled for {stall_ms} ms")]
    Stalled {
        /// For how long, in milliseconds.
        stall_ms: u32,
    },
    /// Another host was heard for the first time, or again.
    #[display("host {address} heard")]
    HostJoined {
        /// Its address.
        address: Ipv4Addr,
    },
}
