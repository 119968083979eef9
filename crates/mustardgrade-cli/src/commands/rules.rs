//! `mustardgrade check`, `diff` and `history`.

use std::path::PathBuf;

use argh::FromArgs;
use mustardgrade::core::rule::diff_rules;

use super::{EXIT_NEGATIVE_RESULT, Result, block_on, load_rules, open_store, read_stored_rules};

/// Checks a rules file; if it is not valid, shows line and column, with exit code 2.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckCommand {
    /// rules file
    #[argh(positional)]
    rules: PathBuf,
}

/// Shows the differences between the stored rules and a rules file; exit code 1 if there are any.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffCommand {
    /// rules file
    #[argh(positional)]
    rules: PathBuf,
    /// URL of the store
    #[argh(option)]
    store: String,
    /// file with the token for the store
    #[argh(option)]
    token_file: Option<PathBuf>,
}

/// Shows the revision of the stored rules, and the recent edits.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryCommand {
    /// URL of the store
    #[argh(option)]
    store: String,
    /// file with the token for the store
    #[argh(option)]
    token_file: Option<PathBuf>,
}

/// Checks a rules file and prints the number of its rules of each kind.
pub fn run_check(command: &CheckCommand) -> Result<u8> {
    let rules = load_rules(&command.rules)?;
    println!(
        "{}: {} data centres, {} services, {} upstreams",
        command.rules.display(),
        rules.data_centres.len(),
        rules.services.len(),
        rules.upstreams.len()
    );
    Ok(0)
}

/// Prints the differences between the stored rules and a rules file.
pub fn run_diff(command: &DiffCommand) -> Result<u8> {
    let rules = load_rules(&command.rules)?;
    let store = open_store(&command.store, command.token_file.as_deref())?;
    let stored = block_on(read_stored_rules(&store))?;
    let difference = diff_rules(&stored.rule_set()?, &rules);
    print!("{difference}");
    Ok(if difference.changes.is_empty() { 0 } else { EXIT_NEGATIVE_RESULT })
}

/// Prints the accepted revision and its recent edits, newest first.
pub fn run_history(command: &HistoryCommand) -> Result<u8> {
    let store = open_store(&command.store, command.token_file.as_deref())?;
    let stored = block_on(read_stored_rules(&store))?;
    let Some(document) = stored.document else {
        println!("the store holds no rules");
        return Ok(0);
    };
    println!("revision {} by edit {:016x}", document.revision, document.edit);
    for (revisions_back, edit_id) in document.recent_edits.iter().enumerate() {
        let revision = document.revision.saturating_sub(revisions_back as u64);
        println!("  {revision:>6}  {edit_id:016x}");
    }
    Ok(0)
}
