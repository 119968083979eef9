//! Contents of the admin pages `/status` and `/rules`.

use std::fmt::Write;

use mustardgrade_core::registry::{RegistryTable, RegistryValue, RouteConfig, RouteServices};
use mustardgrade_core::watch::WatchStatus;
use serde::Serialize;

/// `StatusPage` is the content of `/status`; the field names are the JSON keys.
#[derive(Debug, Clone, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StatusPage<'a> {
    host: &'a str,
    state: String,
    epoch: u64,
    revision: u64,
    manifest_version: u64,
    confirmed_ms: Option<u64>,
    watching: bool,
    live_hosts: usize,
    store_calls: u64,
}

impl<'a> StatusPage<'a> {
    pub(super) fn new(host: &'a str, status: &WatchStatus) -> Self {
        Self {
            host,
            state: status.state.to_string(),
            epoch: status.position.epoch,
            revision: status.position.revision,
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

/// Renders the registry as text with one rule per line, each with a comment that names its origin
/// (the operator or the upstream itself) and version or revision.
#[must_use]
pub fn render_rules_page(registry: &RegistryTable) -> String {
    let mut text = String::new();
    let manifest_origin = match registry.manifest() {
        Some(manifest) => {
            let origin = format!("operator, manifest version {}", manifest.version);
            for route in &manifest.routes {
                write_route(&mut text, route, &origin);
            }
            origin
        }
        None => return text,
    };
    for (key, entry) in registry.entries() {
        let revision = entry.position.revision;
        // Writing to a `String` cannot fail.
        let _never_fails = match &entry.value {
            RegistryValue::Evacuated => writeln!(text, "{key}  # operator, revision {revision}"),
            RegistryValue::Upstream(_) if registry.registration(entry).is_none() => {
                writeln!(
                    text,
                    "# {key} is of a service that no manifest names, revision {revision}"
                )
            }
            RegistryValue::Upstream(registration) => writeln!(
                text,
                "upstream {} at={} slots={} state={}  # the upstream itself, revision {revision}",
                registration.name, registration.address, registration.slots, registration.state
            ),
            RegistryValue::Unusable => {
                writeln!(text, "# {key} cannot be read, revision {revision}")
            }
            RegistryValue::Manifest(manifest) => writeln!(
                text,
                "idle-timeout {} ms  # {manifest_origin}",
                manifest.idle_timeout.as_millis()
            ),
            RegistryValue::RouteServices(services) => write_services(&mut text, services, revision),
            RegistryValue::Removed { .. } => Ok(()),
        };
    }
    text
}

/// Writes one line for each route with its present and past services, which are known by id only.
fn write_services(text: &mut String, services: &RouteServices, revision: u64) -> std::fmt::Result {
    for (address, services) in services.iter() {
        let ids: Vec<String> = services.iter().map(ToString::to_string).collect();
        let ids = ids.join(",");
        writeln!(text, "route-services {address} {ids}  # hosts, revision {revision}")?;
    }
    Ok(())
}

fn write_route(text: &mut String, route: &RouteConfig, origin: &str) {
    let backends: Vec<String> = route.backends.iter().map(ToString::to_string).collect();
    let _never_fails = writeln!(
        text,
        "route {} {} backends={} repeat={} timeout={}ms priority={}  # {origin}",
        route.name,
        route.address,
        backends.join(","),
        route.retry_policy,
        route.request_timeout.as_millis(),
        route.priority
    );
}
