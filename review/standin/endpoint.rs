//! An endpoint: holds flows, runs requests in its slots and registers itself in the store.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use crate::packet::{next_random, Packet, ACK, FIN, RST, SYN};
use crate::record::Record;
use crate::store::Store;

/// Requests that wait for a slot; more are answered as not run.
const QUEUE_LENGTH: usize = 16;

/// Interval of the first retransmission; it doubles up to eight times this.
const RETRANSMIT_AFTER: Duration = Duration::from_millis(200);

/// Retransmissions after which the endpoint gives a flow up.
const MAX_RETRANSMISSIONS: u32 = 8;

#[derive(Clone)]
pub struct EndpointConfig {
    /// Id in the store; its hexadecimal digits are the tag in datagrams.
    pub id: String,
    pub service: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    /// UDP port on which all requesters receive packets.
    pub caller_udp_port: u16,
    pub slots: usize,
    /// Flows that the endpoint holds; while it has as many, it sends nothing to an opening packet.
    pub max_flows: usize,
    /// Time that a request takes.
    pub work: Duration,
    /// Time after the start for which the endpoint is cold.
    pub cold: Duration,
}

/// What the endpoint has taken, for the judge.
#[derive(Clone, Debug)]
pub enum Observation {
    /// The endpoint accepted an opening packet.
    Opening { at_ms: u64, endpoint: String, port: u16 },
    /// The endpoint had the end of the handshake.
    Open { at_ms: u64, endpoint: String, port: u16 },
    /// The endpoint ended a flow: it reset it, or both ends closed it.
    Ended { at_ms: u64, port: u16 },
}

pub type Observations = Arc<Mutex<Vec<Observation>>>;

struct Flow {
    open: bool,
    first_seq: u32,
    next_seq: u32,
    expected_seq: u32,
    echo: u32,
    opened_at: Instant,
    closing: bool,
    /// The answer that the requester has not acknowledged, with when it was last sent, and how often.
    unacknowledged: Option<(Packet, Instant, u32)>,
}

type FlowKey = (SocketAddrV4, SocketAddrV4);

pub struct Endpoint {
    config: EndpointConfig,
    address: SocketAddrV4,
    born_ms: u128,
    started_at: Instant,
    draining: AtomicBool,
    stopped: AtomicBool,
    store: Arc<Store>,
    record: Record,
    observations: Observations,
}

impl Endpoint {
    /// Starts the endpoint and registers it as ready.
    pub fn start(
        config: EndpointConfig,
        store: &Arc<Store>,
        record: &Record,
        observations: &Observations,
    ) -> std::io::Result<Arc<Self>> {
        let socket = UdpSocket::bind((config.ip, 0))?;
        socket.set_read_timeout(Some(Duration::from_millis(1)))?;
        let address = SocketAddrV4::new(config.ip, socket.local_addr()?.port());
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let endpoint = Arc::new(Self {
            config,
            address,
            born_ms: born.as_millis(),
            started_at: Instant::now(),
            draining: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            store: Arc::clone(store),
            record: record.clone(),
            observations: Arc::clone(observations),
        });
        endpoint.register("ready");
        let server = Arc::clone(&endpoint);
        std::thread::spawn(move || server.run(&socket));
        Ok(endpoint)
    }

    /// Reports `draining`; returns when the store has accepted it, in milliseconds of the record.
    pub fn drain(&self) -> u64 {
        self.draining.store(true, Ordering::SeqCst);
        self.register("draining")
    }

    /// Ends the endpoint and removes its entry.
    pub fn leave(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let revision = self.store.remove(&format!("servers/{}", self.config.id));
        self.record.line(format!("endpoint {} has left (revision {revision})", self.config.id));
    }

    fn register(&self, state: &str) -> u64 {
        let config = &self.config;
        let cold_left = config.cold.saturating_sub(self.started_at.elapsed()).as_millis();
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"maxConcurrency\":{},\"state\":\"{state}\",\"coldLeftMs\":{cold_left},\"seqNo\":1,\
             \"born\":{}}}",
            config.service, self.address, config.zone, config.slots, self.born_ms
        );
        let revision = self.store.put(&format!("servers/{}", config.id), &entry);
        let at_ms = self.record.now_ms();
        self.record.line(format!(
            "store confirms: endpoint {} is {state}, coldLeftMs {cold_left} (revision {revision})",
            config.id
        ));
        at_ms
    }

    fn tag(&self) -> u64 {
        let digits: String = self.config.id.chars().filter(char::is_ascii_hexdigit).collect();
        u64::from_str_radix(&digits, 16).unwrap_or(0)
    }

    fn observe(&self, observation: Observation) {
        self.observations.lock().unwrap().push(observation);
    }

    fn send(&self, socket: &UdpSocket, packet: Packet) {
        let to = SocketAddrV4::new(*packet.destination.ip(), self.config.caller_udp_port);
        let _ = socket.send_to(&packet.encode(), to);
    }

    fn run(&self, socket: &UdpSocket) {
        let mut server = Server {
            endpoint: self,
            socket,
            flows: HashMap::new(),
            ended: HashSet::new(),
            running: Vec::new(),
            queue: VecDeque::new(),
            random: self.tag() ^ self.born_ms as u64,
        };
        let mut buffer = [0_u8; 2_048];
        while !self.stopped.load(Ordering::SeqCst) {
            if let Ok((length, _)) = socket.recv_from(&mut buffer) {
                server.take(&buffer[..length]);
            }
            server.finish_requests();
            server.retransmit();
        }
    }
}

struct Server<'a> {
    endpoint: &'a Endpoint,
    socket: &'a UdpSocket,
    flows: HashMap<FlowKey, Flow>,
    ended: HashSet<FlowKey>,
    running: Vec<(Instant, FlowKey, String)>,
    queue: VecDeque<(FlowKey, String)>,
    random: u64,
}

impl Server<'_> {
    fn take(&mut self, datagram: &[u8]) {
        let Some((tag, rest)) = datagram.split_at_checked(8) else { return };
        let tag = u64::from_be_bytes(tag.try_into().unwrap_or_default());
        if tag != 0 && tag != self.endpoint.tag() {
            return;
        }
        let at_ms = self.endpoint.record.now_ms();
        let id = self.endpoint.config.id.clone();
        let packet = match Packet::decode(rest) {
            Some(packet) if packet.is_genuine() => packet,
            _ => {
                self.endpoint
                    .record
                    .line(format!("endpoint {id} gets a packet that is not genuine"));
                return;
            }
        };
        let key = (packet.source, packet.destination);
        if packet.has(RST) {
            self.flows.remove(&key);
            return;
        }
        if packet.has(SYN) {
            return self.take_opening(key, &packet);
        }
        let Some(flow) = self.flows.get_mut(&key) else { return self.take_stray(key, &packet) };
        flow.echo = packet.echo;
        if !flow.open && packet.ack == flow.first_seq.wrapping_add(1) {
            flow.open = true;
            self.endpoint.observe(Observation::Open { at_ms, endpoint: id, port: key.0.port() });
        }
        if flow.unacknowledged.is_some() && packet.ack == flow.next_seq {
            flow.unacknowledged = None;
        }
        let mut needs_ack = false;
        if !packet.data.is_empty() {
            needs_ack = true;
            if packet.seq == flow.expected_seq {
                flow.expected_seq = flow.expected_seq.wrapping_add(packet.data.len() as u32);
                let text = String::from_utf8_lossy(&packet.data).into_owned();
                self.queue.push_back((key, text));
            }
        }
        let end = packet.seq.wrapping_add(packet.data.len() as u32);
        if packet.has(FIN) && end == flow.expected_seq {
            flow.expected_seq = flow.expected_seq.wrapping_add(1);
            let flags = if flow.closing { ACK } else { ACK | FIN };
            let reply = answer_packet(key, flow, flags);
            self.endpoint.send(self.socket, reply);
            self.flows.remove(&key);
            self.ended.insert(key);
            self.endpoint.observe(Observation::Ended { at_ms, port: key.0.port() });
        } else if needs_ack {
            let reply = answer_packet(key, flow, ACK);
            self.endpoint.send(self.socket, reply);
        }
    }

    fn take_opening(&mut self, key: FlowKey, packet: &Packet) {
        let at_ms = self.endpoint.record.now_ms();
        let (id, port) = (self.endpoint.config.id.clone(), key.0.port());
        if !self.flows.contains_key(&key) {
            if self.flows.len() >= self.endpoint.config.max_flows {
                self.endpoint.record.line(format!("endpoint {id} is full: no answer to {port}"));
                return;
            }
            self.endpoint.record.line(format!("endpoint {id} takes the opening of flow {port}"));
            self.endpoint.observe(Observation::Opening { at_ms, endpoint: id, port });
            let first_seq = next_random(&mut self.random);
            let flow = Flow {
                open: false,
                first_seq,
                next_seq: first_seq.wrapping_add(1),
                expected_seq: packet.seq.wrapping_add(1),
                echo: packet.echo,
                opened_at: Instant::now(),
                closing: false,
                unacknowledged: None,
            };
            self.flows.insert(key, flow);
        }
        let flow = &self.flows[&key];
        if !flow.open {
            let mut reply = answer_packet(key, flow, SYN | ACK);
            reply.seq = flow.first_seq;
            reply.echo = packet.echo;
            self.endpoint.send(self.socket, reply);
        }
    }

    /// Answers a packet of a flow that the endpoint does not hold.
    fn take_stray(&mut self, key: FlowKey, packet: &Packet) {
        let flags = match self.ended.contains(&key) && packet.data.is_empty() {
            true if packet.has(FIN) => ACK,
            true => return,
            false => RST,
        };
        let mut reply = Packet::new(key.1, key.0, flags);
        (reply.seq, reply.ack, reply.echo) = (packet.ack, packet.seq, packet.echo);
        self.endpoint.send(self.socket, reply);
    }

    fn finish_requests(&mut self) {
        let now = Instant::now();
        let (done, running) = self.running.drain(..).partition(|(due, _, _)| *due <= now);
        self.running = running;
        for (_, key, text) in done {
            self.answer(key, &text, true);
        }
        while self.running.len() < self.endpoint.config.slots {
            let Some((key, text)) = self.queue.pop_front() else { break };
            self.running.push((now + self.endpoint.config.work, key, text));
        }
        while self.queue.len() > QUEUE_LENGTH {
            let Some((key, text)) = self.queue.pop_back() else { break };
            self.answer(key, &text, false);
        }
    }

    fn answer(&mut self, key: FlowKey, text: &str, ran: bool) {
        let id = &self.endpoint.config.id;
        let Some(flow) = self.flows.get_mut(&key) else { return };
        let request = text.lines().find_map(|line| line.strip_prefix("X-Request-Id: "));
        let request = request.unwrap_or_default();
        let body = format!("{request} by {id}");
        let (status, mark) = match ran {
            true => ("200 OK", "X-Server-Seal: seal"),
            false => ("503 Service Unavailable", "X-Not-Executed: 1"),
        };
        let draining = self.endpoint.draining.load(Ordering::SeqCst);
        let mut flags = ACK;
        if draining && !flow.closing {
            flow.closing = true;
            flags |= FIN;
        }
        let mut packet = answer_packet(key, flow, flags);
        packet.data =
            format!("HTTP/1.1 {status}\r\n{mark}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
                .into_bytes();
        let length = packet.data.len() as u32 + u32::from(flags & FIN != 0);
        flow.next_seq = flow.next_seq.wrapping_add(length);
        flow.unacknowledged = Some((packet.clone(), Instant::now(), 0));
        self.endpoint.send(self.socket, packet);
    }

    fn retransmit(&mut self) {
        let now = Instant::now();
        let mut given_up = Vec::new();
        for (key, flow) in &mut self.flows {
            if !flow.open && now - flow.opened_at > Duration::from_secs(3) {
                given_up.push(*key);
            }
            let Some((packet, sent_at, count)) = &mut flow.unacknowledged else { continue };
            if now - *sent_at < RETRANSMIT_AFTER * 2_u32.pow((*count).min(3)) {
                continue;
            }
            if *count >= MAX_RETRANSMISSIONS {
                given_up.push(*key);
                continue;
            }
            *count += 1;
            *sent_at = now;
            packet.echo = flow.echo;
            self.endpoint.send(self.socket, packet.clone());
        }
        for key in given_up {
            self.flows.remove(&key);
            let at_ms = self.endpoint.record.now_ms();
            self.endpoint.observe(Observation::Ended { at_ms, port: key.0.port() });
        }
    }
}

fn answer_packet(key: FlowKey, flow: &Flow, flags: u8) -> Packet {
    let mut packet = Packet::new(key.1, key.0, flags);
    (packet.seq, packet.ack, packet.echo) = (flow.next_seq, flow.expected_seq, flow.echo);
    packet
}
