//! Side-by-side comparison of the results of two runs.

use std::fmt::Write;

use super::run::ScenarioResult;

/// Returns one line for each figure that both results have, with the ratio of the second value to
/// the first, or `-` if the first is 0.
#[must_use]
pub fn compare_results(first: &ScenarioResult, second: &ScenarioResult) -> String {
    let mut text = String::new();
    for first_figure in &first.figures {
        let Some(second_figure) =
            second.figures.iter().find(|figure| figure.name == first_figure.name)
        else {
            continue;
        };
        let ratio = match first_figure.value == 0.0 {
            true => String::from("-"),
            false => format!("{:.3}", second_figure.value / first_figure.value),
        };
        let written = writeln!(
            text,
            "{:<26} {:>14.3} {:>14.3} {ratio:>8} {}",
            first_figure.name, first_figure.value, second_figure.value, first_figure.unit
        );
        written.expect("writing to a string does not fail");
    }
    text
}
