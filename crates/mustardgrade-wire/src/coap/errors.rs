//! Errors of CoAP messages.

use thiserror::Error;

/// `Result` of reading or writing a CoAP message.
pub type Result<T> = std::result::Result<T, CoapError>;

/// `CoapError` says why a datagram is no usable CoAP message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CoapError {
    /// The datagram is no CoAP message.
    #[error("not a CoAP message")]
    Malformed,
    /// The message is no request.
    #[error("not a request")]
    NotRequest,
    /// The message is no response.
    #[error("not a response")]
    NotResponse,
    /// The token is not one that this host sent.
    #[error("foreign token")]
    InvalidToken,
    /// The message is larger than a datagram may be.
    #[error("message too large")]
    TooLarge,
}
