//! Runs a scenario with a range of seeds and checks its figures against its bounds.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::fleet::FleetSimulation;
use crate::scenario::{Comparison, FigureBound, Scenario};
use crate::world::{FigureList, Simulation};

/// Maximum number of seeds that run in parallel. Each keeps all flows of its simulation in memory.
const MAX_SEED_THREADS: usize = 5;

/// `SeedRange` is a range of seeds, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeedRange {
    /// Lowest seed.
    pub first: u64,
    /// Highest seed.
    pub last: u64,
}

/// `Verdict` is the outcome of checking a figure against its bound.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The figure has no bound.
    #[display("-")]
    Unbounded,
    /// The figure is within its bound.
    #[display("ok")]
    Kept,
    /// The figure is outside its bound.
    #[display("MISSED")]
    Missed,
}

/// `FigureSummary` is a figure over all seeds: the worst value if it has a bound, otherwise the
/// mean.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FigureSummary {
    /// Name of the figure.
    pub name: String,
    /// Worst or mean value, in `unit`.
    pub value: f64,
    /// Unit of the value; empty if it has none.
    pub unit: String,
    /// The bound as text, such as `<= 5`; empty if the figure has none.
    pub bound: String,
    /// Whether the value is within the bound, if the figure has one.
    pub verdict: Verdict,
    /// Seed that gave the worst value, if the figure has a bound and at least one run reported
    /// it.
    pub worst_seed: Option<u64>,
}

impl std::fmt::Display for FigureSummary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let value = format_value(self.value);
        write!(f, "{:<26} {value:>12} {:<13}", self.name, self.unit)?;
        write!(f, " {:<10} {}", self.bound, self.verdict)?;
        match (self.verdict, self.worst_seed) {
            (Verdict::Missed, Some(seed)) => write!(f, " (seed {seed})"),
            _ => Ok(()),
        }
    }
}

/// `ScenarioResult` is the result of one scenario over all seeds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScenarioResult {
    /// Title of the scenario.
    pub title: String,
    /// Number of seeds that the scenario was run with.
    #[serde(rename = "seeds")]
    pub seed_count: u64,
    /// Summaries of the figures, in the order in which runs report them.
    pub figures: Vec<FigureSummary>,
}

impl ScenarioResult {
    /// Returns whether every figure with a bound is within it.
    #[must_use]
    pub fn all_bounds_kept(&self) -> bool {
        self.figures.iter().all(|figure| figure.verdict != Verdict::Missed)
    }
}

impl std::fmt::Display for ScenarioResult {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "# {} ({} seeds)", self.title, self.seed_count)?;
        for figure in &self.figures {
            writeln!(f, "{figure}")?;
        }
        Ok(())
    }
}

/// Runs a scenario with each seed of a range and summarizes its figures.
///
/// # Panics
///
/// Panics if a run panics.
#[must_use]
pub fn measure_scenario(scenario: &Scenario, seeds: SeedRange) -> ScenarioResult {
    let figures_by_seed = run_seeds(scenario, seeds);
    let mut figures: Vec<FigureSummary> = Vec::new();
    for name in figure_names(&figures_by_seed) {
        let bound = scenario.bounds.iter().find(|bound| bound.figure_name == name);
        figures.push(summarize_figure(&name, bound, &figures_by_seed, seeds));
    }
    for bound in &scenario.bounds {
        if !figures.iter().any(|figure| figure.name == bound.figure_name) {
            figures.push(summarize_missing_figure(bound));
        }
    }
    let seed_count = seeds.last - seeds.first + 1;
    ScenarioResult { title: scenario.title.clone(), seed_count, figures }
}

/// Runs all seeds on up to `MAX_SEED_THREADS` threads; the results are in the order of the seeds.
fn run_seeds(scenario: &Scenario, seeds: SeedRange) -> Vec<FigureList> {
    let seed_count = (seeds.last - seeds.first + 1) as usize;
    let figures_by_seed: Mutex<Vec<Option<FigureList>>> = Mutex::new(vec![None; seed_count]);
    let next_seed = AtomicU64::new(seeds.first);
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..MAX_SEED_THREADS.min(cores).min(seed_count) {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed > seeds.last {
                        return;
                    }
                    let figures = run_with_seed(scenario, seed);
                    let mut figures_by_seed =
                        figures_by_seed.lock().unwrap_or_else(PoisonError::into_inner);
                    figures_by_seed[(seed - seeds.first) as usize] = Some(figures);
                }
            });
        }
    });
    let figures_by_seed = figures_by_seed.into_inner().unwrap_or_else(PoisonError::into_inner);
    figures_by_seed.into_iter().flatten().collect()
}

/// Returns the names of all figures in the order in which they first appear.
fn figure_names(figures_by_seed: &[FigureList]) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for figure in figures_by_seed.iter().flat_map(|list| &list.figures) {
        if !names.contains(&figure.name) {
            names.push(figure.name.clone());
        }
    }
    names
}

fn summarize_figure(
    name: &str,
    bound: Option<&FigureBound>,
    figures_by_seed: &[FigureList],
    seeds: SeedRange,
) -> FigureSummary {
    let values: Vec<f64> =
        figures_by_seed.iter().map(|list| list.get(name).unwrap_or_default()).collect();
    let unit = figures_by_seed
        .iter()
        .flat_map(|list| &list.figures)
        .find(|figure| figure.name == name)
        .map(|figure| figure.unit.clone())
        .unwrap_or_default();
    let Some(bound) = bound else {
        let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
        return FigureSummary {
            name: name.to_owned(),
            value: mean,
            unit,
            bound: String::new(),
            verdict: Verdict::Unbounded,
            worst_seed: None,
        };
    };
    let is_worse = |value: f64, reference: f64| match bound.comparison {
        Comparison::AtMost => value > reference,
        Comparison::AtLeast => value < reference,
    };
    let mut worst_index = 0;
    for (index, value) in values.iter().enumerate() {
        if is_worse(*value, values[worst_index]) {
            worst_index = index;
        }
    }
    let value = values.get(worst_index).copied().unwrap_or_default();
    FigureSummary {
        name: name.to_owned(),
        value,
        unit,
        bound: format!("{} {}", bound.comparison, format_value(bound.limit)),
        verdict: if bound.is_kept_by(value) { Verdict::Kept } else { Verdict::Missed },
        worst_seed: Some(seeds.first + worst_index as u64),
    }
}

/// Runs a scenario with one seed in the simulation that supports its kind of placement.
fn run_with_seed(scenario: &Scenario, seed: u64) -> FigureList {
    match scenario.options.uses_cookies {
        true => FleetSimulation::new(scenario, seed).run_scenario(),
        false => Simulation::new(scenario, seed).run(),
    }
}

/// Summarizes a bounded figure that no run reported.
///
/// Counters by cause are reported only once they are above 0, so an absent one is checked as 0. Any
/// other absent figure misses its bound.
fn summarize_missing_figure(bound: &FigureBound) -> FigureSummary {
    let is_counter =
        bound.figure_name.starts_with("broken_") || bound.figure_name.starts_with("dropped_");
    let verdict = if is_counter && bound.is_kept_by(0.0) { Verdict::Kept } else { Verdict::Missed };
    FigureSummary {
        name: bound.figure_name.clone(),
        value: 0.0,
        unit: if is_counter { "" } else { "not measured" }.to_owned(),
        bound: format!("{} {}", bound.comparison, format_value(bound.limit)),
        verdict,
        worst_seed: None,
    }
}

fn format_value(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() < 1e15 {
        return format!("{value:.0}");
    }
    match value.abs() {
        magnitude if magnitude >= 100.0 => format!("{value:.1}"),
        _ => format!("{value:.3}"),
    }
}
