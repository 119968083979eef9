//! `mustardgrade trace`.

use std::path::PathBuf;

use argh::FromArgs;

use super::{CommandError, EXIT_NEGATIVE_RESULT, Result};

#[cfg(test)]
mod tests;

/// Shows the log lines about one flow from several hosts, sorted by time; exit code 1 if there are
/// none.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceCommand {
    /// id of the flow, as in `flow=ID`, or part of its key, as in `key=CALLER>SERVICE`
    #[argh(positional)]
    flow: String,
    /// log files, one for each host
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// Prints the log lines about a flow.
///
/// # Errors
///
/// Fails if a log file cannot be read.
pub fn run_trace(command: &TraceCommand) -> Result<u8> {
    let mut log_texts = Vec::new();
    for path in &command.logs {
        let text = std::fs::read_to_string(path)
            .map_err(|error| CommandError::invalid_input(format!("{}: {error}", path.display())))?;
        log_texts.push((path.display().to_string(), text));
    }
    let lines = find_flow_lines(&command.flow, &log_texts);
    for line in &lines {
        println!("{line}");
    }
    Ok(if lines.is_empty() { EXIT_NEGATIVE_RESULT } else { 0 })
}

/// Returns the lines about a flow, sorted by time and prefixed with the names of their log files.
///
/// `logs` holds the name and the text of each log.
fn find_flow_lines(flow: &str, logs: &[(String, String)]) -> Vec<String> {
    let flow_field = format!("flow={flow}");
    let mut timed_lines: Vec<(&str, String)> = Vec::new();
    for (log_name, text) in logs {
        let concerns_flow = |line: &&str| {
            let key_matches = line.split_once("key=").is_some_and(|(_, rest)| {
                rest.split_whitespace().next().is_some_and(|key| key.contains(flow))
            });
            line.contains(&flow_field) || key_matches
        };
        let lines = text.lines().filter(concerns_flow);
        timed_lines.extend(lines.map(|line| (timestamp(line), format!("{log_name}: {line}"))));
    }
    // The sort is stable, so lines of a host with equal timestamps keep the order of the log.
    timed_lines.sort_by(|left, right| left.0.cmp(right.0));
    timed_lines.into_iter().map(|(_, line)| line).collect()
}

/// Returns the timestamp at the start of a line, or an empty string if there is none.
///
/// All hosts use the same timestamp format, so timestamps can be sorted as text.
fn timestamp(line: &str) -> &str {
    let Some((_, rest)) = line.split_once('[') else { return "" };
    rest.split_whitespace().next().unwrap_or_default()
}
