//! A small deployment: a store, hosts, endpoints and one requester.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use crate::endpoint::Endpoint;
use crate::hosts::{Fleet, HostSpec, find_ports};
use crate::record::Record;
use crate::requester::Requester;
use crate::store::Store;
use crate::world::{LossRule, World};

/// Bounds and limits, as in the site files.
pub const STABILITY_WINDOW_MS: f64 = 4_000.0;
pub const CONFIG_APPLY_MS: f64 = 3_000.0;
pub const REVERT_SLACK_MS: f64 = 250.0;
pub const EVACUATE_MS: f64 = 5_000.0;
pub const IDLE_TIMEOUT_MS: u64 = 12_000;

pub const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// `EndpointSpec` is a service, a zone, the flows that the endpoint holds, and its work for a
/// request.
pub struct EndpointSpec(pub &'static str, pub &'static str, pub usize, pub Duration);

pub struct Deployment {
    pub world: Arc<World>,
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub endpoints: Vec<Arc<Endpoint>>,
    pub requester: Arc<Requester>,
    folder: PathBuf,
}

/// Returns a manifest with one route and the services `desk` and `archive`.
pub fn manifest(version: u64, service: &str) -> String {
    let route = format!(
        "{{\"name\":\"feed\",\"host\":\"{}\",\"prefix\":\"/{}/\",\"routeType\":\"safe\",\
         \"timeoutMs\":2500,\"targetLatencyMs\":250,\"priority\":1,\"attempts\":1,\
         \"service\":\"{service}\"}}",
        ROUTE.ip(),
        ROUTE.port()
    );
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":4333,\
             \"coldStartS\":2.0,\"coldPerS\":10.0}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{route}],\"services\":[{},{}],\
         \"limits\":{{\"idleTimeoutMs\":{IDLE_TIMEOUT_MS}}}}}",
        service("desk"),
        service("archive")
    )
}

impl Deployment {
    /// Starts everything; `hosts` names the zone of each host. Requesters are in the first zone.
    pub fn start(
        record_path: &Path,
        hosts: &[&str],
        endpoints: &[EndpointSpec],
        loss: LossRule,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let net = 64 + (std::process::id() % 120) as u8;
        let ip = |third: u8, fourth: usize| Ipv4Addr::new(127, net, third, fourth as u8 + 1);
        let specs: Vec<HostSpec> = hosts
            .iter()
            .enumerate()
            .map(|(index, zone)| HostSpec {
                name: format!("host-{index}"),
                ip: ip(1, index),
                zone: (*zone).to_owned(),
            })
            .collect();
        let mut addresses: Vec<Ipv4Addr> = specs.iter().map(|spec| spec.ip).collect();
        addresses.push(ip(9, 0));
        let ports = find_ports(&addresses).ok_or("no free ports")?;
        let record = Record::create(record_path)?;
        let world = World::new(record, ports.packets, loss);
        for spec in &specs {
            world.zones.lock().unwrap().insert(spec.ip, spec.zone.clone());
        }
        world.zones.lock().unwrap().insert(ip(9, 0), specs[0].zone.clone());
        let store = Store::start(ip(3, 0))?;
        store.put("op/config", manifest(3, "desk").as_bytes());
        let endpoints: Vec<Arc<Endpoint>> = endpoints
            .iter()
            .enumerate()
            .map(|(index, EndpointSpec(service, zone, max_flows, work))| {
                Endpoint::start(&world, ip(2, index), service, zone, *max_flows, *work)
            })
            .collect::<Result<_, _>>()?;
        endpoints.iter().for_each(|endpoint| endpoint.register(&store));
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let root = std::env::current_dir()?;
        let fleet = Fleet::start(&root, &folder, specs, ports, store.address)?;
        let requester = Requester::start(&world, &fleet, ip(9, 0))?;
        Ok(Self { world, store, fleet, endpoints, requester, folder })
    }

    pub fn wait_ready(&self) -> Result<(), Box<dyn std::error::Error>> {
        match self.fleet.wait_ready(Duration::from_secs(20)) {
            true => Ok(()),
            false => Err(format!("hosts are not ready:\n{}", self.fleet.logs()).into()),
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.fleet.end();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
