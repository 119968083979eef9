//! The TCP server for feeds.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp;

use crate::feed::{REQUEST_BYTES, greeting, read_request_line, write_feed};
use crate::tcp::TcpEndpoint;

/// Connections that wait for callers; fewer drop openings that arrive at once.
const SPARE_LISTENERS: usize = 32;

/// Time between two pieces of a feed.
const FEED_INTERVAL: Duration = Duration::from_millis(100);

/// Bytes of one piece of a feed.
const FEED_PIECE: usize = 64;

/// `FeedConnection` is one caller of the server.
#[derive(Debug)]
struct FeedConnection {
    handle: SocketHandle,
    number: Option<u64>,
    position: u64,
    next: Instant,
}

/// `FeedServer` serves feeds on one service address.
#[derive(Debug)]
pub struct FeedServer {
    endpoint: TcpEndpoint,
    service: SocketAddrV4,
    name: String,
    listeners: Vec<SocketHandle>,
    connections: Vec<FeedConnection>,
    opened: u64,
}

impl FeedServer {
    /// Creates the server of the upstream called `name` for `service`.
    #[must_use]
    pub fn new(name: &str, service: SocketAddrV4, seed: u64) -> Self {
        let mut server = Self {
            endpoint: TcpEndpoint::new(*service.ip(), seed),
            service,
            name: name.to_owned(),
            listeners: Vec::new(),
            connections: Vec::new(),
            opened: 0,
        };
        server.add_listeners();
        server
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of connections ever opened.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened
    }

    /// Takes in a packet from the tunnel.
    pub fn receive(&mut self, packet: &[u8]) {
        self.endpoint.receive(packet.to_vec());
    }

    /// Lets the server work and returns the packets that it sends to callers.
    pub fn poll(&mut self) -> Vec<Vec<u8>> {
        let mut packets: Vec<Vec<u8>> = self.endpoint.poll().into();
        self.accept();
        self.serve();
        packets.extend(self.endpoint.poll());
        packets
    }

    fn add_listeners(&mut self) {
        while self.listeners.len() < SPARE_LISTENERS {
            let handle = self.endpoint.listen(self.service.port());
            self.listeners.push(handle);
        }
    }

    fn accept(&mut self) {
        let mut waiting = Vec::new();
        for handle in std::mem::take(&mut self.listeners) {
            match self.endpoint.socket(handle).state() {
                tcp::State::Listen | tcp::State::SynReceived => waiting.push(handle),
                tcp::State::Closed => self.endpoint.remove(handle),
                _ => {
                    self.opened += 1;
                    self.connections.push(FeedConnection {
                        handle,
                        number: None,
                        position: 0,
                        next: Instant::now(),
                    });
                }
            }
        }
        self.listeners = waiting;
        self.add_listeners();
    }

    fn serve(&mut self) {
        let now = Instant::now();
        let name = &self.name;
        let endpoint = &mut self.endpoint;
        self.connections.retain_mut(|connection| {
            let socket = endpoint.socket(connection.handle);
            let keep = serve_one(name, socket, connection, now);
            if !keep {
                socket.abort();
                // The reset leaves with the next poll; the socket is gone after it.
                if socket.state() == tcp::State::Closed {
                    endpoint.remove(connection.handle);
                }
            }
            keep
        });
    }
}

/// Serves one connection; returns whether it stays open.
fn serve_one(
    name: &str,
    socket: &mut tcp::Socket<'_>,
    connection: &mut FeedConnection,
    now: Instant,
) -> bool {
    if !socket.may_send() {
        return false;
    }
    if connection.number.is_none() && socket.recv_queue() >= REQUEST_BYTES {
        let mut line = [0; REQUEST_BYTES];
        let _read = socket.recv_slice(&mut line);
        connection.number = read_request_line(&line);
        let _sent = socket.send_slice(&greeting(name));
    }
    let Some(number) = connection.number else { return true };
    if socket.recv_queue() > 0 {
        let _read = socket.recv(|bytes| (bytes.len(), ()));
    }
    if now >= connection.next && socket.send_capacity() - socket.send_queue() >= FEED_PIECE {
        let mut piece = Vec::with_capacity(FEED_PIECE);
        write_feed(number, connection.position, FEED_PIECE, &mut piece);
        if socket.send_slice(&piece).is_ok() {
            connection.position += FEED_PIECE as u64;
            connection.next = now + FEED_INTERVAL;
        }
    }
    true
}
