//! TCP server for feeds (see [`crate::feed`] for their format).

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp;

use crate::feed::{REQUEST_LINE_BYTES, append_feed_bytes, encode_greeting, parse_request_line};
use crate::tcp::TcpEndpoint;

/// Number of listening sockets, each of which accepts one connection. With fewer, openings that
/// arrive at the same moment are dropped.
const LISTEN_BACKLOG: usize = 32;

/// Interval at which a feed sends a chunk.
const CHUNK_INTERVAL: Duration = Duration::from_millis(100);

/// Size of a chunk of a feed.
const CHUNK_BYTES: usize = 64;

/// `FeedConnection` is the connection of one feed; `feed_number` is known once the request line has
/// arrived.
#[derive(Debug)]
struct FeedConnection {
    handle: SocketHandle,
    feed_number: Option<u64>,
    offset: u64,
    next_chunk_at: Instant,
}

/// `FeedServer` accepts connections on one service address and sends a feed on each.
#[derive(Debug)]
pub struct FeedServer {
    endpoint: TcpEndpoint,
    service: SocketAddrV4,
    upstream_name: String,
    listeners: Vec<SocketHandle>,
    connections: Vec<FeedConnection>,
    connections_opened: u64,
}

impl FeedServer {
    /// Creates a server that listens on `service` and greets callers with `upstream_name`.
    ///
    /// `seed` determines the initial TCP sequence numbers.
    #[must_use]
    pub fn new(upstream_name: &str, service: SocketAddrV4, seed: u64) -> Self {
        let mut server = Self {
            endpoint: TcpEndpoint::new(*service.ip(), seed),
            service,
            upstream_name: upstream_name.to_owned(),
            listeners: Vec::new(),
            connections: Vec::new(),
            connections_opened: 0,
        };
        server.refill_listeners();
        server
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of connections accepted since the start.
    #[must_use]
    pub fn connections_opened(&self) -> u64 {
        self.connections_opened
    }

    /// Queues an IP packet that arrived through the tunnel, for the next [`FeedServer::poll`].
    pub fn receive(&mut self, packet: &[u8]) {
        self.endpoint.receive(packet.to_vec());
    }

    /// Processes received packets, accepts connections and sends due chunks; returns the IP packets
    /// to send to callers.
    pub fn poll(&mut self) -> Vec<Vec<u8>> {
        let mut packets: Vec<Vec<u8>> = self.endpoint.poll().into();
        self.accept_connections();
        self.serve_connections();
        packets.extend(self.endpoint.poll());
        packets
    }

    fn refill_listeners(&mut self) {
        while self.listeners.len() < LISTEN_BACKLOG {
            let handle = self.endpoint.listen(self.service.port());
            self.listeners.push(handle);
        }
    }

    fn accept_connections(&mut self) {
        let mut listening = Vec::new();
        for handle in std::mem::take(&mut self.listeners) {
            match self.endpoint.socket(handle).state() {
                tcp::State::Listen | tcp::State::SynReceived => listening.push(handle),
                tcp::State::Closed => self.endpoint.remove_socket(handle),
                _ => {
                    self.connections_opened += 1;
                    self.connections.push(FeedConnection {
                        handle,
                        feed_number: None,
                        offset: 0,
                        next_chunk_at: Instant::now(),
                    });
                }
            }
        }
        self.listeners = listening;
        self.refill_listeners();
    }

    fn serve_connections(&mut self) {
        let now = Instant::now();
        let upstream_name = &self.upstream_name;
        let endpoint = &mut self.endpoint;
        self.connections.retain_mut(|connection| {
            let socket = endpoint.socket(connection.handle);
            let keep_open = serve_connection(upstream_name, socket, connection, now);
            if !keep_open {
                socket.abort();
                // `abort` closes the socket at once, so it is removed here, before a poll could
                // send its reset.
                if socket.state() == tcp::State::Closed {
                    endpoint.remove_socket(connection.handle);
                }
            }
            keep_open
        });
    }
}

/// Reads the request line of a connection and sends the next chunk if it is due.
///
/// Returns `false` if the connection can no longer send and is to be closed.
fn serve_connection(
    upstream_name: &str,
    socket: &mut tcp::Socket<'_>,
    connection: &mut FeedConnection,
    now: Instant,
) -> bool {
    if !socket.may_send() {
        return false;
    }
    if connection.feed_number.is_none() && socket.recv_queue() >= REQUEST_LINE_BYTES {
        let mut request_line = [0; REQUEST_LINE_BYTES];
        let _read = socket.recv_slice(&mut request_line);
        connection.feed_number = parse_request_line(&request_line);
        let _sent = socket.send_slice(&encode_greeting(upstream_name));
    }
    let Some(feed_number) = connection.feed_number else { return true };
    if socket.recv_queue() > 0 {
        let _read = socket.recv(|bytes| (bytes.len(), ()));
    }
    if now >= connection.next_chunk_at
        && socket.send_capacity() - socket.send_queue() >= CHUNK_BYTES
    {
        let mut chunk = Vec::with_capacity(CHUNK_BYTES);
        append_feed_bytes(feed_number, connection.offset, CHUNK_BYTES, &mut chunk);
        if socket.send_slice(&chunk).is_ok() {
            connection.offset += CHUNK_BYTES as u64;
            connection.next_chunk_at = now + CHUNK_INTERVAL;
        }
    }
    true
}
