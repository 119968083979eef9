//! Content of an explanation, as hosts write it and the command-line tool reads it.

use std::net::SocketAddrV4;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::rule::DecisionRule;
use crate::cookie::counters::{CookieDropCause, ResetCause};
use crate::registry::StorePosition;

/// Age of the confirmation from which a view is stale. The store answers a watch within 1.8 s, and
/// another host takes over from a failed watcher after 2.25 s, so views stay younger than this.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(3);

/// `HostExplanation` is the explanation of a flow with the state of the host that gives it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostExplanation {
    /// Name of the host.
    pub host: String,
    /// Milliseconds since the host's view of the store was last confirmed; `None` if it never was.
    pub confirmation_age_ms: Option<u64>,
    /// Whether the confirmation is too old to trust the view.
    pub is_stale: bool,
    /// The explanation.
    pub flow: FlowExplanation,
}

impl HostExplanation {
    /// Combines an explanation with the host's name and the age of its confirmation.
    #[must_use]
    pub fn new(host: String, confirmation_age: Option<Duration>, flow: FlowExplanation) -> Self {
        let is_stale = confirmation_age.is_none_or(|age| age > MAX_CONFIRMATION_AGE);
        let confirmation_age_ms = confirmation_age.map(|age| age.as_millis() as u64);
        Self { host, confirmation_age_ms, is_stale, flow }
    }
}

/// `FlowExplanation` is where a host would send a packet now, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FlowExplanation {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Address of the route.
    pub service: SocketAddrV4,
    /// Cookie of the packet of an open flow; `None` for an opening.
    pub cookie: Option<String>,
    /// Version of the manifest that the route comes from.
    pub manifest_version: u64,
    /// Position in the store's history up to which changes are included.
    pub store_position: StorePosition,
    /// The route; `None` if a manifest has dropped it.
    pub route: Option<RouteExplanation>,
    /// Service selected for an opening; `None` if there was no selection.
    pub choice: Option<ServiceChoice>,
    /// Demand on the weighted service, the most urgent route first; empty if admission control does
    /// not apply to it.
    pub demand: Vec<DemandExplanation>,
    /// Selections among the upstreams of a service, in their order.
    pub picks: Vec<PickExplanation>,
    /// Upstreams of these services, or that of the cookie.
    pub candidates: Vec<CandidateExplanation>,
    /// What becomes of the packet.
    pub verdict: VerdictExplanation,
    /// Rule that decided it.
    pub rule: DecisionRule,
}

/// `RouteExplanation` is the route of a packet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteExplanation {
    /// Configured name.
    pub name: String,
    /// Priority; smaller numbers are more urgent.
    pub priority: u32,
    /// Backends with their weights.
    pub backends: Vec<BackendExplanation>,
}

/// `BackendExplanation` is a backend of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendExplanation {
    /// Name of the service.
    pub service: String,
    /// Weight.
    pub weight: u32,
}

/// `ServiceChoice` is the service that an opening goes to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceChoice {
    /// Service that the weights select.
    pub weighted: String,
    /// Service that the opening goes to, or that refuses it.
    pub selected: String,
    /// Why they are the same or differ.
    pub reason: ServiceReason,
    /// Share of the weighted service's openings that this host moves to another backend.
    pub moved_share: f64,
}

/// `ServiceReason` is why the service of an opening is selected.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceReason {
    /// The weights of the route.
    #[display("weights")]
    Weights,
    /// The opening is in the share that the weighted service lacks the capacity for.
    #[display("spillover: the weighted service lacks capacity for a share of its openings")]
    SpilloverShare,
    /// The weighted service has no room or no upstream for the opening.
    #[display("spillover: the weighted service has no room or no upstream for the opening")]
    SpilloverNoRoom,
}

/// `DemandExplanation` is the demand of one route on a service, as the host measures it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandExplanation {
    /// Name of the route.
    pub route: String,
    /// Priority of the route; smaller numbers come first.
    pub priority: u32,
    /// Openings per second, refused ones included.
    pub openings_per_sec: f64,
    /// Requests per second that were forwarded.
    pub requests_per_sec: f64,
    /// Percentage of the caller's openings that admission control admits.
    pub admitted_percent: f64,
}

/// `PickExplanation` is one selection among the upstreams of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PickExplanation {
    /// Name of the service.
    pub service: String,
    /// Answer of admission control.
    pub admission: String,
    /// Result of the selection.
    pub result: PickResult,
    /// Selected upstream.
    pub upstream: Option<String>,
    /// Rule that decided.
    pub rule: DecisionRule,
}

/// `PickResult` is the result of a selection.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PickResult {
    /// An upstream was selected.
    #[display("picked")]
    Picked,
    /// The flow was refused for lack of capacity.
    #[display("no_room")]
    NoRoom,
    /// No upstream takes the flow.
    #[display("no_upstream")]
    NoUpstream,
}

/// `CandidateState` is whether an upstream may be selected.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CandidateState {
    /// It accepts new flows.
    #[display("open")]
    Open,
    /// An earlier transmission of the opening went there without an answer.
    #[display("tried")]
    Tried,
    /// It accepts no new flows: draining, evacuated, removed, or its address is another's now.
    #[display("closed")]
    Closed,
}

/// `CandidateExplanation` is what a host knows of an upstream that a flow may go to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CandidateExplanation {
    /// Name of the upstream.
    pub upstream: String,
    /// Cookie of its present run.
    pub cookie: String,
    /// Address at which it receives packets.
    pub address: SocketAddrV4,
    /// Name of its service.
    pub service: String,
    /// Identifier of its data centre, as in log lines.
    pub data_centre: String,
    /// Whether that is the host's own data centre.
    pub is_local: bool,
    /// Whether it may be selected.
    pub state: CandidateState,
    /// Number of requests that it runs concurrently.
    pub slots: u16,
    /// Requests and openings in flight that this host has forwarded.
    pub own_in_flight: u32,
    /// Requests and openings in flight that the other hosts report.
    pub reported_in_flight: u32,
    /// Requests and openings in flight that the host reckons with, with what the other hosts may
    /// have added since their reports.
    pub in_flight: u32,
    /// Time that a request placed now would wait for a free slot.
    pub expected_wait_ms: u64,
    /// Mean time from a request to its answer without that wait.
    pub answer_time_ms: u64,
    /// Whether the answer time is measured; otherwise it is assumed.
    pub is_answer_time_measured: bool,
    /// Answer time in percent of that of the median upstream of the service.
    pub relative_answer_time_percent: u64,
    /// Load in percent of its slots, corrected by its speed; `None` if it was not considered.
    pub load_percent: Option<u64>,
    /// Cost of the flow there, in the unit of `load_percent`; `None` if it was not considered, is
    /// cold or suspected.
    pub cost_percent: Option<u64>,
    /// Open flows that this host has observed.
    pub open_flows: u32,
    /// Time for which it stays cold; `None` if it is warm.
    pub cold_left_ms: Option<u64>,
    /// Whether it is suspected of having failed.
    pub is_suspected: bool,
    /// Whether it is ejected, since it fails a part of its requests.
    pub is_ejected: bool,
    /// Upstream whose registration at its address proves that its run has ended; `None` if no such
    /// proof is in force.
    pub ended_by: Option<String>,
    /// Whether this host is due to probe it.
    pub is_probe_due: bool,
    /// Whether an opening has been pending there for longer than usual.
    pub has_slow_opening: bool,
    /// Its slow start; `None` if it has its full share.
    pub slow_start: Option<SlowStartExplanation>,
    /// What speaks against it.
    pub evidence: UpstreamEvidence,
}

/// `SlowStartExplanation` is the slow start of an upstream at this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowStartExplanation {
    /// Limit in thousandths of its share by slots.
    pub limit_permille: u32,
    /// Whether it is left out now.
    pub is_limited: bool,
    /// Whether it is owed a flow now.
    pub is_owed_flow: bool,
}

/// `UpstreamEvidence` is what hosts have observed against an upstream, and how old that is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEvidence {
    /// Flows that it has left unanswered at this host.
    pub own_unanswered_flows: u32,
    /// Flows that it has left unanswered at other hosts.
    pub reported_unanswered_flows: u32,
    /// Flows that are presumed unanswered, since its data centre is unreachable.
    pub presumed_unanswered_flows: u32,
    /// Time since the earliest of these packets was sent.
    pub unanswered_age_ms: Option<u64>,
    /// Time since it last showed to any host that it is alive; `None` if it never did.
    pub alive_age_ms: Option<u64>,
}

/// `VerdictExplanation` is what becomes of a packet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum VerdictExplanation {
    /// It is forwarded to an upstream.
    Forward {
        /// Name of the upstream.
        upstream: String,
        /// Address at which the upstream receives packets.
        address: SocketAddrV4,
        /// Cookie that the packet carries then.
        cookie: String,
    },
    /// The opening is answered with a reset.
    Refuse {
        /// Reason for the reset.
        cause: ResetCause,
    },
    /// The packet of an open flow is answered with a reset.
    Reset {
        /// Reason for the reset.
        cause: ResetCause,
    },
    /// It is dropped without an answer.
    Drop {
        /// Reason for the drop.
        cause: CookieDropCause,
    },
}
