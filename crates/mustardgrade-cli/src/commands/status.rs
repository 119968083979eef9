//! `mustardgrade status`.

use std::net::Ipv4Addr;
use std::path::PathBuf;

use argh::FromArgs;
use mustardgrade::store::StoreClient;
use serde::{Deserialize, Serialize};

use super::{CommandError, EXIT_FOUND, Result, block_on, open_store, read_held};

/// Shows which hosts hold which revision; exit code 1 if any is behind or does not answer.
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
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// `HostAnswer` is what a host tells of itself.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct HostAnswer {
    /// Address of the host.
    #[serde(default = "unspecified")]
    pub address: Option<Ipv4Addr>,
    /// Name of the host.
    pub host: Option<String>,
    /// Its data centre.
    pub data_centre: Option<String>,
    /// Step of its life.
    pub state: Option<String>,
    /// Rules revision in force.
    pub rules_revision: Option<u64>,
    /// Placement generation in force.
    pub generation: Option<u64>,
    /// Buckets under guard.
    pub guarded_buckets: Option<u64>,
    /// Live hosts that it sees.
    pub live_hosts: Option<u64>,
}

fn unspecified() -> Option<Ipv4Addr> {
    None
}

/// `HostStatus` is a listed host with its answer, if it gave one.
#[derive(Debug, Clone, Serialize)]
pub struct HostStatus {
    /// Address of the host.
    pub address: Ipv4Addr,
    /// Rules revision in force, if the host answers.
    pub rules_revision: Option<u64>,
    /// Its answer.
    pub answer: Option<HostAnswer>,
}

/// Asks all listed hosts for their status.
pub async fn fetch_statuses(store: &StoreClient, port: u16) -> Result<Vec<HostStatus>> {
    let listed = store.list_hosts().await.map_err(CommandError::failed)?;
    let mut statuses = Vec::new();
    for host in listed {
        let answer = store.fetch_json::<HostAnswer>(host.address, port, "status").await.ok();
        let rules_revision = answer.as_ref().and_then(|answer| answer.rules_revision);
        statuses.push(HostStatus { address: host.address, rules_revision, answer });
    }
    Ok(statuses)
}

/// Runs `status`.
pub fn run_status(command: &StatusCommand) -> Result<u8> {
    let store = open_store(&command.store, command.token_file.as_deref())?;
    block_on(async {
        let held = read_held(&store).await?.revision();
        let statuses = fetch_statuses(&store, command.status_port).await?;
        match command.json {
            true => println!("{}", serde_json::json!({ "accepted": held, "hosts": statuses })),
            false => print!("{}", status_table(held, &statuses)),
        }
        let behind = statuses.iter().any(|status| status.rules_revision != Some(held));
        Ok(if behind { EXIT_FOUND } else { 0 })
    })
}

/// Writes the statuses as a table.
fn status_table(held: u64, statuses: &[HostStatus]) -> String {
    let mut table = format!("accepted revision {held}\n");
    table.push_str(&format!(
        "{:<18} {:<16} {:<14} {:<9} {:>8} {:>10} {:>7} {:>5}\n",
        "host", "address", "data centre", "state", "revision", "generation", "guarded", "live"
    ));
    for status in statuses {
        let Some(answer) = &status.answer else {
            table.push_str(&format!("{:<18} {:<16} does not answer\n", "-", status.address));
            continue;
        };
        let text = |value: &Option<String>| value.clone().unwrap_or_default();
        let number = |value: Option<u64>| value.map_or(String::new(), |value| value.to_string());
        table.push_str(&format!(
            "{:<18} {:<16} {:<14} {:<9} {:>8} {:>10} {:>7} {:>5}\n",
            text(&answer.host),
            status.address.to_string(),
            text(&answer.data_centre),
            text(&answer.state),
            number(answer.rules_revision),
            number(answer.generation),
            number(answer.guarded_buckets),
            number(answer.live_hosts)
        ));
    }
    table
}

#[cfg(test)]
mod tests;
