//! Traffic thread of a host that routes flows by cookie.

use std::net::{SocketAddrV4, UdpSocket};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use mustardgrade_core::clock::Clock;
use mustardgrade_core::cookie::{
    CookieOptions, CookiePacket, CookieRouter, CookieSnapshot, CookieVerdict, DuePacket, FlowEvent,
    PacketBacklog, PeerLoads, StartupHold, WaitingPacket,
};
use mustardgrade_core::scheduling::{ReceiveSchedule, ReceiveStep};
use nix::errno::Errno;
use nix::sys::socket::{MsgFlags, recv};

use super::adapters::{PacketCodec, UpstreamTarget};
use super::answer_times::AnswerTimes;
use super::flow_log::FlowLog;
use super::service_loads::ServiceLoadGauges;
use super::shared_state::{BuiltLoadReport, SharedState};
use crate::clock::UnixClock;
use crate::metrics::HostMetrics;

/// Size of the receive buffer; longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Read timeout while openings or requests await an answer, so that timeouts are processed in time.
const PENDING_READ_TIMEOUT: Duration = Duration::from_millis(40);

/// Read timeout while packets are held until the first snapshot, so that they leave soon after it.
const HOLDING_READ_TIMEOUT: Duration = Duration::from_millis(5);

/// Read timeout otherwise; also the maximum delay until a stop takes effect. A packet may have come
/// at any time during the wait, so the timeout is well below the time after which openings are
/// shed, and the time without a call after which the router takes the host for stalled.
pub(super) const IDLE_READ_TIMEOUT: Duration = Duration::from_millis(50);

/// Time without an empty socket after which packets are read ahead of routing, so that their
/// waiting times are known and the urgent ones go first.
const READ_AHEAD_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of packets read ahead.
const MAX_WAITING_PACKETS: usize = 4_096;

/// Minimum interval between load reports.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Number of loop iterations between publications of the counters while openings are pending.
const ITERATIONS_PER_PUBLICATION: u32 = 64;

/// Starts the traffic thread, which receives and sends on `socket`.
pub(super) fn spawn_traffic_thread(
    socket: UdpSocket,
    packet_codec: Box<dyn PacketCodec>,
    options: CookieOptions,
    shared: Arc<SharedState>,
    metrics: Arc<HostMetrics>,
    clock: UnixClock,
) -> std::io::Result<JoinHandle<()>> {
    let answer_times = AnswerTimes::new(metrics.answer_seconds.clone());
    let service_loads = ServiceLoadGauges::new(&metrics);
    std::thread::Builder::new().name("lane".to_owned()).spawn(move || {
        let mut thread = TrafficThread {
            socket,
            packet_codec,
            startup_hold: options.startup_packets.hold(),
            router: CookieRouter::new(options),
            schedule: ReceiveSchedule::default(),
            installed_snapshot: Arc::new(CookieSnapshot::default()),
            installed_peer_loads: Arc::default(),
            last_report_at: Duration::ZERO,
            last_report_relevant: false,
            shared,
            metrics,
            clock,
            flow_log: FlowLog::new(),
            answer_times,
            service_loads,
            events: Vec::new(),
            ended_flows: Vec::new(),
            output: Vec::with_capacity(MAX_DATAGRAM_BYTES),
            read_timeout: Duration::ZERO,
            socket_empty_at: clock.now(),
            backlog: PacketBacklog::default(),
            unpublished_iterations: 0,
        };
        thread.run();
    })
}

struct TrafficThread {
    socket: UdpSocket,
    packet_codec: Box<dyn PacketCodec>,
    router: CookieRouter,
    schedule: ReceiveSchedule,
    installed_snapshot: Arc<CookieSnapshot>,
    installed_peer_loads: Arc<PeerLoads>,
    last_report_at: Duration,
    /// Whether the last published report had information for other hosts. One more report is
    /// published after it, so that they learn of the end of a condition.
    last_report_relevant: bool,
    shared: Arc<SharedState>,
    metrics: Arc<HostMetrics>,
    clock: UnixClock,
    flow_log: FlowLog,
    answer_times: AnswerTimes,
    service_loads: ServiceLoadGauges,
    events: Vec<FlowEvent>,
    /// Packets whose numbers the resets of flows of ended upstreams take.
    ended_flows: Vec<CookiePacket>,
    output: Vec<u8>,
    read_timeout: Duration,
    /// When the socket was last known to be empty.
    socket_empty_at: Duration,
    /// Packets read ahead.
    backlog: PacketBacklog,
    /// Packets held until the first snapshot; `None` from then on.
    startup_hold: Option<StartupHold>,
    unpublished_iterations: u32,
}

impl TrafficThread {
    fn run(&mut self) {
        let mut buffer = [0_u8; MAX_DATAGRAM_BYTES];
        while !self.shared.stop_requested.load(Ordering::Relaxed) {
            let received = self.receive(&mut buffer);
            let now = self.clock.now();
            self.install_updates();
            match received {
                Ok(length) => self.handle_datagram(&buffer[..length], now),
                Err(error) => self.count_receive_error(&error),
            }
            self.publish_results(now);
            self.answer_explanation(now);
            if self.may_have_waited(now) {
                self.route_backlog(&mut buffer);
            }
        }
    }

    /// Returns whether a packet received at `now` may have waited in the socket; it then goes to
    /// the backlog.
    fn may_have_waited(&self, now: Duration) -> bool {
        now.saturating_sub(self.socket_empty_at) > READ_AHEAD_INTERVAL
    }

    /// Reads packets ahead and routes them by urgency until none waits.
    fn route_backlog(&mut self, buffer: &mut [u8]) {
        loop {
            let is_socket_empty = self.read_ahead(buffer);
            self.install_updates();
            self.route_waiting();
            self.answer_explanation(self.clock.now());
            if is_socket_empty && !self.backlog.has_established() {
                self.router.process_timeouts(self.socket_empty_at);
            }
            if self.backlog.is_empty() || self.shared.stop_requested.load(Ordering::Relaxed) {
                return;
            }
            if self.schedule.next_step(false, self.clock.now()) == ReceiveStep::Yield {
                std::thread::yield_now();
            }
        }
    }

    /// Reads the received packets into the backlog; returns whether the socket is empty then.
    fn read_ahead(&mut self, buffer: &mut [u8]) -> bool {
        let received_after = self.socket_empty_at;
        while self.backlog.len() < MAX_WAITING_PACKETS {
            let checked_at = self.clock.now();
            match recv(self.socket.as_raw_fd(), buffer, MsgFlags::MSG_DONTWAIT) {
                Ok(length) => {
                    self.shared
                        .last_packet_ms
                        .store(checked_at.as_millis() as u64, Ordering::Relaxed);
                    self.push_waiting(&buffer[..length], received_after);
                }
                Err(Errno::EAGAIN) => {
                    self.socket_empty_at = checked_at;
                    return true;
                }
                Err(error) => {
                    self.count_receive_error(&error.into());
                    return false;
                }
            }
        }
        false
    }

    fn push_waiting(&mut self, datagram: &[u8], received_after: Duration) {
        let Some(packet) = self.decode(datagram) else { return };
        let waiting = WaitingPacket { packet, datagram: datagram.to_vec(), received_after };
        match self.startup_hold.is_some() {
            true => self.hold_packet(waiting),
            false => self.backlog.push(waiting),
        }
    }

    /// Holds a packet until the first snapshot; an opening, and a packet that gives way, is
    /// dropped.
    fn hold_packet(&mut self, waiting: WaitingPacket) {
        let now = self.clock.now();
        let not_held = self.startup_hold.as_mut().and_then(|hold| hold.offer(waiting, now));
        if let Some(not_held) = not_held {
            // Without a snapshot the router drops and counts it.
            self.route_waiting_packet(&not_held, now);
        }
    }

    /// Drops the packets that were held for too long, and returns the others.
    fn release_held(&mut self) -> Vec<WaitingPacket> {
        let Some(hold) = self.startup_hold.take() else { return Vec::new() };
        let now = self.clock.now();
        let (held, expired) = hold.release(now);
        expired.iter().for_each(|waiting| self.route_waiting_packet(waiting, now));
        log::info!(held = held.len(), expired = expired.len(); "packets held at start released");
        self.metrics.startup_packets_held.fetch_add(held.len() as u64, Ordering::Relaxed);
        held
    }

    /// Routes a packet that has waited; without a snapshot, the router drops it.
    fn route_waiting_packet(&mut self, waiting: &WaitingPacket, now: Duration) {
        let WaitingPacket { packet, datagram, received_after } = waiting;
        let verdict = self.router.route_received(packet, *received_after, now);
        self.perform_verdict(verdict, packet, datagram);
    }

    /// Routes waiting packets until none is left or it is time to read ahead again.
    fn route_waiting(&mut self) {
        let started_at = self.clock.now();
        let mut now = started_at;
        while now.saturating_sub(started_at) < READ_AHEAD_INTERVAL {
            let Some(due) = self.backlog.pop(now) else { return };
            match due {
                DuePacket::Route(waiting) => self.route_waiting_packet(&waiting, now),
                DuePacket::Shed(waiting) => self.router.shed_opening(&waiting.packet, now),
            }
            self.publish_results(now);
            now = self.clock.now();
        }
    }

    /// Receives the next datagram, and waits for it if there is none.
    fn receive(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let mut socket_empty = false;
        let mut now = self.clock.now();
        loop {
            match self.schedule.next_step(socket_empty, now) {
                ReceiveStep::Yield => {
                    std::thread::yield_now();
                    now = self.clock.now();
                }
                ReceiveStep::Wait => return self.wait_for_datagram(buffer, now),
                ReceiveStep::Poll => {
                    match recv(self.socket.as_raw_fd(), buffer, MsgFlags::MSG_DONTWAIT) {
                        Err(Errno::EAGAIN) => socket_empty = true,
                        received => return received.map_err(std::io::Error::from),
                    }
                }
            }
        }
    }

    /// Waits for a datagram at a socket that was found empty after `checked_at`.
    ///
    /// Only then are timeouts processed: answers in the socket buffer must not be overlooked.
    fn wait_for_datagram(
        &mut self,
        buffer: &mut [u8],
        checked_at: Duration,
    ) -> std::io::Result<usize> {
        self.socket_empty_at = checked_at;
        self.router.process_timeouts(checked_at);
        self.update_read_timeout();
        self.socket.recv(buffer)
    }

    /// Selects the read timeout; the socket option is set only if the timeout changes.
    fn update_read_timeout(&mut self) {
        let timeout = match self.router.awaits_answers() {
            _ if self.startup_hold.as_ref().is_some_and(|hold| !hold.is_empty()) => {
                HOLDING_READ_TIMEOUT
            }
            true => PENDING_READ_TIMEOUT,
            false => IDLE_READ_TIMEOUT,
        };
        if timeout != self.read_timeout && self.socket.set_read_timeout(Some(timeout)).is_ok() {
            self.read_timeout = timeout;
        }
    }

    fn install_updates(&mut self) {
        let snapshot = self.shared.snapshot.load();
        if !Arc::ptr_eq(&snapshot, &self.installed_snapshot) {
            let held = if snapshot.is_loaded { self.release_held() } else { Vec::new() };
            self.installed_snapshot = Arc::clone(&snapshot);
            self.router.install_snapshot(Arc::clone(&snapshot));
            let now = self.clock.now();
            held.iter().for_each(|waiting| self.route_waiting_packet(waiting, now));
        }
        let peer_loads = self.shared.peer_loads.load();
        if !Arc::ptr_eq(&peer_loads, &self.installed_peer_loads) {
            self.installed_peer_loads = Arc::clone(&peer_loads);
            self.router.install_peer_loads(Arc::clone(&peer_loads));
        }
    }

    fn count_receive_error(&self, error: &std::io::Error) {
        match error.kind() {
            std::io::ErrorKind::WouldBlock
            | std::io::ErrorKind::TimedOut
            | std::io::ErrorKind::Interrupted => {}
            _ => {
                self.metrics.overflows.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn handle_datagram(&mut self, datagram: &[u8], now: Duration) {
        self.shared.last_packet_ms.store(now.as_millis() as u64, Ordering::Relaxed);
        if self.may_have_waited(now) || self.startup_hold.is_some() {
            return self.push_waiting(datagram, self.socket_empty_at);
        }
        let Some(packet) = self.decode(datagram) else { return };
        let verdict = self.router.route(&packet, now);
        self.perform_verdict(verdict, &packet, datagram);
    }

    /// Answers one request for an explanation, if there is one.
    fn answer_explanation(&self, now: Duration) {
        if let Some(request) = self.shared.explanations.take() {
            request.answer(&self.router, now);
        }
    }

    /// Decodes a datagram from a caller; malformed ones are counted.
    fn decode(&self, datagram: &[u8]) -> Option<CookiePacket> {
        let packet = self.packet_codec.decode(datagram);
        if packet.is_err() {
            self.metrics.malformed_datagrams.fetch_add(1, Ordering::Relaxed);
        }
        packet.ok()
    }

    fn perform_verdict(&mut self, verdict: CookieVerdict, packet: &CookiePacket, datagram: &[u8]) {
        self.output.clear();
        let to = match verdict {
            CookieVerdict::Forward { index, cookie } => {
                let upstream = &self.installed_snapshot.upstreams[index];
                let target =
                    UpstreamTarget { tag: upstream.tag, address: upstream.address, cookie };
                self.packet_codec.encode_forward(datagram, &target, &mut self.output);
                upstream.address
            }
            CookieVerdict::Reset(_) => self.packet_codec.encode_reset(packet, &mut self.output),
            CookieVerdict::Drop(_) => return,
        };
        self.send_output(to);
    }

    /// Sends resets of the idle flows of upstreams that have ended.
    fn reset_ended_flows(&mut self, now: Duration) {
        let mut ended_flows = std::mem::take(&mut self.ended_flows);
        self.router.take_ended_flows(now, &mut ended_flows);
        for packet in ended_flows.drain(..) {
            self.output.clear();
            let to = self.packet_codec.encode_reset(&packet, &mut self.output);
            self.send_output(to);
        }
        self.ended_flows = ended_flows;
    }

    fn send_output(&self, to: SocketAddrV4) {
        if self.socket.send_to(&self.output, to).is_err() {
            self.metrics.overflows.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Writes log lines and histograms, and publishes the load report and the counters when due.
    fn publish_results(&mut self, now: Duration) {
        self.router.take_events(&mut self.events);
        for event in self.events.drain(..) {
            self.answer_times.observe(&event, &self.installed_snapshot);
            self.metrics.count_moved_opening(&event, &self.installed_snapshot);
            self.flow_log.write(&event, &self.installed_snapshot, now);
        }
        if now.saturating_sub(self.last_report_at) >= LOAD_REPORT_INTERVAL {
            self.last_report_at = now;
            let confirmed_ms = self.shared.registry_confirmed_ms.load(Ordering::Relaxed);
            let confirmed_at = (confirmed_ms > 0).then(|| Duration::from_millis(confirmed_ms));
            self.router.confirm_registry(confirmed_at);
            self.reset_ended_flows(now);
            let report = self.router.load_report(now);
            self.service_loads.publish(&self.router, now);
            let is_relevant = report.saturated
                || report.all_suspected
                || report.has_evidence()
                || !report.holders.is_empty()
                || self.router.refutes_proof(now);
            if is_relevant || !self.installed_peer_loads.is_empty() || self.last_report_relevant {
                self.last_report_relevant = is_relevant;
                let built = BuiltLoadReport { report, built_at: now };
                self.shared.load_report.store(Arc::new(built));
            }
        }
        self.unpublished_iterations += 1;
        if self.unpublished_iterations >= ITERATIONS_PER_PUBLICATION
            || self.read_timeout == IDLE_READ_TIMEOUT
        {
            self.unpublished_iterations = 0;
            self.metrics.cookie_counters.publish(self.router.counters());
        }
    }
}
