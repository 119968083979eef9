//! Settings of a host that routes flows by cookie.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use mustardgrade_core::cookie::CookieOptions;
use mustardgrade_core::watch::WatchSchedule;
use mustardgrade_wire::peer::{FleetKey, FleetKeys};

use crate::settings::{Result, SettingsReader};

/// Thousandths in one CPU core.
const MILLICORES_PER_CORE: f64 = 1_000.0;

/// Fraction of the configured grace period that the leave phase of a stop may take.
const STOP_GRACE_FRACTION: f64 = 0.75;

/// Sections of the settings file and their keys, without those of the platform.
pub const COOKIE_HOST_KEYS: &[(&str, &[&str])] = &[
    ("host", &["name", "data_centre", "address", "core_share"]),
    ("fleet", &["secret", "previous_secret", "seeds", "first_port", "last_port"]),
    (
        "traffic",
        &[
            "listen",
            "fabric",
            "admission",
            "startup_packets",
            "pacing",
            "ended_upstreams",
            "outlier_detection",
        ],
    ),
    ("ready", &["listen", "path"]),
    ("flow", &["capacity"]),
    ("stop", &["grace_secs"]),
];

/// `CookieHostSettings` are the settings of a host that routes flows by cookie.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CookieHostSettings {
    /// Name of the host, unique in the fleet.
    pub name: String,
    /// Name of the data centre in which the host is located.
    pub data_centre: String,
    /// Address on which other hosts reach this one.
    pub address: Ipv4Addr,
    /// CPU share in thousandths of a core; hosts with a larger one watch the store first.
    pub cpu_millicores: u16,
    /// Keys that seal the frames between hosts: the current one, and the previous one during a
    /// change of the secret.
    pub keys: FleetKeys,
    /// Addresses of the configured seed hosts.
    pub seed_hosts: Vec<Ipv4Addr>,
    /// UDP port for messages from other hosts.
    pub digest_port: u16,
    /// TCP port for RPC calls from other hosts.
    pub call_port: u16,
    /// TCP port of the HTTP server for metrics, status and rules.
    pub admin_port: u16,
    /// Address on which packets from callers are received.
    pub traffic_address: SocketAddrV4,
    /// Address of the HTTP server for the platform's readiness probe.
    pub ready_address: SocketAddrV4,
    /// HTTP path of the readiness probe.
    pub ready_path: String,
    /// Options of the cookie router.
    pub router_options: CookieOptions,
    /// Timing of store calls.
    pub watch_schedule: WatchSchedule,
    /// Maximum duration of the leave phase of a graceful stop.
    pub stop_timeout: Duration,
}

impl CookieHostSettings {
    /// Reads the settings from an opened file. The caller has to check the keys, because the file
    /// also has those of the platform.
    ///
    /// # Errors
    ///
    /// Fails at the first missing or invalid value and names its location.
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
        if let Some(admission) = reader.optional("traffic", "admission", "auto or load")? {
            router_options.admission = admission;
        }
        if let Some(packets) = reader.optional("traffic", "startup_packets", "hold or drop")? {
            router_options.startup_packets = packets;
        }
        if let Some(pacing) = reader.optional("traffic", "pacing", "fixed or adaptive")? {
            router_options.pacing = pacing;
        }
        if let Some(action) = reader.optional("traffic", "ended_upstreams", "reset or forward")? {
            router_options.ended_upstreams = action;
        }
        if let Some(mode) = reader.optional("traffic", "outlier_detection", "auto or off")? {
            router_options.outlier_detection = mode;
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
