//! Placement of the buckets of flow services on upstreams: the tables, the assignment methods that
//! fill them, and the planner that moves buckets in phases which every host has to acknowledge.

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
