//! `mustardgrade apply`.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use mustardgrade::core::rule::{DataCentreState, MergeOutcome, RuleSet, diff_rules, merge_rules};
use mustardgrade::store::{RULES_KEY, RulesDocument, StoreClient, StoreError, encode_rules};

use super::status::{ListedHostStatus, fetch_statuses};
use super::{
    CommandError, Result, StoredRules, block_on, load_rules, open_store, read_stored_rules,
};

/// Upper limit on the attempts to get an edit accepted despite concurrent edits and store failures.
const MAX_ATTEMPTS: u32 = 8;

/// Interval between status requests to the hosts while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before the next attempt after the store failed to answer.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Applies a rules file: shows the changes and submits them to the store.
///
/// Exit codes: 0 accepted or nothing to change, 2 invalid input, 3 failed, 4 conflict with a
/// concurrent edit.
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
    /// rules file that the edit is based on, for a merge with concurrent edits; without it, the
    /// edited file replaces all stored rules
    #[argh(option)]
    base: Option<PathBuf>,
    /// wait until the revision is in force on all listed hosts, for at most this many seconds
    #[argh(option)]
    wait: Option<u64>,
    /// port of the hosts' status pages
    #[argh(option, default = "6124")]
    status_port: u16,
    /// allow an edit that leaves only one data centre in service
    #[argh(switch)]
    allow_last_data_centre: bool,
}

/// Submits the edit and, if requested, waits until it is in force.
pub fn run_apply(command: &ApplyCommand) -> Result<u8> {
    let edited_rules = load_rules(&command.rules)?;
    let base_rules = command.base.as_deref().map(load_rules).transpose()?;
    let store = open_store(&command.store, command.token_file.as_deref())?;
    block_on(async {
        let edit = EditRequest {
            id: rand::random(),
            edited_rules,
            base_rules,
            allow_last_data_centre: command.allow_last_data_centre,
            status_port: command.status_port,
        };
        let outcome = submit_edit(&store, &edit).await?;
        let target = match outcome {
            EditOutcome::Unchanged(revision) => {
                println!("revision {revision} already contains these rules");
                AppliedRules { revision, edit: None }
            }
            EditOutcome::Accepted(revision) => {
                println!("accepted as revision {revision}");
                AppliedRules { revision, edit: Some(edit.id) }
            }
        };
        match command.wait {
            Some(timeout_secs) => {
                wait_until_in_force(&store, command.status_port, target, timeout_secs).await
            }
            None => Ok(0),
        }
    })
}

/// `EditRequest` is an edit of the rules, identified by a random number.
struct EditRequest {
    id: u64,
    edited_rules: RuleSet,
    base_rules: Option<RuleSet>,
    allow_last_data_centre: bool,
    status_port: u16,
}

/// `AppliedRules` are rules that are to be in force on all hosts.
#[derive(Debug, Clone, Copy)]
struct AppliedRules {
    revision: u64,
    /// The edit that led to this revision, if it is the operator's own.
    edit: Option<u64>,
}

impl AppliedRules {
    /// Returns whether a host routes by these rules, or by rules that follow them.
    ///
    /// The revision alone does not tell: if the store has lost rules that hosts have in force, they
    /// give the edit a later revision.
    fn are_in_force_on(&self, status: &ListedHostStatus) -> bool {
        let recent_edits = status.answer.as_ref().and_then(|page| page.recent_edits.as_ref());
        match (self.edit, recent_edits) {
            (Some(edit), Some(recent_edits)) => recent_edits.contains(&edit),
            _ => status.rules_revision.is_some_and(|in_force| in_force >= self.revision),
        }
    }
}

/// Returns the highest revision in force on a host if the store holds only an earlier one, because
/// it was restored from an older copy.
fn lost_revision(stored_revision: u64, statuses: &[ListedHostStatus]) -> Option<u64> {
    let highest = statuses.iter().filter_map(|status| status.rules_revision).max();
    highest.filter(|in_force| *in_force > stored_revision)
}

/// `EditOutcome` is the result of a successful edit, with the revision that holds it.
#[derive(Debug, Clone, Copy)]
enum EditOutcome {
    Unchanged(u64),
    Accepted(u64),
}

/// Submits an edit, repeatedly if needed, until the store accepts it or it conflicts with a
/// concurrent edit.
async fn submit_edit(store: &StoreClient, edit: &EditRequest) -> Result<EditOutcome> {
    let mut diff_printed = false;
    let mut lost = None;
    for _ in 0..MAX_ATTEMPTS {
        let stored = match read_stored_rules(store).await {
            Ok(stored) => stored,
            Err(error) if diff_printed => {
                // A write may have taken effect, which only a later read can tell.
                tokio::time::sleep(RETRY_DELAY).await;
                log::debug!(error:% = error; "cannot read the rules from the store; retrying");
                continue;
            }
            Err(error) => return Err(error),
        };
        if let Some(revision) = find_edit_revision(&stored, edit.id) {
            return Ok(EditOutcome::Accepted(revision));
        }
        lost = find_lost_rules(store, edit, stored.revision()).await;
        if lost.is_some() {
            // The hosts write lost rules back; an edit of older rules would undo them.
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        let new_rules = merge_edit(&stored, edit)?;
        let difference = diff_rules(&stored.rule_set()?, &new_rules);
        if difference.changes.is_empty() {
            return Ok(EditOutcome::Unchanged(stored.revision()));
        }
        if !diff_printed {
            print!("{difference}");
            diff_printed = true;
        }
        let document = RulesDocument::next(stored.document.as_ref(), edit.id, &new_rules);
        if write_document(store, &document, stored.modify_index).await? {
            return Ok(EditOutcome::Accepted(document.revision));
        }
    }
    Err(match lost {
        Some(lost) => CommandError::failed(lost),
        None => CommandError::failed(
            "the store did not confirm the edit; check 'mustardgrade history' before applying it \
             again",
        ),
    })
}

/// Writes a document over the one last changed at `expected_index`; returns whether the store has
/// confirmed that. If it has not, the next read tells whether the edit was accepted.
async fn write_document(
    store: &StoreClient,
    document: &RulesDocument,
    expected_index: u64,
) -> Result<bool> {
    match store.write(RULES_KEY, &encode_rules(document), expected_index).await {
        // If it is false, a concurrent edit was accepted first, or an earlier write of this edit took
        // effect but its answer was lost.
        Ok(written) => Ok(written),
        Err(StoreError::Unreachable(_) | StoreError::InvalidReply(_) | StoreError::Status(_)) => {
            tokio::time::sleep(RETRY_DELAY).await;
            Ok(false)
        }
        Err(error @ StoreError::InvalidValue { .. }) => Err(CommandError::failed(error)),
    }
}

/// `LostRules` are rules in force that the store does not hold any more.
#[derive(Debug, Clone, Copy)]
struct LostRules {
    stored_revision: u64,
    revision: u64,
}

impl std::fmt::Display for LostRules {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { stored_revision, revision } = self;
        write!(
            formatter,
            "the store holds revision {stored_revision}, but revision {revision} is in force: it \
             was restored from an older copy; apply the edit when the hosts have written revision \
             {revision} back"
        )
    }
}

/// Asks the hosts for rules in force that the store has lost; hosts that do not answer are ignored.
async fn find_lost_rules(
    store: &StoreClient,
    edit: &EditRequest,
    stored_revision: u64,
) -> Option<LostRules> {
    let statuses = fetch_statuses(store, edit.status_port).await.unwrap_or_default();
    let revision = lost_revision(stored_revision, &statuses)?;
    Some(LostRules { stored_revision, revision })
}

/// Returns the revision that an edit created, if the stored document still lists the edit.
fn find_edit_revision(stored: &StoredRules, edit_id: u64) -> Option<u64> {
    let document = stored.document.as_ref()?;
    let revisions_back = document.recent_edits.iter().position(|edit| *edit == edit_id)?;
    Some(document.revision - revisions_back as u64)
}

/// Merges an edit into the stored rules and checks the result.
fn merge_edit(stored: &StoredRules, edit: &EditRequest) -> Result<RuleSet> {
    let current_rules = stored.rule_set()?;
    let new_rules = match &edit.base_rules {
        None => edit.edited_rules.clone(),
        Some(base_rules) => match merge_rules(base_rules, &current_rules, &edit.edited_rules) {
            MergeOutcome::Merged(merged) => merged,
            MergeOutcome::Conflict(conflict) => return Err(CommandError::conflict(conflict)),
        },
    };
    mustardgrade::core::rule::check_rules(&new_rules).map_err(|error| {
        CommandError::conflict(format!("the merged rules are not valid: {error}"))
    })?;
    let count_in_service = |rules: &RuleSet| {
        rules.data_centres.iter().filter(|rule| rule.state == DataCentreState::In).count()
    };
    if count_in_service(&new_rules) == 1
        && count_in_service(&current_rules) > 1
        && !edit.allow_last_data_centre
    {
        let message = "the edit would leave only one data centre in service; \
                       pass --allow-last-data-centre to apply it anyway";
        return Err(CommandError::invalid_input(message));
    }
    Ok(new_rules)
}

/// Waits until rules, or later ones, are in force on all listed hosts.
async fn wait_until_in_force(
    store: &StoreClient,
    status_port: u16,
    target: AppliedRules,
    timeout_secs: u64,
) -> Result<u8> {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(timeout_secs);
    loop {
        let statuses = fetch_statuses(store, status_port).await?;
        let lagging_hosts: Vec<String> = statuses
            .iter()
            .filter(|status| !target.are_in_force_on(status))
            .map(|status| status.address.to_string())
            .collect();
        if lagging_hosts.is_empty() {
            println!("in force on {} hosts", statuses.len());
            return Ok(0);
        }
        if tokio::time::Instant::now() > deadline {
            let revision = target.revision;
            let message = format!(
                "revision {revision} is not in force after {timeout_secs} s on {}",
                lagging_hosts.join(", ")
            );
            return Err(CommandError::failed(message));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests;
