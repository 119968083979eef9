//! Decision logic of the mustardgrade load balancer.
//!
//! This crate performs no I/O. It maps typed inputs and a [`clock::Clock`] to typed outputs, and is
//! deterministic: the same inputs and seed give the same outputs. Daemons, scenarios, property
//! tests and external benchmarks therefore run the same code.
//!
//! Each role has one entry point. Where hosts share placement tables, [`flow::FlowRouter`] routes
//! packets of long-lived flows, [`request::RequestRouter`] routes requests,
//! [`membership::MemberTable`] tracks the hosts, and [`placement::PlacementPlanner`] computes the
//! tables. Where packets carry a cookie instead, [`cookie::CookieRouter`] routes them, and
//! [`watch::WatchController`] replicates the registry and tracks the hosts.

pub mod clock;
pub mod cookie;
pub mod flow;
pub mod identity;
pub mod membership;
pub mod pace;
pub mod placement;
pub mod registry;
pub mod request;
pub mod rule;
pub mod scheduling;
pub mod watch;
