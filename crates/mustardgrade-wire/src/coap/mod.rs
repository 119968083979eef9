//! Requests as CoAP messages (RFC 7252).
//!
//! Non-idempotent requests carry their ticket in the Echo option (RFC 9175). The caller's patience
//! travels in an elective option of the experimental range.

mod errors;
mod request;
mod upstream;

pub use errors::{CoapError, Result};
pub use request::{DEADLINE_OPTION, ECHO_OPTION, decode_request, encode_reply};
pub use upstream::{
    UpstreamMessage, decode_upstream_reply, encode_cancel, encode_dispatch, message_id_of,
};

#[cfg(test)]
mod tests;
