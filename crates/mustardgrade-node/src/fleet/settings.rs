//! The settings of a host that places flows by cookie.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use mustardgrade_core::cookie::CookieOptions;
use mustardgrade_core::watch::WatchSchedule;
use mustardgrade_wire::peer::{FleetKey, FleetKeys};

use crate::settings::{Result, SettingsReader};

/// Strength of a host with one whole core.
const WHOLE_CORE: f64 = 1_000.0;

/// Longest part of the grace time that a stopping host uses.
const GRACE_SHARE: f64 = 0.75;

/// Sections and keys of the file.
pub const FLEET_KEYS: &[(&str, &[&str])] = &[
    ("host", &["name", "data_centre", "address", "core_share"]),
    ("fleet", &["secret", "previous_secret", "seeds", "first_port", "last_port"]),
    ("traffic", &["listen", "fabric"]),
    ("ready", &["listen", "path"]),
    ("flow", &["capacity"]),
    ("stop", &["grace_secs"]),
];

/// `FleetSettings` are the settings of a host that places flows by cookie.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// Configured name of the host.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Address that the other hosts use.
    pub address: Ipv4Addr,
    /// Strength by which duties are given.
    pub strength: u16,
    /// Keys of the fleet.
    pub keys: FleetKeys,
    /// Configured peers.
    pub seeds: Vec<Ipv4Addr>,
    /// UDP port for digests.
    pub digest_port: u16,
    /// TCP port for calls.
    pub call_port: u16,
    /// TCP port for metrics and pages.
    pub page_port: u16,
    /// Where callers' packets arrive.
    pub traffic: SocketAddrV4,
    /// Where the platform asks whether the host is ready.
    pub ready: SocketAddrV4,
    /// Path of that question.
    pub ready_path: String,
    /// Settings of the router.
    pub router: CookieOptions,
    /// When to call the store.
    pub schedule: WatchSchedule,
    /// Longest time that a stop takes.
    pub stop_time: Duration,
}

impl FleetSettings {
    /// Reads the settings from a file whose keys are checked.
    ///
    /// # Errors
    ///
    /// Fails at the first missing or wrong value and names its place.
    pub fn read(reader: &SettingsReader) -> Result<Self> {
        let share: f64 = reader.optional("host", "core_share", "a number")?.unwrap_or(1.0);
        let first: u16 = reader.required("fleet", "first_port", "a port number")?;
        let last: u16 = reader.required("fleet", "last_port", "a port number")?;
        let ports = [first, first.saturating_add(1), first.saturating_add(2)];
        if ports[2] > last {
            let cause = "three ports are needed from first_port to last_port".to_owned();
            return Err(reader.at_key(Some("fleet"), "last_port", cause));
        }
        let grace: f64 = reader.optional("stop", "grace_secs", "seconds")?.unwrap_or(6.0);
        let mut router = CookieOptions::default();
        if let Some(fabric) = reader.optional("traffic", "fabric", "hash or any")? {
            router.fabric = fabric;
        }
        if let Some(capacity) = reader.optional("flow", "capacity", "a number of flows")? {
            router.max_observed_flows = capacity;
        }
        let seeds: Vec<SocketAddrV4> = reader.list("fleet", "seeds", "ADDRESS:PORT")?;
        Ok(Self {
            name: reader.required("host", "name", "a name")?,
            data_centre: reader.required("host", "data_centre", "a name")?,
            address: reader.required("host", "address", "an IPv4 address")?,
            strength: (share * WHOLE_CORE).clamp(0.0, f64::from(u16::MAX)) as u16,
            keys: keys(reader)?,
            seeds: seeds.iter().map(|seed| *seed.ip()).collect(),
            digest_port: ports[0],
            call_port: ports[1],
            page_port: ports[2],
            traffic: reader.required("traffic", "listen", "ADDRESS:PORT")?,
            ready: reader.required("ready", "listen", "ADDRESS:PORT")?,
            ready_path: reader.required("ready", "path", "a path")?,
            router,
            schedule: WatchSchedule::default(),
            stop_time: Duration::from_secs_f64(grace.clamp(0.0, 60.0) * GRACE_SHARE),
        })
    }
}

fn keys(reader: &SettingsReader) -> Result<FleetKeys> {
    let secret: String = reader.required("fleet", "secret", "16 characters or more")?;
    let derive = |key: &str, secret: &str| {
        FleetKey::derive(secret.as_bytes())
            .map_err(|error| reader.at_key(Some("fleet"), key, error.to_string()))
    };
    let previous = reader.text("fleet", "previous_secret");
    Ok(FleetKeys {
        current: derive("secret", &secret)?,
        previous: previous.map(|secret| derive("previous_secret", secret)).transpose()?,
    })
}
