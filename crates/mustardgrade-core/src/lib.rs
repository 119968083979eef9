//! Decision core of mustardgrade.
//!
//! Every decision of the load balancer lives here, free of I/O: typed inputs and a [`clock::Clock`]
//! go in, typed outputs come out, and the same inputs with the same seed give the same outputs.
//! Daemons, scenarios, property tests and outside benches all drive the same code.
//!
//! There is one entry point per role: [`flow::FlowRouter`] for packets of long flows,
//! [`request::RequestRouter`] for requests, [`membership::MemberTable`] for the hosts, and
//! [`placement::PlacementPlanner`] for the tables that the hosts agree on.

pub mod clock;
pub mod cookie;
pub mod flow;
pub mod identity;
pub mod membership;
pub mod placement;
pub mod registry;
pub mod request;
pub mod rule;
pub mod watch;
