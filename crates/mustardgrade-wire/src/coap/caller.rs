//! Requests from callers, and the replies to them.

use std::net::SocketAddrV4;
use std::time::Duration;

use coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType, ResponseType};
use mustardgrade_core::request::{CallerReply, CallerRequest, RequestId};

use super::errors::{CoapError, Result};

/// Number of the Echo option (RFC 9175, section 2.2.1).
pub const ECHO_OPTION: CoapOption = CoapOption::Unknown(252);

/// Number of the option that holds the remaining time until the caller gives up, in milliseconds.
///
/// 65020 lies in the experimental range (RFC 7252, section 12.2). Its bits make the option
/// elective, safe to forward, and not part of a cache key (RFC 7252, section 5.4.6), so an upstream
/// that does not support it may ignore it.
pub const TIMEOUT_OPTION: CoapOption = CoapOption::Unknown(65_020);

/// Timeout of a request without the option; the exchange lifetime of CoAP would keep the state of
/// the request for minutes.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Upper limit on the timeout; with a longer one, requests would still wait when their tickets have
/// expired.
const MAX_TIMEOUT: Duration = Duration::from_secs(30);

/// Decodes a request that `caller` sent to `service_address`.
///
/// # Errors
///
/// Fails if the datagram is not a CoAP request.
pub fn decode_caller_request(
    caller: SocketAddrV4,
    service_address: SocketAddrV4,
    datagram: &[u8],
) -> Result<CallerRequest> {
    let packet = Packet::from_bytes(datagram).map_err(|_cause| CoapError::Malformed)?;
    let MessageClass::Request(method) = packet.header.code else {
        return Err(CoapError::NotRequest);
    };
    if !matches!(packet.header.get_type(), MessageType::Confirmable | MessageType::NonConfirmable) {
        return Err(CoapError::NotRequest);
    }
    let id = RequestId {
        caller,
        message_id: packet.header.message_id,
        token: packet.get_token().to_vec(),
    };
    Ok(CallerRequest {
        id,
        service_address,
        idempotent: is_idempotent(method),
        ticket: packet.get_first_option(ECHO_OPTION).cloned(),
        timeout: caller_timeout(&packet),
        encoded_request: datagram.to_vec(),
    })
}

/// Returns whether a method may be executed more than once (RFC 7252, section 5.1; RFC 8132).
///
/// Unknown methods count as non-idempotent.
fn is_idempotent(method: RequestType) -> bool {
    match method {
        RequestType::Get
        | RequestType::Put
        | RequestType::Delete
        | RequestType::Fetch
        | RequestType::IPatch => true,
        RequestType::Post | RequestType::Patch | RequestType::UnKnown => false,
    }
}

/// Returns the timeout of a request: the option value up to the limit, or the default.
fn caller_timeout(packet: &Packet) -> Duration {
    let Some(option_value) = packet.get_first_option(TIMEOUT_OPTION) else {
        return DEFAULT_TIMEOUT;
    };
    // The option value is a big-endian unsigned integer without leading zero bytes (RFC 7252,
    // section 3.2).
    let timeout_bytes = option_value.iter().take(4);
    let timeout_ms = timeout_bytes.fold(0_u64, |sum, byte| (sum << 8) | u64::from(*byte));
    Duration::from_millis(timeout_ms).min(MAX_TIMEOUT)
}

/// Encodes the reply to the request `id` as an acknowledgement with its message id and token.
///
/// # Errors
///
/// Fails if the upstream's response is malformed or the reply is too large.
pub fn encode_caller_reply(id: &RequestId, reply: &CallerReply) -> Result<Vec<u8>> {
    let mut packet = match reply {
        CallerReply::Response(encoded_response) => {
            Packet::from_bytes(encoded_response).map_err(|_cause| CoapError::Malformed)?
        }
        CallerReply::Challenge(ticket) => echo_challenge(ticket),
        CallerReply::NotRun { retry_after } => service_unavailable(b"not run", *retry_after),
        CallerReply::Busy { retry_after } => service_unavailable(b"busy", *retry_after),
        CallerReply::OutcomeUnknown => {
            response_with_payload(ResponseType::GatewayTimeout, b"outcome unknown")
        }
        CallerReply::InvalidRequest => {
            response_with_payload(ResponseType::BadRequest, b"not run: invalid request")
        }
    };
    packet.header.set_type(MessageType::Acknowledgement);
    packet.header.message_id = id.message_id;
    packet.set_token(id.token.clone());
    packet.to_bytes_unlimited().map_err(|_cause| CoapError::TooLarge)
}

fn response_with_payload(code: ResponseType, payload: &[u8]) -> Packet {
    let mut packet = Packet::new();
    packet.header.code = MessageClass::Response(code);
    packet.payload = payload.to_vec();
    packet
}

/// Builds the 4.01 response with a ticket that the caller must send back in the Echo option.
fn echo_challenge(ticket: &[u8]) -> Packet {
    let mut packet =
        response_with_payload(ResponseType::Unauthorized, b"not run: repeat with this ticket");
    packet.add_option(ECHO_OPTION, ticket.to_vec());
    packet
}

/// Builds the 5.03 response, whose Max-Age option tells the caller when to try again.
fn service_unavailable(payload: &[u8], retry_after: Duration) -> Packet {
    let mut packet = response_with_payload(ResponseType::ServiceUnavailable, payload);
    // Max-Age is in whole seconds; rounding up prevents callers from retrying too early.
    let max_age_secs = retry_after.as_millis().div_ceil(1_000) as u8;
    packet.add_option(CoapOption::MaxAge, vec![max_age_secs.max(1)]);
    packet
}
