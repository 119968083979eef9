//! What a platform has to provide: a codec of packets and a client of its store.

use std::net::SocketAddrV4;
use std::pin::Pin;

use derive_more::Display;
use mustardgrade_core::cookie::{CookiePacket, FlowCookie};
use mustardgrade_core::watch::{ChangeBatch, StoreCall, StoreFailure};
use thiserror::Error;

/// `Result` of reading a datagram.
pub type Result<T> = std::result::Result<T, PacketError>;

/// `PacketError` says why a datagram cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PacketError {
    /// The datagram is shorter than its head or the length that the head states.
    #[error("datagram is truncated")]
    Truncated,
    /// The datagram is not one that a caller sends.
    #[error("datagram is not from a caller")]
    NotFromCaller,
}

/// `UpstreamTarget` is where a packet goes.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[display("{tag:x}@{address}")]
pub struct UpstreamTarget {
    /// Number by which packets name the upstream.
    pub tag: u64,
    /// Where it receives packets.
    pub address: SocketAddrV4,
    /// The cookie to write.
    pub cookie: FlowCookie,
}

/// `PacketCodec` reads callers' packets and writes those to upstreams and callers.
pub trait PacketCodec: Send {
    /// Reads a caller's datagram.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is no whole packet of a caller.
    fn decode(&self, datagram: &[u8]) -> Result<CookiePacket>;

    /// Writes the datagram that brings a caller's packet to an upstream, into an empty buffer.
    ///
    /// Apart from the cookie the packet stays as it is.
    fn encode_forward(&self, datagram: &[u8], target: &UpstreamTarget, output: &mut Vec<u8>);

    /// Writes a reset to the caller of a packet, into an empty buffer; returns where it goes.
    fn encode_reset(&self, packet: &CookiePacket, output: &mut Vec<u8>) -> SocketAddrV4;
}

/// `StoreCallFuture` is a store's answer that is yet to come.
pub type StoreCallFuture =
    Pin<Box<dyn Future<Output = std::result::Result<ChangeBatch, StoreFailure>> + Send>>;

/// `RegistryStore` calls a platform's store.
pub trait RegistryStore: Send + Sync {
    /// Makes a call; dropping the reply gives the call up.
    fn call(&self, call: StoreCall) -> StoreCallFuture;
}

/// `PlatformAdapters` are the edges of one host.
pub struct PlatformAdapters {
    /// The codec of packets.
    pub packet_codec: Box<dyn PacketCodec>,
    /// The client of the store.
    pub store: Box<dyn RegistryStore>,
}

impl std::fmt::Debug for PlatformAdapters {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PlatformAdapters(..)")
    }
}
