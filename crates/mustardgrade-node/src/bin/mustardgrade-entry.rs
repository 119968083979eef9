//! Daemon that runs an entry host.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use mustardgrade_node::host::EntryHost;
use mustardgrade_node::settings::HostSettings;

/// Exit code for settings that cannot be read or are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Runs an entry host of mustardgrade.
#[derive(Debug, FromArgs)]
struct EntryArguments {
    /// settings file in INI format
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: EntryArguments = argh::from_env();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info,tarpc=warn"))
        .init();
    let settings = match HostSettings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("mustardgrade-entry: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: settings are good", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    match run_until_signal(settings) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("mustardgrade-entry: stopped before the handover was complete");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("mustardgrade-entry: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the host until SIGTERM or SIGINT arrives; returns whether the stop was graceful.
fn run_until_signal(settings: HostSettings) -> Result<bool, Box<dyn std::error::Error>> {
    let host = EntryHost::start(settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate =
            tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        tokio::select! {
            _ = terminate.recv() => Ok(()),
            outcome = tokio::signal::ctrl_c() => outcome,
        }
    })?;
    Ok(host.stop())
}
