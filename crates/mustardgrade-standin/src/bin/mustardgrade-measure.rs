//! Runs scenarios, compares their results, and measures the throughput of a traffic thread.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use mustardgrade_standin::measure::{
    ScenarioResult, SeedRange, compare_results, measure_relay_throughput, measure_scenario,
};
use mustardgrade_standin::scenario::{ParameterOverride, parse_scenario};

/// Exit code of a command that cannot be carried out, for example because a file cannot be read or
/// parsed. A run with a figure outside its bound exits with 1 instead.
const EXIT_CODE_ERROR: u8 = 2;

/// Directory of the scenario files, relative to the working directory.
const SCENARIO_DIR: &str = "scenarios";

/// Measures mustardgrade in scripted scenarios; equal seeds and parameters give equal output.
#[derive(Debug, FromArgs)]
struct MeasureArguments {
    #[argh(subcommand)]
    command: MeasureCommand,
}

/// `MeasureCommand` is the subcommand to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum MeasureCommand {
    Run(RunCommand),
    List(ListCommand),
    Compare(CompareCommand),
    Relay(RelayCommand),
}

/// Runs a scenario and prints a line for each figure: name, value, unit, bound, verdict.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
struct RunCommand {
    /// scenario file
    #[argh(positional)]
    scenario: PathBuf,
    /// seed of a single run; default 1; ignored if --seeds is given
    #[argh(option)]
    seed: Option<u64>,
    /// range of seeds A..B, both ends included
    #[argh(option, from_str_fn(parse_seeds))]
    seeds: Option<SeedRange>,
    /// scenario parameter to override, as key=value; may be repeated
    #[argh(option, long = "set", from_str_fn(parse_override))]
    overrides: Vec<ParameterOverride>,
    /// path to write the result to, as JSON
    #[argh(option, long = "json")]
    json_path: Option<PathBuf>,
}

/// Lists the scenarios in the directory 'scenarios' with their titles.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct ListCommand {}

/// Prints the figures of two results side by side, with the ratio of the second to the first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "compare")]
struct CompareCommand {
    /// JSON file of the first result
    #[argh(positional)]
    first: PathBuf,
    /// JSON file of the second result
    #[argh(positional)]
    second: PathBuf,
}

/// Compares the packet rate of a traffic thread with that of a bare UDP relay.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "relay")]
struct RelayCommand {
    /// number of distinct flows in the generated traffic
    #[argh(option, default = "10000")]
    flows: u32,
}

fn parse_seeds(text: &str) -> Result<SeedRange, String> {
    let (first, last) = text.split_once("..").ok_or("expected a range of seeds A..B")?;
    let parse_seed = |text: &str| {
        text.parse::<u64>().map_err(|_cause| "expected a range of seeds A..B".to_owned())
    };
    let range = SeedRange { first: parse_seed(first)?, last: parse_seed(last)? };
    match range.first <= range.last {
        true => Ok(range),
        false => Err("invalid range of seeds: the last seed is less than the first".to_owned()),
    }
}

fn parse_override(text: &str) -> Result<ParameterOverride, String> {
    let (name, value) = text.split_once('=').ok_or("expected a parameter as key=value")?;
    Ok(ParameterOverride { name: name.to_owned(), value: value.to_owned() })
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    let arguments: MeasureArguments = argh::from_env();
    let outcome = match arguments.command {
        MeasureCommand::Run(command) => run_scenario(&command),
        MeasureCommand::List(_) => list_scenarios(),
        MeasureCommand::Compare(command) => compare_result_files(&command),
        MeasureCommand::Relay(command) => compare_relays(&command),
    };
    match outcome {
        Ok(code) => code,
        Err(error) => {
            eprintln!("mustardgrade-measure: {error}");
            ExitCode::from(EXIT_CODE_ERROR)
        }
    }
}

fn run_scenario(command: &RunCommand) -> Result<ExitCode, String> {
    let text = read_file(&command.scenario)?;
    let scenario = parse_scenario(&text, &command.overrides)
        .map_err(|error| format!("{}: {error}", command.scenario.display()))?;
    let single_seed = command.seed.unwrap_or(1);
    let seeds = command.seeds.unwrap_or(SeedRange { first: single_seed, last: single_seed });
    let result = measure_scenario(&scenario, seeds);
    print!("{result}");
    if let Some(path) = &command.json_path {
        let json = serde_json::to_string_pretty(&result).map_err(|error| error.to_string())?;
        std::fs::write(path, json).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    Ok(if result.all_bounds_kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn list_scenarios() -> Result<ExitCode, String> {
    let dir_entries =
        std::fs::read_dir(SCENARIO_DIR).map_err(|error| format!("{SCENARIO_DIR}: {error}"))?;
    let mut paths: Vec<PathBuf> =
        dir_entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    paths.sort();
    for path in
        paths.iter().filter(|path| path.extension().is_some_and(|extension| extension == "scn"))
    {
        let scenario = parse_scenario(&read_file(path)?, &[])
            .map_err(|error| format!("{}: {error}", path.display()))?;
        println!("{:<40} {}", path.display(), scenario.title);
    }
    Ok(ExitCode::SUCCESS)
}

fn compare_result_files(command: &CompareCommand) -> Result<ExitCode, String> {
    let load_result = |path: &Path| -> Result<ScenarioResult, String> {
        let text = read_file(path)?;
        serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))
    };
    print!("{}", compare_results(&load_result(&command.first)?, &load_result(&command.second)?));
    Ok(ExitCode::SUCCESS)
}

fn compare_relays(command: &RelayCommand) -> Result<ExitCode, String> {
    let throughput =
        measure_relay_throughput(command.flows.max(1)).map_err(|error| error.to_string())?;
    println!("bare_relay {:.0} packets/s", throughput.bare_relay_packets_per_sec);
    println!("traffic_thread {:.0} packets/s", throughput.traffic_thread_packets_per_sec);
    println!("ratio {:.3}", throughput.median_ratio);
    Ok(ExitCode::SUCCESS)
}

fn read_file(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
}
