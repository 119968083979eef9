//! Messages between hosts, and the frames that carry them.
//!
//! A frame is sealed with a message authentication code (MAC) under the fleet key; it is not
//! encrypted.

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
