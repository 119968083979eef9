//! `mustardgrade apply`.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use mustardgrade::core::rule::{DataCentreState, MergeOutcome, RuleSet, diff_rules, merge_rules};
use mustardgrade::store::{RULES_KEY, RulesDocument, StoreClient, StoreError, encode_rules};

use super::status::fetch_statuses;
use super::{CommandError, HeldRules, Result, block_on, load_rules, open_store, read_held};

/// Times that an edit is tried against concurrent ones.
const MAX_ATTEMPTS: u32 = 8;

/// Edits by which a lost answer can still be settled.
const RECENT_EDITS: usize = 32;

/// Time between two looks at the hosts while waiting.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a write without an answer.
const SETTLE_PAUSE: Duration = Duration::from_millis(300);

/// Applies a rules file: shows what changes and has the store accept it.
///
/// Exit codes: 0 accepted or nothing to change, 2 unusable input, 3 not carried out, 4 a concurrent
/// edit changed the same rule.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyCommand {
    /// rules file
    #[argh(positional)]
    rules: PathBuf,
    /// URL of the store
    #[argh(option)]
    store: String,
    /// file with the token for the store
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// rules file that the edit started from; without it the whole file is put in force
    #[argh(option)]
    base: Option<PathBuf>,
    /// wait until the listed hosts have the revision in force, for at most this many seconds
    #[argh(option)]
    wait: Option<u64>,
    /// port of the hosts' status pages
    #[argh(option, default = "6124")]
    status_port: u16,
    /// allow an edit that leaves a single data centre in
    #[argh(switch)]
    allow_last_data_centre: bool,
}

/// Runs `apply`.
pub fn run_apply(command: &ApplyCommand) -> Result<u8> {
    let wanted = load_rules(&command.rules)?;
    let base = command.base.as_deref().map(load_rules).transpose()?;
    let store = open_store(&command.store, command.token_file.as_deref())?;
    block_on(async {
        let edit = EditRequest {
            id: rand::random(),
            wanted,
            base,
            allow_last: command.allow_last_data_centre,
        };
        let accepted = submit_edit(&store, &edit).await?;
        match accepted {
            AcceptedEdit::Unchanged(revision) => println!("revision {revision} holds this already"),
            AcceptedEdit::Accepted(revision) => println!("accepted as revision {revision}"),
        }
        let (AcceptedEdit::Unchanged(revision) | AcceptedEdit::Accepted(revision)) = accepted;
        match command.wait {
            Some(seconds) => wait_for(&store, command.status_port, revision, seconds).await,
            None => Ok(0),
        }
    })
}

/// `EditRequest` is one edit of the rules.
struct EditRequest {
    id: u64,
    wanted: RuleSet,
    base: Option<RuleSet>,
    allow_last: bool,
}

/// `AcceptedEdit` says what became of an edit.
#[derive(Debug, Clone, Copy)]
enum AcceptedEdit {
    Unchanged(u64),
    Accepted(u64),
}

/// Submits an edit until the store has accepted it or a concurrent edit refuses it.
async fn submit_edit(store: &StoreClient, edit: &EditRequest) -> Result<AcceptedEdit> {
    let mut shown = false;
    for _ in 0..MAX_ATTEMPTS {
        let held = match read_held(store).await {
            Ok(held) => held,
            Err(error) if shown => {
                // A write was sent, so only a read can tell whether it took effect.
                tokio::time::sleep(SETTLE_PAUSE).await;
                log::debug!(error:% = error; "store does not answer");
                continue;
            }
            Err(error) => return Err(error),
        };
        if let Some(revision) = revision_of_edit(&held, edit.id) {
            return Ok(AcceptedEdit::Accepted(revision));
        }
        let next = merged(&held, edit)?;
        let difference = diff_rules(&held.book()?, &next);
        if difference.changes.is_empty() {
            return Ok(AcceptedEdit::Unchanged(held.revision()));
        }
        if !shown {
            print!("{difference}");
            shown = true;
        }
        let document = next_document(&held, edit.id, &next);
        let write = store.write(RULES_KEY, &encode_rules(&document), held.modify_index).await;
        match write {
            Ok(true) => return Ok(AcceptedEdit::Accepted(document.revision)),
            // Another edit came first, or the answer was lost: the next read tells which.
            Ok(false) => {}
            Err(StoreError::Unreachable(_) | StoreError::Status(_)) => {
                tokio::time::sleep(SETTLE_PAUSE).await;
            }
            Err(error @ StoreError::InvalidValue { .. }) => {
                return Err(CommandError::failed(error));
            }
        }
    }
    Err(CommandError::failed(
        "the store did not settle the edit; run 'history' before applying it again",
    ))
}

/// Returns the revision that an edit made, if the store shows it.
fn revision_of_edit(held: &HeldRules, id: u64) -> Option<u64> {
    let document = held.document.as_ref()?;
    let age = document.recent_edits.iter().position(|edit| *edit == id)?;
    Some(document.revision - age as u64)
}

/// Merges an edit into what the store holds now.
fn merged(held: &HeldRules, edit: &EditRequest) -> Result<RuleSet> {
    let current = held.book()?;
    let next = match &edit.base {
        None => edit.wanted.clone(),
        Some(base) => match merge_rules(base, &current, &edit.wanted) {
            MergeOutcome::Merged(book) => book,
            MergeOutcome::Conflict(conflict) => return Err(CommandError::conflict(conflict)),
        },
    };
    mustardgrade::core::rule::check_rules(&next)
        .map_err(|error| CommandError::conflict(format!("the merged rules are wrong: {error}")))?;
    let left = |book: &RuleSet| {
        book.data_centres.iter().filter(|rule| rule.state == DataCentreState::In).count()
    };
    if left(&next) == 1 && left(&current) > 1 && !edit.allow_last {
        let cause = "this would leave a single data centre in; \
                     repeat with --allow-last-data-centre if that is meant";
        return Err(CommandError::input(cause));
    }
    Ok(next)
}

fn next_document(held: &HeldRules, id: u64, next: &RuleSet) -> RulesDocument {
    let earlier = held.document.iter().flat_map(|document| document.recent_edits.iter().copied());
    let recent_edits = std::iter::once(id).chain(earlier).take(RECENT_EDITS).collect();
    RulesDocument { revision: held.revision() + 1, edit: id, recent_edits, text: next.to_text() }
}

/// Waits until all listed hosts have a revision in force.
async fn wait_for(store: &StoreClient, port: u16, revision: u64, seconds: u64) -> Result<u8> {
    let limit = tokio::time::Instant::now() + Duration::from_secs(seconds);
    loop {
        let statuses = fetch_statuses(store, port).await?;
        let behind: Vec<String> = statuses
            .iter()
            .filter(|status| status.rules_revision.is_none_or(|held| held < revision))
            .map(|status| status.address.to_string())
            .collect();
        if behind.is_empty() {
            println!("in force on {} hosts", statuses.len());
            return Ok(0);
        }
        if tokio::time::Instant::now() > limit {
            let cause = format!("not in force after {seconds} s on {}", behind.join(", "));
            return Err(CommandError::failed(cause));
        }
        tokio::time::sleep(WAIT_INTERVAL).await;
    }
}
