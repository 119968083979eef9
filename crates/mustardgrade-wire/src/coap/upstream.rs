//! Requests to upstreams, and the replies from them.

use std::time::Duration;

use coap_lite::{MessageClass, MessageType, Packet, ResponseType};
use mustardgrade_core::request::UpstreamReply;

use super::caller::{ECHO_OPTION, TIMEOUT_OPTION};
use super::errors::{CoapError, Result};

/// `ExchangeReply` is the reply of an upstream and the exchange that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExchangeReply {
    /// Number of the exchange, which the upstream echoed in the token.
    pub exchange_id: u64,
    /// The decoded reply.
    pub reply: UpstreamReply,
}

/// Re-encodes a caller's request for an upstream, without its ticket and with `timeout`.
///
/// The message is non-confirmable, so it is transmitted only once. Its token is the exchange
/// number.
///
/// # Errors
///
/// Fails if the caller's request is malformed or the new message is too large.
pub fn encode_upstream_request(
    encoded_request: &[u8],
    exchange_id: u64,
    timeout: Duration,
) -> Result<Vec<u8>> {
    let mut packet = Packet::from_bytes(encoded_request).map_err(|_cause| CoapError::Malformed)?;
    packet.clear_option(ECHO_OPTION);
    packet.clear_option(TIMEOUT_OPTION);
    let timeout_ms = timeout.as_millis() as u32;
    let timeout_bytes = timeout_ms.to_be_bytes();
    let leading_zeros = timeout_bytes.iter().take_while(|byte| **byte == 0).count();
    packet.add_option(TIMEOUT_OPTION, timeout_bytes[leading_zeros..].to_vec());
    packet.header.set_type(MessageType::NonConfirmable);
    packet.header.message_id = exchange_message_id(exchange_id);
    packet.set_token(exchange_id.to_be_bytes().to_vec());
    packet.to_bytes_unlimited().map_err(|_cause| CoapError::TooLarge)
}

/// Encodes the cancellation of an exchange: a Reset with the message id of its request (RFC 7252,
/// section 4.2).
///
/// # Panics
///
/// Never panics: an empty message always fits into a datagram.
#[must_use]
pub fn encode_cancellation(exchange_id: u64) -> Vec<u8> {
    let mut packet = Packet::new();
    packet.header.code = MessageClass::Empty;
    packet.header.set_type(MessageType::Reset);
    packet.header.message_id = exchange_message_id(exchange_id);
    packet.to_bytes_unlimited().expect("an empty message fits into a datagram")
}

/// Returns the CoAP message id of an exchange: the low 16 bits of its number.
#[must_use]
pub fn exchange_message_id(exchange_id: u64) -> u16 {
    exchange_id as u16
}

/// Decodes the reply of an upstream; a 5.03 response means that the upstream shed the request.
///
/// # Errors
///
/// Fails if the datagram is not a CoAP response, or its token is not an exchange number.
pub fn decode_upstream_reply(datagram: &[u8]) -> Result<ExchangeReply> {
    let packet = Packet::from_bytes(datagram).map_err(|_cause| CoapError::Malformed)?;
    let MessageClass::Response(code) = packet.header.code else {
        return Err(CoapError::NotResponse);
    };
    let token: [u8; 8] = packet.get_token().try_into().map_err(|_cause| CoapError::InvalidToken)?;
    let reply = match code {
        ResponseType::ServiceUnavailable => UpstreamReply::Shed,
        _ => UpstreamReply::Response(datagram.to_vec()),
    };
    Ok(ExchangeReply { exchange_id: u64::from_be_bytes(token), reply })
}
