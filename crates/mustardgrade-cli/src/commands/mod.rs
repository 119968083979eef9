//! Subcommands.

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
pub use trial::{TryCommand, run_try};

/// Exit code of a check that found something.
pub const EXIT_FOUND: u8 = 1;

/// Exit code of an input that cannot be used.
pub const EXIT_INPUT: u8 = 2;

/// Exit code of something that could not be carried out.
pub const EXIT_FAILED: u8 = 3;

/// Exit code of an edit that lost against a concurrent one.
pub const EXIT_CONFLICT: u8 = 4;

/// `CommandError` is why a command ended, with its exit code.
#[derive(Debug, thiserror::Error)]
#[error("{cause}")]
pub struct CommandError {
    /// Exit code.
    pub code: u8,
    /// What is told to the operator.
    pub cause: String,
}

/// `Result` of a command.
pub type Result<T> = std::result::Result<T, CommandError>;

impl CommandError {
    /// An input cannot be used.
    pub fn input(cause: impl ToString) -> Self {
        Self { code: EXIT_INPUT, cause: cause.to_string() }
    }

    /// Something could not be carried out.
    pub fn failed(cause: impl ToString) -> Self {
        Self { code: EXIT_FAILED, cause: cause.to_string() }
    }

    /// An edit lost against a concurrent one.
    pub fn conflict(cause: impl ToString) -> Self {
        Self { code: EXIT_CONFLICT, cause: cause.to_string() }
    }
}

/// Reads a rules file.
fn load_rules(path: &Path) -> Result<RuleSet> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| CommandError::input(format!("{}: {error}", path.display())))?;
    parse_rules(&text).map_err(|error| CommandError::input(format!("{}: {error}", path.display())))
}

/// `HeldRules` is what the store holds.
struct HeldRules {
    document: Option<RulesDocument>,
    modify_index: u64,
}

impl HeldRules {
    fn revision(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.revision)
    }

    fn book(&self) -> Result<RuleSet> {
        match &self.document {
            Some(document) => document.parse_rule_set().map_err(CommandError::failed),
            None => Ok(RuleSet::default()),
        }
    }
}

/// Reads the rules that the store holds.
async fn read_held(store: &StoreClient) -> Result<HeldRules> {
    let ReadReply { value, .. } = store.read(RULES_KEY).await.map_err(CommandError::failed)?;
    match value {
        None => Ok(HeldRules { document: None, modify_index: 0 }),
        Some(stored) => {
            let document = decode_rules(&stored.value).map_err(CommandError::failed)?;
            Ok(HeldRules { document: Some(document), modify_index: stored.modify_index })
        }
    }
}

/// Creates the client of the store; a token is read from a file, so that it shows in no list of
/// processes.
fn open_store(url: &str, token_file: Option<&Path>) -> Result<StoreClient> {
    let token = match token_file {
        None => None,
        Some(path) => {
            let text = std::fs::read_to_string(path)
                .map_err(|error| CommandError::input(format!("{}: {error}", path.display())))?;
            Some(text.trim().to_owned())
        }
    };
    StoreClient::new(url, token).map_err(CommandError::failed)
}

/// Runs a command's asynchronous part.
fn block_on<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::failed)?;
    runtime.block_on(work)
}
