//! Errors of encoding and decoding CoAP messages.

use thiserror::Error;

/// `Result` of encoding or decoding a CoAP message.
pub type Result<T> = std::result::Result<T, CoapError>;

/// `CoapError` is the reason why a CoAP message could not be encoded or decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CoapError {
    /// The bytes are not a valid CoAP message.
    #[error("malformed CoAP message")]
    Malformed,
    /// The message has no request code, or is not of type confirmable or non-confirmable.
    #[error("CoAP message is not a request")]
    NotRequest,
    /// The message does not have a response code.
    #[error("CoAP message is not a response")]
    NotResponse,
    /// The token does not have the eight bytes of an exchange number.
    #[error("CoAP token is not an exchange number of 8 bytes")]
    InvalidToken,
    /// The message cannot be encoded because it is too large.
    #[error("CoAP message is too large to be encoded")]
    TooLarge,
}
