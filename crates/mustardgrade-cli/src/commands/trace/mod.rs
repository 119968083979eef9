//! `mustardgrade trace`.

use std::path::PathBuf;

use argh::FromArgs;

use super::{CommandError, EXIT_FOUND, Result};

#[cfg(test)]
mod tests;

/// Shows the lines of one flow in the logs of several hosts, in the order of their times; exit code 1
/// if there is none.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceCommand {
    /// id of the flow, as in `flow=ID`, or a part of its key, as in `key=CALLER>SERVICE`
    #[argh(positional)]
    flow: String,
    /// log files, one for each host
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// Runs the command.
///
/// # Errors
///
/// Fails if a log cannot be read.
pub fn run_trace(command: &TraceCommand) -> Result<u8> {
    let mut texts = Vec::new();
    for path in &command.logs {
        let text = std::fs::read_to_string(path)
            .map_err(|error| CommandError::input(format!("{}: {error}", path.display())))?;
        texts.push((path.display().to_string(), text));
    }
    let lines = trace_lines(&command.flow, &texts);
    for line in &lines {
        println!("{line}");
    }
    Ok(if lines.is_empty() { EXIT_FOUND } else { 0 })
}

/// Returns the lines about a flow, each behind the name of its log, in the order of their times.
fn trace_lines(flow: &str, logs: &[(String, String)]) -> Vec<String> {
    let id = format!("flow={flow}");
    let mut found: Vec<(&str, String)> = Vec::new();
    for (name, text) in logs {
        let about = |line: &&str| {
            let key = line.split_once("key=").is_some_and(|(_, rest)| {
                rest.split_whitespace().next().is_some_and(|key| key.contains(flow))
            });
            line.contains(&id) || key
        };
        let lines = text.lines().filter(about);
        found.extend(lines.map(|line| (time(line), format!("{name}: {line}"))));
    }
    // Lines of one moment keep the order in which the host wrote them.
    found.sort_by(|left, right| left.0.cmp(right.0));
    found.into_iter().map(|(_, line)| line).collect()
}

/// Returns the time at the start of a line; times of one format sort as text.
fn time(line: &str) -> &str {
    let Some((_, rest)) = line.split_once('[') else { return "" };
    rest.split_whitespace().next().unwrap_or_default()
}
