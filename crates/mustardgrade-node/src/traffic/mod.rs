//! Threads that route flow packets, and the state and sockets that they use.

mod channels;
mod settings;
mod shared;
mod socket;
mod thread;

pub use channels::{BucketExceptionsRequest, TrafficCommand, TrafficThreadChannels};
pub use settings::TrafficThreadSettings;
pub use shared::{AtomicTime, SharedTrafficState};
pub use socket::{bind_udp, bind_udp_reuse_port};
pub use thread::{PACKET_LOG_TARGET, spawn_traffic_thread};
