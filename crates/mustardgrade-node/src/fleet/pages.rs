//! What a host shows to operators.

use std::fmt::Write;

use mustardgrade_core::registry::{RegistryTable, RegistryValue, RouteConfig};
use mustardgrade_core::watch::WatchStatus;
use serde::Serialize;

/// `FleetStatus` is the status page.
#[derive(Debug, Clone, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetStatus<'a> {
    host: &'a str,
    state: String,
    revision: u64,
    manifest_version: u64,
    confirmed_ms: Option<u64>,
    watching: bool,
    live_hosts: usize,
    store_calls: u64,
}

impl<'a> FleetStatus<'a> {
    pub(super) fn new(host: &'a str, status: &WatchStatus) -> Self {
        Self {
            host,
            state: status.state.to_string(),
            revision: status.revision,
            manifest_version: status.manifest_version,
            confirmed_ms: status.confirmation_age.map(|age| age.as_millis() as u64),
            watching: status.watching,
            live_hosts: status.live_hosts,
            store_calls: status.store_calls,
        }
    }

    pub(super) fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Writes the registry as rules, one line each, with a comment naming who asked for it.
#[must_use]
pub fn rule_lines(book: &RegistryTable) -> String {
    let mut text = String::new();
    let operator = match book.manifest() {
        Some(manifest) => {
            let asked = format!("operator, manifest version {}", manifest.version);
            for route in &manifest.routes {
                write_route(&mut text, route, &asked);
            }
            asked
        }
        None => return text,
    };
    for (key, item) in book.entries() {
        let revision = item.revision;
        // Writing to a string cannot fail.
        let _written = match &item.value {
            RegistryValue::Evacuated => writeln!(text, "{key}  # operator, revision {revision}"),
            RegistryValue::Upstream(report) => writeln!(
                text,
                "upstream {} at={} slots={} state={}  # the upstream itself, revision {revision}",
                report.name, report.address, report.slots, report.state
            ),
            RegistryValue::Unusable => {
                writeln!(text, "# {key} cannot be read, revision {revision}")
            }
            RegistryValue::Manifest(manifest) => writeln!(
                text,
                "idle-timeout {} ms  # {operator}",
                manifest.idle_timeout.as_millis()
            ),
            RegistryValue::Removed { .. } => Ok(()),
        };
    }
    text
}

fn write_route(text: &mut String, route: &RouteConfig, asked: &str) {
    let backends: Vec<String> = route.backends.iter().map(ToString::to_string).collect();
    let _written = writeln!(
        text,
        "route {} {} backends={} repeat={} timeout={}ms priority={}  # {asked}",
        route.name,
        route.address,
        backends.join(","),
        route.retry_policy,
        route.request_timeout.as_millis(),
        route.priority
    );
}
