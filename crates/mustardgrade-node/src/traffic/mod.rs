//! Threads that route flow packets, and the state and sockets that they use.

mod shared;
mod socket;
mod thread;

pub use shared::{AtomicTime, SharedTrafficState};
pub use socket::{bind_udp, bind_udp_reuse_port};
pub use thread::{
    BucketExceptionsRequest, PACKET_LOG_TARGET, TrafficCommand, TrafficThreadChannels,
    TrafficThreadSettings, spawn_traffic_thread,
};
