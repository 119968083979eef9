//! Stand-in for the network fabric: forwards each packet from a caller to a random entry host, and
//! packets from upstreams back to the callers.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use mustardgrade_node::traffic::bind_udp;
use mustardgrade_wire::gue;
use mustardgrade_wire::inner::destination_address;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;

/// Size of the receive buffer; no UDP datagram is larger.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Maximum number of datagrams read per wake-up.
const MAX_BATCH_DATAGRAMS: usize = 64;

/// `FabricHandle` configures a running fabric stand-in and reads its counters.
///
/// The stand-in keeps running when its handles are dropped.
#[derive(Debug, Clone)]
pub struct FabricHandle {
    hosts: Arc<Mutex<Vec<SocketAddrV4>>>,
    packets_sprayed: Arc<AtomicU64>,
    packets_returned: Arc<AtomicU64>,
    packets_dropped: Arc<AtomicU64>,
}

impl FabricHandle {
    /// Sets the addresses of the entry hosts that receive the packets of callers.
    ///
    /// # Panics
    ///
    /// Panics if the fabric's task has panicked.
    pub fn set_hosts(&self, hosts: Vec<SocketAddrV4>) {
        *self.hosts.lock().expect("the fabric's task does not panic") = hosts;
    }

    /// Returns the number of packets forwarded from callers to entry hosts.
    #[must_use]
    pub fn packets_sprayed(&self) -> u64 {
        self.packets_sprayed.load(Ordering::Relaxed)
    }

    /// Returns the number of packets forwarded to callers.
    #[must_use]
    pub fn packets_returned(&self) -> u64 {
        self.packets_returned.load(Ordering::Relaxed)
    }

    /// Returns the number of packets that were malformed, had no target or could not be sent.
    #[must_use]
    pub fn packets_dropped(&self) -> u64 {
        self.packets_dropped.load(Ordering::Relaxed)
    }
}

/// Starts the stand-in on the UDP address `address`.
///
/// A packet whose destination is not a known caller counts as a packet from a caller: the fabric
/// records the UDP address that the packet came from as the caller's, for the packets on the way
/// back.
///
/// # Errors
///
/// Returns an error if `address` cannot be bound.
pub fn start_fabric(address: SocketAddrV4) -> std::io::Result<FabricHandle> {
    let socket = bind_udp(*address.ip(), address.port())?;
    let handle = FabricHandle {
        hosts: Arc::new(Mutex::new(Vec::new())),
        packets_sprayed: Arc::new(AtomicU64::new(0)),
        packets_returned: Arc::new(AtomicU64::new(0)),
        packets_dropped: Arc::new(AtomicU64::new(0)),
    };
    let task = FabricTask { handle: handle.clone(), socket, caller_sockets: HashMap::new() };
    tokio::spawn(task.run());
    Ok(handle)
}

/// `FabricTask` receives packets and forwards them until its socket fails.
struct FabricTask {
    handle: FabricHandle,
    socket: UdpSocket,
    caller_sockets: HashMap<Ipv4Addr, SocketAddr>,
}

impl FabricTask {
    async fn run(mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            if self.socket.readable().await.is_err() {
                return;
            }
            for _ in 0..MAX_BATCH_DATAGRAMS {
                let Ok((length, sender)) = self.socket.try_recv_from(&mut buffer) else { break };
                self.forward(&buffer[..length], sender);
            }
        }
    }

    fn forward(&mut self, datagram: &[u8], sender: SocketAddr) {
        let packet = gue::decapsulate(datagram).ok();
        let destination = packet.and_then(|packet| destination_address(packet).ok());
        let (Some(packet), Some(destination)) = (packet, destination) else {
            self.handle.packets_dropped.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let (target, counter) = match self.caller_sockets.get(&destination) {
            Some(caller) => (Some(*caller), &self.handle.packets_returned),
            None => {
                // Bytes 12 to 15 of an IPv4 header hold the source address (RFC 791, section 3.1).
                let source = Ipv4Addr::new(packet[12], packet[13], packet[14], packet[15]);
                self.caller_sockets.insert(source, sender);
                (self.choose_host(), &self.handle.packets_sprayed)
            }
        };
        let sent = target.is_some_and(|target| self.socket.try_send_to(datagram, target).is_ok());
        let counter = if sent { counter } else { &self.handle.packets_dropped };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn choose_host(&self) -> Option<SocketAddr> {
        let hosts = self.handle.hosts.lock().ok()?;
        hosts.choose(&mut rand::rng()).map(|host| SocketAddr::V4(*host))
    }
}
