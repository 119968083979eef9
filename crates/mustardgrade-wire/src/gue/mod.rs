//! Generic UDP encapsulation (draft-ietf-intarea-gue).
//!
//! Packets are written in variant 0, with a four-byte header; both variants are read.

use thiserror::Error;

/// Bytes that encapsulation adds to a packet.
pub const HEADER_BYTES: usize = 4;

/// Registered UDP port of GUE.
pub const GUE_PORT: u16 = 6080;

/// IP protocol number of an encapsulated IPv4 packet (RFC 2003).
const PROTOCOL_IPV4: u8 = 4;

/// Header of variant 0 that carries IPv4 without flags or optional fields.
const IPV4_HEADER: [u8; HEADER_BYTES] = [0, PROTOCOL_IPV4, 0, 0];

/// `Result` of reading an encapsulated packet.
pub type Result<T> = std::result::Result<T, GueError>;

/// `GueError` says why a datagram carries no packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum GueError {
    /// The datagram ends within the header.
    #[error("datagram of {0} bytes is truncated")]
    Truncated(usize),
    /// The datagram carries a control message or another protocol.
    #[error("datagram carries no IPv4 packet")]
    UnsupportedPayload,
    /// The variant is not known.
    #[error("unknown variant {0}")]
    UnknownVariant(u8),
}

/// Appends the encapsulation of `packet` to `datagram`.
pub fn encapsulate(packet: &[u8], datagram: &mut Vec<u8>) {
    datagram.extend_from_slice(&IPV4_HEADER);
    datagram.extend_from_slice(packet);
}

/// Returns the packet that a datagram carries.
///
/// # Errors
///
/// Fails if the datagram is truncated, carries no IPv4 packet, or has an unknown variant.
pub fn decapsulate(datagram: &[u8]) -> Result<&[u8]> {
    let first_byte = *datagram.first().ok_or(GueError::Truncated(0))?;
    match first_byte >> 6 {
        0 => decapsulate_variant_0(datagram),
        // Variant 1 has no header: the datagram starts with the IP version field.
        1 if first_byte >> 4 == 4 => Ok(datagram),
        1 => Err(GueError::UnsupportedPayload),
        variant => Err(GueError::UnknownVariant(variant)),
    }
}

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
