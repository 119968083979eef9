//! Request thread of a host: the sockets and metrics around the request router.

mod thread;

pub use thread::{RequestChannels, RequestSettings, spawn_request_thread};
