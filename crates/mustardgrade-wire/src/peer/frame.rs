//! Frames: a sealed body with its sender and sequence number.

use std::collections::HashMap;

use mustardgrade_core::identity::HostIncarnation;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::replay::ReplayWindow;
use super::seal::{FleetKeys, FrameError, Result};

/// Senders whose replay windows are kept; more would let a flood of forged restarts use up memory,
/// but only key holders can send any.
const MAX_SENDERS: usize = 4_096;

/// `FrameHeader` names the sender of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct FrameHeader {
    from: HostIncarnation,
    channel: u8,
    sequence: u64,
}

/// `OpenedFrame` is an authentic frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenedFrame<'a, T> {
    /// Its sender.
    pub from: HostIncarnation,
    /// Its sequence number.
    pub sequence: u64,
    /// Its body.
    pub body: T,
    /// What follows the body.
    pub rest: &'a [u8],
}

/// `FrameSealer` seals the frames that one channel of a host sends.
#[derive(Debug)]
pub struct FrameSealer {
    from: HostIncarnation,
    channel: u8,
    keys: FleetKeys,
    sequence: u64,
}

impl FrameSealer {
    /// Creates the sealer of a channel; every sending thread of a host has a channel of its own.
    #[must_use]
    pub fn new(from: HostIncarnation, channel: u8, keys: FleetKeys) -> Self {
        Self { from, channel, keys, sequence: 0 }
    }

    /// Encodes and seals a body with the bytes that follow it.
    ///
    /// # Panics
    ///
    /// Never panics: every body of this crate can be encoded.
    pub fn seal<T: Serialize>(&mut self, body: &T, rest: &[u8]) -> Vec<u8> {
        self.sequence += 1;
        let header =
            FrameHeader { from: self.from, channel: self.channel, sequence: self.sequence };
        let mut frame = postcard::to_stdvec(&(header, body))
            .expect("bodies hold nothing that cannot be encoded");
        frame.extend_from_slice(rest);
        self.keys.seal(&mut frame);
        frame
    }
}

/// `FrameOpener` opens the frames that one socket of a host receives.
#[derive(Debug)]
pub struct FrameOpener {
    keys: FleetKeys,
    windows: HashMap<(HostIncarnation, u8), ReplayWindow>,
}

impl FrameOpener {
    /// Creates an opener.
    #[must_use]
    pub fn new(keys: FleetKeys) -> Self {
        Self { keys, windows: HashMap::new() }
    }

    /// Opens a frame.
    ///
    /// # Errors
    ///
    /// Fails if the frame is truncated, forged, replayed or unreadable.
    pub fn open<'a, T: DeserializeOwned>(&mut self, frame: &'a [u8]) -> Result<OpenedFrame<'a, T>> {
        let content = self.keys.open(frame)?;
        let ((header, body), rest) = postcard::take_from_bytes::<(FrameHeader, T)>(content)
            .map_err(|_cause| FrameError::Unreadable)?;
        let sender = (header.from, header.channel);
        if self.windows.len() >= MAX_SENDERS && !self.windows.contains_key(&sender) {
            self.windows.clear();
        }
        if !self.windows.entry(sender).or_default().accept(header.sequence) {
            return Err(FrameError::Replayed);
        }
        Ok(OpenedFrame { from: header.from, sequence: header.sequence, body, rest })
    }
}
