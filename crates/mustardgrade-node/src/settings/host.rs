//! Settings of a host that places flows by rules.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

use mustardgrade_core::flow::PlacementMode;
use mustardgrade_wire::peer::{FleetKey, FleetKeys};

use super::errors::Result;
use super::reader::SettingsReader;

/// Sections of the settings file and their keys.
const KNOWN_KEYS: &[(&str, &[&str])] = &[
    ("host", &["name", "data_centre", "address"]),
    ("fabric", &["return"]),
    ("platform", &["url", "token_file"]),
    ("fleet", &["secret_file", "previous_secret_file", "peers"]),
    ("ports", &["gue", "hop", "peer", "call", "keeper", "exchange", "metrics", "coap"]),
    ("flow", &["placement", "traffic_threads", "capacity", "records", "idle_secs", "collect_secs"]),
];

/// Maximum number of traffic threads; each uses one UDP port, counted up from the hop port.
const MAX_TRAFFIC_THREADS: u8 = 16;

/// `PortSettings` are the ports of a host and its upstreams; they must be equal on all hosts of a
/// fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PortSettings {
    /// UDP port for GUE packets from the fabric, and the port on which upstreams receive them.
    pub gue: u16,
    /// First of the UDP ports for forwarded packets and binding updates from other hosts, one per
    /// traffic thread.
    pub hop: u16,
    /// UDP port for digests from other hosts.
    pub peer: u16,
    /// TCP port for RPC calls from other hosts.
    pub call: u16,
    /// UDP port for messages between hosts about requests.
    pub keeper: u16,
    /// Local UDP port from which requests are sent to upstreams.
    pub exchange: u16,
    /// TCP port of the HTTP server for metrics and status.
    pub metrics: u16,
    /// UDP port on which upstreams receive requests (CoAP).
    pub coap: u16,
}

impl Default for PortSettings {
    fn default() -> Self {
        Self {
            gue: 6080,
            hop: 6100,
            peer: 6120,
            call: 6121,
            keeper: 6122,
            exchange: 6123,
            metrics: 6124,
            coap: 5683,
        }
    }
}

/// `FlowSettings` are the settings of the traffic threads and of flow placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowSettings {
    /// How a flow is kept on its upstream while buckets move.
    pub placement_mode: PlacementMode,
    /// Number of traffic threads; must be equal on all hosts of a fleet.
    pub traffic_threads: u8,
    /// Number of flows that the flow table of each traffic thread is sized for.
    pub flow_capacity: usize,
    /// Limit per traffic thread on the records of guarded buckets, and, separately, on the settled
    /// exceptions.
    pub record_capacity: usize,
    /// Time without a packet after which a flow expires from the flow table.
    pub idle_timeout: Duration,
    /// Duration of the collecting phase of a moved bucket; flows without a packet for this time are
    /// considered closed.
    pub collecting_duration: Duration,
}

impl Default for FlowSettings {
    fn default() -> Self {
        Self {
            placement_mode: PlacementMode::Guarded,
            traffic_threads: 1,
            flow_capacity: 262_144,
            record_capacity: 1_048_576,
            idle_timeout: Duration::from_secs(300),
            collecting_duration: Duration::from_secs(60),
        }
    }
}

/// `HostSettings` are all settings of a host that places flows by rules.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSettings {
    /// Name of the host, unique in the fleet.
    pub name: String,
    /// Name of the data centre in which the host is located.
    pub data_centre: String,
    /// Address on which the host binds its sockets and other hosts reach it.
    pub address: Ipv4Addr,
    /// Address of the fabric that receives packets for callers.
    pub fabric_return: SocketAddrV4,
    /// Base URL of the platform's key-value store.
    pub platform_url: String,
    /// Access token for the store, if it requires one.
    pub platform_token: Option<String>,
    /// Keys that seal the frames between hosts: the current one, and the previous one during a
    /// change of the secret.
    pub keys: FleetKeys,
    /// Secret shared by the fleet, from which the ticket key and the fingerprint seed are derived.
    pub fleet_secret: Vec<u8>,
    /// Addresses of other hosts to contact until the configuration has been fetched, so that the
    /// host can start while the platform's host list cannot be read.
    pub seed_hosts: Vec<Ipv4Addr>,
    /// Ports of the host and its upstreams.
    pub ports: PortSettings,
    /// Settings of the traffic threads and of flow placement.
    pub flow: FlowSettings,
}

impl HostSettings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Fails at the first name that is unknown or value that is missing or invalid; the error gives
    /// the file, the line if known, and the cause.
    pub fn load(path: &Path) -> Result<Self> {
        Self::from_reader(&SettingsReader::open(path)?)
    }

    /// Reads and checks the settings from an opened file.
    ///
    /// # Errors
    ///
    /// Fails at the first name that is unknown or value that is missing or invalid; the error gives
    /// the file, the line if known, and the cause.
    pub fn from_reader(reader: &SettingsReader) -> Result<Self> {
        reader.check_keys(KNOWN_KEYS)?;
        let fleet_secret = read_secret(reader, "secret_file")?;
        let current = derive_key(reader, "secret_file", &fleet_secret)?;
        let previous = match reader.text("fleet", "previous_secret_file") {
            Some(_) => {
                let secret = read_secret(reader, "previous_secret_file")?;
                Some(derive_key(reader, "previous_secret_file", &secret)?)
            }
            None => None,
        };
        let platform_token = match reader.text("platform", "token_file") {
            Some(_) => Some(read_file(reader, "platform", "token_file")?),
            None => None,
        };
        Ok(Self {
            name: reader.required("host", "name", "a name")?,
            data_centre: reader.required("host", "data_centre", "a name")?,
            address: reader.required("host", "address", "an IPv4 address")?,
            fabric_return: reader.required("fabric", "return", "an address like 10.0.0.1:6080")?,
            platform_url: reader.required("platform", "url", "a URL")?,
            platform_token,
            keys: FleetKeys { current, previous },
            fleet_secret,
            seed_hosts: reader.list("fleet", "peers", "IPv4 addresses")?,
            ports: read_ports(reader)?,
            flow: read_flow(reader)?,
        })
    }
}

fn read_ports(reader: &SettingsReader) -> Result<PortSettings> {
    let default = PortSettings::default();
    let port = |key: &str, default: u16| -> Result<u16> {
        Ok(reader.optional("ports", key, "a port number")?.unwrap_or(default))
    };
    Ok(PortSettings {
        gue: port("gue", default.gue)?,
        hop: port("hop", default.hop)?,
        peer: port("peer", default.peer)?,
        call: port("call", default.call)?,
        keeper: port("keeper", default.keeper)?,
        exchange: port("exchange", default.exchange)?,
        metrics: port("metrics", default.metrics)?,
        coap: port("coap", default.coap)?,
    })
}

fn read_flow(reader: &SettingsReader) -> Result<FlowSettings> {
    let default = FlowSettings::default();
    let placement_mode = match reader.text("flow", "placement") {
        None | Some("guarded") => PlacementMode::Guarded,
        Some("computed") => PlacementMode::Computed,
        Some(other) => {
            let cause = format!("'placement' is '{other}', expected 'guarded' or 'computed'");
            return Err(reader.error_at_key(Some("flow"), "placement", cause));
        }
    };
    let traffic_threads = reader.optional("flow", "traffic_threads", "a number")?;
    let traffic_threads = traffic_threads.unwrap_or(default.traffic_threads);
    if traffic_threads == 0 || traffic_threads > MAX_TRAFFIC_THREADS {
        let cause = format!("'traffic_threads' must lie between 1 and {MAX_TRAFFIC_THREADS}");
        return Err(reader.error_at_key(Some("flow"), "traffic_threads", cause));
    }
    let count = |key: &str, default: usize| -> Result<usize> {
        Ok(reader.optional("flow", key, "a number")?.unwrap_or(default))
    };
    let secs = |key: &str, default: Duration| -> Result<Duration> {
        let secs = reader.optional("flow", key, "a number of seconds")?;
        Ok(secs.map_or(default, Duration::from_secs))
    };
    Ok(FlowSettings {
        placement_mode,
        traffic_threads,
        flow_capacity: count("capacity", default.flow_capacity)?,
        record_capacity: count("records", default.record_capacity)?,
        idle_timeout: secs("idle_secs", default.idle_timeout)?,
        collecting_duration: secs("collect_secs", default.collecting_duration)?,
    })
}

fn read_secret(reader: &SettingsReader, key: &str) -> Result<Vec<u8>> {
    Ok(read_file(reader, "fleet", key)?.into_bytes())
}

/// Reads the file whose path is the value of a key, and trims surrounding whitespace.
fn read_file(reader: &SettingsReader, section: &str, key: &str) -> Result<String> {
    let path: PathBuf = reader.required(section, key, "a file name")?;
    let text = std::fs::read_to_string(&path).map_err(|error| {
        let cause = format!("cannot read '{}': {error}", path.display());
        reader.error_at_key(Some(section), key, cause)
    })?;
    Ok(text.trim().to_owned())
}

fn derive_key(reader: &SettingsReader, key: &str, secret: &[u8]) -> Result<FleetKey> {
    FleetKey::derive(secret)
        .map_err(|error| reader.error_at_key(Some("fleet"), key, format!("'{key}': {error}")))
}
