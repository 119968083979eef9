//! Exchanges with upstreams.

use std::time::Duration;

use coap_lite::{MessageClass, MessageType, Packet, ResponseType};
use mustardgrade_core::request::UpstreamReply;

use super::errors::{CoapError, Result};
use super::request::{DEADLINE_OPTION, ECHO_OPTION};

/// `UpstreamMessage` is an upstream's reply with the exchange that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamMessage {
    /// Number of the exchange.
    pub exchange: u64,
    /// How it ended.
    pub reply: UpstreamReply,
}

/// Encodes a request for an upstream.
///
/// The message is non-confirmable, so that it is transmitted once; its token is the exchange.
///
/// # Errors
///
/// Fails if the caller's request is damaged or too large for a datagram.
pub fn encode_dispatch(content: &[u8], exchange: u64, patience: Duration) -> Result<Vec<u8>> {
    let mut packet = Packet::from_bytes(content).map_err(|_cause| CoapError::Malformed)?;
    packet.clear_option(ECHO_OPTION);
    packet.clear_option(DEADLINE_OPTION);
    let millis = patience.as_millis() as u32;
    let bytes = millis.to_be_bytes();
    let leading = bytes.iter().take_while(|byte| **byte == 0).count();
    packet.add_option(DEADLINE_OPTION, bytes[leading..].to_vec());
    packet.header.set_type(MessageType::NonConfirmable);
    packet.header.message_id = message_id_of(exchange);
    packet.set_token(exchange.to_be_bytes().to_vec());
    packet.to_bytes_unlimited().map_err(|_cause| CoapError::TooLarge)
}

/// Encodes the cancellation of an exchange: a reset of its message (RFC 7252, section 4.2).
///
/// # Panics
///
/// Never panics: an empty message always fits.
#[must_use]
pub fn encode_cancel(exchange: u64) -> Vec<u8> {
    let mut packet = Packet::new();
    packet.header.code = MessageClass::Empty;
    packet.header.set_type(MessageType::Reset);
    packet.header.message_id = message_id_of(exchange);
    packet.to_bytes_unlimited().expect("an empty message fits a datagram")
}

/// Returns the message id of an exchange.
#[must_use]
pub fn message_id_of(exchange: u64) -> u16 {
    exchange as u16
}

/// Reads the reply of an upstream.
///
/// # Errors
///
/// Fails if the datagram is no CoAP response, or its token is no exchange.
pub fn decode_upstream_reply(datagram: &[u8]) -> Result<UpstreamMessage> {
    let packet = Packet::from_bytes(datagram).map_err(|_cause| CoapError::Malformed)?;
    let MessageClass::Response(code) = packet.header.code else {
        return Err(CoapError::NotResponse);
    };
    let token: [u8; 8] = packet.get_token().try_into().map_err(|_cause| CoapError::Token)?;
    let reply = match code {
        ResponseType::ServiceUnavailable => UpstreamReply::Shed,
        _ => UpstreamReply::Response(datagram.to_vec()),
    };
    Ok(UpstreamMessage { exchange: u64::from_be_bytes(token), reply })
}
