//! Callers that hold feeds open and check every byte.

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

use crate::feed::{GREETING_BYTES, feed_byte, request_line};
use crate::tcp::TcpEndpoint;

/// Time between two looks at timers.
const POLL: Duration = Duration::from_millis(5);

/// Time without a byte after which a feed counts as broken; feeds send ten times a second.
const SILENCE: Duration = Duration::from_secs(6);

/// First local port.
const FIRST_PORT: u16 = 10_000;

/// Largest datagram.
const MAX_DATAGRAM: usize = 65_536;

/// Time between two openings at the start.
const OPEN_INTERVAL: Duration = Duration::from_millis(5);

/// `FlowCallerSettings` describe a group of feed callers.
#[derive(Debug, Clone)]
pub struct FlowCallerSettings {
    /// Address that the callers send from within their packets.
    pub caller: Ipv4Addr,
    /// Socket address of the group towards the fabric.
    pub socket: SocketAddrV4,
    /// The fabric.
    pub fabric: SocketAddrV4,
    /// The service.
    pub service: SocketAddrV4,
    /// Feeds that are held open.
    pub feeds: usize,
}

/// `FlowReport` is what the callers saw.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct FlowReport {
    /// Feeds opened.
    pub opened: u64,
    /// Feeds open now.
    pub open: usize,
    /// Feeds that broke although nobody gave them up.
    pub broken: u64,
    /// Feeds that ended because their upstream was given up.
    pub given_up: u64,
    /// Bytes that were wrong.
    pub wrong_bytes: u64,
    /// Bytes checked.
    pub checked_bytes: u64,
    /// Open feeds by upstream.
    pub by_upstream: BTreeMap<String, usize>,
    /// Causes of broken feeds.
    pub causes: BTreeMap<String, u64>,
}

/// `FlowCallers` is a handle on running callers; they stop when it is dropped.
#[derive(Debug)]
pub struct FlowCallers {
    report: Arc<Mutex<FlowReport>>,
    given_up: Arc<Mutex<BTreeSet<String>>>,
    _stop: watch::Sender<bool>,
}

impl FlowCallers {
    /// Returns what the callers saw so far.
    ///
    /// # Panics
    ///
    /// Panics if the callers' task has panicked.
    #[must_use]
    pub fn report(&self) -> FlowReport {
        self.report.lock().expect("the callers' task does not panic").clone()
    }

    /// Sets the upstreams whose feeds may end.
    ///
    /// # Panics
    ///
    /// Panics if the callers' task has panicked.
    pub fn set_given_up(&self, upstreams: BTreeSet<String>) {
        *self.given_up.lock().expect("the callers' task does not panic") = upstreams;
    }
}

/// Starts a group of callers.
///
/// # Errors
///
/// Fails if the socket cannot be bound.
pub fn start_flow_callers(settings: FlowCallerSettings) -> std::io::Result<FlowCallers> {
    let socket = bind_udp(*settings.socket.ip(), settings.socket.port())?;
    let report = Arc::new(Mutex::new(FlowReport::default()));
    let given_up = Arc::new(Mutex::new(BTreeSet::new()));
    let (stop, stop_seen) = watch::channel(false);
    let task = CallerTask {
        endpoint: TcpEndpoint::new(settings.caller, u64::from(u32::from(settings.caller))),
        socket,
        feeds: Vec::new(),
        report: FlowReport::default(),
        shared: Arc::clone(&report),
        given_up: Arc::clone(&given_up),
        next_number: u64::from(u32::from(settings.caller)) << 32,
        next_port: FIRST_PORT,
        last_open: Instant::now(),
        settings,
    };
    tokio::spawn(task.run(stop_seen));
    Ok(FlowCallers { report, given_up, _stop: stop })
}

/// `OpenFeed` is one feed.
struct OpenFeed {
    handle: SocketHandle,
    number: u64,
    asked: bool,
    greeting: Vec<u8>,
    position: u64,
    heard: Instant,
}

impl OpenFeed {
    fn upstream(&self) -> String {
        String::from_utf8_lossy(&self.greeting).trim().to_owned()
    }
}

/// `CallerTask` holds feeds open until its handle is dropped.
struct CallerTask {
    settings: FlowCallerSettings,
    endpoint: TcpEndpoint,
    socket: UdpSocket,
    feeds: Vec<OpenFeed>,
    report: FlowReport,
    shared: Arc<Mutex<FlowReport>>,
    given_up: Arc<Mutex<BTreeSet<String>>>,
    next_number: u64,
    next_port: u16,
    last_open: Instant,
}

impl CallerTask {
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
                _ = self.socket.readable() => self.read(&mut buffer),
                _ = interval.tick() => {
                    self.open_missing();
                    self.check_feeds();
                    self.publish();
                }
            }
            self.work();
        }
    }

    fn read(&mut self, buffer: &mut [u8]) {
        while let Ok((length, _)) = self.socket.try_recv_from(buffer) {
            if let Ok(packet) = gue::decapsulate(&buffer[..length]) {
                self.endpoint.receive(packet.to_vec());
            }
        }
    }

    fn work(&mut self) {
        let to = SocketAddr::V4(self.settings.fabric);
        for packet in self.endpoint.poll() {
            let mut datagram = Vec::with_capacity(packet.len() + gue::HEADER_BYTES);
            gue::encapsulate(&packet, &mut datagram);
            let _sent = self.socket.try_send_to(&datagram, to);
        }
    }

    fn open_missing(&mut self) {
        if self.feeds.len() >= self.settings.feeds || self.last_open.elapsed() < OPEN_INTERVAL {
            return;
        }
        self.last_open = Instant::now();
        self.next_port = self.next_port.checked_add(1).unwrap_or(FIRST_PORT);
        self.next_number += 1;
        let handle = self.endpoint.connect(self.settings.service, self.next_port);
        self.report.opened += 1;
        self.feeds.push(OpenFeed {
            handle,
            number: self.next_number,
            asked: false,
            greeting: Vec::new(),
            position: 0,
            heard: Instant::now(),
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

    /// Reads what has arrived; returns a cause if the feed is over.
    fn check_feed(&mut self, feed: &mut OpenFeed) -> Option<&'static str> {
        let socket = self.endpoint.socket(feed.handle);
        if socket.state() == tcp::State::Closed {
            return Some(if feed.asked { "reset" } else { "refused" });
        }
        if !feed.asked && socket.may_send() {
            feed.asked = socket.send_slice(&request_line(feed.number)).is_ok();
        }
        if socket.can_recv() {
            let mut bytes = vec![0; socket.recv_queue()];
            let count = socket.recv_slice(&mut bytes).unwrap_or_default();
            feed.heard = Instant::now();
            if !self.check_bytes(feed, &bytes[..count]) {
                return Some("wrong bytes");
            }
        }
        (feed.heard.elapsed() > SILENCE).then_some("silent")
    }

    fn check_bytes(&mut self, feed: &mut OpenFeed, bytes: &[u8]) -> bool {
        let missing = GREETING_BYTES - feed.greeting.len();
        let (greeting, content) = bytes.split_at(missing.min(bytes.len()));
        feed.greeting.extend_from_slice(greeting);
        for byte in content {
            if *byte != feed_byte(feed.number, feed.position) {
                self.report.wrong_bytes += 1;
                return false;
            }
            feed.position += 1;
        }
        self.report.checked_bytes += content.len() as u64;
        true
    }

    fn end_feed(&mut self, feed: &OpenFeed, cause: &'static str) {
        let upstream = feed.upstream();
        let may_end = self.given_up.lock().is_ok_and(|set| set.contains(&upstream));
        match may_end {
            true => self.report.given_up += 1,
            false => {
                self.report.broken += 1;
                *self.report.causes.entry(cause.to_owned()).or_default() += 1;
                log::warn!(upstream = upstream.as_str(), cause, number = feed.number; "feed broke");
            }
        }
        self.endpoint.socket(feed.handle).abort();
        let packets = self.endpoint.poll();
        drop(packets);
        self.endpoint.remove(feed.handle);
    }

    fn publish(&mut self) {
        self.report.open = self.feeds.len();
        self.report.by_upstream.clear();
        for feed in self.feeds.iter().filter(|feed| feed.greeting.len() == GREETING_BYTES) {
            *self.report.by_upstream.entry(feed.upstream()).or_default() += 1;
        }
        if let Ok(mut shared) = self.shared.lock() {
            shared.clone_from(&self.report);
        }
    }
}
