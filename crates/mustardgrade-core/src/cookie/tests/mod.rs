//! Tests of cookie-based routing.

mod admission_load;
mod admission_scope;
mod allocation;
mod backlog;
mod ended_runs;
mod evidence;
mod explain;
mod failure_detection;
mod fixtures;
mod holders;
mod late_openings;
mod misrouting;
mod outliers;
mod overload;
mod reachability;
mod slow_start;
mod spillover;
mod startup_hold;
mod unnamed_services;
mod upstream_load;
mod upstream_selection;
