//! The settings of an entry host.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

use mustardgrade_core::flow::PlacementMode;
use mustardgrade_wire::peer::{FleetKey, FleetKeys};

use super::errors::Result;
use super::reader::SettingsReader;

/// Sections and keys of the file.
const KNOWN_KEYS: &[(&str, &[&str])] = &[
    ("host", &["name", "data_centre", "address"]),
    ("fabric", &["return"]),
    ("platform", &["url", "token_file"]),
    ("fleet", &["secret_file", "previous_secret_file", "peers"]),
    ("ports", &["gue", "hop", "peer", "call", "keeper", "exchange", "metrics", "coap"]),
    ("flow", &["placement", "traffic_threads", "capacity", "records", "idle_secs", "collect_secs"]),
];

/// Most traffic threads; each needs a port of its own after the hop port.
const MAX_TRAFFIC_THREADS: u8 = 16;

/// `PortSettings` are the ports of a host; all hosts of a fleet use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PortSettings {
    /// UDP port for encapsulated packets from the fabric, also that of upstreams.
    pub gue: u16,
    /// First UDP port for packets from other hosts, one for each traffic thread.
    pub hop: u16,
    /// UDP port for digests.
    pub peer: u16,
    /// TCP port for calls.
    pub call: u16,
    /// UDP port for messages about requests.
    pub keeper: u16,
    /// UDP port that requests to upstreams leave from.
    pub exchange: u16,
    /// TCP port for metrics.
    pub metrics: u16,
    /// UDP port of upstreams for requests.
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

/// `FlowSettings` are the settings for flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowSettings {
    /// How flows stay with their upstream.
    pub placement_mode: PlacementMode,
    /// Threads for flows; equal on all hosts of a fleet.
    pub traffic_threads: u8,
    /// Flows that each thread remembers.
    pub flow_capacity: usize,
    /// Records that each thread keeps.
    pub record_capacity: usize,
    /// Time after which a silent flow is forgotten.
    pub idle_timeout: Duration,
    /// Time for which moved buckets collect their old flows.
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

/// `HostSettings` are all settings of an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSettings {
    /// Name of the host.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Its address.
    pub address: Ipv4Addr,
    /// Where packets to callers go.
    pub fabric_return: SocketAddrV4,
    /// Address of the platform's key-value store.
    pub platform_url: String,
    /// Token for the platform, if it asks for one.
    pub platform_token: Option<String>,
    /// Keys of the fleet.
    pub keys: FleetKeys,
    /// Secret that ticket keys are derived from.
    pub fleet_secret: Vec<u8>,
    /// Other hosts to start from when the platform cannot be read.
    pub seed_hosts: Vec<Ipv4Addr>,
    /// Ports.
    pub ports: PortSettings,
    /// Settings for flows.
    pub flow: FlowSettings,
}

impl HostSettings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// Fails with file and line if anything is unknown, missing or wrong.
    pub fn load(path: &Path) -> Result<Self> {
        Self::from_reader(&SettingsReader::open(path)?)
    }

    /// Reads the settings from an opened file.
    ///
    /// # Errors
    ///
    /// Fails with file and line if anything is unknown, missing or wrong.
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

/// Reads the file that a key names, without surrounding blanks.
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
