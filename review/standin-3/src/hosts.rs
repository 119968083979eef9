//! Entry hosts as processes, started as the deploy file says, and the platform's routers.

use std::collections::hash_map::DefaultHasher;
use std::fs::File;
use std::hash::{Hash, Hasher};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::wire::FlowKey;

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Ports of a run, the same on all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub packet: u16,
    pub ready: u16,
    pub control: u16,
    pub first: u16,
    pub store: u16,
    pub endpoint: u16,
}

impl Ports {
    /// Finds ports that are free on the given addresses.
    pub fn find(addresses: &[Ipv4Addr]) -> Option<Self> {
        let is_free = |port: u16| {
            addresses.iter().all(|address| {
                TcpListener::bind((*address, port)).is_ok()
                    && UdpSocket::bind((*address, port)).is_ok()
            })
        };
        let base = (20_000..32_000).step_by(32).find(|base| (*base..base + 24).all(is_free))?;
        Some(Self {
            packet: base,
            ready: base + 1,
            control: base + 2,
            store: base + 3,
            endpoint: base + 4,
            first: base + 8,
        })
    }
}

#[derive(Debug, Clone)]
pub struct HostSettings {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub seeds: Vec<Ipv4Addr>,
    pub ports: Ports,
    pub store: SocketAddr,
    pub grace_secs: u32,
}

impl HostSettings {
    /// Fills in the template of the deploy file.
    fn render(&self, template: &str) -> String {
        let seeds: Vec<String> =
            self.seeds.iter().map(|seed| format!("{seed}:{}", self.ports.control)).collect();
        let values = [
            ("{{node}}", self.name.clone()),
            ("{{zone}}", self.zone.clone()),
            ("{{ip}}", self.ip.to_string()),
            ("{{limits.cpuShare}}", "0.17".to_owned()),
            ("{{seeds}}", seeds.join(",")),
            ("{{portRange.0}}", self.ports.first.to_string()),
            ("{{portRange.1}}", (self.ports.first + 15).to_string()),
            ("{{listen.packetAddr}}", format!("{}:{}", self.ip, self.ports.packet)),
            ("{{listen.ready}}", format!("{}:{}", self.ip, self.ports.ready)),
            ("{{platform.address}}", self.store.to_string()),
            ("{{bounds.graceS}}", self.grace_secs.to_string()),
        ];
        values.iter().fold(template.to_owned(), |text, (name, value)| text.replace(name, value))
    }
}

#[derive(Debug)]
pub struct Host {
    pub settings: HostSettings,
    folder: PathBuf,
    root: PathBuf,
    child: Mutex<Option<Child>>,
    in_rotation: AtomicBool,
    /// When the present process was started.
    pub started_at: Mutex<Instant>,
    record: Record,
}

impl Host {
    pub fn new(settings: HostSettings, folder: &Path, root: &Path, record: &Record) -> Arc<Self> {
        Arc::new(Self {
            settings,
            folder: folder.to_owned(),
            root: root.to_owned(),
            child: Mutex::new(None),
            in_rotation: AtomicBool::new(false),
            started_at: Mutex::new(Instant::now()),
            record: record.clone(),
        })
    }

    /// Starts the process as `deploy/system.toml` does.
    pub fn start(&self) -> std::io::Result<()> {
        let template = std::fs::read_to_string(self.root.join("deploy/host.ini"))?;
        let path = self.folder.join(format!("{}.ini", self.settings.name));
        std::fs::write(&path, self.settings.render(&template))?;
        let log_path = self.folder.join(format!("{}.log", self.settings.name));
        let log = File::options().create(true).append(true).open(log_path)?;
        let child = Command::new("target/release/mustardgrade-host")
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("MUSTARDGRADE_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        // The script ends what is left if this program is ended itself.
        let mut pids = File::options().create(true).append(true).open(self.folder.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        self.record.line(&format!("host {} started", self.settings.name));
        *self.started_at.lock().unwrap() = Instant::now();
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if self.signal_quietly(signal) {
            self.record.line(&format!("host {} gets signal {signal}", self.settings.name));
        }
    }

    /// The same without a line in the record; returns whether there was a process.
    pub fn signal_quietly(&self, signal: i32) -> bool {
        let mut child = self.child.lock().unwrap();
        let Some(child) = child.as_mut() else { return false };
        // The number of a child that has not ended, or was not waited for, is still its own.
        let is_running = matches!(child.try_wait(), Ok(None));
        if is_running {
            unsafe { kill(child.id() as i32, signal) };
        }
        is_running
    }

    /// Waits for the process to end, and kills it at the end of the grace period.
    pub fn wait_ended(&self, grace: Duration) -> Option<i32> {
        let deadline = Instant::now() + grace;
        let mut child = self.child.lock().unwrap().take()?;
        loop {
            if let Ok(Some(status)) = child.try_wait() {
                self.record.line(&format!("host {} ended, {status}", self.settings.name));
                return status.code();
            }
            if Instant::now() >= deadline {
                let _ended = child.kill();
                let _status = child.wait();
                self.record.line(&format!("host {} killed after its grace", self.settings.name));
                return None;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns how the process has ended by itself, if it has.
    pub fn ended_by_itself(&self) -> Option<String> {
        let mut child = self.child.lock().unwrap();
        let status = child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn is_in_rotation(&self) -> bool {
        self.in_rotation.load(Ordering::Relaxed)
    }

    /// Probes readiness twice a second; two misses take the host out of rotation.
    pub fn spawn_probe(self: &Arc<Self>, stop: Arc<AtomicBool>) {
        let host = Arc::clone(self);
        std::thread::spawn(move || {
            let mut misses = 2;
            while !stop.load(Ordering::Relaxed) {
                let began = Instant::now();
                misses = if host.is_ready() { 0 } else { misses + 1 };
                let is_in = misses < 2;
                if host.in_rotation.swap(is_in, Ordering::Relaxed) != is_in {
                    host.record.line(&format!("host {} in rotation: {is_in}", host.settings.name));
                }
                std::thread::sleep(Duration::from_millis(500).saturating_sub(began.elapsed()));
            }
        });
    }

    fn is_ready(&self) -> bool {
        let address = SocketAddrV4::new(self.settings.ip, self.settings.ports.ready);
        let probe = || -> std::io::Result<bool> {
            let timeout = Duration::from_millis(400);
            let mut stream = TcpStream::connect_timeout(&address.into(), timeout)?;
            stream.set_read_timeout(Some(timeout))?;
            stream
                .write_all(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer.starts_with("HTTP/1.1 200"))
        };
        probe().unwrap_or(false)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ended = child.kill();
            let _status = child.wait();
        }
    }
}

/// Returns the host that the routers choose for a flow, with `hashMode` `mod`.
pub fn choose<'h>(hosts: &'h [Arc<Host>], zone: &str, key: FlowKey) -> Option<&'h Arc<Host>> {
    let of_zone: Vec<&Arc<Host>> = hosts.iter().filter(|host| host.settings.zone == zone).collect();
    let ready: Vec<&Arc<Host>> =
        of_zone.iter().copied().filter(|host| host.is_in_rotation()).collect();
    let mut usable = if ready.len() * 2 < of_zone.len() { of_zone } else { ready.clone() };
    if ready.is_empty() {
        usable = hosts.iter().filter(|host| host.is_in_rotation()).collect();
    }
    let mut hasher = DefaultHasher::new();
    (key.requester, key.port, key.route, key.route_port).hash(&mut hasher);
    usable.get(hasher.finish() as usize % usable.len().max(1)).copied()
}
