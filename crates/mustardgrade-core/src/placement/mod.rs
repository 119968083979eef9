//! Placement of buckets on upstreams: tables, the methods that fill them, and the planner that
//! moves buckets in steps that every host can follow.

mod assign;
mod map;
mod planner;
mod table;

pub use assign::{AssignMethod, UpstreamWeight, assign_buckets, count_reassigned_buckets};
pub use map::PlacementMap;
pub use planner::{ClusterProgress, PlacementPlanner, PlannerOptions, WARM_WEIGHT_PER_SLOT};
pub use table::{BucketIndex, BucketPhase, BucketPlacement, PlacementTable, UNASSIGNED};

#[cfg(test)]
mod tests;
