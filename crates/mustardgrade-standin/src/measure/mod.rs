//! The measuring tool: runs scenarios over seeds and holds their figures against bounds.

mod compare;
mod relay;
mod run;

pub use compare::compare_results;
pub use relay::{RelayResult, measure_relay};
pub use run::{FigureLine, MeasureResult, SeedRange, Verdict, measure_scenario};

#[cfg(test)]
mod tests;
