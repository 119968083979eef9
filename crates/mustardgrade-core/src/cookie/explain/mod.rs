//! Explanations of where a flow or a packet would go now, and why.
//!
//! A router explains a packet by routing it on a copy of itself that records each selection, so an
//! explanation cannot differ from what the router does. See `docs/design/explain.md`.

mod candidates;
mod dry_run;
mod error;
mod explanation;
mod pick_record;
mod reason;
mod rule;

pub use error::ExplainError;
pub use explanation::{
    BackendExplanation, CandidateExplanation, CandidateState, DemandExplanation, FlowExplanation,
    HostExplanation, PickExplanation, PickResult, RouteExplanation, ServiceChoice, ServiceReason,
    SlowStartExplanation, UpstreamEvidence, VerdictExplanation,
};
pub(super) use pick_record::PickRecord;
pub use rule::DecisionRule;
