//! Stand-in of an upstream: a TCP server for feeds behind a tunnel, and a CoAP server with slots.

mod feeds;
mod requests;
mod standin;

pub use requests::{RequestServer, ServiceCurve, archive_content, read_uint, write_uint};
pub use standin::{UpstreamReport, UpstreamSettings, UpstreamStandin, start_upstream};
