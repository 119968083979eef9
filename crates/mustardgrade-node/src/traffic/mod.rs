//! Threads that route flow packets.

mod lane;
mod shared;
mod socket;

pub use lane::{LaneChannels, LaneCommand, LaneRecords, LaneSettings, spawn_lane};
pub use shared::{HeardCell, TrafficShared};
pub use socket::{bind_udp, bind_udp_shared};
