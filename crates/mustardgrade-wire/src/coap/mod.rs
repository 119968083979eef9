//! CoAP messages (RFC 7252) that are exchanged with callers and upstreams.
//!
//! The Echo option (RFC 9175) carries the ticket of a non-idempotent request. An elective option of
//! the experimental range carries the remaining timeout of a request.

mod caller;
mod errors;
mod upstream;

pub use caller::{ECHO_OPTION, TIMEOUT_OPTION, decode_caller_request, encode_caller_reply};
pub use errors::{CoapError, Result};
pub use upstream::{
    ExchangeReply, decode_upstream_reply, encode_cancellation, encode_upstream_request,
    exchange_message_id,
};

#[cfg(test)]
mod tests;
