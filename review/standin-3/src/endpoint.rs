//! Endpoints, as PROTOCOL.md gives them: they hold flows and answer requests.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::wire::{ACK, FIN, FlowKey, Packet, RST, SYN};

/// Retransmissions after which an endpoint gives up.
const MAX_RETRANSMISSIONS: u32 = 8;
const FIRST_TIMEOUT: Duration = Duration::from_millis(200);
const LONGEST_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Which datagrams the links lose: one in `every`, while `on`.
#[derive(Debug, Default)]
pub struct Links {
    pub on: AtomicBool,
    pub every: AtomicU64,
    passed: AtomicU64,
    lost: AtomicU64,
}

impl Links {
    /// Counts a datagram between two zones; returns whether the link loses it.
    pub fn loses(&self) -> bool {
        let every = self.every.load(Ordering::Relaxed);
        if !self.on.load(Ordering::Relaxed) || every == 0 {
            return false;
        }
        let number = self.passed.fetch_add(1, Ordering::Relaxed) + 1;
        // A fixed mix of the number, so that losses do not follow the pattern of the traffic.
        let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        let is_lost = mixed % every == 0;
        if is_lost {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        is_lost
    }

    pub fn counts(&self) -> (u64, u64) {
        (self.passed.load(Ordering::Relaxed), self.lost.load(Ordering::Relaxed))
    }
}

#[derive(Debug, Clone)]
pub struct EndpointSettings {
    pub id: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub work: Duration,
    /// Port at which requesters take packets.
    pub requester_port: u16,
}

/// What an endpoint knows of its flows, for the judge.
#[derive(Debug, Default)]
pub struct Held {
    /// When each open flow had the end of its handshake.
    pub open: HashMap<FlowKey, Instant>,
    /// Requests that were run, by flow and text.
    pub runs: HashMap<(FlowKey, Vec<u8>), u32>,
    /// Openings that were taken, each flow once, and whether the endpoint was cold then.
    pub taken: Vec<(FlowKey, Instant, bool)>,
    /// Times at which it fell over, with the requests that it was running.
    pub falls: Vec<(Instant, usize)>,
}

/// What the operator of an endpoint does with it.
#[derive(Debug, Default)]
pub struct Control {
    /// While set, the endpoint is down: it takes nothing and has lost its flows.
    pub down: AtomicBool,
    /// Until when it is cold.
    pub cold_until: Mutex<Option<Instant>>,
    /// Openings in one second beyond which the endpoint falls over while it is cold.
    pub bears: Mutex<Option<f64>>,
}

impl Control {
    fn is_cold(&self) -> bool {
        self.cold_until.lock().unwrap().is_some_and(|until| Instant::now() < until)
    }
}

#[derive(Debug)]
struct Flow {
    /// Own next sequence number, and the requester's.
    next: u32,
    expected: u32,
    echo: u32,
    open: bool,
    /// Packet that awaits its acknowledgement, its end, when it is sent again, and how often it was.
    unacked: Option<(Packet, u32, Instant, u32)>,
    ready: Vec<(Instant, Vec<u8>)>,
}

pub struct Endpoint {
    pub settings: EndpointSettings,
    pub held: Arc<Mutex<Held>>,
    pub control: Arc<Control>,
}

/// Starts an endpoint; it runs until `stop`.
pub fn start(
    settings: EndpointSettings,
    links: Arc<Links>,
    record: Record,
    stop: Arc<AtomicBool>,
) -> std::io::Result<Endpoint> {
    let socket = UdpSocket::bind(settings.address)?;
    socket.set_read_timeout(Some(Duration::from_millis(5)))?;
    let held: Arc<Mutex<Held>> = Arc::default();
    let control: Arc<Control> = Arc::default();
    let endpoint = Endpoint {
        settings: settings.clone(),
        held: Arc::clone(&held),
        control: Arc::clone(&control),
    };
    let tag = tag_of(&settings.id);
    let mut runner = Runner {
        settings,
        socket,
        links,
        record,
        held,
        control,
        flows: HashMap::new(),
        iss: tag as u32,
        fallen_until: None,
    };
    std::thread::spawn(move || {
        let mut buffer = [0; 2_048];
        while !stop.load(Ordering::Relaxed) {
            let is_fallen = runner.fallen_until.is_some_and(|until| Instant::now() < until);
            if is_fallen || runner.control.down.load(Ordering::Relaxed) {
                runner.flows.clear();
                runner.held.lock().unwrap().open.clear();
                let _lost = runner.socket.recv_from(&mut buffer);
                continue;
            }
            if let Ok((length, from)) = runner.socket.recv_from(&mut buffer) {
                let bytes = &buffer[..length];
                if length < 8 || runner.links.loses() {
                    continue;
                }
                let meant_for = u64::from_be_bytes(bytes[..8].try_into().unwrap());
                match Packet::decode(&bytes[8..]) {
                    Some(packet) if meant_for == 0 || meant_for == tag => {
                        runner.take(&packet, from);
                    }
                    _ => {}
                }
            }
            runner.work();
        }
    });
    Ok(endpoint)
}

/// The number that the hex digits of an id form.
pub fn tag_of(id: &str) -> u64 {
    let digits: String = id.chars().filter(char::is_ascii_hexdigit).collect();
    u64::from_str_radix(&digits, 16).unwrap()
}

struct Runner {
    settings: EndpointSettings,
    socket: UdpSocket,
    links: Arc<Links>,
    record: Record,
    held: Arc<Mutex<Held>>,
    control: Arc<Control>,
    flows: HashMap<FlowKey, Flow>,
    iss: u32,
    fallen_until: Option<Instant>,
}

impl Runner {
    fn take(&mut self, packet: &Packet, from: SocketAddr) {
        let key = packet.key_from_requester();
        if !packet.genuine || packet.flags & (SYN | ACK) == SYN | ACK {
            self.record.line(&format!(
                "endpoint {} got a packet that its sender did not write so: {packet:?} from {from}",
                self.settings.id
            ));
            return;
        }
        if packet.flags & SYN != 0 {
            return self.take_opening(key, packet);
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            return self.refuse(key, packet, from);
        };
        if packet.flags & RST != 0 {
            self.flows.remove(&key);
            self.held.lock().unwrap().open.remove(&key);
            return;
        }
        if !flow.open {
            if packet.ack != flow.next {
                return self.refuse(key, packet, from);
            }
            flow.open = true;
            self.held.lock().unwrap().open.insert(key, Instant::now());
            self.record.line(&format!(
                "endpoint {} flow {} is open, ack {:08x}",
                self.settings.id,
                short(key),
                packet.ack
            ));
        }
        flow.echo = packet.echo;
        if flow.unacked.as_ref().is_some_and(|(_, end, ..)| packet.ack == *end) {
            flow.unacked = None;
        }
        if !packet.data.is_empty() {
            if packet.seq == flow.expected {
                flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
                // A cold endpoint is 1.6 times as slow.
                let work = if self.control.is_cold() {
                    self.settings.work * 8 / 5
                } else {
                    self.settings.work
                };
                flow.ready.push((Instant::now() + work, packet.data.clone()));
                let mut held = self.held.lock().unwrap();
                *held.runs.entry((key, packet.data.clone())).or_default() += 1;
                drop(held);
                self.record.line(&format!(
                    "endpoint {} flow {} runs {}",
                    self.settings.id,
                    short(key),
                    String::from_utf8_lossy(&packet.data)
                ));
            }
            let answer = Packet::from_endpoint(key, ACK, flow.next, flow.expected, flow.echo);
            self.send(&answer);
        }
        if packet.flags & FIN != 0 {
            let Some(flow) = self.flows.remove(&key) else { return };
            self.held.lock().unwrap().open.remove(&key);
            let end = packet.seq.wrapping_add(packet.data.len() as u32 + 1);
            self.send(&Packet::from_endpoint(key, ACK | FIN, flow.next, end, flow.echo));
        }
    }

    fn take_opening(&mut self, key: FlowKey, packet: &Packet) {
        let iss = self.iss.wrapping_mul(0x9e37_79b1) ^ 0x0dd0_0000;
        let expected = packet.seq.wrapping_add(1);
        if self.flows.get(&key).is_none_or(|flow| !flow.open && flow.expected != expected) {
            self.iss += 1;
            let flow = Flow {
                next: iss.wrapping_add(1),
                expected,
                echo: packet.echo,
                open: false,
                unacked: None,
                ready: Vec::new(),
            };
            self.flows.insert(key, flow);
            let is_cold = self.control.is_cold();
            self.held.lock().unwrap().taken.push((key, Instant::now(), is_cold));
            if is_cold && self.falls_over() {
                return;
            }
        }
        let flow = self.flows.get_mut(&key).unwrap();
        if flow.open {
            return;
        }
        flow.echo = packet.echo;
        let first = flow.next.wrapping_sub(1);
        let answer = Packet::from_endpoint(key, SYN | ACK, first, expected, flow.echo);
        self.record.line(&format!(
            "endpoint {} flow {} answers opening {} with seq {first:08x} echo {:08x}",
            self.settings.id,
            short(key),
            packet.ack,
            flow.echo
        ));
        if flow.unacked.is_none() {
            flow.unacked = Some((answer.clone(), flow.next, Instant::now() + FIRST_TIMEOUT, 0));
        }
        self.send(&answer);
    }

    /// Returns whether the endpoint has got more than it bears; it then loses its flows, and is
    /// down for a second.
    fn falls_over(&mut self) -> bool {
        let Some(bears) = *self.control.bears.lock().unwrap() else { return false };
        let now = Instant::now();
        let mut held = self.held.lock().unwrap();
        let is_recent = |at: &Instant| now - *at < Duration::from_secs(1);
        let recent = held.taken.iter().rev().take_while(|(_, at, _)| is_recent(at)).count();
        if recent as f64 <= bears {
            return false;
        }
        let running = self.flows.values().map(|flow| flow.ready.len()).sum();
        held.falls.push((now, running));
        held.open.clear();
        self.flows.clear();
        self.fallen_until = Some(now + Duration::from_secs(1));
        self.record.line(&format!(
            "endpoint {} got {recent} openings in a second while cold and falls over; it was running {running} requests",
            self.settings.id
        ));
        true
    }

    /// Resets a flow that this endpoint does not hold.
    fn refuse(&mut self, key: FlowKey, packet: &Packet, from: SocketAddr) {
        if packet.flags & RST != 0 {
            return;
        }
        self.record.line(&format!(
            "endpoint {} flow {} is not held here: packet flags {} seq {:08x} ack {:08x} echo {:08x} {} bytes from {from}: reset",
            self.settings.id,
            short(key),
            packet.flags,
            packet.seq,
            packet.ack,
            packet.echo,
            packet.data.len()
        ));
        self.send(&Packet::from_endpoint(key, RST, packet.ack, packet.seq, packet.echo));
    }

    /// Answers the requests that are done, and sends again what is not acknowledged.
    fn work(&mut self) {
        let now = Instant::now();
        let mut packets = Vec::new();
        let mut given_up = Vec::new();
        for (key, flow) in &mut self.flows {
            if flow.unacked.is_none()
                && let Some(at) = flow.ready.iter().position(|(due, _)| now >= *due)
            {
                let (_, request) = flow.ready.remove(at);
                let text = format!("{}|{}", self.settings.id, String::from_utf8_lossy(&request));
                let answer = Packet::from_endpoint(*key, ACK, flow.next, flow.expected, flow.echo)
                    .with_data(text.as_bytes());
                flow.next = flow.next.wrapping_add(text.len() as u32);
                flow.unacked = Some((answer.clone(), flow.next, now + FIRST_TIMEOUT, 0));
                packets.push(answer);
            }
            if let Some((packet, _, due, count)) = &mut flow.unacked
                && now >= *due
            {
                if *count == MAX_RETRANSMISSIONS {
                    given_up.push(*key);
                    continue;
                }
                *count += 1;
                let wait = (FIRST_TIMEOUT * 2_u32.pow(*count)).min(LONGEST_TIMEOUT);
                *due = now + wait;
                packet.echo = flow.echo;
                packets.push(packet.clone());
            }
        }
        for key in given_up {
            self.flows.remove(&key);
            self.held.lock().unwrap().open.remove(&key);
            self.record.line(&format!(
                "endpoint {} gives up flow {}",
                self.settings.id,
                short(key)
            ));
        }
        for packet in packets {
            self.send(&packet);
        }
    }

    fn send(&self, packet: &Packet) {
        if self.links.loses() {
            self.record.line(&format!(
                "link loses a packet of endpoint {} to {}, flags {}",
                self.settings.id,
                short(packet.key_to_requester()),
                packet.flags
            ));
            return;
        }
        let to = SocketAddrV4::new(packet.dst, self.settings.requester_port);
        let _unreachable = self.socket.send_to(&packet.encode(), to);
    }
}

pub fn short(key: FlowKey) -> String {
    format!("{}:{}", key.requester, key.port)
}

/// The entry that an endpoint writes to the store.
pub fn entry(
    service: &str,
    address: SocketAddrV4,
    zone: &str,
    state: &str,
    born: u64,
    seq_no: u64,
    cold_left_ms: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"maxConcurrency\":4,\"state\":\"{state}\",\"coldLeftMs\":{cold_left_ms},\"seqNo\":{seq_no},\"born\":{born}}}"
    )
}

/// Address on the loopback network of a run.
pub fn loopback(network: u8, zone: u8, number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, network, zone, number)
}
