//! The thread that routes requests.

mod thread;

pub use thread::{RequestChannels, RequestSettings, spawn_request_thread};
