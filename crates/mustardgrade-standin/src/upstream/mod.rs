//! Stand-in of an upstream: a TCP server for feeds behind a tunnel, and a CoAP server with slots.

mod feeds;
mod requests;
mod task;

pub use requests::{
    RequestCapacity, RequestServer, decode_uint_option, download_content, encode_uint_option,
};
pub use task::{UpstreamHandle, UpstreamReport, UpstreamSettings, start_upstream};
