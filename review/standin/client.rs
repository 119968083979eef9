//! Requesters: flows of one request each, and feeds that keep a flow open for many requests.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::packet::{next_random, Packet, ACK, FIN, RST, SYN};
use crate::record::Record;

/// When copies of an opening packet are sent, and when the attempt ends, after the first.
const OPENING_COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPENING_ENDS: Duration = Duration::from_millis(1_400);

/// Interval of the first retransmission of data; it doubles up to eight times this.
const RETRANSMIT_AFTER: Duration = Duration::from_millis(200);

/// Time budget of a request.
const TIME_BUDGET: Duration = Duration::from_millis(2_500);

/// Further tries of a `safe` request after any failure.
const RETRIES: u32 = 2;

/// Largest distance of a valid reset's `seq` from the last `ack` on an open flow.
const RESET_WINDOW: u32 = 76_800;

pub enum Command {
    /// One request on a flow of its own.
    Request { route: SocketAddrV4 },
    /// A feed: a request on a flow that is kept open, each `period`, from `first` on.
    Feed { route: SocketAddrV4, first: Duration, period: Duration },
}

/// What the requesters have seen, for the judge.
#[derive(Clone, Debug)]
pub enum Seen {
    /// The first opening packet of a flow was sent.
    Opening {
        at_ms: u64,
        port: u16,
    },
    /// A reset of the system's own arrived; on an open flow it is valid by its `seq`.
    SystemReset {
        at_ms: u64,
        port: u16,
        was_open: bool,
    },
    Answered,
    Failed,
}

pub struct Clients {
    commands: Sender<Command>,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    stopped: Arc<AtomicBool>,
}

impl Clients {
    /// Starts the requesters at `ip`; the router hands all their packets to `host`.
    pub fn start(ip: Ipv4Addr, host: SocketAddrV4, record: &Record) -> std::io::Result<Self> {
        let socket = UdpSocket::bind((ip, host.port()))?;
        socket.set_read_timeout(Some(Duration::from_millis(1)))?;
        let (commands, receiver) = channel();
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
        let stopped = Arc::new(AtomicBool::new(false));
        let engine = Engine {
            socket,
            ip,
            host,
            receiver,
            record: record.clone(),
            seen: Arc::clone(&seen),
            flows: HashMap::new(),
            feeds: Vec::new(),
            next_port: 10_000,
            next_request: 0,
            random: 0x1234_5678_9abc,
        };
        let stop = Arc::clone(&stopped);
        std::thread::spawn(move || engine.run(&stop));
        Ok(Self { commands, seen, stopped })
    }

    pub fn send(&self, command: Command) {
        let _ = self.commands.send(command);
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    pub fn counts(&self) -> (usize, usize) {
        let seen = self.seen.lock().unwrap();
        let answered = seen.iter().filter(|event| matches!(event, Seen::Answered)).count();
        let failed = seen.iter().filter(|event| matches!(event, Seen::Failed)).count();
        (answered, failed)
    }
}

struct Feed {
    route: SocketAddrV4,
    due: Instant,
    period: Duration,
    port: Option<u16>,
}

#[derive(Clone)]
struct Request {
    id: String,
    first_sent_at: Instant,
    tries: u32,
}

struct Flow {
    route: SocketAddrV4,
    feed: Option<usize>,
    open: bool,
    opening_sent_at: Instant,
    copies: usize,
    first_seq: u32,
    next_seq: u32,
    expected_seq: u32,
    echo: u32,
    request: Option<Request>,
    /// The data packet of the request, when it was last sent, and how often again.
    data: Option<(Vec<u8>, u32, Instant, u32)>,
    closing: bool,
    last_used: Instant,
}

struct Engine {
    socket: UdpSocket,
    ip: Ipv4Addr,
    host: SocketAddrV4,
    receiver: Receiver<Command>,
    record: Record,
    seen: Arc<Mutex<Vec<Seen>>>,
    flows: HashMap<u16, Flow>,
    feeds: Vec<Feed>,
    next_port: u16,
    next_request: u64,
    random: u64,
}

impl Engine {
    fn run(mut self, stop: &AtomicBool) {
        let mut buffer = [0_u8; 2_048];
        while !stop.load(Ordering::SeqCst) {
            while let Ok(command) = self.receiver.try_recv() {
                self.execute(command);
            }
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                if let Some(packet) = Packet::decode(&buffer[..length]) {
                    self.take(&packet);
                }
            }
            self.poll_feeds();
            self.run_timers();
        }
    }

    fn see(&self, seen: Seen) {
        self.seen.lock().unwrap().push(seen);
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Request { route } => {
                let request = self.new_request();
                self.open(route, None, request);
            }
            Command::Feed { route, first, period } => {
                self.feeds.push(Feed { route, due: Instant::now() + first, period, port: None });
            }
        }
    }

    fn new_request(&mut self) -> Request {
        self.next_request += 1;
        let id = format!("q{}", self.next_request);
        Request { id, first_sent_at: Instant::now(), tries: 0 }
    }

    fn open(&mut self, route: SocketAddrV4, feed: Option<usize>, request: Request) -> u16 {
        let port = self.next_port;
        self.next_port += 1;
        let first_seq = next_random(&mut self.random);
        let now = Instant::now();
        let flow = Flow {
            route,
            feed,
            open: false,
            opening_sent_at: now,
            copies: 0,
            first_seq,
            next_seq: first_seq.wrapping_add(1),
            expected_seq: 0,
            echo: 0,
            request: Some(request),
            data: None,
            closing: false,
            last_used: now,
        };
        self.send_opening(port, &flow);
        self.flows.insert(port, flow);
        self.see(Seen::Opening { at_ms: self.record.now_ms(), port });
        port
    }

    fn packet(&self, port: u16, flow: &Flow, flags: u8) -> Packet {
        let mut packet = Packet::new(SocketAddrV4::new(self.ip, port), flow.route, flags);
        (packet.seq, packet.ack, packet.echo) = (flow.next_seq, flow.expected_seq, flow.echo);
        packet
    }

    fn transmit(&self, packet: Packet) {
        let _ = self.socket.send_to(&packet.encode(), self.host);
    }

    fn send_opening(&self, port: u16, flow: &Flow) {
        let mut packet = self.packet(port, flow, SYN);
        (packet.seq, packet.ack, packet.echo) = (flow.first_seq, flow.copies as u32, 0);
        self.transmit(packet);
    }

    fn poll_feeds(&mut self) {
        let now = Instant::now();
        for index in 0..self.feeds.len() {
            if self.feeds[index].due > now {
                continue;
            }
            self.feeds[index].due = now + self.feeds[index].period;
            let request = self.new_request();
            let route = self.feeds[index].route;
            let port = self.feeds[index]
                .port
                .filter(|port| self.flows.get(port).is_some_and(|flow| flow.open && !flow.closing));
            match port {
                Some(port) if self.flows[&port].request.is_none() => {
                    self.send_request(port, request);
                }
                Some(_) => {}
                None => {
                    let port = self.open(route, Some(index), request);
                    self.feeds[index].port = Some(port);
                }
            }
        }
    }

    fn send_request(&mut self, port: u16, request: Request) {
        let Some(flow) = self.flows.get_mut(&port) else { return };
        let text =
            format!("GET /table HTTP/1.1\r\nHost: desk\r\nX-Request-Id: {}\r\n\r\n", request.id);
        let now = Instant::now();
        flow.request = Some(request);
        flow.data = Some((text.into_bytes(), flow.next_seq, now, 0));
        flow.last_used = now;
        let flow = &self.flows[&port];
        let mut packet = self.packet(port, flow, ACK);
        if let Some((data, _, _, _)) = &flow.data {
            packet.data = data.clone();
        }
        let length = packet.data.len() as u32;
        self.transmit(packet);
        if let Some(flow) = self.flows.get_mut(&port) {
            flow.next_seq = flow.next_seq.wrapping_add(length);
        }
    }

    fn take(&mut self, packet: &Packet) {
        let port = packet.destination.port();
        let at_ms = self.record.now_ms();
        let Some(flow) = self.flows.get_mut(&port) else { return };
        if packet.has(RST) {
            let from_system = packet.sum == 0;
            let distance = packet.seq.wrapping_sub(flow.expected_seq);
            let near = distance <= RESET_WINDOW || distance.wrapping_neg() <= RESET_WINDOW;
            if from_system && flow.open && !near {
                return;
            }
            let was_open = flow.open;
            let by = if from_system { "the system" } else { "an endpoint" };
            self.record.line(format!("flow {port} (open: {was_open}) gets a reset of {by}"));
            if from_system {
                self.see(Seen::SystemReset { at_ms, port, was_open });
            }
            return self.fail(port);
        }
        if !packet.is_genuine() {
            return;
        }
        if packet.has(SYN) {
            if flow.open {
                return;
            }
            flow.open = true;
            flow.expected_seq = packet.seq.wrapping_add(1);
            flow.echo = packet.echo;
            if let Some(request) = flow.request.clone() {
                self.send_request(port, request);
            }
            return;
        }
        if !flow.open {
            return;
        }
        flow.echo = packet.echo;
        if !packet.data.is_empty() && packet.seq == flow.expected_seq {
            flow.expected_seq = flow.expected_seq.wrapping_add(packet.data.len() as u32);
            flow.data = None;
            let request = flow.request.take();
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            let id = request.map(|request| request.id).unwrap_or_default();
            let good = text.starts_with("HTTP/1.1 200") && text.contains(&format!("{id} by "));
            if good {
                self.see(Seen::Answered);
            } else {
                self.record.line(format!("request {id} on flow {port}: {text:?}"));
                self.see(Seen::Failed);
            }
        }
        let Some(flow) = self.flows.get_mut(&port) else { return };
        let end = packet.seq.wrapping_add(packet.data.len() as u32);
        let ends = packet.has(FIN) && end == flow.expected_seq;
        if ends {
            flow.expected_seq = flow.expected_seq.wrapping_add(1);
        }
        let single = flow.feed.is_none() && flow.request.is_none();
        if packet.data.is_empty() && !ends {
            return;
        }
        if (ends || single) && !flow.closing {
            flow.closing = true;
            let reply = self.packet(port, &self.flows[&port], ACK | FIN);
            self.transmit(reply);
            if let Some(flow) = self.flows.get_mut(&port) {
                flow.next_seq = flow.next_seq.wrapping_add(1);
            }
        } else {
            let reply = self.packet(port, &self.flows[&port], ACK);
            self.transmit(reply);
        }
        if ends {
            self.flows.remove(&port);
        }
    }

    /// Ends a flow; its request is tried again on a new one if it may.
    fn fail(&mut self, port: u16) {
        let Some(flow) = self.flows.remove(&port) else { return };
        let Some(mut request) = flow.request else { return };
        request.tries += 1;
        if request.tries > RETRIES || request.first_sent_at.elapsed() > TIME_BUDGET {
            self.record.line(format!("request {} has failed", request.id));
            self.see(Seen::Failed);
            return;
        }
        let new_port = self.open(flow.route, flow.feed, request);
        if let Some(index) = flow.feed {
            self.feeds[index].port = Some(new_port);
        }
    }

    fn run_timers(&mut self) {
        let now = Instant::now();
        let ports: Vec<u16> = self.flows.keys().copied().collect();
        for port in ports {
            let Some(flow) = self.flows.get_mut(&port) else { continue };
            if !flow.open {
                let elapsed = now - flow.opening_sent_at;
                if elapsed >= OPENING_ENDS {
                    self.record.line(format!("flow {port} was not opened in time"));
                    self.fail(port);
                } else if OPENING_COPIES.get(flow.copies).is_some_and(|at| elapsed >= *at) {
                    flow.copies += 1;
                    self.send_opening(port, &self.flows[&port]);
                }
                continue;
            }
            if flow.closing && now - flow.last_used > Duration::from_secs(2) {
                self.flows.remove(&port);
                continue;
            }
            let budget_used = flow.request.as_ref().map(|request| request.first_sent_at.elapsed());
            if budget_used.is_some_and(|used| used > TIME_BUDGET) {
                self.record.line(format!("flow {port}: no answer within the time budget"));
                self.fail(port);
                continue;
            }
            let Some((_, _, sent_at, count)) = &mut flow.data else { continue };
            if now - *sent_at >= RETRANSMIT_AFTER * 2_u32.pow((*count).min(3)) {
                *count += 1;
                *sent_at = now;
                let flow = &self.flows[&port];
                let mut packet = self.packet(port, flow, ACK);
                if let Some((data, seq, _, _)) = &flow.data {
                    packet.data = data.clone();
                    packet.seq = *seq;
                }
                self.transmit(packet);
            }
        }
    }
}
