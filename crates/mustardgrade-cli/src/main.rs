//! The command of mustardgrade's operators.

mod commands;

use std::process::ExitCode;

use argh::FromArgs;
use commands::TryCommand;

/// Operates mustardgrade.
#[derive(Debug, FromArgs)]
struct OperatorArguments {
    #[argh(subcommand)]
    command: OperatorCommand,
}

/// `OperatorCommand` is one of the subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum OperatorCommand {
    Try(TryCommand),
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    let arguments: OperatorArguments = argh::from_env();
    match arguments.command {
        OperatorCommand::Try(command) => commands::run_try(&command),
    }
}
