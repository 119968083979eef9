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
const MTU_BYTES: usize = 1_400;

/// Bytes of each direction's buffer of a connection; feeds are slow, so small ones do.
const SOCKET_BUFFER_BYTES: usize = 4_096;

/// `MemoryDevice` is a network device that keeps packets in memory.
#[derive(Debug, Default)]
struct MemoryDevice {
    rx_packets: VecDeque<Vec<u8>>,
    tx_packets: VecDeque<Vec<u8>>,
}

/// `RxPacketToken` hands one packet to the stack.
struct RxPacketToken(Vec<u8>);

impl RxToken for RxPacketToken {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, read: F) -> R {
        read(&self.0)
    }
}

/// `TxQueueToken` takes one packet from the stack.
struct TxQueueToken<'a>(&'a mut VecDeque<Vec<u8>>);

impl TxToken for TxQueueToken<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, length: usize, fill: F) -> R {
        let mut packet = vec![0; length];
        let result = fill(&mut packet);
        self.0.push_back(packet);
        result
    }
}

impl Device for MemoryDevice {
    type RxToken<'a> = RxPacketToken;
    type TxToken<'a> = TxQueueToken<'a>;

    fn receive(&mut self, _timestamp: TcpInstant) -> Option<(RxPacketToken, TxQueueToken<'_>)> {
        let packet = self.rx_packets.pop_front()?;
        Some((RxPacketToken(packet), TxQueueToken(&mut self.tx_packets)))
    }

    fn transmit(&mut self, _timestamp: TcpInstant) -> Option<TxQueueToken<'_>> {
        Some(TxQueueToken(&mut self.tx_packets))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU_BYTES;
        capabilities
    }
}

/// `TcpEndpoint` is a TCP stack with one address and no socket of the operating system.
pub struct TcpEndpoint {
    started_at: Instant,
    device: MemoryDevice,
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
        let mut device = MemoryDevice::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut interface = Interface::new(config, &mut device, TcpInstant::ZERO);
        interface.update_ip_addrs(|addresses| {
            let cidr = IpCidr::new(IpAddress::Ipv4(address), 32);
            addresses.push(cidr).expect("there is room for one address");
        });
        let route_added = interface.routes_mut().add_default_ipv4_route(address);
        route_added.expect("there is room for one route");
        Self { started_at: Instant::now(), device, interface, sockets: SocketSet::new(Vec::new()) }
    }

    /// Takes in a packet; it is looked at by the next [`TcpEndpoint::poll`].
    pub fn receive(&mut self, packet: Vec<u8>) {
        self.device.rx_packets.push_back(packet);
    }

    /// Lets the stack work and returns the packets that it sends.
    pub fn poll(&mut self) -> VecDeque<Vec<u8>> {
        let now = TcpInstant::from_micros(self.started_at.elapsed().as_micros() as i64);
        let _changed = self.interface.poll(now, &mut self.device, &mut self.sockets);
        std::mem::take(&mut self.device.tx_packets)
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
    pub fn connect(&mut self, remote: std::net::SocketAddrV4, local_port: u16) -> SocketHandle {
        let mut socket = new_socket();
        let remote_endpoint = (IpAddress::Ipv4(*remote.ip()), remote.port());
        let connected = socket.connect(self.interface.context(), remote_endpoint, local_port);
        connected.expect("a new socket connects to any specified address");
        self.sockets.add(socket)
    }

    /// Returns a connection.
    pub fn socket(&mut self, handle: SocketHandle) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(handle)
    }

    /// Removes a connection.
    pub fn remove_socket(&mut self, handle: SocketHandle) {
        self.sockets.remove(handle);
    }
}

fn new_socket() -> tcp::Socket<'static> {
    let buffer = || tcp::SocketBuffer::new(vec![0; SOCKET_BUFFER_BYTES]);
    let mut socket = tcp::Socket::new(buffer(), buffer());
    socket.set_nagle_enabled(false);
    socket.set_ack_delay(Some(TcpDuration::from_millis(10)));
    socket
}
