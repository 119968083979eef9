//! The project's host: started as the deploy file says, with the settings rendered by the platform.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::record::Record;

/// The command of the deploy file, in the repository's root.
const DEPLOY_FILE: &str = "deploy/system.toml";
const TEMPLATE: &str = "deploy/host.ini";

/// Time after SIGTERM at which the platform sends SIGKILL.
const GRACE: Duration = Duration::from_secs(6);

pub struct HostConfig {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub store: SocketAddr,
}

pub struct Host {
    child: Option<Child>,
    config: HostConfig,
    folder: PathBuf,
    first_port: u16,
    pub traffic: SocketAddrV4,
    ready: SocketAddrV4,
    record: Record,
    starts: u32,
}

/// Returns a loopback network of this process's own: `127.A.B.x`.
pub fn loopback(last: u8) -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 100 + (id / 250 % 100) as u8, (id % 250) as u8 + 1, last)
}

impl Host {
    /// Renders the settings; the host is not started yet.
    pub fn prepare(config: HostConfig, record: &Record) -> Result<Self, String> {
        let ip = config.ip;
        let is_free = |port: u16| {
            UdpSocket::bind((ip, port)).is_ok() && TcpListener::bind((ip, port)).is_ok()
        };
        let first_port = (21_000..32_000).step_by(20).find(|port| (*port..port + 18).all(is_free));
        let first_port = first_port.ok_or("no free ports")?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let host = Self {
            child: None,
            folder,
            first_port,
            traffic: SocketAddrV4::new(ip, first_port + 16),
            ready: SocketAddrV4::new(ip, first_port + 17),
            config,
            record: record.clone(),
            starts: 0,
        };
        host.render()?;
        Ok(host)
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.ini", self.config.name))
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.config.name))
    }

    fn render(&self) -> Result<(), String> {
        let mut text = std::fs::read_to_string(TEMPLATE).map_err(|error| error.to_string())?;
        let values = [
            ("node", self.config.name.clone()),
            ("zone", self.config.zone.clone()),
            ("ip", self.config.ip.to_string()),
            ("limits.cpuShare", "1.0".to_owned()),
            // The seed is the host itself; its control port is served by nobody.
            ("seeds", format!("{}:{}", self.config.ip, self.first_port + 15)),
            ("portRange.0", self.first_port.to_string()),
            ("portRange.1", (self.first_port + 15).to_string()),
            ("listen.packetAddr", self.traffic.to_string()),
            ("listen.ready", self.ready.to_string()),
            ("platform.address", self.config.store.to_string()),
            ("bounds.graceS", "6".to_owned()),
        ];
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        match text.contains("{{") {
            true => Err("the template has a placeholder that is not known here".to_owned()),
            false => std::fs::write(self.settings_path(), text).map_err(|error| error.to_string()),
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> Result<(), String> {
        let deploy = std::fs::read_to_string(DEPLOY_FILE).map_err(|error| error.to_string())?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.ok_or("the deploy file has no command")?.trim().trim_matches('"');
        let mut words = run.split(' ');
        let program = words.next().unwrap_or_default();
        let log = std::fs::File::options().create(true).append(true).open(self.log_path());
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(program)
            .args(words)
            .env_clear()
            .envs(std::env::vars().filter(|(name, _)| ["PATH", "HOME", "LANG"].contains(&&**name)))
            .env("MUSTARDGRADE_BOOT", self.settings_path())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        self.starts += 1;
        self.record.line(format!(
            "host {} is started (start {}, process {})",
            self.config.name,
            self.starts,
            child.id()
        ));
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the readiness probe answers 200.
    pub fn wait_ready(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(15);
        while Instant::now() < deadline {
            if self.is_ready() {
                self.record.line(format!("host {} is ready", self.config.name));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("host {} does not become ready", self.config.name))
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready.into(), timeout) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(timeout));
        let request = "GET /-/ready HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n";
        let mut answer = String::new();
        let sent = stream.write_all(request.as_bytes());
        sent.and_then(|()| stream.read_to_string(&mut answer)).is_ok() && answer.contains(" 200 ")
    }

    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after the grace period.
    pub fn stop(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        self.record.line(format!("host {} gets SIGTERM", self.config.name));
        let pid = child.id().to_string();
        let _ = Command::new("sh").args(["-c", &format!("kill -TERM {pid}")]).status();
        let deadline = Instant::now() + GRACE;
        while Instant::now() < deadline && matches!(child.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        let status = child.wait();
        self.record.line(format!("host {} has ended: {status:?}", self.config.name));
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        let _ = child.kill();
        let status = child.wait();
        self.record.line(format!("host {} is killed: {status:?}", self.config.name));
    }

    /// Copies the host's log into the record, without the lines about single flows.
    pub fn record_log(&self) {
        let log = std::fs::read_to_string(self.log_path()).unwrap_or_default();
        for line in log.lines().filter(|line| !line.contains(" flow opened ")) {
            self.record.line(format!("log of {}: {line}", self.config.name));
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
