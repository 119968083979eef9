//! The settings of a host that places flows by cookie.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use mustardgrade_core::cookie::CookieOptions;
use mustardgrade_core::watch::WatchSchedule;
use mustardgrade_wire::peer::{FleetKey, FleetKeys};

use crate::settings::{Result, SettingsReader};

/// Strength of a host with one whole core.
const MILLICORES_PER_CORE: f64 = 1_000.0;

/// Longest part of the grace time that a stopping host uses.
const STOP_GRACE_FRACTION: f64 = 0.75;

/// Sections and keys of the file.
pub const COOKIE_HOST_KEYS: &[(&str, &[&str])] = &[
    ("host", &["name", "data_centre", "address", "core_share"]),
    ("fleet", &["secret", "previous_secret", "seeds", "first_port", "last_port"]),
    ("traffic", &["listen", "fabric"]),
    ("ready", &["listen", "path"]),
    ("flow", &["capacity"]),
    ("stop", &["grace_secs"]),
];

/// `CookieHostSettings` are the settings of a host that places flows by cookie.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CookieHostSettings {
    /// Configured name of the host.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Address that the other hosts use.
    pub address: Ipv4Addr,
    /// Strength by which duties are given.
    pub cpu_millicores: u16,
    /// Keys of the fleet.
    pub keys: FleetKeys,
    /// Configured peers.
    pub seed_hosts: Vec<Ipv4Addr>,
    /// UDP port for digests.
    pub digest_port: u16,
    /// TCP port for calls.
    pub call_port: u16,
    /// TCP port for metrics and pages.
    pub admin_port: u16,
    /// Where callers' packets arrive.
    pub traffic_address: SocketAddrV4,
    /// Where the platform asks whether the host is ready.
    pub ready_address: SocketAddrV4,
    /// Path of that question.
    pub ready_path: String,
    /// Settings of the router.
    pub router_options: CookieOptions,
    /// When to call the store.
    pub watch_schedule: WatchSchedule,
    /// Longest time that a stop takes.
    pub stop_timeout: Duration,
}

impl CookieHostSettings {
    /// Reads the settings from a file whose keys are checked.
    ///
    /// # Errors
    ///
    /// Fails at the first missing or wrong value and names its place.
    pub fn from_reader(reader: &SettingsReader) -> Result<Self> {
        let core_share: f64 = reader.optional("host", "core_share", "a number")?.unwrap_or(1.0);
        let first_port: u16 = reader.required("fleet", "first_port", "a port number")?;
        let last_port: u16 = reader.required("fleet", "last_port", "a port number")?;
        let ports = [first_port, first_port.saturating_add(1), first_port.saturating_add(2)];
        if ports[2] > last_port {
            let cause = "three ports are needed from first_port to last_port".to_owned();
            return Err(reader.error_at_key(Some("fleet"), "last_port", cause));
        }
        let grace_secs: f64 = reader.optional("stop", "grace_secs", "seconds")?.unwrap_or(6.0);
        let mut router_options = CookieOptions::default();
        if let Some(fabric) = reader.optional("traffic", "fabric", "hash or any")? {
            router_options.fabric = fabric;
        }
        if let Some(capacity) = reader.optional("flow", "capacity", "a number of flows")? {
            router_options.max_observed_flows = capacity;
        }
        let seed_addresses: Vec<SocketAddrV4> = reader.list("fleet", "seeds", "ADDRESS:PORT")?;
        Ok(Self {
            name: reader.required("host", "name", "a name")?,
            data_centre: reader.required("host", "data_centre", "a name")?,
            address: reader.required("host", "address", "an IPv4 address")?,
            cpu_millicores: (core_share * MILLICORES_PER_CORE).clamp(0.0, f64::from(u16::MAX))
                as u16,
            keys: read_fleet_keys(reader)?,
            seed_hosts: seed_addresses.iter().map(|seed| *seed.ip()).collect(),
            digest_port: ports[0],
            call_port: ports[1],
            admin_port: ports[2],
            traffic_address: reader.required("traffic", "listen", "ADDRESS:PORT")?,
            ready_address: reader.required("ready", "listen", "ADDRESS:PORT")?,
            ready_path: reader.required("ready", "path", "a path")?,
            router_options,
            watch_schedule: WatchSchedule::default(),
            stop_timeout: Duration::from_secs_f64(
                grace_secs.clamp(0.0, 60.0) * STOP_GRACE_FRACTION,
            ),
        })
    }
}

fn read_fleet_keys(reader: &SettingsReader) -> Result<FleetKeys> {
    let secret: String = reader.required("fleet", "secret", "16 characters or more")?;
    let derive = |key: &str, secret: &str| {
        FleetKey::derive(secret.as_bytes())
            .map_err(|error| reader.error_at_key(Some("fleet"), key, error.to_string()))
    };
    let previous = reader.text("fleet", "previous_secret");
    Ok(FleetKeys {
        current: derive("secret", &secret)?,
        previous: previous.map(|secret| derive("previous_secret", secret)).transpose()?,
    })
}
