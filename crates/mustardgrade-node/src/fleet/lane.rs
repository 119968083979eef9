//! The traffic thread of a host that places flows by cookie.

use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use mustardgrade_core::clock::Clock;
use mustardgrade_core::cookie::{
    CookieOptions, CookiePacket, CookieRouter, CookieSnapshot, CookieVerdict, FlowEvent,
    LoadReport, PeerLoads,
};

use super::edges::{PacketEdge, UpstreamTarget};
use super::lines::FlowLines;
use super::times::FlowTimes;
use crate::clock::UnixClock;
use crate::metrics::HostMetrics;

/// Largest datagram that is accepted.
const MAX_DATAGRAM: usize = 2_048;

/// Longest wait for a packet while answers to openings are awaited.
const AWAIT_TIME: Duration = Duration::from_millis(40);

/// Longest wait for a packet at rest; a stop is noticed within it.
const REST_TIME: Duration = Duration::from_millis(500);

/// Wait after which the socket counts as drained.
const DRAINED_TIME: Duration = Duration::from_micros(50);

/// Time between two reports of what is inferred of upstreams.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Packets between two publications of counters.
const PUBLISH_PACKETS: u32 = 64;

/// `FleetShared` is what the control thread and the traffic thread share.
#[derive(Debug, Default)]
pub(crate) struct FleetShared {
    /// What the traffic thread needs to know.
    pub(crate) snapshot: ArcSwap<CookieSnapshot>,
    /// What the other hosts have inferred of upstreams.
    pub(crate) peers: ArcSwap<PeerLoads>,
    /// What the traffic thread has inferred of upstreams.
    pub(crate) report: ArcSwap<LoadReport>,
    /// Whether the traffic thread shall end.
    pub(crate) stop: AtomicBool,
    /// When the last packet arrived, in milliseconds of the host's clock.
    pub(crate) last_packet: AtomicU64,
}

/// Starts the traffic thread on a bound socket.
pub(super) fn spawn_fleet_lane(
    socket: UdpSocket,
    packets: Box<dyn PacketEdge>,
    options: CookieOptions,
    shared: Arc<FleetShared>,
    metrics: Arc<HostMetrics>,
    clock: UnixClock,
) -> std::io::Result<JoinHandle<()>> {
    let times = FlowTimes::new(metrics.answer_seconds.clone());
    std::thread::Builder::new().name("lane".to_owned()).spawn(move || {
        let mut lane = FleetLane {
            socket,
            packets,
            router: CookieRouter::new(options),
            installed: Arc::new(CookieSnapshot::default()),
            peers: Arc::default(),
            reported: Duration::ZERO,
            told: false,
            shared,
            metrics,
            clock,
            lines: FlowLines::new(),
            times,
            events: Vec::new(),
            output: Vec::with_capacity(MAX_DATAGRAM),
            timeout: Duration::ZERO,
            unpublished: 0,
        };
        lane.run();
    })
}

struct FleetLane {
    socket: UdpSocket,
    packets: Box<dyn PacketEdge>,
    router: CookieRouter,
    installed: Arc<CookieSnapshot>,
    peers: Arc<PeerLoads>,
    reported: Duration,
    /// Whether the last report said anything that the other hosts need.
    told: bool,
    shared: Arc<FleetShared>,
    metrics: Arc<HostMetrics>,
    clock: UnixClock,
    lines: FlowLines,
    times: FlowTimes,
    events: Vec<FlowEvent>,
    output: Vec<u8>,
    timeout: Duration,
    unpublished: u32,
}

impl FleetLane {
    fn run(&mut self) {
        let mut buffer = [0_u8; MAX_DATAGRAM];
        while !self.shared.stop.load(Ordering::Relaxed) {
            let asked = self.clock.now();
            self.set_timeout();
            let received = self.socket.recv_from(&mut buffer);
            let now = self.clock.now();
            self.refresh();
            if now.saturating_sub(asked) > DRAINED_TIME {
                self.router.process_timeouts(now);
            }
            match received {
                Ok((length, _)) => self.take(&buffer[..length], now),
                Err(error) => self.note_error(&error),
            }
            self.finish(now);
        }
    }

    /// Waits shorter while answers are awaited; the socket is told only of changes.
    fn set_timeout(&mut self) {
        let timeout = match self.router.has_pending_openings() {
            true => AWAIT_TIME,
            false => REST_TIME,
        };
        if timeout != self.timeout && self.socket.set_read_timeout(Some(timeout)).is_ok() {
            self.timeout = timeout;
        }
    }

    fn refresh(&mut self) {
        let snapshot = self.shared.snapshot.load();
        if !Arc::ptr_eq(&snapshot, &self.installed) {
            self.installed = Arc::clone(&snapshot);
            self.router.install_snapshot(Arc::clone(&snapshot));
        }
        let peers = self.shared.peers.load();
        if !Arc::ptr_eq(&peers, &self.peers) {
            self.peers = Arc::clone(&peers);
            self.router.install_peer_loads(Arc::clone(&peers));
        }
    }

    fn note_error(&self, error: &std::io::Error) {
        match error.kind() {
            std::io::ErrorKind::WouldBlock
            | std::io::ErrorKind::TimedOut
            | std::io::ErrorKind::Interrupted => {}
            _ => {
                self.metrics.overflows.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn take(&mut self, datagram: &[u8], now: Duration) {
        self.shared.last_packet.store(now.as_millis() as u64, Ordering::Relaxed);
        let Ok(packet) = self.packets.parse(datagram) else {
            self.metrics.malformed_datagrams.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let verdict = self.router.route(&packet, now);
        self.carry_out(verdict, &packet, datagram);
    }

    fn carry_out(&mut self, verdict: CookieVerdict, packet: &CookiePacket, datagram: &[u8]) {
        self.output.clear();
        let to = match verdict {
            CookieVerdict::Forward { index, cookie } => {
                let view = &self.installed.upstreams[index];
                let target = UpstreamTarget { tag: view.tag, address: view.address, cookie };
                self.packets.forward(datagram, &target, &mut self.output);
                view.address
            }
            CookieVerdict::Reset(_) => self.packets.reset(packet, &mut self.output),
            CookieVerdict::Drop(_) => return,
        };
        if self.socket.send_to(&self.output, to).is_err() {
            self.metrics.overflows.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Writes lines and publishes counters.
    fn finish(&mut self, now: Duration) {
        self.router.take_events(&mut self.events);
        for event in self.events.drain(..) {
            self.times.observe(&event, &self.installed);
            self.lines.write(&event, &self.installed, now);
        }
        if now.saturating_sub(self.reported) >= REPORT_INTERVAL {
            self.reported = now;
            let report = self.router.load_report(now);
            let telling = report.saturated || report.all_suspected || report.has_unanswered();
            if telling || !self.peers.is_empty() || self.told {
                self.told = telling;
                self.shared.report.store(Arc::new(report));
            }
        }
        self.unpublished += 1;
        if self.unpublished >= PUBLISH_PACKETS || self.timeout == REST_TIME {
            self.unpublished = 0;
            self.metrics.cookie_counters.publish(self.router.counters());
        }
    }
}
