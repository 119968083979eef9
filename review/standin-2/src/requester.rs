//! A requester: it opens flows, sends requests on them, and gets the answers from endpoints.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::hosts::Fleet;
use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::world::{CLIENT_DELAY, FlowKey, World, random};

/// When copies of a SYN are sent.
const SYN_COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPENING_TIMEOUT: Duration = Duration::from_millis(1_400);
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const MAX_RETRANSMISSION: Duration = Duration::from_millis(1_600);

pub struct Requester {
    pub ip: Ipv4Addr,
    socket: UdpSocket,
    flows: Arc<Mutex<HashMap<u16, Sender<Packet>>>>,
    /// When the last SYN or copy was sent from a port, in milliseconds.
    openings: Mutex<HashMap<u16, f64>>,
    world: Arc<World>,
    fleet: Arc<Fleet>,
}

/// How an attempt to open a flow, or a request, has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    Success(String),
    /// A reset; `true` if it is the system's own (sum 0).
    Reset(bool),
    TimedOut,
}

pub struct Flow {
    pub key: FlowKey,
    requester: Arc<Requester>,
    packets: Receiver<Packet>,
    next_seq: u32,
    expected: u32,
    echo: u32,
    input: Vec<u8>,
    pub reset: Option<bool>,
}

impl Requester {
    pub fn start(world: &Arc<World>, fleet: &Arc<Fleet>, ip: Ipv4Addr) -> std::io::Result<Arc<Self>> {
        let socket = UdpSocket::bind((ip, world.packet_port))?;
        let requester = Arc::new(Self {
            ip,
            socket: socket.try_clone()?,
            flows: Arc::default(),
            openings: Mutex::default(),
            world: Arc::clone(world),
            fleet: Arc::clone(fleet),
        });
        let flows = Arc::clone(&requester.flows);
        std::thread::spawn(move || {
            let mut buffer = [0; 2_048];
            while let Ok((length, _)) = socket.recv_from(&mut buffer) {
                let Some(packet) = Packet::decode(&buffer[..length]) else { continue };
                if let Some(sender) = flows.lock().unwrap().get(&packet.dst.port()) {
                    let _ = sender.send(packet);
                }
            }
        });
        Ok(requester)
    }

    pub fn key(&self, port: u16, route: SocketAddrV4) -> FlowKey {
        (SocketAddrV4::new(self.ip, port), route)
    }

    /// The host to which the router forwards the packets of a flow.
    pub fn host_of(&self, port: u16, route: SocketAddrV4) -> Option<Ipv4Addr> {
        self.fleet.route(&self.key(port, route))
    }

    /// When the last SYN or copy was sent from a port.
    pub fn last_opening(&self, port: u16) -> Option<f64> {
        self.openings.lock().unwrap().get(&port).copied()
    }

    /// Opens a flow from a port to a route.
    pub fn open(
        self: &Arc<Self>,
        port: u16,
        route: SocketAddrV4,
    ) -> std::result::Result<Flow, Outcome> {
        let (sender, packets) = channel();
        self.flows.lock().unwrap().insert(port, sender);
        let first_seq = random() as u32;
        let mut flow = Flow {
            key: self.key(port, route),
            requester: Arc::clone(self),
            packets,
            next_seq: first_seq,
            expected: 0,
            echo: 0,
            input: Vec::new(),
            reset: None,
        };
        let start = Instant::now();
        let mut copies = 0;
        flow.send(SYN, 0, &[]);
        loop {
            let next = SYN_COPIES.get(copies).copied().unwrap_or(OPENING_TIMEOUT);
            let left = (start + next).saturating_duration_since(Instant::now());
            match flow.packets.recv_timeout(left) {
                Ok(packet) if packet.has(RST) => {
                    flow.log(&format!("opening reset, sum {:x}", packet.sum));
                    return Err(Outcome::Reset(packet.sum == 0));
                }
                Ok(packet) if packet.has(SYN) && packet.ack == first_seq.wrapping_add(1) => {
                    flow.echo = packet.echo;
                    flow.next_seq = first_seq.wrapping_add(1);
                    flow.expected = packet.seq.wrapping_add(1);
                    flow.log("SYN+ACK accepted");
                    flow.send(ACK, flow.expected, &[]);
                    return Ok(flow);
                }
                Ok(_) => {}
                Err(_) if copies < SYN_COPIES.len() => {
                    copies += 1;
                    flow.send(SYN, copies as u32, &[]);
                }
                Err(_) => {
                    flow.log("opening not answered");
                    return Err(Outcome::TimedOut);
                }
            }
        }
    }
}

impl Flow {
    pub fn log(&self, text: &str) {
        self.requester.world.record.line(&format!("requester flow {}: {text}", self.key.0));
    }

    /// Sends a packet through the router, which hashes the four addresses over the hosts in
    /// rotation.
    fn send(&self, flags: u8, ack: u32, data: &[u8]) {
        let mut packet = Packet::new(self.key.0, self.key.1, flags);
        packet.seq = self.next_seq;
        packet.ack = ack;
        packet.echo = self.echo;
        packet.data = data.to_vec();
        if flags == SYN {
            let mut openings = self.requester.openings.lock().unwrap();
            openings.insert(self.key.0.port(), self.requester.world.record.ms());
        }
        let Some(host) = self.requester.fleet.route(&self.key) else {
            return self.log("no host in rotation");
        };
        if flags != ACK || !data.is_empty() {
            self.log(&format!(
                "sends flags {flags} ack {ack:08x} echo {:08x} len {} through {host}",
                self.echo,
                data.len()
            ));
        }
        let to = SocketAddrV4::new(host, self.requester.world.packet_port);
        let (socket, bytes) = (self.requester.socket.try_clone().unwrap(), packet.encode());
        self.requester.world.timer.after(CLIENT_DELAY, move || {
            let _ = socket.send_to(&bytes, to);
        });
    }

    /// Handles a received packet; returns whether it brought new data.
    fn handle(&mut self, packet: &Packet) -> bool {
        if packet.has(RST) {
            self.log(&format!("GOT A RESET, sum {:x}", packet.sum));
            self.reset = Some(packet.sum == 0);
            return false;
        }
        if packet.echo != self.echo {
            self.log(&format!("echo is now {:08x}, flags {}", packet.echo, packet.flags));
        }
        // "the last `echo` that they received on a flow"
        self.echo = packet.echo;
        if packet.has(SYN) || packet.data.is_empty() {
            return false;
        }
        let is_new = packet.seq == self.expected;
        if is_new {
            self.expected = self.expected.wrapping_add(packet.data.len() as u32);
            self.input.extend_from_slice(&packet.data);
        }
        self.send(ACK, self.expected, &[]);
        is_new
    }

    /// Sends a request and waits for its answer.
    pub fn request(&mut self, id: &str, budget: Duration) -> Outcome {
        let text = format!("GET /feed HTTP/1.1\r\nHost: desk\r\nX-Request-Id: {id}\r\n\r\n");
        let data = text.into_bytes();
        self.input.clear();
        let start = Instant::now();
        let mut interval = FIRST_RETRANSMISSION;
        let mut next_at = start + interval;
        self.log(&format!("REQUEST {id}"));
        self.send(ACK, self.expected, &data);
        loop {
            if let Some(is_own) = self.reset {
                return Outcome::Reset(is_own);
            }
            let now = Instant::now();
            if now >= start + budget {
                self.log(&format!("request {id} not answered"));
                return Outcome::TimedOut;
            }
            let wait = next_at.min(start + budget).saturating_duration_since(now);
            match self.packets.recv_timeout(wait) {
                Ok(packet) => {
                    self.handle(&packet);
                    let answer = String::from_utf8_lossy(&self.input).into_owned();
                    if answer.contains("\r\n\r\n") {
                        self.next_seq = self.next_seq.wrapping_add(data.len() as u32);
                        let status = answer.lines().next().unwrap_or("").to_owned();
                        let body = answer.split("\r\n\r\n").nth(1).unwrap_or("").to_owned();
                        self.log(&format!("ANSWER to {id}: {status}, {body}"));
                        return Outcome::Success(body);
                    }
                }
                Err(_) if Instant::now() >= next_at => {
                    self.send(ACK, self.expected, &data);
                    interval = (interval * 2).min(MAX_RETRANSMISSION);
                    next_at = Instant::now() + interval;
                }
                Err(_) => {}
            }
        }
    }

    /// Receives for a while without a request.
    pub fn pause(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while self.reset.is_none() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            if let Ok(packet) = self.packets.recv_timeout(left) {
                self.handle(&packet);
            }
        }
    }

    pub fn close(self) {
        self.send(FIN | ACK, self.expected, &[]);
    }
}
