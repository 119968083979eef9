//! The hosts, which are processes of the project's own program, and the platform's routers.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::world::FlowKey;

/// Ports of all hosts, after the first one: range, readiness, control, packets.
const PORTS: u16 = 8;

/// Options of `prctl` and the signal that ends a host if this process ends first.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn prctl(option: i32, signal: usize) -> i32;
}

const PROBE_INTERVAL: Duration = Duration::from_millis(500);

pub struct Ports {
    pub first: u16,
    pub ready: u16,
    pub control: u16,
    pub packets: u16,
}

/// Finds ports that are free at all addresses.
pub fn find_ports(addresses: &[Ipv4Addr]) -> Option<Ports> {
    let offset = (std::process::id() % 1_000) as u16 * 8;
    let is_free = |address: Ipv4Addr, port: u16| {
        UdpSocket::bind((address, port)).is_ok() && TcpListener::bind((address, port)).is_ok()
    };
    let first = (0..3_000_u16).map(|step| 20_000 + (offset + step * 8) % 12_000).find(|first| {
        addresses.iter().all(|ip| (*first..*first + PORTS).all(|port| is_free(*ip, port)))
    })?;
    Some(Ports { first, ready: first + 5, control: first + 6, packets: first + 7 })
}

#[derive(Clone)]
pub struct HostSpec {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
}

pub struct Fleet {
    pub specs: Vec<HostSpec>,
    pub children: Mutex<Vec<Option<Child>>>,
    in_rotation: Mutex<Vec<bool>>,
    ports: Ports,
    folder: PathBuf,
    program: PathBuf,
    /// Zone of the requesters.
    zone: String,
}

impl Fleet {
    /// Renders `deploy/host.ini` for each host and starts all of them.
    pub fn start(
        root: &Path,
        folder: &Path,
        specs: Vec<HostSpec>,
        ports: Ports,
        store: SocketAddrV4,
    ) -> std::io::Result<Arc<Self>> {
        let deploy = std::fs::read_to_string(root.join("deploy/system.toml"))?;
        let run = deploy.lines().find_map(|line| line.trim().strip_prefix("run = "));
        let program = root.join(run.unwrap_or("").trim().trim_matches('"'));
        let template = std::fs::read_to_string(root.join("deploy/host.ini"))?;
        let seeds: Vec<String> =
            specs.iter().take(3).map(|spec| format!("{}:{}", spec.ip, ports.control)).collect();
        for spec in &specs {
            let text = template
                .replace("{{node}}", &spec.name)
                .replace("{{zone}}", &spec.zone)
                .replace("{{ip}}", &spec.ip.to_string())
                .replace("{{limits.cpuShare}}", "0.5")
                .replace("{{seeds}}", &seeds.join(","))
                .replace("{{portRange.0}}", &ports.first.to_string())
                .replace("{{portRange.1}}", &(ports.first + 4).to_string())
                .replace("{{listen.packetAddr}}", &format!("{}:{}", spec.ip, ports.packets))
                .replace("{{listen.ready}}", &format!("{}:{}", spec.ip, ports.ready))
                .replace("{{platform.address}}", &store.to_string())
                .replace("{{bounds.graceS}}", "6");
            std::fs::write(folder.join(format!("{}.ini", spec.name)), text)?;
        }
        let zone = specs[0].zone.clone();
        let fleet = Arc::new(Self {
            children: Mutex::new(specs.iter().map(|_| None).collect()),
            in_rotation: Mutex::new(vec![false; specs.len()]),
            specs,
            ports,
            folder: folder.to_owned(),
            program,
            zone,
        });
        for index in 0..fleet.specs.len() {
            fleet.start_host(index)?;
        }
        let prober = Arc::clone(&fleet);
        std::thread::spawn(move || prober.probe());
        Ok(fleet)
    }

    pub fn settings_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("{}.ini", self.specs[index].name))
    }

    pub fn start_host(&self, index: usize) -> std::io::Result<()> {
        let spec = &self.specs[index];
        let log = std::fs::File::create(self.folder.join(format!("{}.log", spec.name)))?;
        let mut command = Command::new(&self.program);
        command
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("MUSTARDGRADE_BOOT", self.settings_path(index))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: the call is safe between fork and exec; it only sets a number of the process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as usize);
                Ok(())
            });
        }
        self.children.lock().unwrap()[index] = Some(command.spawn()?);
        Ok(())
    }

    /// The host to which the router forwards the packets of a flow.
    pub fn route(&self, key: &FlowKey) -> Option<Ipv4Addr> {
        let in_rotation = self.in_rotation.lock().unwrap();
        let of_zone: Vec<usize> =
            (0..self.specs.len()).filter(|index| self.specs[*index].zone == self.zone).collect();
        let ready: Vec<usize> =
            of_zone.iter().copied().filter(|index| in_rotation[*index]).collect();
        let used = if ready.len() * 2 < of_zone.len() { of_zone } else { ready };
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        let index = used.get((hasher.finish() % used.len().max(1) as u64) as usize)?;
        Some(self.specs[*index].ip)
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let address = std::net::SocketAddr::from((self.specs[index].ip, self.ports.ready));
        let answer = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(300)))?;
            stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text)
        };
        answer().is_ok_and(|text| text.starts_with("HTTP/1.1 200"))
    }

    fn probe(&self) {
        let mut misses = vec![2; self.specs.len()];
        loop {
            for (index, misses) in misses.iter_mut().enumerate() {
                *misses = if self.is_ready(index) { 0 } else { *misses + 1 };
                self.in_rotation.lock().unwrap()[index] = *misses < 2;
            }
            std::thread::sleep(PROBE_INTERVAL);
        }
    }

    /// Waits until all hosts are in rotation; returns whether they are.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.in_rotation.lock().unwrap().iter().all(|ready| *ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the logs of all hosts.
    pub fn logs(&self) -> String {
        let log = |spec: &HostSpec| {
            std::fs::read_to_string(self.folder.join(format!("{}.log", spec.name)))
                .unwrap_or_default()
        };
        self.specs.iter().map(log).collect()
    }

    /// Kills all hosts that are running.
    pub fn end(&self) {
        for child in self.children.lock().unwrap().iter_mut().filter_map(Option::take) {
            let mut child = child;
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
