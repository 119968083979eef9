//! A user-space TCP endpoint that exchanges raw IP packets with its owner, who sends them
//! encapsulated over UDP.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::time::Instant;

use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::socket::tcp;
use smoltcp::time::{Duration as TcpDuration, Instant as TcpInstant};
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr};

/// Largest IP packet; leaves room for the encapsulation and for the header that entry hosts add
/// when they forward a packet to each other.
const MTU_BYTES: usize = 1_400;

/// Size of the receive buffer and of the send buffer of a connection. Feeds have a low data rate,
/// so small buffers suffice.
const SOCKET_BUFFER_BYTES: usize = 4_096;

/// `MemoryDevice` is a network device for `smoltcp` that queues packets in memory.
#[derive(Debug, Default)]
struct MemoryDevice {
    rx_packets: VecDeque<Vec<u8>>,
    tx_packets: VecDeque<Vec<u8>>,
}

/// `RxPacketToken` passes one received packet to the TCP stack.
struct RxPacketToken(Vec<u8>);

impl RxToken for RxPacketToken {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, read: F) -> R {
        read(&self.0)
    }
}

/// `TxQueueToken` appends one packet from the TCP stack to the send queue.
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

/// `TcpEndpoint` is a TCP stack with one IP address that uses no sockets of the operating system.
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
    /// Creates a stack with the IP address `address`; `seed` determines its initial sequence
    /// numbers.
    ///
    /// # Panics
    ///
    /// Never panics: the interface has room for one address and one route.
    #[must_use]
    pub fn new(address: Ipv4Addr, seed: u64) -> Self {
        let mut device = MemoryDevice::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut interface = Interface::new(config, &mut device, TcpInstant::ZERO);
        interface.update_ip_addrs(|addresses| {
            let cidr = IpCidr::new(IpAddress::Ipv4(address), 32);
            addresses.push(cidr).expect("the interface has room for one address");
        });
        let route_added = interface.routes_mut().add_default_ipv4_route(address);
        route_added.expect("the interface has room for one route");
        Self { started_at: Instant::now(), device, interface, sockets: SocketSet::new(Vec::new()) }
    }

    /// Queues a received IP packet, to be processed by the next [`TcpEndpoint::poll`].
    pub fn receive(&mut self, packet: Vec<u8>) {
        self.device.rx_packets.push_back(packet);
    }

    /// Processes received packets and due timers, and returns the IP packets to send.
    pub fn poll(&mut self) -> VecDeque<Vec<u8>> {
        let now = TcpInstant::from_micros(self.started_at.elapsed().as_micros() as i64);
        let _changed = self.interface.poll(now, &mut self.device, &mut self.sockets);
        std::mem::take(&mut self.device.tx_packets)
    }

    /// Adds a socket that accepts one connection on `port`.
    ///
    /// # Panics
    ///
    /// Panics if `port` is 0.
    pub fn listen(&mut self, port: u16) -> SocketHandle {
        let mut socket = new_socket();
        socket.listen(port).expect("the port to listen on is not 0");
        self.sockets.add(socket)
    }

    /// Starts to open a connection to `remote` from `local_port`.
    ///
    /// # Panics
    ///
    /// Panics if the remote address is unspecified, or if either port is 0.
    pub fn connect(&mut self, remote: std::net::SocketAddrV4, local_port: u16) -> SocketHandle {
        let mut socket = new_socket();
        let remote_endpoint = (IpAddress::Ipv4(*remote.ip()), remote.port());
        let connected = socket.connect(self.interface.context(), remote_endpoint, local_port);
        connected.expect("the remote address and both ports are specified");
        self.sockets.add(socket)
    }

    /// Returns the socket of a connection.
    ///
    /// # Panics
    ///
    /// Panics if the socket has been removed.
    pub fn socket(&mut self, handle: SocketHandle) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(handle)
    }

    /// Removes a socket without sending anything to its peer.
    ///
    /// # Panics
    ///
    /// Panics if the socket has been removed already.
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
