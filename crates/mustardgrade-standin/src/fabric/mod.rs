//! Stand-in of the fabric: hands every packet to a random entry host, and answers to callers.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use mustardgrade_node::traffic::bind_udp;
use mustardgrade_wire::gue;
use mustardgrade_wire::inner::destination_address;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;

/// Largest datagram.
const MAX_DATAGRAM: usize = 65_536;

/// Datagrams that are read at a time.
const BATCH: usize = 64;

/// `FabricStandin` is a handle on a running fabric stand-in.
#[derive(Debug, Clone)]
pub struct FabricStandin {
    hosts: Arc<Mutex<Vec<SocketAddrV4>>>,
    sprayed: Arc<AtomicU64>,
    returned: Arc<AtomicU64>,
    lost: Arc<AtomicU64>,
}

impl FabricStandin {
    /// Sets the entry hosts that packets are handed to.
    ///
    /// # Panics
    ///
    /// Panics if the fabric's task has panicked.
    pub fn set_hosts(&self, hosts: Vec<SocketAddrV4>) {
        *self.hosts.lock().expect("the fabric's task does not panic") = hosts;
    }

    /// Returns the packets handed to entry hosts.
    #[must_use]
    pub fn sprayed(&self) -> u64 {
        self.sprayed.load(Ordering::Relaxed)
    }

    /// Returns the packets carried back to callers.
    #[must_use]
    pub fn returned(&self) -> u64 {
        self.returned.load(Ordering::Relaxed)
    }

    /// Returns the packets that went nowhere.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }
}

/// Starts the stand-in on `address`.
///
/// The fabric learns a caller's socket from the packets that the caller sends.
///
/// # Errors
///
/// Fails if the port cannot be bound.
pub fn start_fabric(address: SocketAddrV4) -> std::io::Result<FabricStandin> {
    let socket = bind_udp(*address.ip(), address.port())?;
    let standin = FabricStandin {
        hosts: Arc::new(Mutex::new(Vec::new())),
        sprayed: Arc::new(AtomicU64::new(0)),
        returned: Arc::new(AtomicU64::new(0)),
        lost: Arc::new(AtomicU64::new(0)),
    };
    let task = FabricTask { standin: standin.clone(), socket, callers: HashMap::new() };
    tokio::spawn(task.run());
    Ok(standin)
}

/// `FabricTask` carries packets.
struct FabricTask {
    standin: FabricStandin,
    socket: UdpSocket,
    callers: HashMap<Ipv4Addr, SocketAddr>,
}

impl FabricTask {
    async fn run(mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            if self.socket.readable().await.is_err() {
                return;
            }
            for _ in 0..BATCH {
                let Ok((length, from)) = self.socket.try_recv_from(&mut buffer) else { break };
                self.carry(&buffer[..length], from);
            }
        }
    }

    fn carry(&mut self, datagram: &[u8], from: SocketAddr) {
        let packet = gue::decapsulate(datagram).ok();
        let destination = packet.and_then(|packet| destination_address(packet).ok());
        let (Some(packet), Some(destination)) = (packet, destination) else {
            self.standin.lost.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let (to, counter) = match self.callers.get(&destination) {
            Some(caller) => (Some(*caller), &self.standin.returned),
            None => {
                // Bytes 12 to 15 of an IPv4 header hold the source (RFC 791, section 3.1).
                let source = Ipv4Addr::new(packet[12], packet[13], packet[14], packet[15]);
                self.callers.insert(source, from);
                (self.random_host(), &self.standin.sprayed)
            }
        };
        let sent = to.is_some_and(|to| self.socket.try_send_to(datagram, to).is_ok());
        let counter = if sent { counter } else { &self.standin.lost };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn random_host(&self) -> Option<SocketAddr> {
        let hosts = self.standin.hosts.lock().ok()?;
        hosts.choose(&mut rand::rng()).map(|host| SocketAddr::V4(*host))
    }
}
