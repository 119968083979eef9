//! Requests as CoAP messages (RFC 7252).
//!
//! Non-idempotent requests carry their ticket in the Echo option (RFC 9175). The caller's patience
//! travels in an elective option of the experimental range.

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
