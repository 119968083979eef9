//! A TCP endpoint whose packets travel encapsulated.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::time::Instant;

use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::socket::tcp;
use smoltcp::time::{Duration as TcpDuration, Instant as TcpInstant};
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr};

/// Largest packet; it leaves room for the encapsulation and the headers between hosts.
const MTU: usize = 1_400;

/// Bytes of each direction's buffer of a connection; feeds are slow, so small ones do.
const BUFFER_BYTES: usize = 4_096;

/// `PacketQueue` is a network device that keeps packets in memory.
#[derive(Debug, Default)]
struct PacketQueue {
    received: VecDeque<Vec<u8>>,
    sent: VecDeque<Vec<u8>>,
}

/// `ReceivedPacket` hands one packet to the stack.
struct ReceivedPacket(Vec<u8>);

impl RxToken for ReceivedPacket {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, take: F) -> R {
        take(&self.0)
    }
}

/// `SendingPacket` takes one packet from the stack.
struct SendingPacket<'a>(&'a mut VecDeque<Vec<u8>>);

impl TxToken for SendingPacket<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, length: usize, fill: F) -> R {
        let mut packet = vec![0; length];
        let result = fill(&mut packet);
        self.0.push_back(packet);
        result
    }
}

impl Device for PacketQueue {
    type RxToken<'a> = ReceivedPacket;
    type TxToken<'a> = SendingPacket<'a>;

    fn receive(&mut self, _at: TcpInstant) -> Option<(ReceivedPacket, SendingPacket<'_>)> {
        let packet = self.received.pop_front()?;
        Some((ReceivedPacket(packet), SendingPacket(&mut self.sent)))
    }

    fn transmit(&mut self, _at: TcpInstant) -> Option<SendingPacket<'_>> {
        Some(SendingPacket(&mut self.sent))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU;
        capabilities
    }
}

/// `TcpEndpoint` is a TCP stack with one address and no socket of the operating system.
pub struct TcpEndpoint {
    started: Instant,
    queue: PacketQueue,
    interface: Interface,
    sockets: SocketSet<'static>,
}

impl std::fmt::Debug for TcpEndpoint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TcpEndpoint").field("address", &self.interface.ipv4_addr()).finish()
    }
}

impl TcpEndpoint {
    /// Creates the stack of `address`; `seed` varies its initial sequence numbers.
    ///
    /// # Panics
    ///
    /// Never panics: one address and one route always fit.
    #[must_use]
    pub fn new(address: Ipv4Addr, seed: u64) -> Self {
        let mut queue = PacketQueue::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut interface = Interface::new(config, &mut queue, TcpInstant::ZERO);
        interface.update_ip_addrs(|addresses| {
            let own = IpCidr::new(IpAddress::Ipv4(address), 32);
            addresses.push(own).expect("there is room for one address");
        });
        let routed = interface.routes_mut().add_default_ipv4_route(address);
        routed.expect("there is room for one route");
        Self { started: Instant::now(), queue, interface, sockets: SocketSet::new(Vec::new()) }
    }

    /// Takes in a packet; it is looked at by the next [`TcpEndpoint::poll`].
    pub fn receive(&mut self, packet: Vec<u8>) {
        self.queue.received.push_back(packet);
    }

    /// Lets the stack work and returns the packets that it sends.
    pub fn poll(&mut self) -> VecDeque<Vec<u8>> {
        let now = TcpInstant::from_micros(self.started.elapsed().as_micros() as i64);
        let _changed = self.interface.poll(now, &mut self.queue, &mut self.sockets);
        std::mem::take(&mut self.queue.sent)
    }

    /// Adds a connection that waits for a caller on `port`.
    ///
    /// # Panics
    ///
    /// Panics if the port is 0.
    pub fn listen(&mut self, port: u16) -> SocketHandle {
        let mut socket = new_socket();
        socket.listen(port).expect("a new socket listens on any port but 0");
        self.sockets.add(socket)
    }

    /// Opens a connection.
    ///
    /// # Panics
    ///
    /// Panics if an address or port is unspecified.
    pub fn connect(&mut self, to: std::net::SocketAddrV4, from_port: u16) -> SocketHandle {
        let mut socket = new_socket();
        let remote = (IpAddress::Ipv4(*to.ip()), to.port());
        let connected = socket.connect(self.interface.context(), remote, from_port);
        connected.expect("a new socket connects to any specified address");
        self.sockets.add(socket)
    }

    /// Returns a connection.
    pub fn socket(&mut self, handle: SocketHandle) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(handle)
    }

    /// Removes a connection.
    pub fn remove(&mut self, handle: SocketHandle) {
        self.sockets.remove(handle);
    }
}

fn new_socket() -> tcp::Socket<'static> {
    let buffer = || tcp::SocketBuffer::new(vec![0; BUFFER_BYTES]);
    let mut socket = tcp::Socket::new(buffer(), buffer());
    socket.set_nagle_enabled(false);
    socket.set_ack_delay(Some(TcpDuration::from_millis(10)));
    socket
}
