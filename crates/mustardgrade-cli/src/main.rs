//! `mustardgrade`, the command-line tool for operators.

mod commands;

use std::process::ExitCode;

use argh::FromArgs;
use commands::{
    ApplyCommand, CheckCommand, DiffCommand, ExplainCommand, HistoryCommand, ManifestCommand,
    Result, StatusCommand, TraceCommand, TryCommand,
};

/// Manages the rules of a mustardgrade fleet and shows the state of its hosts.
#[derive(Debug, FromArgs)]
struct OperatorArguments {
    #[argh(subcommand)]
    command: OperatorCommand,
}

/// `OperatorCommand` is the subcommand with its arguments.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum OperatorCommand {
    Apply(ApplyCommand),
    Check(CheckCommand),
    Diff(DiffCommand),
    Explain(ExplainCommand),
    History(HistoryCommand),
    Manifest(ManifestCommand),
    Status(StatusCommand),
    Trace(TraceCommand),
    Try(TryCommand),
}

fn main() -> ExitCode {
    let arguments: OperatorArguments = argh::from_env();
    let result = start_logging(&arguments.command).and_then(|()| run_command(arguments.command));
    match result {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("mustardgrade: {error}");
            ExitCode::from(error.exit_code)
        }
    }
}

fn start_logging(command: &OperatorCommand) -> Result<()> {
    let environment = env_logger::Env::default().default_filter_or("error");
    let mut logger = env_logger::Builder::from_env(environment);
    if let OperatorCommand::Try(command) = command {
        commands::add_packet_trace(command, &mut logger)?;
    }
    logger.init();
    Ok(())
}

fn run_command(command: OperatorCommand) -> Result<u8> {
    match command {
        OperatorCommand::Apply(command) => commands::run_apply(&command),
        OperatorCommand::Check(command) => commands::run_check(&command),
        OperatorCommand::Diff(command) => commands::run_diff(&command),
        OperatorCommand::Explain(command) => commands::run_explain(&command),
        OperatorCommand::History(command) => commands::run_history(&command),
        OperatorCommand::Manifest(command) => commands::run_manifest(&command),
        OperatorCommand::Status(command) => commands::run_status(&command),
        OperatorCommand::Trace(command) => commands::run_trace(&command),
        OperatorCommand::Try(command) => commands::run_try(&command),
    }
}
