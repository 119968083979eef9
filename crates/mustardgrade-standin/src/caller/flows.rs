//! Callers that keep feeds open and check every byte received.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use mustardgrade_node::traffic::bind_udp;
use mustardgrade_wire::gue;
use serde::Serialize;
use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::feed::{GREETING_BYTES, encode_request_line, feed_byte};
use crate::task_loop::{TaskEvent, TaskLoop};
use crate::tcp::TcpEndpoint;

/// Interval at which feeds are opened and checked, and the report is updated.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time without a received byte after which a feed has failed; upstreams send ten times a second.
const FEED_IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// Local TCP port before that of the first feed. Each further feed uses the next port; after 65,535
/// this port follows.
const LOCAL_PORT_BASE: u16 = 10_000;

/// Size of the receive buffer; no UDP datagram is larger.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Minimum interval between the openings of two feeds.
const FEED_OPEN_INTERVAL: Duration = Duration::from_millis(5);

/// `FlowCallerSettings` configure a group of callers that share one socket.
#[derive(Debug, Clone)]
pub struct FlowCallerSettings {
    /// Source address of the encapsulated packets.
    pub source_address: Ipv4Addr,
    /// Address that the UDP socket of the group binds.
    pub bind_address: SocketAddrV4,
    /// Address of the fabric, which receives the encapsulated packets.
    pub fabric_address: SocketAddrV4,
    /// Address of the flow service that the feeds connect to.
    pub service_address: SocketAddrV4,
    /// Number of feeds to keep open; a feed that ends is replaced.
    pub feed_count: usize,
}

/// `FlowReport` holds the counters of a group of feed callers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct FlowReport {
    /// Feeds opened since the start.
    pub opened: u64,
    /// Currently open feeds.
    pub open: usize,
    /// Feeds that failed although their upstream had not been taken out of service.
    pub broken: u64,
    /// Feeds that failed after their upstream had been taken out of service.
    pub given_up: u64,
    /// Feeds with a wrong byte; the check of a feed ends at its first one.
    pub wrong_bytes: u64,
    /// Bytes received and verified, without greetings.
    pub checked_bytes: u64,
    /// Open feeds by the name of their upstream.
    pub by_upstream: BTreeMap<String, usize>,
    /// Broken feeds by cause.
    pub causes: BTreeMap<String, u64>,
}

/// `FlowCallers` is the handle of a running group of callers, which stops when it is dropped.
#[derive(Debug)]
pub struct FlowCallers {
    report: Arc<Mutex<FlowReport>>,
    upstreams_taken_out: Arc<Mutex<BTreeSet<String>>>,
    _stop_sender: watch::Sender<bool>,
}

impl FlowCallers {
    /// Returns the report as of the last poll.
    ///
    /// # Panics
    ///
    /// Panics if the callers' task has panicked while it updated the report.
    #[must_use]
    pub fn report(&self) -> FlowReport {
        self.report.lock().expect("the callers' task does not panic").clone()
    }

    /// Sets the names of the upstreams that have been taken out of service on purpose: feeds that
    /// fail there count as [`FlowReport::given_up`] instead of [`FlowReport::broken`].
    ///
    /// # Panics
    ///
    /// Panics if the callers' task has panicked while it read the set.
    pub fn set_upstreams_taken_out(&self, upstreams: BTreeSet<String>) {
        *self.upstreams_taken_out.lock().expect("the callers' task does not panic") = upstreams;
    }
}

/// Starts a group of callers as a task of the current Tokio runtime.
///
/// # Errors
///
/// Returns an error if the socket cannot be bound.
pub fn start_flow_callers(settings: FlowCallerSettings) -> std::io::Result<FlowCallers> {
    let socket = bind_udp(*settings.bind_address.ip(), settings.bind_address.port())?;
    let report = Arc::new(Mutex::new(FlowReport::default()));
    let upstreams_taken_out = Arc::new(Mutex::new(BTreeSet::new()));
    let (stop_sender, stop_receiver) = watch::channel(false);
    let task = FlowCallerTask {
        endpoint: TcpEndpoint::new(
            settings.source_address,
            u64::from(u32::from(settings.source_address)),
        ),
        socket,
        feeds: Vec::new(),
        report: FlowReport::default(),
        published_report: Arc::clone(&report),
        upstreams_taken_out: Arc::clone(&upstreams_taken_out),
        last_feed_number: u64::from(u32::from(settings.source_address)) << 32,
        last_local_port: LOCAL_PORT_BASE,
        last_opened_at: Instant::now(),
        settings,
    };
    tokio::spawn(task.run(stop_receiver));
    Ok(FlowCallers { report, upstreams_taken_out, _stop_sender: stop_sender })
}

/// `OpenFeed` is the connection of a feed, with the greeting received so far and the offset of the
/// next byte to check.
struct OpenFeed {
    handle: SocketHandle,
    feed_number: u64,
    request_sent: bool,
    greeting: Vec<u8>,
    offset: u64,
    last_received_at: Instant,
}

impl OpenFeed {
    fn upstream_name(&self) -> String {
        String::from_utf8_lossy(&self.greeting).trim().to_owned()
    }
}

/// `FlowCallerTask` keeps the feeds of a group open until the handle is dropped.
struct FlowCallerTask {
    settings: FlowCallerSettings,
    endpoint: TcpEndpoint,
    socket: UdpSocket,
    feeds: Vec<OpenFeed>,
    report: FlowReport,
    published_report: Arc<Mutex<FlowReport>>,
    upstreams_taken_out: Arc<Mutex<BTreeSet<String>>>,
    last_feed_number: u64,
    last_local_port: u16,
    last_opened_at: Instant,
}

impl FlowCallerTask {
    async fn run(mut self, stop_receiver: watch::Receiver<bool>) {
        let mut task_loop = TaskLoop::new(POLL_INTERVAL, stop_receiver);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while let Some(event) = task_loop.next_event(self.socket.readable()).await {
            match event {
                TaskEvent::SocketReadable => self.receive_datagrams(&mut buffer),
                TaskEvent::TimerFired => {
                    self.open_feed_if_due();
                    self.check_feeds();
                    self.publish_report();
                }
            }
            self.send_pending();
        }
    }

    fn receive_datagrams(&mut self, buffer: &mut [u8]) {
        while let Ok((length, _)) = self.socket.try_recv_from(buffer) {
            if let Ok(packet) = gue::decapsulate(&buffer[..length]) {
                self.endpoint.receive(packet.to_vec());
            }
        }
    }

    fn send_pending(&mut self) {
        let fabric_address = SocketAddr::V4(self.settings.fabric_address);
        for packet in self.endpoint.poll() {
            let mut datagram = Vec::with_capacity(packet.len() + gue::HEADER_BYTES);
            gue::encapsulate(&packet, &mut datagram);
            let _sent = self.socket.try_send_to(&datagram, fabric_address);
        }
    }

    fn open_feed_if_due(&mut self) {
        if self.feeds.len() >= self.settings.feed_count
            || self.last_opened_at.elapsed() < FEED_OPEN_INTERVAL
        {
            return;
        }
        self.last_opened_at = Instant::now();
        self.last_local_port = self.last_local_port.checked_add(1).unwrap_or(LOCAL_PORT_BASE);
        self.last_feed_number += 1;
        let handle = self.endpoint.connect(self.settings.service_address, self.last_local_port);
        self.report.opened += 1;
        self.feeds.push(OpenFeed {
            handle,
            feed_number: self.last_feed_number,
            request_sent: false,
            greeting: Vec::new(),
            offset: 0,
            last_received_at: Instant::now(),
        });
    }

    fn check_feeds(&mut self) {
        let mut feeds = std::mem::take(&mut self.feeds);
        feeds.retain_mut(|feed| match self.check_feed(feed) {
            None => true,
            Some(cause) => {
                self.end_feed(feed, cause);
                false
            }
        });
        self.feeds = feeds;
    }

    /// Sends the request line and checks received bytes; returns the cause if the feed has failed.
    fn check_feed(&mut self, feed: &mut OpenFeed) -> Option<&'static str> {
        let socket = self.endpoint.socket(feed.handle);
        if socket.state() == tcp::State::Closed {
            return Some(if feed.request_sent { "reset" } else { "refused" });
        }
        if !feed.request_sent && socket.may_send() {
            feed.request_sent = socket.send_slice(&encode_request_line(feed.feed_number)).is_ok();
        }
        if socket.can_recv() {
            let mut bytes = vec![0; socket.recv_queue()];
            let count = socket.recv_slice(&mut bytes).unwrap_or_default();
            feed.last_received_at = Instant::now();
            if !self.check_received(feed, &bytes[..count]) {
                return Some("wrong bytes");
            }
        }
        (feed.last_received_at.elapsed() > FEED_IDLE_TIMEOUT).then_some("silent")
    }

    fn check_received(&mut self, feed: &mut OpenFeed, bytes: &[u8]) -> bool {
        let missing_greeting_bytes = GREETING_BYTES - feed.greeting.len();
        let (greeting, content) = bytes.split_at(missing_greeting_bytes.min(bytes.len()));
        feed.greeting.extend_from_slice(greeting);
        for byte in content {
            if *byte != feed_byte(feed.feed_number, feed.offset) {
                self.report.wrong_bytes += 1;
                return false;
            }
            feed.offset += 1;
        }
        self.report.checked_bytes += content.len() as u64;
        true
    }

    fn end_feed(&mut self, feed: &OpenFeed, cause: &'static str) {
        let upstream_name = feed.upstream_name();
        let was_taken_out = self
            .upstreams_taken_out
            .lock()
            .is_ok_and(|upstreams| upstreams.contains(&upstream_name));
        match was_taken_out {
            true => self.report.given_up += 1,
            false => {
                self.report.broken += 1;
                *self.report.causes.entry(cause.to_owned()).or_default() += 1;
                log::warn!(
                    upstream = upstream_name.as_str(), cause, number = feed.feed_number;
                    "feed ended unexpectedly"
                );
            }
        }
        self.endpoint.socket(feed.handle).abort();
        let discarded_packets = self.endpoint.poll();
        drop(discarded_packets);
        self.endpoint.remove_socket(feed.handle);
    }

    fn publish_report(&mut self) {
        self.report.open = self.feeds.len();
        self.report.by_upstream.clear();
        for feed in self.feeds.iter().filter(|feed| feed.greeting.len() == GREETING_BYTES) {
            *self.report.by_upstream.entry(feed.upstream_name()).or_default() += 1;
        }
        if let Ok(mut published_report) = self.published_report.lock() {
            published_report.clone_from(&self.report);
        }
    }
}
