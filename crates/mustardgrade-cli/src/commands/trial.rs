//! `mustardgrade try`.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use indicatif::{ProgressBar, ProgressStyle};
use mustardgrade::core::flow::PlacementMode;
use mustardgrade_standin::trial::{TrialOptions, TrialReport, TrialStage, run_trial};

use super::{EXIT_FAILED, EXIT_INPUT};

/// Rules that are tried unless others are named.
const DEFAULT_RULES: &str = include_str!("../../../../examples/tunis.rules");

/// Feeds that are held open unless another number is given.
const DEFAULT_FEEDS: usize = 280;

/// Tries the whole path on this machine: platform, fabric, hosts, upstreams and callers in one
/// process over loopback, through a drain, a replaced host, and a data centre's leave and return.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "try")]
pub struct TryCommand {
    /// rules file; that of the bureau's site unless given
    #[argh(option)]
    rules: Option<PathBuf>,
    /// placement of flows: 'guarded', or 'computed' for the baseline
    #[argh(option, default = "String::from(\"guarded\")")]
    placement: String,
    /// feeds that are held open
    #[argh(option, default = "DEFAULT_FEEDS")]
    feeds: usize,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

/// Runs the command; the exit code is 1 if a promise broke.
pub fn run_try(command: &TryCommand) -> ExitCode {
    let placement = match command.placement.as_str() {
        "guarded" => PlacementMode::Guarded,
        "computed" => PlacementMode::Computed,
        other => {
            eprintln!("mustardgrade: placement is '{other}', expected 'guarded' or 'computed'");
            return ExitCode::from(EXIT_INPUT);
        }
    };
    let rules = match &command.rules {
        None => DEFAULT_RULES.to_owned(),
        Some(path) => match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => {
                eprintln!("mustardgrade: {}: {error}", path.display());
                return ExitCode::from(EXIT_INPUT);
            }
        },
    };
    let options = TrialOptions { rules, placement, feeds: command.feeds, network: 77 };
    match carry_out(&options, command.json) {
        Ok(report) => finish(&report, command.json),
        Err(error) => {
            eprintln!("mustardgrade: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn carry_out(
    options: &TrialOptions,
    quiet: bool,
) -> Result<TrialReport, Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let bar = match quiet {
        true => ProgressBar::hidden(),
        false => ProgressBar::new(TrialStage::ALL.len() as u64),
    };
    bar.set_style(ProgressStyle::with_template("{bar:28} {pos}/{len} {msg}")?);
    let progress = |stage: TrialStage| {
        bar.inc(1);
        bar.set_message(stage.to_string());
    };
    let report = runtime.block_on(run_trial(options, &progress))?;
    bar.finish_and_clear();
    Ok(report)
}

fn finish(report: &TrialReport, json: bool) -> ExitCode {
    match json {
        true => println!("{}", serde_json::json!(report)),
        false => print!("{report}"),
    }
    match report.is_kept() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
