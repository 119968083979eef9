//! The fleet key and the seal of a frame.

use thiserror::Error;

/// Bytes of the seal; 128 bits cannot be guessed.
pub const MAC_BYTES: usize = 16;

/// Shortest accepted secret; shorter ones can be searched.
const MIN_SECRET_BYTES: usize = 16;

/// `Result` of sealing and opening frames.
pub type Result<T> = std::result::Result<T, FrameError>;

/// `FrameError` says why a frame is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The frame is shorter than its seal.
    #[error("frame is truncated")]
    Truncated,
    /// No key in force made the seal.
    #[error("frame is not authentic")]
    NotAuthentic,
    /// The frame was accepted before, or is too old to tell.
    #[error("frame is a replay")]
    Replayed,
    /// The frame is authentic but cannot be read by this version.
    #[error("frame cannot be read")]
    Undecodable,
    /// The secret is too short.
    #[error("secret is shorter than {MIN_SECRET_BYTES} bytes")]
    SecretTooShort,
}

/// `FleetKey` seals the frames between hosts.
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

    fn compute_mac(&self, content: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, content)
    }
}

/// `FleetKeys` holds the key in force and, during a rotation, the one before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetKeys {
    /// Key that frames are sealed with.
    pub current: FleetKey,
    /// Key that is accepted as well.
    pub previous: Option<FleetKey>,
}

impl FleetKeys {
    /// Appends the seal of `frame` to it.
    pub fn seal(&self, frame: &mut Vec<u8>) {
        let mac = self.current.compute_mac(frame);
        frame.extend_from_slice(&mac.as_bytes()[..MAC_BYTES]);
    }

    /// Returns the content of a sealed frame.
    ///
    /// # Errors
    ///
    /// Fails if the frame is truncated or no key in force sealed it.
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

/// Compares two byte strings of one length in constant time.
fn equal_in_constant_time(left: &[u8], right: &[u8]) -> bool {
    left.iter().zip(right).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}
