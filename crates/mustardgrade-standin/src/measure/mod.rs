//! Runs scenarios over ranges of seeds, checks their figures against bounds, and compares results.

mod compare;
mod relay;
mod run;

pub use compare::compare_results;
pub use relay::{RelayThroughput, measure_relay_throughput};
pub use run::{FigureSummary, ScenarioResult, SeedRange, Verdict, measure_scenario};

#[cfg(test)]
mod tests;
