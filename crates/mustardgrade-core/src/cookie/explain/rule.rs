//! Rules by which the upstream of a packet is decided.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `DecisionRule` is the rule that decides on a packet.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionRule {
    /// A suspected upstream is due for a probe.
    #[display(
        "probe: the upstream is suspected, and due for a new flow that shows whether it answers"
    )]
    Probe,
    /// An ejected upstream is due for a flow of its probation.
    #[display("probation: the upstream is ejected, and due for a flow that shows how it answers")]
    Probation,
    /// A cold upstream is due for a trial although warm ones are left.
    #[display("cold trial: a cold upstream gets a few flows before it is warm")]
    ColdTrial,
    /// An upstream in its slow start has got fewer flows than its share.
    #[display("slow start: the upstream is owed a flow of its share")]
    SlowStart,
    /// An upstream in its slow start takes a flow beyond its share.
    #[display("slow start: the other upstreams have no spare capacity")]
    SlowStartRelief,
    /// The warm, unsuspected upstream with the lowest cost.
    #[display("least cost")]
    LeastCost,
    /// No upstream is warm and unsuspected, and the rate of a cold one has room.
    #[display("cold limit: no warm upstream is left, and the rate of this cold one has room")]
    ColdRate,
    /// All warm upstreams are suspected; one of them is selected by hash.
    #[display("all suspected: one of the suspected upstreams, by hash")]
    AllSuspected,
    /// An earlier transmission of the opening went to the upstream.
    #[display("earlier transmission: the opening went to this upstream before")]
    EarlierTransmission,
    /// The upstream of an earlier transmission, since no other one takes the flow.
    #[display("earlier transmission: no other upstream takes the flow")]
    NoOtherUpstream,
    /// Admission control of the service refuses the opening.
    #[display("admission: the service cannot serve all demand, and others come first")]
    Admission,
    /// The load of the best upstream is above the limit for the priority of the flow.
    #[display("load limit: the load of the best upstream is above the limit for this priority")]
    LoadLimit,
    /// Only cold upstreams are left, and their rates are used up.
    #[display("cold limit: only cold upstreams are left, and their rates are used up for now")]
    ColdLimit,
    /// No upstream accepts new flows.
    #[display("no upstream accepts new flows")]
    NoUpstream,
    /// No backend of the route has a weight above 0.
    #[display("no backend of the route has a weight above 0")]
    NoBackend,
    /// The flow that the opening belongs to is open.
    #[display("the flow is open already")]
    AlreadyOpen,
    /// The cookie of the packet names the upstream, or none.
    #[display("cookie of the packet")]
    Cookie,
    /// The run that the cookie names has provably ended.
    #[display("ended run: another upstream has registered at its address")]
    EndedRun,
    /// The cookie names an earlier run of the upstream, which has started again since.
    #[display("cookie of an earlier run of the upstream")]
    EarlierRun,
    /// The host has observed that another upstream than that of the cookie holds the flow.
    #[display("holder: the host has observed that this upstream holds the flow")]
    Holder,
    /// The manifest has no route for the packet.
    #[display("no route in the manifest")]
    NoRoute,
}
