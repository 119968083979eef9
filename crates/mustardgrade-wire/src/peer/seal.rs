//! The fleet key and the seal of a frame.

use thiserror::Error;

/// Bytes of the seal; 128 bits cannot be guessed.
pub const SEAL_BYTES: usize = 16;

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
    Forged,
    /// The frame was accepted before, or is too old to tell.
    #[error("frame is a replay")]
    Replayed,
    /// The frame is authentic but cannot be read by this version.
    #[error("frame cannot be read")]
    Unreadable,
    /// The secret is too short.
    #[error("secret is shorter than {MIN_SECRET_BYTES} bytes")]
    WeakSecret,
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
            return Err(FrameError::WeakSecret);
        }
        Ok(Self(blake3::derive_key("mustardgrade 2026 host frame", secret)))
    }

    fn seal(&self, content: &[u8]) -> blake3::Hash {
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
        let seal = self.current.seal(frame);
        frame.extend_from_slice(&seal.as_bytes()[..SEAL_BYTES]);
    }

    /// Returns the content of a sealed frame.
    ///
    /// # Errors
    ///
    /// Fails if the frame is truncated or no key in force sealed it.
    pub fn open<'a>(&self, frame: &'a [u8]) -> Result<&'a [u8]> {
        let length = frame.len().checked_sub(SEAL_BYTES).ok_or(FrameError::Truncated)?;
        let (content, seal) = frame.split_at(length);
        let keys = [Some(&self.current), self.previous.as_ref()];
        let sealed = |key: &FleetKey| equal(&key.seal(content).as_bytes()[..SEAL_BYTES], seal);
        match keys.into_iter().flatten().any(sealed) {
            true => Ok(content),
            false => Err(FrameError::Forged),
        }
    }
}

/// Compares two byte strings of one length in constant time.
fn equal(left: &[u8], right: &[u8]) -> bool {
    left.iter().zip(right).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}
