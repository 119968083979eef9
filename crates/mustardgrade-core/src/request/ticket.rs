//! Tickets for at-most-once execution of non-idempotent requests.
//!
//! A ticket is carried in the Echo option (RFC 9175). It names the only dispatcher incarnation that
//! may execute the request, so no other host executes it even if messages are lost, duplicated or
//! delayed.

use std::time::Duration;

use thiserror::Error;

use crate::identity::{HostId, HostIncarnation, UpstreamId};

/// Length of the encoded fields, without the message authentication code.
const BODY_BYTES: usize = 8 + 8 + 4 + 8 + 4;

/// Length of the message authentication code; 64 bits cannot be guessed within a ticket's lifetime.
const MAC_BYTES: usize = 8;

/// Length of an encoded ticket; the Echo option holds at most 40 bytes (RFC 9175, section 2.2.1).
pub const TICKET_BYTES: usize = BODY_BYTES + MAC_BYTES;

/// `Result` of decoding a ticket.
pub type Result<T> = std::result::Result<T, TicketError>;

/// `TicketError` is the reason why a ticket could not be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TicketError {
    /// The ticket does not have `TICKET_BYTES` bytes; holds the actual length.
    #[error("ticket is {0} bytes long, expected {TICKET_BYTES}")]
    WrongLength(usize),
    /// The authentication code is not the one that the given key and binding yield: the ticket is
    /// forged or damaged, or was issued under another key or for another caller or service.
    #[error(
        "ticket authentication failed: forged, damaged, or issued under another key or for another \
         caller or service"
    )]
    NotAuthentic,
}

/// `TicketKey` is the key that tickets are authenticated with; all hosts of a fleet share it.
#[derive(Clone)]
pub struct TicketKey([u8; 32]);

impl std::fmt::Debug for TicketKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TicketKey(..)")
    }
}

impl TicketKey {
    /// Derives the key from the shared secret of the fleet.
    #[must_use]
    pub fn derive(secret: &[u8]) -> Self {
        Self(blake3::derive_key("mustardgrade 2026 request ticket", secret))
    }
}

/// `RequestTicket` permits one execution of a request, by one dispatcher incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestTicket {
    /// The only host incarnation that may execute the request.
    pub dispatcher: HostIncarnation,
    /// Lower 32 bits of the identity of the preferred upstream.
    pub upstream_tag: u32,
    /// Random number that identifies the ticket.
    pub nonce: u64,
    /// Expiry time in seconds since the Unix epoch.
    pub expires_at_secs: u32,
}

impl RequestTicket {
    /// Encodes and authenticates the ticket; it is valid only with the same `binding`, which stands
    /// for the caller and the service.
    #[must_use]
    pub fn encode(&self, key: &TicketKey, binding: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(TICKET_BYTES);
        bytes.extend_from_slice(&self.dispatcher.host.0.to_le_bytes());
        bytes.extend_from_slice(&self.dispatcher.incarnation.to_le_bytes());
        bytes.extend_from_slice(&self.upstream_tag.to_le_bytes());
        bytes.extend_from_slice(&self.nonce.to_le_bytes());
        bytes.extend_from_slice(&self.expires_at_secs.to_le_bytes());
        let mac = compute_mac(key, &bytes, binding);
        bytes.extend_from_slice(&mac);
        bytes
    }

    /// Decodes a ticket and verifies its authentication code.
    ///
    /// # Errors
    ///
    /// Fails if the length is wrong or the ticket was not issued under `key` for `binding`.
    pub fn decode(bytes: &[u8], key: &TicketKey, binding: &[u8]) -> Result<Self> {
        if bytes.len() != TICKET_BYTES {
            return Err(TicketError::WrongLength(bytes.len()));
        }
        let (body, mac) = bytes.split_at(BODY_BYTES);
        // Comparing hashes of the codes keeps the timing from revealing how much of a code matches.
        let expected = compute_mac(key, body, binding);
        if blake3::hash(mac) != blake3::hash(&expected) {
            return Err(TicketError::NotAuthentic);
        }
        let read_u64 = |offset: usize| {
            let mut bytes = [0_u8; 8];
            bytes.copy_from_slice(&body[offset..offset + 8]);
            u64::from_le_bytes(bytes)
        };
        let read_u32 = |offset: usize| {
            let mut bytes = [0_u8; 4];
            bytes.copy_from_slice(&body[offset..offset + 4]);
            u32::from_le_bytes(bytes)
        };
        Ok(Self {
            dispatcher: HostIncarnation { host: HostId(read_u64(0)), incarnation: read_u64(8) },
            upstream_tag: read_u32(16),
            nonce: read_u64(20),
            expires_at_secs: read_u32(28),
        })
    }

    /// Returns the value of `upstream_tag` that stands for an upstream.
    #[must_use]
    pub fn tag_for_upstream(upstream: UpstreamId) -> u32 {
        upstream.0 as u32
    }

    /// Returns the expiry time as a duration since the Unix epoch.
    #[must_use]
    pub fn expires_at(&self) -> Duration {
        Duration::from_secs(u64::from(self.expires_at_secs))
    }
}

fn compute_mac(key: &TicketKey, body: &[u8], binding: &[u8]) -> [u8; MAC_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(body);
    hasher.update(binding);
    let mut mac = [0_u8; MAC_BYTES];
    hasher.finalize_xof().fill(&mut mac);
    mac
}
