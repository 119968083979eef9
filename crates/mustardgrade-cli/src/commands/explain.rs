//! `mustardgrade explain`.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use argh::FromArgs;
use mustardgrade::core::flow::FlowKey;
use mustardgrade::core::placement::PlacementMap;
use mustardgrade::core::rule::RuleSet;
use mustardgrade::host::fingerprint_seed;
use mustardgrade::store::{PLACEMENT_KEY, decode_placement};

use super::{CommandError, Result, block_on, open_store, read_held};

/// Explains where a flow goes: service, bucket, phase and upstream, and why.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCommand {
    /// address and port of the caller
    #[argh(positional)]
    caller: SocketAddrV4,
    /// address and port of the service
    #[argh(positional)]
    service: SocketAddrV4,
    /// URL of the store
    #[argh(option)]
    store: String,
    /// file with the token for the store
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// file with the fleet's secret, which the bucket depends on
    #[argh(option)]
    secret_file: PathBuf,
}

/// Runs `explain`.
pub fn run_explain(command: &ExplainCommand) -> Result<u8> {
    let store = open_store(&command.store, command.token_file.as_deref())?;
    let secret = std::fs::read_to_string(&command.secret_file).map_err(|error| {
        CommandError::input(format!("{}: {error}", command.secret_file.display()))
    })?;
    let seed = fingerprint_seed(secret.trim().as_bytes());
    let key = FlowKey { caller: command.caller, service: command.service };
    block_on(async {
        let rules = read_held(&store).await?.book()?;
        let read = store.read(PLACEMENT_KEY).await.map_err(CommandError::failed)?;
        let book = match read.value {
            Some(stored) => decode_placement(&stored.value).map_err(CommandError::failed)?,
            None => PlacementMap::default(),
        };
        print!("{}", explain_flow(&rules, &book, key, seed)?);
        Ok(0)
    })
}

/// Writes what a host would do with a flow that it does not know.
fn explain_flow(rules: &RuleSet, book: &PlacementMap, key: FlowKey, seed: u64) -> Result<String> {
    let service = rules.service_at(key.service).ok_or_else(|| {
        CommandError::input(format!("no service has the address {}", key.service))
    })?;
    let table = book.table(service.id()).ok_or_else(|| {
        CommandError::failed(format!("service '{}' has no placement yet", service.name))
    })?;
    let fingerprint = key.fingerprint(seed);
    let bucket = table.bucket_of(fingerprint);
    let slot = table.placement_of(bucket);
    let name = |index: u16| {
        let upstream = table.upstream(index);
        let rule = rules.upstreams.iter().find(|rule| Some(rule.id()) == upstream);
        rule.map_or("none".to_owned(), |rule| format!("{} ({})", rule.name, rule.state))
    };
    let mut text = format!("flow         {key}\n");
    text.push_str(&format!("service      {} (tenant {})\n", service.name, service.customer));
    text.push_str(&format!("fingerprint  {fingerprint:016x}\n"));
    text.push_str(&format!("bucket       {bucket} of {}\n", table.buckets.len()));
    text.push_str(&format!("generation   {}\n", book.generation));
    text.push_str(&format!("phase        {}\n", slot.phase));
    text.push_str(&format!("new flow     {}\n", name(slot.upstream_for_new_flow())));
    text.push_str(&format!(
        "old flow     {} unless recorded otherwise\n",
        name(slot.upstream_for_unrecorded_flow())
    ));
    Ok(text)
}

#[cfg(test)]
mod tests;
