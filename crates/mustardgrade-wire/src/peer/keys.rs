//! The fleet keys, and the message authentication code (MAC) of a frame.

use thiserror::Error;

/// Length of the MAC of a frame; 128 bits cannot be guessed.
pub const MAC_BYTES: usize = 16;

/// Minimum length of the fleet's secret; a shorter one could be found by exhaustive search.
const MIN_SECRET_BYTES: usize = 16;

/// `Result` of sealing and opening frames.
pub type Result<T> = std::result::Result<T, FrameError>;

/// `FrameError` is the reason why a frame or a secret was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The frame is shorter than a MAC.
    #[error("frame is shorter than {MAC_BYTES} bytes")]
    Truncated,
    /// The MAC is not the one that the current or the previous key yields.
    #[error("frame authentication failed: forged, damaged, or sealed with another key")]
    NotAuthentic,
    /// The frame was accepted before, or its sequence number is below the replay window.
    #[error("frame is replayed or too old")]
    Replayed,
    /// The frame is authentic but this version cannot decode it.
    #[error("frame cannot be decoded")]
    Undecodable,
    /// The fleet's secret is too short to derive a key from.
    #[error("secret is shorter than {MIN_SECRET_BYTES} bytes")]
    SecretTooShort,
}

/// `FleetKey` is the key that authenticates frames between hosts; all hosts of a fleet share it.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey([u8; 32]);

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

impl FleetKey {
    /// Derives the key from the fleet's secret.
    ///
    /// # Errors
    ///
    /// Fails if the secret is too short.
    pub fn derive(secret: &[u8]) -> Result<Self> {
        if secret.len() < MIN_SECRET_BYTES {
            return Err(FrameError::SecretTooShort);
        }
        Ok(Self(blake3::derive_key("mustardgrade 2026 host frame", secret)))
    }

    /// Computes the keyed hash of a frame; its first `MAC_BYTES` bytes are the MAC.
    fn compute_mac(&self, content: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, content)
    }
}

/// `FleetKeys` holds the current key and, during a key rotation, the previous one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetKeys {
    /// Key that frames are sealed with and verified against.
    pub current: FleetKey,
    /// Key that frames are also verified against, for hosts that still seal with it.
    pub previous: Option<FleetKey>,
}

impl FleetKeys {
    /// Seals a frame: appends the MAC under the current key.
    pub fn seal(&self, frame: &mut Vec<u8>) {
        let mac = self.current.compute_mac(frame);
        frame.extend_from_slice(&mac.as_bytes()[..MAC_BYTES]);
    }

    /// Verifies the MAC of a sealed frame and returns the content before it.
    ///
    /// # Errors
    ///
    /// Fails if the frame is truncated, or neither the current nor the previous key sealed it.
    pub fn open<'a>(&self, frame: &'a [u8]) -> Result<&'a [u8]> {
        let content_length = frame.len().checked_sub(MAC_BYTES).ok_or(FrameError::Truncated)?;
        let (content, mac) = frame.split_at(content_length);
        let accepted_keys = [Some(&self.current), self.previous.as_ref()];
        let is_authentic = |key: &FleetKey| {
            equal_in_constant_time(&key.compute_mac(content).as_bytes()[..MAC_BYTES], mac)
        };
        match accepted_keys.into_iter().flatten().any(is_authentic) {
            true => Ok(content),
            false => Err(FrameError::NotAuthentic),
        }
    }
}

/// Compares two byte strings of the same length, in a time that does not depend on their content.
fn equal_in_constant_time(left: &[u8], right: &[u8]) -> bool {
    left.iter().zip(right).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}
