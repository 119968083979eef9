//! Sealed frames: sender, sequence number, body and trailing bytes, followed by the MAC.

use std::collections::HashMap;

use mustardgrade_core::identity::HostIncarnation;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::keys::{FleetKeys, FrameError, Result};
use super::replay::ReplayWindow;

/// Upper limit on the replay windows of an opener, which bounds its memory if frames with ever new
/// incarnations arrive; at the limit, all windows are discarded. Only holders of the fleet key can
/// send such frames.
const MAX_REPLAY_WINDOWS: usize = 4_096;

/// `FrameHeader` identifies a frame by its sender, the sender's channel and a sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct FrameHeader {
    sender: HostIncarnation,
    channel: u8,
    sequence: u64,
}

/// `OpenedFrame` is the decoded content of an authentic frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenedFrame<'a, T> {
    /// Host that sent the frame, and its current run.
    pub sender: HostIncarnation,
    /// Sequence number of the frame within its channel.
    pub sequence: u64,
    /// Decoded message.
    pub body: T,
    /// Bytes after the body; in a hop, the forwarded packet.
    pub trailing_bytes: &'a [u8],
}

/// `FrameSealer` encodes and seals the frames of one channel of a host.
#[derive(Debug)]
pub struct FrameSealer {
    sender: HostIncarnation,
    channel: u8,
    keys: FleetKeys,
    sequence: u64,
}

impl FrameSealer {
    /// Creates the sealer of a channel.
    ///
    /// Sequence numbers are counted and checked per channel, so each sealer of a host needs its own
    /// channel number.
    #[must_use]
    pub fn new(sender: HostIncarnation, channel: u8, keys: FleetKeys) -> Self {
        Self { sender, channel, keys, sequence: 0 }
    }

    /// Encodes `body`, appends `trailing_bytes`, and seals the frame.
    ///
    /// # Panics
    ///
    /// Never panics: every message type of this crate can be encoded.
    pub fn seal<T: Serialize>(&mut self, body: &T, trailing_bytes: &[u8]) -> Vec<u8> {
        self.sequence += 1;
        let header =
            FrameHeader { sender: self.sender, channel: self.channel, sequence: self.sequence };
        let mut frame =
            postcard::to_stdvec(&(header, body)).expect("every message type can be encoded");
        frame.extend_from_slice(trailing_bytes);
        self.keys.seal(&mut frame);
        frame
    }
}

/// `FrameOpener` verifies and decodes the frames that one socket of a host receives.
#[derive(Debug)]
pub struct FrameOpener {
    keys: FleetKeys,
    replay_windows: HashMap<(HostIncarnation, u8), ReplayWindow>,
}

impl FrameOpener {
    /// Creates an opener without replay windows; each sender's window starts with its first frame.
    #[must_use]
    pub fn new(keys: FleetKeys) -> Self {
        Self { keys, replay_windows: HashMap::new() }
    }

    /// Verifies the MAC of a frame, decodes the frame, and checks that it is not a replay.
    ///
    /// # Errors
    ///
    /// Fails if the frame is truncated, not authentic, replayed, or not decodable.
    pub fn open<'a, T: DeserializeOwned>(&mut self, frame: &'a [u8]) -> Result<OpenedFrame<'a, T>> {
        let authenticated = self.keys.open(frame)?;
        let ((header, body), trailing_bytes) =
            postcard::take_from_bytes::<(FrameHeader, T)>(authenticated)
                .map_err(|_cause| FrameError::Undecodable)?;
        let window_key = (header.sender, header.channel);
        if self.replay_windows.len() >= MAX_REPLAY_WINDOWS
            && !self.replay_windows.contains_key(&window_key)
        {
            self.replay_windows.clear();
        }
        if !self.replay_windows.entry(window_key).or_default().accept(header.sequence) {
            return Err(FrameError::Replayed);
        }
        Ok(OpenedFrame { sender: header.sender, sequence: header.sequence, body, trailing_bytes })
    }
}
