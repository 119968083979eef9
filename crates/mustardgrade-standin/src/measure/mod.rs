//! The measuring tool: runs scenarios over seeds and holds their figures against bounds.

mod compare;
mod relay;
mod run;

pub use compare::compare_results;
pub use relay::{RelayThroughput, measure_relay_throughput};
pub use run::{FigureSummary, ScenarioResult, SeedRange, Verdict, measure_scenario};

#[cfg(test)]
mod tests;
