//! Tests of routing by cookie.

mod allocation;
mod failure_detection;
mod fixtures;
mod misrouting;
mod overload;
mod reachability;
mod upstream_selection;
