//! A running upstream stand-in.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use mustardgrade_node::settings::PortSettings;
use mustardgrade_node::traffic::bind_udp;
use mustardgrade_wire::gue;
use mustardgrade_wire::inner::destination_address;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use super::feeds::FeedServer;
use super::requests::{RequestServer, ServiceCurve};

/// Time between two looks at timers; TCP timers are far longer.
const POLL: Duration = Duration::from_millis(5);

/// Largest datagram.
const MAX_DATAGRAM: usize = 65_536;

/// Datagrams that are read at a time.
const BATCH: usize = 64;

/// `UpstreamSettings` describe one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// Name of the upstream.
    pub name: String,
    /// Its address.
    pub address: Ipv4Addr,
    /// Address of the flow service that it serves, if any.
    pub flow_service: Option<SocketAddrV4>,
    /// What it bears of requests, if it serves any.
    pub requests: Option<ServiceCurve>,
    /// Where packets to callers go.
    pub fabric_return: SocketAddrV4,
    /// Ports.
    pub ports: PortSettings,
}

/// `UpstreamReport` is what an upstream saw.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Connections open now.
    pub open_connections: usize,
    /// Connections ever opened.
    pub opened: u64,
    /// Packets that were meant for another service.
    pub wrong_service: u64,
    /// Packets and requests received.
    pub packets: u64,
    /// Non-idempotent payloads that ran more than once.
    pub repeated: u64,
    /// Non-idempotent payloads that ran.
    pub ran: Vec<Vec<u8>>,
    /// Requests refused for lack of a slot.
    pub shed: u64,
    /// Most requests in service at a time.
    pub most_in_service: usize,
}

/// `UpstreamStandin` is a handle on a running upstream; it stops when the handle is dropped.
#[derive(Debug)]
pub struct UpstreamStandin {
    settings: UpstreamSettings,
    report: Arc<Mutex<UpstreamReport>>,
    _stop: watch::Sender<bool>,
}

impl UpstreamStandin {
    /// Returns the settings.
    #[must_use]
    pub fn settings(&self) -> &UpstreamSettings {
        &self.settings
    }

    /// Returns what the upstream saw so far.
    ///
    /// # Panics
    ///
    /// Panics if the upstream's task has panicked.
    #[must_use]
    pub fn report(&self) -> UpstreamReport {
        self.report.lock().expect("the upstream's task does not panic").clone()
    }
}

/// Starts an upstream.
///
/// # Errors
///
/// Fails if a port cannot be bound.
pub fn start_upstream(settings: UpstreamSettings) -> std::io::Result<UpstreamStandin> {
    let report = Arc::new(Mutex::new(UpstreamReport::default()));
    let (stop, stop_seen) = watch::channel(false);
    let tunnel = bind_udp(settings.address, settings.ports.gue)?;
    let coap = bind_udp(settings.address, settings.ports.coap)?;
    let seed = u64::from(u32::from(settings.address));
    let feeds = settings.flow_service.map(|service| FeedServer::new(&settings.name, service, seed));
    let requests = settings.requests.map(|curve| RequestServer::new(&settings.name, curve));
    let task = UpstreamTask {
        settings: settings.clone(),
        tunnel,
        coap,
        feeds,
        requests,
        report: Arc::clone(&report),
        wrong_service: 0,
        packets: 0,
    };
    tokio::spawn(task.run(stop_seen));
    Ok(UpstreamStandin { settings, report, _stop: stop })
}

/// `UpstreamTask` serves until its handle is dropped.
struct UpstreamTask {
    settings: UpstreamSettings,
    tunnel: UdpSocket,
    coap: UdpSocket,
    feeds: Option<FeedServer>,
    requests: Option<RequestServer>,
    report: Arc<Mutex<UpstreamReport>>,
    wrong_service: u64,
    packets: u64,
}

impl UpstreamTask {
    async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut interval = tokio::time::interval(POLL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            tokio::select! {
                changed = stop.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                _ = self.tunnel.readable() => self.read_tunnel(&mut buffer),
                _ = self.coap.readable() => self.read_requests(&mut buffer),
                _ = interval.tick() => self.publish(),
            }
            self.work();
        }
    }

    fn read_tunnel(&mut self, buffer: &mut [u8]) {
        for _ in 0..BATCH {
            let Ok((length, _)) = self.tunnel.try_recv_from(buffer) else { return };
            self.packets += 1;
            let Ok(packet) = gue::decapsulate(&buffer[..length]) else { continue };
            let meant = self.settings.flow_service.map(|service| *service.ip());
            match &mut self.feeds {
                Some(feeds) if destination_address(packet).ok() == meant => feeds.receive(packet),
                Some(_) | None => self.wrong_service += 1,
            }
        }
    }

    fn read_requests(&mut self, buffer: &mut [u8]) {
        for _ in 0..BATCH {
            let Ok((length, from)) = self.coap.try_recv_from(buffer) else { return };
            self.packets += 1;
            let Some(requests) = &mut self.requests else {
                self.wrong_service += 1;
                continue;
            };
            if let Some(reply) = requests.receive(&buffer[..length], from, Instant::now()) {
                let _sent = self.coap.try_send_to(&reply, from);
            }
        }
    }

    fn work(&mut self) {
        if let Some(feeds) = &mut self.feeds {
            let to = SocketAddr::V4(self.settings.fabric_return);
            for packet in feeds.poll() {
                let mut datagram = Vec::with_capacity(packet.len() + gue::HEADER_BYTES);
                gue::encapsulate(&packet, &mut datagram);
                let _sent = self.tunnel.try_send_to(&datagram, to);
            }
        }
        if let Some(requests) = &mut self.requests {
            for (to, datagram) in requests.poll(Instant::now()) {
                let _sent = self.coap.try_send_to(&datagram, to);
            }
        }
    }

    fn publish(&mut self) {
        let Ok(mut report) = self.report.lock() else { return };
        report.wrong_service = self.wrong_service;
        report.packets = self.packets;
        if let Some(feeds) = &self.feeds {
            report.open_connections = feeds.open_connections();
            report.opened = feeds.opened();
        }
        if let Some(requests) = &self.requests {
            report.repeated = requests.runs().values().filter(|runs| **runs > 1).count() as u64;
            if report.ran.len() != requests.runs().len() {
                report.ran = requests.runs().keys().cloned().collect();
            }
            report.shed = requests.shed();
            report.most_in_service = requests.most_in_service();
        }
    }
}
