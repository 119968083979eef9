//! Comparing two results.

use std::fmt::Write;

use super::run::MeasureResult;

/// Writes one line for each figure of both results, with the ratio of the second to the first.
#[must_use]
pub fn compare_results(one: &MeasureResult, other: &MeasureResult) -> String {
    let mut text = String::new();
    for figure in &one.figures {
        let Some(second) = other.figures.iter().find(|other| other.name == figure.name) else {
            continue;
        };
        let ratio = match figure.value == 0.0 {
            true => String::from("-"),
            false => format!("{:.3}", second.value / figure.value),
        };
        let written = writeln!(
            text,
            "{:<26} {:>14.3} {:>14.3} {ratio:>8} {}",
            figure.name, figure.value, second.value, figure.unit
        );
        written.expect("a string takes every line");
    }
    text
}
