//! Requesters, as PROTOCOL.md gives them. One runner plays all requesters of an address.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use crate::endpoint::{Links, short};
use crate::hosts::{Host, choose};
use crate::record::Record;
use crate::wire::{ACK, FIN, FlowKey, Packet, RST, SYN};

const OPENING_COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPENING_TIMEOUT: Duration = Duration::from_millis(1_400);
const FIRST_TIMEOUT: Duration = Duration::from_millis(200);
const LONGEST_TIMEOUT: Duration = Duration::from_millis(1_600);

/// A flow to open, and the times after the start at which it sends its requests.
#[derive(Debug, Clone)]
pub struct FlowPlan {
    pub port: u16,
    pub route: Ipv4Addr,
    pub route_port: u16,
    pub open_at: Duration,
    /// Times of the requests, counted from the opening.
    pub requests: Vec<Duration>,
    pub budget: Duration,
    /// Whether the requester closes the flow after the last answer.
    pub closes: bool,
}

/// What the requester of a flow has seen.
#[derive(Debug, Clone)]
pub enum Seen {
    /// The first transmission of an opening was sent.
    Asked {
        key: FlowKey,
        at: Instant,
    },
    /// The flow is open, by the requester's view.
    Opened {
        key: FlowKey,
        endpoint: SocketAddr,
        at: Instant,
    },
    /// The attempt ended before the flow opened.
    NotOpened {
        key: FlowKey,
        by_reset: bool,
    },
    Answer {
        key: FlowKey,
        number: usize,
        text: String,
        at: Instant,
    },
    GaveUp {
        key: FlowKey,
        number: usize,
        at: Instant,
    },
    Reset {
        key: FlowKey,
        from: SocketAddr,
        host: String,
        was_open: bool,
        at: Instant,
    },
    NotGenuine {
        key: FlowKey,
        from: SocketAddr,
    },
}

#[derive(Debug)]
struct Flow {
    key: FlowKey,
    plan: FlowPlan,
    opened_at: Instant,
    copies: usize,
    isn: u32,
    next: u32,
    expected: u32,
    echo: u32,
    open: bool,
    ended: bool,
    request: usize,
    /// Packet that awaits its answer, when it is sent again, how often it was, and when it began.
    waiting: Option<(Packet, Instant, u32, Instant)>,
    /// Host that took the last packet.
    last_host: String,
}

/// Plays the flows of one requester address until `stop`.
pub fn start(
    address: Ipv4Addr,
    packet_port: u16,
    zone: &str,
    hosts: Vec<Arc<Host>>,
    plans: Vec<FlowPlan>,
    links: Arc<Links>,
    record: Record,
    stop: Arc<AtomicBool>,
) -> std::io::Result<Receiver<Seen>> {
    let socket = UdpSocket::bind((address, packet_port))?;
    socket.set_read_timeout(Some(Duration::from_millis(2)))?;
    let (sender, receiver) = channel();
    let zone = zone.to_owned();
    std::thread::spawn(move || {
        let mut runner = Runner {
            address,
            socket,
            zone,
            hosts,
            links,
            record,
            sender,
            flows: HashMap::new(),
            openings: 0,
        };
        runner.run(plans, &stop);
    });
    Ok(receiver)
}

struct Runner {
    address: Ipv4Addr,
    socket: UdpSocket,
    zone: String,
    hosts: Vec<Arc<Host>>,
    links: Arc<Links>,
    record: Record,
    sender: Sender<Seen>,
    flows: HashMap<FlowKey, Flow>,
    openings: u32,
}

impl Runner {
    fn run(&mut self, mut plans: Vec<FlowPlan>, stop: &AtomicBool) {
        let started_at = Instant::now();
        let mut buffer = [0; 2_048];
        while !stop.load(Ordering::Relaxed) {
            let elapsed = started_at.elapsed();
            let (due, later) = plans.into_iter().partition(|plan| plan.open_at <= elapsed);
            plans = later;
            for plan in Vec::<FlowPlan>::from(due) {
                self.open(plan);
            }
            if let Ok((length, from)) = self.socket.recv_from(&mut buffer)
                && let Some(packet) = Packet::decode(&buffer[..length])
            {
                self.take(&packet, from);
            }
            self.work();
        }
    }

    fn open(&mut self, plan: FlowPlan) {
        let key = FlowKey {
            requester: self.address,
            port: plan.port,
            route: plan.route,
            route_port: plan.route_port,
        };
        self.openings += 1;
        let isn = self.openings.wrapping_mul(0x85eb_ca6b) ^ 0x1234_5678;
        let flow = Flow {
            key,
            plan,
            opened_at: Instant::now(),
            copies: 0,
            isn,
            next: isn.wrapping_add(1),
            expected: 0,
            echo: 0,
            open: false,
            ended: false,
            request: 0,
            waiting: None,
            last_host: String::new(),
        };
        let packet = Packet::from_requester(key, SYN, isn, 0, 0);
        let _closed = self.sender.send(Seen::Asked { key, at: flow.opened_at });
        self.flows.insert(key, flow);
        self.send(&packet);
    }

    fn take(&mut self, packet: &Packet, from: SocketAddr) {
        let key = packet.key_to_requester();
        let Some(flow) = self.flows.get_mut(&key).filter(|flow| !flow.ended) else { return };
        let is_own_reset = packet.flags == RST && packet.sum == 0 && packet.data.is_empty();
        if !packet.genuine && !is_own_reset {
            let _closed = self.sender.send(Seen::NotGenuine { key, from });
            return;
        }
        if packet.flags & RST != 0 {
            flow.ended = true;
            let (host, was_open) = (flow.last_host.clone(), flow.open);
            self.record.line(&format!(
                "requester {} gets a reset from {from}, open {was_open}, own host {host}",
                short(key)
            ));
            let seen = match was_open {
                true => Seen::Reset { key, from, host, was_open, at: Instant::now() },
                false => Seen::NotOpened { key, by_reset: true },
            };
            let _closed = self.sender.send(seen);
            return;
        }
        // Both ends place the last echo that they received into their packets.
        if flow.echo != packet.echo {
            self.record.line(&format!(
                "requester {} gets echo {:08x} from {from}, flags {}, instead of {:08x}",
                short(key),
                packet.echo,
                packet.flags,
                flow.echo
            ));
        }
        flow.echo = packet.echo;
        if packet.flags & SYN != 0 {
            if flow.open {
                return;
            }
            flow.open = true;
            flow.expected = packet.seq.wrapping_add(1);
            let accepted = Packet::from_requester(key, ACK, flow.next, flow.expected, flow.echo);
            self.record.line(&format!("requester {} accepts {from}", short(key)));
            let at = Instant::now();
            let _closed = self.sender.send(Seen::Opened { key, endpoint: from, at });
            return self.send(&accepted);
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            flow.waiting = None;
            flow.request += 1;
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            self.record.line(&format!("requester {} is answered {text}", short(key)));
            let (number, at) = (flow.request - 1, Instant::now());
            let _closed = self.sender.send(Seen::Answer { key, number, text, at });
        }
        let closes = flow.plan.closes && flow.request >= flow.plan.requests.len();
        let flags = if closes { ACK | FIN } else { ACK };
        flow.ended |= closes;
        let answer = Packet::from_requester(key, flags, flow.next, flow.expected, flow.echo);
        self.send(&answer);
    }

    fn work(&mut self) {
        let now = Instant::now();
        let mut packets = Vec::new();
        for flow in self.flows.values_mut().filter(|flow| !flow.ended) {
            let age = now - flow.opened_at;
            if !flow.open {
                if age >= OPENING_TIMEOUT {
                    flow.ended = true;
                    let seen = Seen::NotOpened { key: flow.key, by_reset: false };
                    let _closed = self.sender.send(seen);
                } else if flow.copies < 2 && age >= OPENING_COPIES[flow.copies] {
                    flow.copies += 1;
                    let copies = flow.copies as u32;
                    packets.push(Packet::from_requester(flow.key, SYN, flow.isn, copies, 0));
                }
                continue;
            }
            if let Some((packet, due, count, began)) = &mut flow.waiting {
                if now - *began >= flow.plan.budget {
                    flow.ended = true;
                    let (key, number) = (flow.key, flow.request);
                    self.record.line(&format!("requester {} gives up {number}", short(key)));
                    let _closed = self.sender.send(Seen::GaveUp { key, number, at: now });
                } else if now >= *due {
                    *count += 1;
                    *due = now + (FIRST_TIMEOUT * 2_u32.pow(*count)).min(LONGEST_TIMEOUT);
                    packet.echo = flow.echo;
                    packet.ack = flow.expected;
                    packets.push(packet.clone());
                }
                continue;
            }
            let is_due = flow.plan.requests.get(flow.request).is_some_and(|at| age >= *at);
            if is_due {
                let text = format!("{}/{}", short(flow.key), flow.request);
                let packet =
                    Packet::from_requester(flow.key, ACK, flow.next, flow.expected, flow.echo)
                        .with_data(text.as_bytes());
                flow.next = flow.next.wrapping_add(text.len() as u32);
                self.record.line(&format!(
                    "requester {} sends request {} with echo {:08x}",
                    short(flow.key),
                    flow.request,
                    flow.echo
                ));
                flow.waiting = Some((packet.clone(), now + FIRST_TIMEOUT, 0, now));
                packets.push(packet);
            }
        }
        for packet in packets {
            self.send(&packet);
        }
    }

    /// Sends a packet to the host that the routers choose.
    fn send(&mut self, packet: &Packet) {
        let key = packet.key_from_requester();
        let Some(host) = choose(&self.hosts, &self.zone, key) else { return };
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.last_host.clone_from(&host.settings.name);
        }
        let _ = &self.links;
        let to = SocketAddrV4::new(host.settings.ip, host.settings.ports.packet);
        let _unreachable = self.socket.send_to(&packet.encode(), to);
    }
}
