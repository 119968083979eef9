//! Interfaces that a platform implements: the codec of its packets and the client of its store.

use std::net::SocketAddrV4;
use std::pin::Pin;

use derive_more::Display;
use mustardgrade_core::cookie::{CookiePacket, FlowCookie};
use mustardgrade_core::watch::{
    ChangeBatch, RouteServicesWrite, StoreCall, StoreFailure, WriteResult,
};
use thiserror::Error;

/// `Result` with a [`PacketError`].
pub type Result<T> = std::result::Result<T, PacketError>;

/// `PacketError` is the reason why a datagram cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PacketError {
    /// The datagram is shorter than its header, or its length differs from that in the header.
    #[error("datagram is truncated")]
    Truncated,
    /// The datagram is of a kind that callers never send, such as a SYN-ACK.
    #[error("datagram is not from a caller")]
    NotFromCaller,
}

/// `UpstreamTarget` is the upstream to which a packet is forwarded.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[display("{tag:x}@{address}")]
pub struct UpstreamTarget {
    /// Number that identifies the upstream in forwarded packets.
    pub tag: u64,
    /// Address on which the upstream receives packets.
    pub address: SocketAddrV4,
    /// Cookie to write into the packet.
    pub cookie: FlowCookie,
}

/// `PacketCodec` decodes packets from callers and encodes packets to upstreams and callers.
pub trait PacketCodec: Send {
    /// Decodes a datagram from a caller.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is truncated or not from a caller.
    fn decode(&self, datagram: &[u8]) -> Result<CookiePacket>;

    /// Encodes the datagram that carries a caller's packet to an upstream into `output`, which must
    /// be empty.
    ///
    /// Only the cookie of the packet is replaced.
    fn encode_forward(&self, datagram: &[u8], target: &UpstreamTarget, output: &mut Vec<u8>);

    /// Encodes a reset for the caller of a packet into `output`, which must be empty.
    ///
    /// Returns the address to send it to.
    fn encode_reset(&self, packet: &CookiePacket, output: &mut Vec<u8>) -> SocketAddrV4;
}

/// `StoreCallFuture` resolves to the result of a store call; dropping it cancels the call.
pub type StoreCallFuture =
    Pin<Box<dyn Future<Output = std::result::Result<ChangeBatch, StoreFailure>> + Send>>;

/// `StoreWriteFuture` resolves to the result of a write; if it is dropped, the write may still take
/// effect.
pub type StoreWriteFuture = Pin<Box<dyn Future<Output = WriteResult> + Send>>;

/// `RegistryStore` is the client of the platform's store, which holds the registry.
pub trait RegistryStore: Send + Sync {
    /// Starts a call.
    fn call(&self, call: StoreCall) -> StoreCallFuture;

    /// Starts a write of the services that routes have had, which is independent of calls.
    fn write(&self, write: RouteServicesWrite) -> StoreWriteFuture;
}

/// `PlatformAdapters` connect one host to its platform.
pub struct PlatformAdapters {
    /// Codec of the platform's packet format.
    pub packet_codec: Box<dyn PacketCodec>,
    /// Client of the platform's store.
    pub store: Box<dyn RegistryStore>,
}

impl std::fmt::Debug for PlatformAdapters {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PlatformAdapters(..)")
    }
}
