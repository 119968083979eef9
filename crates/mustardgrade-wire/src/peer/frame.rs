//! Frames: a sealed body with its sender and sequence number.

use std::collections::HashMap;

use mustardgrade_core::identity::HostIncarnation;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::keys::{FleetKeys, FrameError, Result};
use super::replay::ReplayWindow;

/// Senders whose replay windows are kept; more would let a flood of forged restarts use up memory,
/// but only key holders can send any.
const MAX_REPLAY_WINDOWS: usize = 4_096;

/// `FrameHeader` names the sender of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct FrameHeader {
    sender: HostIncarnation,
    channel: u8,
    sequence: u64,
}

/// `OpenedFrame` is an authentic frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenedFrame<'a, T> {
    /// Its sender.
    pub sender: HostIncarnation,
    /// Its sequence number.
    pub sequence: u64,
    /// Its body.
    pub body: T,
    /// What follows the body.
    pub trailing_bytes: &'a [u8],
}

/// `FrameSealer` seals the frames that one channel of a host sends.
#[derive(Debug)]
pub struct FrameSealer {
    sender: HostIncarnation,
    channel: u8,
    keys: FleetKeys,
    sequence: u64,
}

impl FrameSealer {
    /// Creates the sealer of a channel; every sending thread of a host has a channel of its own.
    #[must_use]
    pub fn new(sender: HostIncarnation, channel: u8, keys: FleetKeys) -> Self {
        Self { sender, channel, keys, sequence: 0 }
    }

    /// Encodes and seals a body with the bytes that follow it.
    ///
    /// # Panics
    ///
    /// Never panics: every body of this crate can be encoded.
    pub fn seal<T: Serialize>(&mut self, body: &T, trailing_bytes: &[u8]) -> Vec<u8> {
        self.sequence += 1;
        let header =
            FrameHeader { sender: self.sender, channel: self.channel, sequence: self.sequence };
        let mut frame = postcard::to_stdvec(&(header, body))
            .expect("bodies hold nothing that cannot be encoded");
        frame.extend_from_slice(trailing_bytes);
        self.keys.seal(&mut frame);
        frame
    }
}

/// `FrameOpener` opens the frames that one socket of a host receives.
#[derive(Debug)]
pub struct FrameOpener {
    keys: FleetKeys,
    replay_windows: HashMap<(HostIncarnation, u8), ReplayWindow>,
}

impl FrameOpener {
    /// Creates an opener.
    #[must_use]
    pub fn new(keys: FleetKeys) -> Self {
        Self { keys, replay_windows: HashMap::new() }
    }

    /// Opens a frame.
    ///
    /// # Errors
    ///
    /// Fails if the frame is truncated, forged, replayed or unreadable.
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
