//! Placement of buckets on upstreams: tables, the methods that fill them, and the planner that
//! moves buckets in steps that every host can follow.

mod assign;
mod book;
mod planner;
mod table;

pub use assign::{AssignMethod, UpstreamWeight, assign_buckets, count_moves};
pub use book::PlacementBook;
pub use planner::{EchoState, PlacementPlanner, PlannerOptions, WARM_WEIGHT_PER_SLOT};
pub use table::{BucketIndex, BucketPhase, BucketSlot, PlacementTable, UNPLACED};

#[cfg(test)]
mod tests;
