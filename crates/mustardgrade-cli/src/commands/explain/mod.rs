//! `mustardgrade explain`: by the rules in the store, or by what a host would do.

mod host;
mod text;

use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use mustardgrade::core::flow::FlowKey;
use mustardgrade::core::placement::PlacementMap;
use mustardgrade::core::rule::RuleSet;
use mustardgrade::host::fingerprint_seed;
use mustardgrade::store::{PLACEMENT_KEY, decode_placement};

use super::{CommandError, Result, block_on, open_store, read_stored_rules};

/// Explains how a flow is routed. With --store: its service, bucket, phase of the bucket, and
/// upstream, by the rules in the store. With --host: where a host that places flows by cookie would
/// send it now, and why.
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
    store: Option<String>,
    /// file with the token for the store
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// file with the fleet's secret; the bucket of a flow depends on it, since the seed of the flow
    /// fingerprints is derived from it
    #[argh(option)]
    secret_file: Option<PathBuf>,
    /// address and port of the admin pages of a host that places flows by cookie
    #[argh(option)]
    host: Option<SocketAddrV4>,
    /// with --host: cookie of a packet of an open flow, in hexadecimal; without it, the opening of
    /// a new flow is explained
    #[argh(option)]
    cookie: Option<String>,
    /// with --host: print the explanation as JSON
    #[argh(switch)]
    json: bool,
}

/// `ExplainSource` is what a flow is explained by.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ExplainSource {
    /// The rules and the placement in the store.
    Store { store: String, secret_file: PathBuf },
    /// A host that places flows by cookie.
    Host(SocketAddrV4),
}

impl ExplainCommand {
    /// Returns what the flow is explained by.
    fn source(&self) -> Result<ExplainSource> {
        let has_host_options = self.cookie.is_some() || self.json;
        let has_store_options = self.token_file.is_some() || self.secret_file.is_some();
        match (&self.store, &self.secret_file, self.host) {
            (Some(_), _, Some(_)) => {
                Err(CommandError::invalid_input("--store and --host exclude each other"))
            }
            (None, _, None) => {
                Err(CommandError::invalid_input("either --store or --host is required"))
            }
            (None, _, Some(_)) if has_store_options => Err(CommandError::invalid_input(
                "--token-file and --secret-file are options of --store",
            )),
            (Some(_), _, None) if has_host_options => {
                Err(CommandError::invalid_input("--cookie and --json are options of --host"))
            }
            (Some(_), None, None) => {
                Err(CommandError::invalid_input("--store requires --secret-file"))
            }
            (Some(store), Some(secret_file), None) => {
                Ok(ExplainSource::Store { store: store.clone(), secret_file: secret_file.clone() })
            }
            (None, _, Some(host)) => Ok(ExplainSource::Host(host)),
        }
    }
}

/// Prints where a flow goes, and why.
pub fn run_explain(command: &ExplainCommand) -> Result<u8> {
    match command.source()? {
        ExplainSource::Store { store, secret_file } => {
            explain_by_store(command, &store, &secret_file)
        }
        ExplainSource::Host(host) => host::explain_by_host(command, host),
    }
}

/// Prints the routing of a flow under the rules and the placement in the store.
fn explain_by_store(command: &ExplainCommand, store: &str, secret_file: &Path) -> Result<u8> {
    let store = open_store(store, command.token_file.as_deref())?;
    let secret = std::fs::read_to_string(secret_file).map_err(|error| {
        CommandError::invalid_input(format!("{}: {error}", secret_file.display()))
    })?;
    let seed = fingerprint_seed(secret.trim().as_bytes());
    let key = FlowKey { caller: command.caller, service: command.service };
    block_on(async {
        let rules = read_stored_rules(&store).await?.rule_set()?;
        let placement_reply = store.read(PLACEMENT_KEY).await.map_err(CommandError::failed)?;
        let placement = match placement_reply.value {
            Some(entry) => decode_placement(&entry.value).map_err(CommandError::failed)?,
            None => PlacementMap::default(),
        };
        print!("{}", explain_flow(&rules, &placement, key, seed)?);
        Ok(0)
    })
}

/// Describes how a host routes a flow that is not in its flow table.
fn explain_flow(
    rules: &RuleSet,
    placement: &PlacementMap,
    key: FlowKey,
    seed: u64,
) -> Result<String> {
    let service = rules.service_at(key.service).ok_or_else(|| {
        CommandError::invalid_input(format!("no service has the address {}", key.service))
    })?;
    let placement_table = placement.table(service.id()).ok_or_else(|| {
        CommandError::failed(format!("service '{}' has no placement yet", service.name))
    })?;
    let fingerprint = key.fingerprint(seed);
    let bucket = placement_table.bucket_of(fingerprint);
    let bucket_placement = placement_table.placement_of(bucket);
    let describe_upstream = |index: u16| {
        let upstream_id = placement_table.upstream(index);
        let rule = rules.upstreams.iter().find(|rule| Some(rule.id()) == upstream_id);
        rule.map_or("none".to_owned(), |rule| format!("{} ({})", rule.name, rule.state))
    };
    let mut explanation = format!("flow         {key}\n");
    explanation.push_str(&format!("service      {} (tenant {})\n", service.name, service.customer));
    explanation.push_str(&format!("fingerprint  {fingerprint:016x}\n"));
    explanation.push_str(&format!("bucket       {bucket} of {}\n", placement_table.buckets.len()));
    explanation.push_str(&format!("generation   {}\n", placement.generation));
    explanation.push_str(&format!("phase        {}\n", bucket_placement.phase));
    explanation.push_str(&format!(
        "new flow     {}\n",
        describe_upstream(bucket_placement.upstream_for_new_flow())
    ));
    explanation.push_str(&format!(
        "old flow     {} unless recorded otherwise\n",
        describe_upstream(bucket_placement.upstream_for_unrecorded_flow())
    ));
    Ok(explanation)
}

#[cfg(test)]
mod tests;
