//! A small deployment: the store, three zones with their endpoints, and entry hosts.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime};

use crate::endpoint::{self, Endpoint, EndpointSettings, Links, loopback};
use crate::hosts::{Host, HostSettings, Ports};
use crate::record::Record;
use crate::store::Store;

pub type Outcome = Result<bool, Box<dyn std::error::Error>>;

pub const ZONES: [&str; 3] = ["tunis-medina", "tunis-lac", "tunis-ariana"];
/// Requests a second that a cold endpoint bears, by the manifest.
pub const COLD_PER_S: f64 = 5.0;
pub const SERVICE: &str = "rounds-desk";
pub const ROUTE: (Ipv4Addr, u16) = (Ipv4Addr::new(198, 18, 0, 1), 443);

/// How a case is run.
#[derive(Debug, Clone)]
pub struct Run {
    pub root: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    pub record: PathBuf,
    /// Whether the disruption is to happen.
    pub trouble: bool,
}

/// The deployment of a case; its processes end with it.
pub struct Rig {
    pub record: Record,
    pub store: Store,
    pub network: u8,
    pub ports: Ports,
    pub links: Arc<Links>,
    pub endpoints: Vec<Endpoint>,
    pub hosts: Vec<Arc<Host>>,
    pub stop: Arc<AtomicBool>,
    pub born: u64,
    /// `born` of each endpoint.
    pub born_at: Vec<u64>,
}

impl Rig {
    /// Starts store and endpoints, and the given number of hosts in each zone; waits for the hosts.
    pub fn start(
        run: &Run,
        endpoints_per_zone: u8,
        hosts_by_zone: &[u8; 3],
    ) -> Result<Self, Box<dyn std::error::Error>> {
        Self::start_with(run, &[endpoints_per_zone; 3], hosts_by_zone)
    }

    /// The same with a number of endpoints for each zone.
    pub fn start_with(
        run: &Run,
        endpoints_by_zone: &[u8; 3],
        hosts_by_zone: &[u8; 3],
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let record = Record::create(&run.record)?;
        let network = 64 + (std::process::id() % 128) as u8;
        let mut addresses = vec![loopback(network, 0, 7)];
        for zone in 1..=3 {
            addresses.extend((1..=8).map(|n| loopback(network, zone, n)));
            addresses.extend((0..10).map(|n| loopback(network, zone, 101 + n)));
            addresses.extend([200].map(|n| loopback(network, zone, n)));
        }
        let ports = Ports::find(&addresses).ok_or("no free ports")?;
        let store_address = SocketAddr::from((addresses[0], ports.store));
        let store = Store::start(store_address)?;
        let (links, stop) = (Arc::new(Links::default()), Arc::new(AtomicBool::new(false)));
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?.as_millis() as u64;
        let mut rig = Self {
            record,
            store,
            network,
            ports,
            links,
            endpoints: Vec::new(),
            hosts: Vec::new(),
            stop,
            born,
            born_at: Vec::new(),
        };
        rig.write_manifest(2, 0);
        for (zone_number, zone) in (1..).zip(ZONES) {
            for number in 0..endpoints_by_zone[usize::from(zone_number) - 1] {
                rig.start_endpoint(zone_number, zone, number, Duration::ZERO)?;
            }
        }
        let seeds = (1..=3).map(|zone| loopback(network, zone, 1)).collect::<Vec<_>>();
        for (zone_number, zone) in (1..).zip(ZONES) {
            for number in 1..=hosts_by_zone[usize::from(zone_number) - 1] {
                let settings = HostSettings {
                    name: format!("front-{zone}-{number}"),
                    zone: zone.to_owned(),
                    ip: loopback(network, zone_number, number),
                    seeds: seeds.clone(),
                    ports,
                    store: store_address,
                    grace_secs: 6,
                };
                rig.add_host(run, settings)?;
            }
        }
        rig.wait_ready(Duration::from_secs(15))?;
        // Traffic starts 10 s after the machines do; hosts are in touch 4 s after their start.
        std::thread::sleep(Duration::from_secs(5));
        Ok(rig)
    }

    /// Writes a manifest with the route of the requesters and `further` routes without traffic;
    /// returns when it was confirmed.
    pub fn write_manifest(&self, version: u64, further: u64) -> Instant {
        let route = |name: &str, port: u64| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{}\",\"prefix\":\"/{port}/\",\"routeType\":\"safe\",\
                 \"timeoutMs\":2500,\"targetLatencyMs\":250,\"priority\":2,\"service\":\"{SERVICE}\",\
                 \"attempts\":2}}",
                ROUTE.0
            )
        };
        let mut routes = vec![route("motion-feed", u64::from(ROUTE.1))];
        routes
            .extend((0..further).map(|number| route(&format!("further-{number}"), 8_000 + number)));
        let manifest = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"healthPath\":\"/health\",\"maxConns\":4333,\"protocol\":\"h1\",\"tls\":false,\
             \"coldStartS\":2.0,\"coldPerS\":{COLD_PER_S:.1}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
            routes.join(",")
        );
        let revision = self.store.put("op/config", manifest.as_bytes());
        self.record.line(&format!("manifest {version} confirmed, revision {revision}"));
        Instant::now()
    }

    /// Starts an endpoint, which is cold for the given time, and registers it.
    pub fn start_endpoint(
        &mut self,
        zone_number: u8,
        zone: &str,
        number: u8,
        cold_for: Duration,
    ) -> std::io::Result<()> {
        let address = SocketAddrV4::new(
            loopback(self.network, zone_number, 101 + number),
            self.ports.endpoint,
        );
        let settings = EndpointSettings {
            id: format!("i-{:02x}{zone_number:x}{number:02x}e5f7a1", self.network),
            address,
            zone: zone.to_owned(),
            work: Duration::from_millis(55),
            requester_port: self.ports.packet,
        };
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let (born, cold_left) = (born.as_millis() as u64, cold_for.as_millis() as u64);
        let entry = endpoint::entry(SERVICE, address, zone, "ready", born, 1, cold_left);
        let key = format!("servers/{}", settings.id);
        let (links, record) = (Arc::clone(&self.links), self.record.clone());
        let endpoint = endpoint::start(settings, links, record, Arc::clone(&self.stop))?;
        if !cold_for.is_zero() {
            *endpoint.control.cold_until.lock().unwrap() = Some(Instant::now() + cold_for);
        }
        self.store.put(&key, entry.as_bytes());
        self.endpoints.push(endpoint);
        self.born_at.push(born);
        Ok(())
    }

    fn add_host(&mut self, run: &Run, settings: HostSettings) -> std::io::Result<()> {
        let host = Host::new(settings, &run.folder, &run.root, &self.record);
        host.start()?;
        host.spawn_probe(Arc::clone(&self.stop));
        self.hosts.push(host);
        Ok(())
    }

    pub fn wait_ready(&self, timeout: Duration) -> Result<(), Box<dyn std::error::Error>> {
        let deadline = Instant::now() + timeout;
        while !self.hosts.iter().all(|host| host.is_in_rotation()) {
            if Instant::now() >= deadline {
                return Err("hosts do not become ready".into());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Stops a host gracefully and starts it again, as `roll_term` does.
    pub fn roll(host: &Arc<Host>) -> std::io::Result<()> {
        host.signal(crate::hosts::SIGTERM);
        host.wait_ended(Duration::from_secs(6));
        std::thread::sleep(Duration::from_millis(200));
        host.start()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        for host in &self.hosts {
            host.signal(crate::hosts::SIGTERM);
        }
        for host in &self.hosts {
            host.wait_ended(Duration::from_secs(6));
        }
        self.stop.store(true, Ordering::Relaxed);
    }
}
