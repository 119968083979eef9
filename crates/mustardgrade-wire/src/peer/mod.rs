//! What hosts send each other, sealed with the fleet key.

mod frame;
mod keys;
mod message;
mod replay;

pub use frame::{FrameOpener, FrameSealer, OpenedFrame};
pub use keys::{FleetKey, FleetKeys, FrameError, Result};
pub use message::{DigestBody, PeerCall, PeerMessage, PeerReply, ServiceRecordList};
pub use replay::ReplayWindow;

#[cfg(test)]
mod tests;
