//! An endpoint of a service in the form `echo`.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::store::Store;
use crate::world::{CLIENT_DELAY, FlowKey, World, random, unix_millis};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const MAX_RETRANSMISSION: Duration = Duration::from_millis(1_600);
const MAX_RETRANSMISSIONS: u32 = 8;

struct Flow {
    /// Number of this flow, by which late timers of an earlier one are told apart.
    number: u64,
    /// Own sequence number of the SYN+ACK.
    first_seq: u32,
    next_seq: u32,
    /// What the requester has acknowledged.
    acked: u32,
    expected: u32,
    echo: u32,
    is_open: bool,
    has_ended: bool,
    input: Vec<u8>,
}

pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub tag: u64,
    pub max_flows: AtomicUsize,
    pub serves: AtomicBool,
    work: Duration,
    born: u64,
    heartbeats: AtomicU64,
    flow_numbers: AtomicU64,
    socket: UdpSocket,
    flows: Mutex<HashMap<FlowKey, Flow>>,
    world: Arc<World>,
}

impl Endpoint {
    pub fn start(
        world: &Arc<World>,
        ip: Ipv4Addr,
        service: &str,
        zone: &str,
        max_flows: usize,
        work: Duration,
    ) -> std::io::Result<Arc<Self>> {
        let socket = UdpSocket::bind((ip, 0))?;
        let address = SocketAddrV4::new(ip, socket.local_addr()?.port());
        let tag = random() >> 24;
        let id = format!("i-{tag:010x}");
        let endpoint = Arc::new(Self {
            id: id.clone(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            tag,
            max_flows: AtomicUsize::new(max_flows),
            serves: AtomicBool::new(true),
            work,
            born: unix_millis(),
            heartbeats: AtomicU64::new(0),
            flow_numbers: AtomicU64::new(0),
            socket,
            flows: Mutex::default(),
            world: Arc::clone(world),
        });
        world.seen.lock().unwrap().services.insert(id.clone(), service.to_owned());
        world.record.line(&format!("endpoint {id} of {service} in {zone} at {address}"));
        let receiver = Arc::clone(&endpoint);
        std::thread::spawn(move || receiver.receive());
        Ok(endpoint)
    }

    /// Writes the entry in the store now and at each interval of status reports.
    pub fn register(self: &Arc<Self>, store: &Arc<Store>) {
        let (endpoint, store) = (Arc::clone(self), Arc::clone(store));
        endpoint.report(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                endpoint.report(&store);
            }
        });
    }

    fn report(&self, store: &Store) {
        let sequence = self.heartbeats.fetch_add(1, Ordering::Relaxed) + 1;
        // The entry changes when more than `seqNo` changes.
        if sequence > 1 {
            return;
        }
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"1.0\",\
             \"maxConcurrency\":4,\"state\":\"ready\",\"coldLeftMs\":0,\"seqNo\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        store.put(&format!("servers/{}", self.id), entry.as_bytes());
    }

    fn receive(self: Arc<Self>) {
        let mut buffer = [0; 2_048];
        while let Ok((length, from)) = self.socket.recv_from(&mut buffer) {
            let datagram = &buffer[..length];
            if length < 8 || !self.serves.load(Ordering::Relaxed) {
                continue;
            }
            let tag = u64::from_be_bytes(datagram[..8].try_into().unwrap());
            let Some(packet) = Packet::decode(&datagram[8..]) else { continue };
            if tag != 0 && tag != self.tag {
                self.log(&packet, "ignored, not the intended endpoint");
                continue;
            }
            let std::net::IpAddr::V4(from) = from.ip() else { continue };
            let zone = self.world.zone_of(from);
            let delay = self.world.delay_between(&zone, &self.zone);
            let endpoint = Arc::clone(&self);
            self.world.timer.after(delay, move || endpoint.handle(&packet));
        }
    }

    fn log(&self, packet: &Packet, text: &str) {
        let Packet { src, echo, seq, ack, flags, data, .. } = packet;
        self.world.record.line(&format!(
            "endpoint {} flow {src} flags {flags} seq {seq:08x} ack {ack:08x} echo {echo:08x} \
             len {}: {text}",
            self.id,
            data.len()
        ));
    }

    fn handle(self: &Arc<Self>, packet: &Packet) {
        if packet.sum != packet.expected_sum() {
            self.log(packet, "RULE UNASKED: not as its sender wrote it");
        }
        let key = (packet.src, packet.dst);
        let mut flows = self.flows.lock().unwrap();
        if packet.has(SYN) {
            let known = flows.get(&key).filter(|flow| flow.expected == packet.seq.wrapping_add(1));
            if known.is_some_and(|flow| flow.is_open) {
                return;
            }
            if known.is_none() {
                let held = flows.values().filter(|flow| !flow.has_ended).count();
                if held >= self.max_flows.load(Ordering::Relaxed) {
                    return self.log(packet, "opening ignored, full");
                }
                let first_seq = random() as u32;
                let number = self.flow_numbers.fetch_add(1, Ordering::Relaxed);
                let flow = Flow {
                    number,
                    first_seq,
                    next_seq: first_seq.wrapping_add(1),
                    acked: first_seq,
                    expected: packet.seq.wrapping_add(1),
                    echo: packet.echo,
                    is_open: false,
                    has_ended: false,
                    input: Vec::new(),
                };
                flows.insert(key, flow);
            }
            let flow = &flows[&key];
            self.log(packet, "opening taken");
            let mut answer = self.packet_of(&key, flow, SYN | ACK);
            answer.seq = flow.first_seq;
            return self.send_until_acked(&key, flow, answer, flow.first_seq.wrapping_add(1));
        }
        if packet.has(RST) {
            flows.remove(&key);
            return self.log(packet, "reset by the requester");
        }
        let is_held = flows.get(&key).is_some_and(|flow| {
            flow.is_open || flow.has_ended || packet.ack == flow.first_seq.wrapping_add(1)
        });
        if !is_held {
            flows.remove(&key);
            drop(flows);
            self.log(packet, "RESET SENT, flow is not held here");
            return self.reset(packet);
        }
        let flow = flows.get_mut(&key).unwrap();
        if flow.has_ended {
            if !packet.data.is_empty() {
                return self.reset(packet);
            }
            let answer = self.packet_of(&key, flow, ACK);
            return self.send(&answer);
        }
        flow.echo = packet.echo;
        if !flow.is_open {
            flow.is_open = true;
            self.log(packet, "flow open");
            let mut seen = self.world.seen.lock().unwrap();
            seen.holders.insert(key, (self.id.clone(), self.world.record.ms()));
        }
        if (packet.ack.wrapping_sub(flow.acked) as i32) > 0 {
            flow.acked = packet.ack;
        }
        if !packet.data.is_empty() {
            if packet.seq == flow.expected {
                flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
                flow.input.extend_from_slice(&packet.data);
                self.take_requests(&key, flow);
            } else {
                let answer = self.packet_of(&key, flow, ACK);
                self.send(&answer);
            }
        }
        if packet.has(FIN) && packet.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(1);
            flow.has_ended = true;
            let answer = self.packet_of(&key, flow, FIN | ACK);
            flow.next_seq = flow.next_seq.wrapping_add(1);
            self.log(packet, "flow closed");
            self.send(&answer);
        }
    }

    fn take_requests(self: &Arc<Self>, key: &FlowKey, flow: &mut Flow) {
        let text = String::from_utf8_lossy(&flow.input).into_owned();
        let Some(end) = text.find("\r\n\r\n") else { return };
        flow.input.drain(..end + 4);
        let id = text.lines().find_map(|line| line.strip_prefix("X-Request-Id: "));
        let id = id.unwrap_or("none").to_owned();
        self.world.record.line(&format!("endpoint {} RUNS request {id}", self.id));
        let mut seen = self.world.seen.lock().unwrap();
        seen.runs.entry(id.clone()).or_default().push(self.id.clone());
        drop(seen);
        let (endpoint, key, number) = (Arc::clone(self), *key, flow.number);
        self.world.timer.after(self.work, move || endpoint.answer(&key, number, &id));
    }

    fn answer(self: &Arc<Self>, key: &FlowKey, number: u64, id: &str) {
        let mut flows = self.flows.lock().unwrap();
        let Some(flow) = flows.get_mut(key).filter(|flow| flow.number == number) else { return };
        let body = format!("{} {id}", self.service);
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Server-Seal: {}\r\nX-Request-Id: {id}\r\nContent-Length: {}\r\n\
             \r\n{body}",
            self.id,
            body.len()
        );
        let mut packet = self.packet_of(key, flow, ACK);
        packet.data = text.into_bytes();
        flow.next_seq = flow.next_seq.wrapping_add(packet.data.len() as u32);
        self.send_until_acked(key, flow, packet, flow.next_seq);
    }

    fn packet_of(&self, key: &FlowKey, flow: &Flow, flags: u8) -> Packet {
        let mut packet = Packet::new(key.1, key.0, flags);
        packet.seq = flow.next_seq;
        packet.ack = flow.expected;
        packet.echo = flow.echo;
        packet
    }

    fn reset(&self, packet: &Packet) {
        let mut reset = Packet::new(packet.dst, packet.src, RST);
        reset.seq = packet.ack;
        reset.echo = packet.echo;
        let mut seen = self.world.seen.lock().unwrap();
        let resets = seen.resets.entry((packet.src, packet.dst)).or_default();
        resets.push((self.id.clone(), self.world.record.ms()));
        drop(seen);
        self.send(&reset);
    }

    /// Sends a packet, and repeats it until `end` is acknowledged.
    fn send_until_acked(self: &Arc<Self>, key: &FlowKey, flow: &Flow, packet: Packet, end: u32) {
        self.send(&packet);
        self.repeat(*key, flow.number, packet, end, 1, FIRST_RETRANSMISSION);
    }

    fn repeat(
        self: &Arc<Self>,
        key: FlowKey,
        number: u64,
        mut packet: Packet,
        end: u32,
        count: u32,
        interval: Duration,
    ) {
        let endpoint = Arc::clone(self);
        self.world.timer.after(interval, move || {
            let flows = endpoint.flows.lock().unwrap();
            let Some(flow) = flows.get(&key).filter(|flow| flow.number == number) else { return };
            let is_acked = flow.acked.wrapping_sub(end) as i32 >= 0;
            if is_acked || flow.has_ended || count > MAX_RETRANSMISSIONS {
                return;
            }
            packet.echo = flow.echo;
            drop(flows);
            endpoint.send(&packet);
            let next = (interval * 2).min(MAX_RETRANSMISSION);
            endpoint.repeat(key, number, packet, end, count + 1, next);
        });
    }

    fn send(&self, packet: &Packet) {
        if (self.world.loss)(&self.id, packet) {
            self.log(packet, "LOST on the way to the requester");
            let mut seen = self.world.seen.lock().unwrap();
            seen.losses.insert(self.id.clone(), self.world.record.ms());
            return;
        }
        let zone = self.world.zone_of(*packet.dst.ip());
        let far = match zone == self.zone {
            true => Duration::ZERO,
            false => self.world.delay_between(&zone, &self.zone),
        };
        let (socket, bytes) = (self.socket.try_clone().unwrap(), packet.encode());
        let to = SocketAddrV4::new(*packet.dst.ip(), self.world.packet_port);
        self.world.timer.after(CLIENT_DELAY + far, move || {
            let _ = socket.send_to(&bytes, to);
        });
    }
}
