//! `mustardgrade status`.

use std::net::Ipv4Addr;
use std::path::PathBuf;

use argh::FromArgs;
use mustardgrade::store::StoreClient;
use serde::{Deserialize, Serialize};

use super::{CommandError, EXIT_NEGATIVE_RESULT, Result, block_on, open_store, read_stored_rules};

/// Shows the rules revision in force on each listed host; exit code 1 if it is not the accepted
/// revision on every host, or a host does not answer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {
    /// URL of the store
    #[argh(option)]
    store: String,
    /// file with the token for the store
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// port of the hosts' status pages
    #[argh(option, default = "6124")]
    status_port: u16,
    /// print the statuses as JSON
    #[argh(switch)]
    json: bool,
}

/// `StatusPage` is the status page of a host; fields that the host omits are `None`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StatusPage {
    /// Address of the host.
    #[serde(default = "no_address")]
    pub address: Option<Ipv4Addr>,
    /// Name of the host.
    pub host: Option<String>,
    /// Data centre of the host.
    pub data_centre: Option<String>,
    /// Lifecycle state of the host.
    pub state: Option<String>,
    /// Rules revision in force.
    pub rules_revision: Option<u64>,
    /// Identifiers of the edits that led to this revision, newest first.
    pub recent_edits: Option<Vec<u64>>,
    /// Placement generation in force.
    pub generation: Option<u64>,
    /// Number of buckets that are announced, collecting or settling.
    pub guarded_buckets: Option<u64>,
    /// Number of hosts that this host considers live.
    pub live_hosts: Option<u64>,
}

/// Default for hosts whose status page has no address.
fn no_address() -> Option<Ipv4Addr> {
    None
}

/// `ListedHostStatus` is a listed host with its status page, if the host answered.
#[derive(Debug, Clone, Serialize)]
pub struct ListedHostStatus {
    /// Address of the host.
    pub address: Ipv4Addr,
    /// Rules revision in force, if the host answers.
    pub rules_revision: Option<u64>,
    /// Status page of the host.
    pub answer: Option<StatusPage>,
}

/// Requests the status pages of all listed hosts.
pub async fn fetch_statuses(
    store: &StoreClient,
    status_port: u16,
) -> Result<Vec<ListedHostStatus>> {
    let listed_hosts = store.list_hosts().await.map_err(CommandError::failed)?;
    let fetches = listed_hosts.into_iter().map(|host| {
        let store = store.clone();
        tokio::spawn(async move { fetch_status(&store, host.address, status_port).await })
    });
    let mut statuses = Vec::new();
    for fetch in fetches.collect::<Vec<_>>() {
        statuses.push(fetch.await.map_err(CommandError::failed)?);
    }
    Ok(statuses)
}

async fn fetch_status(
    store: &StoreClient,
    address: Ipv4Addr,
    status_port: u16,
) -> ListedHostStatus {
    let page = store.fetch_json::<StatusPage>(address, status_port, "status").await.ok();
    let rules_revision = page.as_ref().and_then(|page| page.rules_revision);
    ListedHostStatus { address, rules_revision, answer: page }
}

/// Prints the accepted revision and the statuses of all listed hosts.
pub fn run_status(command: &StatusCommand) -> Result<u8> {
    let store = open_store(&command.store, command.token_file.as_deref())?;
    block_on(async {
        let accepted_revision = read_stored_rules(&store).await?.revision();
        let statuses = fetch_statuses(&store, command.status_port).await?;
        match command.json {
            true => println!(
                "{}",
                serde_json::json!({ "accepted": accepted_revision, "hosts": statuses })
            ),
            false => print!("{}", format_status_table(accepted_revision, &statuses)),
        }
        let any_lagging =
            statuses.iter().any(|status| status.rules_revision != Some(accepted_revision));
        Ok(if any_lagging { EXIT_NEGATIVE_RESULT } else { 0 })
    })
}

/// Formats the statuses as a table with one line per host.
fn format_status_table(accepted_revision: u64, statuses: &[ListedHostStatus]) -> String {
    let mut table = format!("accepted revision {accepted_revision}\n");
    table.push_str(&format!(
        "{:<18} {:<16} {:<14} {:<9} {:>8} {:>10} {:>7} {:>5}\n",
        "host", "address", "data centre", "state", "revision", "generation", "guarded", "live"
    ));
    for status in statuses {
        let Some(page) = &status.answer else {
            table.push_str(&format!("{:<18} {:<16} does not answer\n", "-", status.address));
            continue;
        };
        let text_cell = |value: &Option<String>| value.clone().unwrap_or_default();
        let number_cell =
            |value: Option<u64>| value.map_or(String::new(), |value| value.to_string());
        table.push_str(&format!(
            "{:<18} {:<16} {:<14} {:<9} {:>8} {:>10} {:>7} {:>5}\n",
            text_cell(&page.host),
            status.address.to_string(),
            text_cell(&page.data_centre),
            text_cell(&page.state),
            number_cell(page.rules_revision),
            number_cell(page.generation),
            number_cell(page.guarded_buckets),
            number_cell(page.live_hosts)
        ));
    }
    table
}

#[cfg(test)]
mod tests;
