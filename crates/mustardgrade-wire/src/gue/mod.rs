//! Generic UDP encapsulation (GUE, draft-ietf-intarea-gue).
//!
//! Packets are encapsulated in variant 0, with a four-byte header. Datagrams of both variants are
//! accepted.

use thiserror::Error;

/// Length of the header that [`encapsulate`] adds to a packet.
pub const HEADER_BYTES: usize = 4;

/// Registered UDP port of GUE.
pub const GUE_PORT: u16 = 6080;

/// IP protocol number of an encapsulated IPv4 packet (RFC 2003).
const PROTOCOL_IPV4: u8 = 4;

/// Header of variant 0 for an IPv4 payload, without flags or optional fields.
const IPV4_HEADER: [u8; HEADER_BYTES] = [0, PROTOCOL_IPV4, 0, 0];

/// `Result` of decapsulating a datagram.
pub type Result<T> = std::result::Result<T, GueError>;

/// `GueError` is the reason why a datagram could not be decapsulated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum GueError {
    /// The datagram ends within the header; holds its length in bytes.
    #[error("GUE datagram of {0} bytes is truncated")]
    Truncated(usize),
    /// The payload is a control message or belongs to a protocol other than IPv4.
    #[error("GUE payload is not an IPv4 packet")]
    UnsupportedPayload,
    /// The header has an unknown variant number.
    #[error("unknown GUE variant {0}")]
    UnknownVariant(u8),
}

/// Appends a GUE header and `packet` to `datagram`.
pub fn encapsulate(packet: &[u8], datagram: &mut Vec<u8>) {
    datagram.extend_from_slice(&IPV4_HEADER);
    datagram.extend_from_slice(packet);
}

/// Returns the IPv4 packet that a datagram contains.
///
/// # Errors
///
/// Fails if the datagram is truncated, has another payload, or has an unknown variant.
pub fn decapsulate(datagram: &[u8]) -> Result<&[u8]> {
    let first_byte = *datagram.first().ok_or(GueError::Truncated(0))?;
    match first_byte >> 6 {
        0 => decapsulate_variant_0(datagram),
        // Variant 1 has no GUE header: the datagram starts with the version field of the IP packet.
        1 if first_byte >> 4 == 4 => Ok(datagram),
        1 => Err(GueError::UnsupportedPayload),
        variant => Err(GueError::UnknownVariant(variant)),
    }
}

/// Strips the base header and the optional fields, whose length the header gives in 32-bit words.
fn decapsulate_variant_0(datagram: &[u8]) -> Result<&[u8]> {
    let Some((header, _)) = datagram.split_first_chunk::<HEADER_BYTES>() else {
        return Err(GueError::Truncated(datagram.len()));
    };
    let is_control = header[0] & 0x20 != 0;
    if is_control || header[1] != PROTOCOL_IPV4 {
        return Err(GueError::UnsupportedPayload);
    }
    let optional_bytes = usize::from(header[0] & 0x1F) * 4;
    datagram.get(HEADER_BYTES + optional_bytes..).ok_or(GueError::Truncated(datagram.len()))
}

#[cfg(test)]
mod tests;
