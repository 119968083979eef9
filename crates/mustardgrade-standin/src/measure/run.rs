//! Running a scenario over seeds.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::fleet::FleetSimulation;
use crate::scenario::{BoundRule, Comparison, Scenario};
use crate::world::{FigureList, Simulation};

/// Threads that run seeds side by side; each holds the flows of one world in memory.
const MAX_THREADS: usize = 5;

/// `SeedRange` is a range of seeds, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeedRange {
    /// First seed.
    pub first: u64,
    /// Last seed.
    pub last: u64,
}

/// `Verdict` says whether a figure keeps its bound.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The figure has no bound.
    #[display("-")]
    Unbounded,
    /// The bound is kept.
    #[display("ok")]
    Kept,
    /// The bound is missed.
    #[display("MISSED")]
    Missed,
}

/// `FigureLine` is a figure over all seeds: the worst value if it is bounded, else the mean.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FigureLine {
    /// Name of the figure.
    pub name: String,
    /// Its value.
    pub value: f64,
    /// Its unit.
    pub unit: String,
    /// Its bound as text, empty if it has none.
    pub bound: String,
    /// Whether the bound is kept.
    pub verdict: Verdict,
    /// Seed of the worst value, if the figure is bounded.
    pub worst_seed: Option<u64>,
}

impl std::fmt::Display for FigureLine {
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

/// `MeasureResult` is the result of one scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MeasureResult {
    /// Title of the scenario.
    pub title: String,
    /// Number of seeds.
    pub seeds: u64,
    /// The figures.
    pub figures: Vec<FigureLine>,
}

impl MeasureResult {
    /// Tells whether every bound is kept.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.figures.iter().all(|figure| figure.verdict != Verdict::Missed)
    }
}

impl std::fmt::Display for MeasureResult {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "# {} ({} seeds)", self.title, self.seeds)?;
        for figure in &self.figures {
            writeln!(f, "{figure}")?;
        }
        Ok(())
    }
}

/// Runs a scenario with each seed of a range.
///
/// # Panics
///
/// Panics if a run panics.
#[must_use]
pub fn measure_scenario(scenario: &Scenario, seeds: SeedRange) -> MeasureResult {
    let lists = run_seeds(scenario, seeds);
    let mut figures: Vec<FigureLine> = Vec::new();
    for name in figure_names(&lists) {
        let bound = scenario.bounds.iter().find(|bound| bound.figure == name);
        figures.push(figure_line(&name, bound, &lists, seeds));
    }
    for bound in &scenario.bounds {
        if !figures.iter().any(|figure| figure.name == bound.figure) {
            figures.push(absent_figure(bound));
        }
    }
    let count = seeds.last - seeds.first + 1;
    MeasureResult { title: scenario.title.clone(), seeds: count, figures }
}

/// Runs all seeds on a few threads; the results stand in the order of the seeds.
fn run_seeds(scenario: &Scenario, seeds: SeedRange) -> Vec<FigureList> {
    let count = (seeds.last - seeds.first + 1) as usize;
    let results: Mutex<Vec<Option<FigureList>>> = Mutex::new(vec![None; count]);
    let next = AtomicU64::new(seeds.first);
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..MAX_THREADS.min(cores).min(count) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed > seeds.last {
                        return;
                    }
                    let list = play(scenario, seed);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results[(seed - seeds.first) as usize] = Some(list);
                }
            });
        }
    });
    let results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.into_iter().flatten().collect()
}

/// Returns the names of all figures in the order in which they first appear.
fn figure_names(lists: &[FigureList]) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for figure in lists.iter().flat_map(|list| &list.figures) {
        if !names.contains(&figure.name) {
            names.push(figure.name.clone());
        }
    }
    names
}

fn figure_line(
    name: &str,
    bound: Option<&BoundRule>,
    lists: &[FigureList],
    seeds: SeedRange,
) -> FigureLine {
    let values: Vec<f64> = lists.iter().map(|list| list.get(name).unwrap_or_default()).collect();
    let unit = lists
        .iter()
        .flat_map(|list| &list.figures)
        .find(|figure| figure.name == name)
        .map(|figure| figure.unit.clone())
        .unwrap_or_default();
    let Some(bound) = bound else {
        let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
        return FigureLine {
            name: name.to_owned(),
            value: mean,
            unit,
            bound: String::new(),
            verdict: Verdict::Unbounded,
            worst_seed: None,
        };
    };
    let worse = |one: f64, other: f64| match bound.comparison {
        Comparison::AtMost => one > other,
        Comparison::AtLeast => one < other,
    };
    let mut worst = 0;
    for (index, value) in values.iter().enumerate() {
        if worse(*value, values[worst]) {
            worst = index;
        }
    }
    let value = values.get(worst).copied().unwrap_or_default();
    FigureLine {
        name: name.to_owned(),
        value,
        unit,
        bound: format!("{} {}", bound.comparison, format_value(bound.value)),
        verdict: if bound.holds(value) { Verdict::Kept } else { Verdict::Missed },
        worst_seed: Some(seeds.first + worst as u64),
    }
}

/// Plays a scenario with one seed in the world that its placement needs.
fn play(scenario: &Scenario, seed: u64) -> FigureList {
    match scenario.options.cookie {
        true => FleetSimulation::new(scenario, seed).run_scenario(),
        false => Simulation::new(scenario, seed).run(),
    }
}

/// A bound on a figure that no run gave: a count that never rose is 0, which is held against it.
fn absent_figure(bound: &BoundRule) -> FigureLine {
    let counted = bound.figure.starts_with("broken_") || bound.figure.starts_with("dropped_");
    let verdict = if counted && bound.holds(0.0) { Verdict::Kept } else { Verdict::Missed };
    FigureLine {
        name: bound.figure.clone(),
        value: 0.0,
        unit: if counted { "" } else { "not measured" }.to_owned(),
        bound: format!("{} {}", bound.comparison, format_value(bound.value)),
        verdict,
        worst_seed: None,
    }
}

fn format_value(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() < 1e15 {
        return format!("{value:.0}");
    }
    match value.abs() {
        large if large >= 100.0 => format!("{value:.1}"),
        _ => format!("{value:.3}"),
    }
}
