//! What hosts send each other, sealed with the fleet key.

mod frame;
mod message;
mod replay;
mod seal;

pub use frame::{FrameOpener, FrameSealer, OpenedFrame};
pub use message::{DigestBody, PeerBody, PeerCall, PeerReply, ServiceRecordList};
pub use replay::ReplayWindow;
pub use seal::{FleetKey, FleetKeys, FrameError, Result};

#[cfg(test)]
mod tests;
