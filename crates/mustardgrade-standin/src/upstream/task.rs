//! Task, settings and report of an upstream stand-in.

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
use super::requests::{RequestCapacity, RequestServer};
use crate::task_loop::{TaskEvent, TaskLoop};

/// Interval at which the servers are polled when no datagram arrives; TCP timers are far longer.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Size of the receive buffer; no UDP datagram is larger.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Datagrams read after each wake-up before the servers are polled.
const MAX_BATCH_DATAGRAMS: usize = 64;

/// `UpstreamSettings` configure one upstream stand-in.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// Name of the upstream, which its answers carry.
    pub name: String,
    /// IP address that the upstream binds.
    pub address: Ipv4Addr,
    /// Address of the flow service, if the upstream serves feeds.
    pub flow_service: Option<SocketAddrV4>,
    /// Capacity for requests, if the upstream serves any.
    pub request_capacity: Option<RequestCapacity>,
    /// Address of the fabric, which receives the packets to callers.
    pub fabric_return: SocketAddrV4,
    /// Ports of the tunnel and of the CoAP server; the others are not used.
    pub ports: PortSettings,
}

/// `UpstreamReport` holds the counters of an upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Currently open connections.
    pub open_connections: usize,
    /// Connections accepted since the start.
    pub connections_opened: u64,
    /// Packets and requests for a service that the upstream does not serve.
    pub wrong_service_packets: u64,
    /// Datagrams received, through the tunnel and as requests.
    pub packets_received: u64,
    /// Number of registrations that were executed more than once.
    pub repeated_payloads: u64,
    /// Payloads of the registrations that were executed, each listed once.
    pub executed_payloads: Vec<Vec<u8>>,
    /// Requests refused because all slots were taken or the deadline was too short.
    pub requests_shed: u64,
    /// Highest number of requests in service at a time.
    pub max_in_service: usize,
}

/// `UpstreamHandle` reads the report of a running upstream, which stops when the handle is dropped.
#[derive(Debug)]
pub struct UpstreamHandle {
    settings: UpstreamSettings,
    report: Arc<Mutex<UpstreamReport>>,
    _stop_sender: watch::Sender<bool>,
}

impl UpstreamHandle {
    /// Returns the settings that the upstream was started with.
    #[must_use]
    pub fn settings(&self) -> &UpstreamSettings {
        &self.settings
    }

    /// Returns the report as of the last poll.
    ///
    /// # Panics
    ///
    /// Panics if the upstream's task has panicked while it updated the report.
    #[must_use]
    pub fn report(&self) -> UpstreamReport {
        self.report.lock().expect("the upstream's task does not panic").clone()
    }
}

/// Starts an upstream as a task of the current Tokio runtime.
///
/// # Errors
///
/// Returns an error if the port of the tunnel or of the CoAP server cannot be bound.
pub fn start_upstream(settings: UpstreamSettings) -> std::io::Result<UpstreamHandle> {
    let report = Arc::new(Mutex::new(UpstreamReport::default()));
    let (stop_sender, stop_receiver) = watch::channel(false);
    let tunnel_socket = bind_udp(settings.address, settings.ports.gue)?;
    let coap_socket = bind_udp(settings.address, settings.ports.coap)?;
    let seed = u64::from(u32::from(settings.address));
    let feed_server =
        settings.flow_service.map(|service| FeedServer::new(&settings.name, service, seed));
    let request_server =
        settings.request_capacity.map(|capacity| RequestServer::new(&settings.name, capacity));
    let task = UpstreamTask {
        settings: settings.clone(),
        tunnel_socket,
        coap_socket,
        feed_server,
        request_server,
        report: Arc::clone(&report),
        wrong_service_packets: 0,
        packets_received: 0,
    };
    tokio::spawn(task.run(stop_receiver));
    Ok(UpstreamHandle { settings, report, _stop_sender: stop_sender })
}

/// `UpstreamTask` runs both servers of an upstream until the handle is dropped.
struct UpstreamTask {
    settings: UpstreamSettings,
    tunnel_socket: UdpSocket,
    coap_socket: UdpSocket,
    feed_server: Option<FeedServer>,
    request_server: Option<RequestServer>,
    report: Arc<Mutex<UpstreamReport>>,
    wrong_service_packets: u64,
    packets_received: u64,
}

impl UpstreamTask {
    async fn run(mut self, stop_receiver: watch::Receiver<bool>) {
        let mut task_loop = TaskLoop::new(POLL_INTERVAL, stop_receiver);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while let Some(event) = task_loop.next_event(self.any_socket_readable()).await {
            match event {
                TaskEvent::SocketReadable => {
                    self.receive_tunnelled(&mut buffer);
                    self.receive_requests(&mut buffer);
                }
                TaskEvent::TimerFired => self.update_report(),
            }
            self.send_pending();
        }
    }

    async fn any_socket_readable(&self) -> std::io::Result<()> {
        tokio::select! {
            result = self.tunnel_socket.readable() => result,
            result = self.coap_socket.readable() => result,
        }
    }

    fn receive_tunnelled(&mut self, buffer: &mut [u8]) {
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let Ok((length, _)) = self.tunnel_socket.try_recv_from(buffer) else { return };
            self.packets_received += 1;
            let Ok(packet) = gue::decapsulate(&buffer[..length]) else { continue };
            let expected_destination = self.settings.flow_service.map(|service| *service.ip());
            match &mut self.feed_server {
                Some(feed_server) if destination_address(packet).ok() == expected_destination => {
                    feed_server.receive(packet)
                }
                Some(_) | None => self.wrong_service_packets += 1,
            }
        }
    }

    fn receive_requests(&mut self, buffer: &mut [u8]) {
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let Ok((length, sender)) = self.coap_socket.try_recv_from(buffer) else { return };
            self.packets_received += 1;
            let Some(request_server) = &mut self.request_server else {
                self.wrong_service_packets += 1;
                continue;
            };
            if let Some(refusal) = request_server.receive(&buffer[..length], sender, Instant::now())
            {
                let _sent = self.coap_socket.try_send_to(&refusal, sender);
            }
        }
    }

    fn send_pending(&mut self) {
        if let Some(feed_server) = &mut self.feed_server {
            let fabric_return = SocketAddr::V4(self.settings.fabric_return);
            for packet in feed_server.poll() {
                let mut datagram = Vec::with_capacity(packet.len() + gue::HEADER_BYTES);
                gue::encapsulate(&packet, &mut datagram);
                let _sent = self.tunnel_socket.try_send_to(&datagram, fabric_return);
            }
        }
        if let Some(request_server) = &mut self.request_server {
            for (receiver, datagram) in request_server.poll(Instant::now()) {
                let _sent = self.coap_socket.try_send_to(&datagram, receiver);
            }
        }
    }

    fn update_report(&mut self) {
        let Ok(mut report) = self.report.lock() else { return };
        report.wrong_service_packets = self.wrong_service_packets;
        report.packets_received = self.packets_received;
        if let Some(feed_server) = &self.feed_server {
            report.open_connections = feed_server.open_connections();
            report.connections_opened = feed_server.connections_opened();
        }
        if let Some(request_server) = &self.request_server {
            report.repeated_payloads =
                request_server.run_counts().values().filter(|run_count| **run_count > 1).count()
                    as u64;
            if report.executed_payloads.len() != request_server.run_counts().len() {
                report.executed_payloads = request_server.run_counts().keys().cloned().collect();
            }
            report.requests_shed = request_server.shed_count();
            report.max_in_service = request_server.max_in_service();
        }
    }
}
