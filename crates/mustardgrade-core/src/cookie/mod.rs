//! Stateless flow routing by cookie.
//!
//! Each packet of an open flow carries a cookie that identifies its upstream and that both
//! endpoints echo, so any host can route the packet without per-flow state (Cheetah, NSDI 2020).

mod admission;
mod backlog;
mod counters;
mod ended_runs;
mod explain;
mod flow_cookie;
mod holders;
mod load;
mod load_limit;
mod observe;
mod observed_flows;
mod openings;
mod outliers;
mod pacing;
mod packet;
mod pick_cold;
mod pick_cost;
mod pick_probe;
mod picker;
mod reachability;
mod router;
mod snapshot;
mod spillover;
mod startup_hold;
mod tracker;
mod upstream_load;
mod upstream_view;
mod utilisation;

pub use admission::AdmissionMode;
pub use backlog::{DuePacket, MAX_OPENING_WAIT, PacketBacklog, WaitingPacket};
pub use counters::{CookieCounters, CookieDropCause, PRIORITY_GROUPS, ResetCause};
pub use ended_runs::{EndedUpstream, EndedUpstreamAction, WithdrawalCause};
pub use explain::{
    BackendExplanation, CandidateExplanation, CandidateState, DecisionRule, DemandExplanation,
    ExplainError, FlowExplanation, HostExplanation, PickExplanation, PickResult, RouteExplanation,
    ServiceChoice, ServiceReason, SlowStartExplanation, UpstreamEvidence, VerdictExplanation,
};
pub use flow_cookie::FlowCookie;
pub use holders::{FlowHolder, PeerHolders};
pub use load::{LoadEntry, LoadReport, PeerLoad, PeerLoads};
pub use observed_flows::{FlowStage, HolderEvidence, ObservedFlow, ObservedFlowTable};
pub use outliers::{
    OutcomeEntry, OutcomeTable, OutlierCounters, OutlierMode, PooledOutcomes, RequestWatch,
    WatchStage,
};
pub use packet::{AnswerStage, CookiePacket, CookieVerdict, FlowEvent};
pub use router::{CookieOptions, CookieRouter, FabricKind};
pub use snapshot::{CookieRoute, CookieSnapshot, SnapshotContext, build_cookie_snapshot};
pub use startup_hold::{StartupHold, StartupPackets};
pub use tracker::{FailureDetectionOptions, UpstreamTracker};
pub use upstream_load::{PooledSpeed, ServiceLoad, SpeedEntry, SpeedTable, UpstreamLoad};
pub use upstream_view::UpstreamView;

#[cfg(test)]
mod tests;
