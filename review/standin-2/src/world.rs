//! What all stand-ins of a run share: addresses, delays, a timer, and what endpoints have done.

use std::collections::{BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::packet::Packet;
use crate::record::Record;

/// One way between requesters and machines.
pub const CLIENT_DELAY: Duration = Duration::from_micros(1_000);
const IN_ZONE_DELAY: Duration = Duration::from_micros(100);
const CROSS_ZONE_DELAY: Duration = Duration::from_micros(900);

/// The four addresses and ports of a flow: requester, route.
pub type FlowKey = (SocketAddrV4, SocketAddrV4);

/// Says whether the link loses a packet that an endpoint sends to a requester.
pub type LossRule = Box<dyn Fn(&str, &Packet) -> bool + Send + Sync>;

type Job = Box<dyn FnOnce() + Send>;

struct Due {
    at: Instant,
    number: u64,
    job: Job,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

#[derive(Default)]
struct TimerState {
    due: BinaryHeap<Due>,
    number: u64,
}

pub struct Timer {
    state: Mutex<TimerState>,
    changed: Condvar,
}

impl Timer {
    fn start() -> Arc<Self> {
        let timer =
            Arc::new(Self { state: Mutex::new(TimerState::default()), changed: Condvar::new() });
        let runner = Arc::clone(&timer);
        std::thread::spawn(move || runner.run());
        timer
    }

    pub fn after(&self, delay: Duration, job: impl FnOnce() + Send + 'static) {
        let mut state = self.state.lock().unwrap();
        state.number += 1;
        let number = state.number;
        state.due.push(Due { at: Instant::now() + delay, number, job: Box::new(job) });
        self.changed.notify_one();
    }

    fn run(&self) {
        let mut state = self.state.lock().unwrap();
        loop {
            let now = Instant::now();
            let wait = match state.due.peek() {
                Some(due) if due.at <= now => {
                    let due = state.due.pop().unwrap();
                    drop(state);
                    (due.job)();
                    state = self.state.lock().unwrap();
                    continue;
                }
                Some(due) => due.at - now,
                None => Duration::from_secs(1),
            };
            state = self.changed.wait_timeout(state, wait).unwrap().0;
        }
    }
}

/// What endpoints have seen and done, by flow.
#[derive(Default)]
pub struct Seen {
    /// The endpoint that has the end of the handshake, and since when, in milliseconds.
    pub holders: HashMap<FlowKey, (String, f64)>,
    /// Endpoints that have sent a reset on a flow.
    pub resets: HashMap<FlowKey, Vec<(String, f64)>>,
    /// When the link from an endpoint to requesters last lost a packet.
    pub losses: HashMap<String, f64>,
    /// The endpoints that began to work on a request, by its id.
    pub runs: HashMap<String, Vec<String>>,
    /// The service of each endpoint.
    pub services: HashMap<String, String>,
}

pub struct World {
    pub record: Record,
    pub timer: Arc<Timer>,
    /// Port on which hosts and requesters receive packets.
    pub packet_port: u16,
    /// Zones of machines by address.
    pub zones: Mutex<HashMap<Ipv4Addr, String>>,
    pub seen: Mutex<Seen>,
    pub loss: LossRule,
}

impl World {
    pub fn new(record: Record, packet_port: u16, loss: LossRule) -> Arc<Self> {
        Arc::new(Self {
            record,
            timer: Timer::start(),
            packet_port,
            zones: Mutex::default(),
            seen: Mutex::default(),
            loss,
        })
    }

    pub fn zone_of(&self, address: Ipv4Addr) -> String {
        self.zones.lock().unwrap().get(&address).cloned().unwrap_or_default()
    }

    pub fn delay_between(&self, one: &str, other: &str) -> Duration {
        if one == other { IN_ZONE_DELAY } else { CROSS_ZONE_DELAY }
    }
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A number that differs from call to call.
pub fn random() -> u64 {
    use std::collections::hash_map::RandomState;
    use std::hash::{BuildHasher, Hasher};
    RandomState::new().build_hasher().finish()
}
