//! The scenario language: text files that define the deployment, load, scripted events, and bounds
//! on figures of a simulation.
//!
//! The grammar is in `docs/SCENARIOS.md`.

mod cursor;
mod errors;
mod grammar;
mod machines;
mod model;

pub use errors::{Result, ScenarioError};
pub use grammar::{ParameterOverride, parse_scenario};
pub use machines::{ProcessorSpec, StoreLimits};
pub use model::{
    Comparison, DataCentreSpec, EventAction, FigureBound, FlowLoad, NetworkSpec, RequestLoad,
    Scenario, ScenarioOptions, ServiceSpec, StoreFault, TimedEvent,
};

#[cfg(test)]
mod tests;
