//! Stand-in for an upstream: a TCP server for feeds, whose packets arrive through a tunnel, and a
//! CoAP server that processes a limited number of requests at a time.

mod feeds;
mod requests;
mod task;

pub use requests::{
    RequestCapacity, RequestServer, decode_uint_option, download_content, encode_uint_option,
};
pub use task::{UpstreamHandle, UpstreamReport, UpstreamSettings, start_upstream};
