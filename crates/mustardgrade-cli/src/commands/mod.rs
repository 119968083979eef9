//! The subcommands, and what they have in common: exit codes, errors and access to the store.

mod apply;
mod explain;
mod manifest;
mod rules;
mod status;
mod trace;
mod trial;

use std::path::Path;

use mustardgrade::core::rule::{RuleSet, parse_rules};
use mustardgrade::store::{RULES_KEY, ReadReply, RulesDocument, StoreClient, decode_rules};

pub use apply::{ApplyCommand, run_apply};
pub use explain::{ExplainCommand, run_explain};
pub use manifest::{ManifestCommand, run_manifest};
pub use rules::{CheckCommand, DiffCommand, HistoryCommand, run_check, run_diff, run_history};
pub use status::{StatusCommand, run_status};
pub use trace::{TraceCommand, run_trace};
pub use trial::{TryCommand, add_packet_trace, run_try};

/// Exit code of a command that ran but has a negative result, such as differences, hosts that lag
/// behind, no matching lines, or a failed check.
pub const EXIT_NEGATIVE_RESULT: u8 = 1;

/// Exit code for invalid arguments or an invalid input file.
pub const EXIT_INVALID_INPUT: u8 = 2;

/// Exit code of a command that failed, for example because the store did not answer.
pub const EXIT_FAILURE: u8 = 3;

/// Exit code of an edit that conflicts with a concurrent edit.
pub const EXIT_CONFLICT: u8 = 4;

/// `CommandError` is the reason why a command failed, with the exit code of the process.
#[derive(Debug, thiserror::Error)]
#[error("{message}")]
pub struct CommandError {
    /// One of the `EXIT_` constants.
    pub exit_code: u8,
    /// Message for the operator.
    pub message: String,
}

/// `Result` of a command.
pub type Result<T> = std::result::Result<T, CommandError>;

impl CommandError {
    /// Creates the error of an invalid argument or input file.
    pub fn invalid_input(message: impl ToString) -> Self {
        Self { exit_code: EXIT_INVALID_INPUT, message: message.to_string() }
    }

    /// Creates the error of an operation that failed.
    pub fn failed(message: impl ToString) -> Self {
        Self { exit_code: EXIT_FAILURE, message: message.to_string() }
    }

    /// Creates the error of an edit that conflicts with a concurrent edit.
    pub fn conflict(message: impl ToString) -> Self {
        Self { exit_code: EXIT_CONFLICT, message: message.to_string() }
    }
}

/// Reads and parses a rules file.
fn load_rules(path: &Path) -> Result<RuleSet> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| CommandError::invalid_input(format!("{}: {error}", path.display())))?;
    parse_rules(&text)
        .map_err(|error| CommandError::invalid_input(format!("{}: {error}", path.display())))
}

/// `StoredRules` is the rules document in the store, with the index for compare-and-swap.
struct StoredRules {
    document: Option<RulesDocument>,
    modify_index: u64,
}

impl StoredRules {
    /// Returns the accepted revision; 0 if the store holds no rules.
    fn revision(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.revision)
    }

    /// Parses the stored rules; returns an empty rule set if the store holds none.
    fn rule_set(&self) -> Result<RuleSet> {
        match &self.document {
            Some(document) => document.parse_rule_set().map_err(CommandError::failed),
            None => Ok(RuleSet::default()),
        }
    }
}

/// Reads the rules document from the store.
async fn read_stored_rules(store: &StoreClient) -> Result<StoredRules> {
    let ReadReply { value, .. } = store.read(RULES_KEY).await.map_err(CommandError::failed)?;
    match value {
        None => Ok(StoredRules { document: None, modify_index: 0 }),
        Some(entry) => {
            let document = decode_rules(&entry.value).map_err(CommandError::failed)?;
            Ok(StoredRules { document: Some(document), modify_index: entry.modify_index })
        }
    }
}

/// Creates the client of the store.
///
/// The token is read from a file, since an argument would be visible in the process list.
fn open_store(url: &str, token_file: Option<&Path>) -> Result<StoreClient> {
    let token = match token_file {
        None => None,
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|error| {
                CommandError::invalid_input(format!("{}: {error}", path.display()))
            })?;
            Some(text.trim().to_owned())
        }
    };
    StoreClient::new(url, token).map_err(CommandError::failed)
}

/// Runs the asynchronous part of a command to completion.
fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::failed)?;
    runtime.block_on(future)
}
