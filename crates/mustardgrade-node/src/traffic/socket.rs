//! UDP sockets with large buffers.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;

/// Size of the send and receive buffers; smaller ones overflow in bursts of a few thousand packets.
const SOCKET_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Binds a UDP socket to a port that no other socket uses.
///
/// # Errors
///
/// Fails if the port cannot be bound.
pub fn bind_udp(address: Ipv4Addr, port: u16) -> std::io::Result<UdpSocket> {
    bind(address, port, false)
}

/// Binds one of several UDP sockets that share a port, between which the kernel distributes
/// datagrams.
///
/// # Errors
///
/// Fails if the port cannot be bound.
pub fn bind_udp_reuse_port(address: Ipv4Addr, port: u16) -> std::io::Result<UdpSocket> {
    bind(address, port, true)
}

fn bind(address: Ipv4Addr, port: u16, reuse_port: bool) -> std::io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    if reuse_port {
        socket.set_reuse_port(true)?;
    }
    socket.set_nonblocking(true)?;
    // The system may not allow buffers of this size; the host also works with smaller ones.
    let _result = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _result = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.bind(&SocketAddr::V4(SocketAddrV4::new(address, port)).into())?;
    UdpSocket::from_std(socket.into())
}
