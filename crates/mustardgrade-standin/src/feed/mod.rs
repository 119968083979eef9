//! Format of a feed: a TCP byte stream whose content both ends compute, so that the caller can
//! check every byte.
//!
//! The caller sends a request line with the number of the feed. The upstream answers with a
//! greeting that holds its name, followed by the bytes of the feed.

use mustardgrade_core::identity::rendezvous_score;

/// Length of the greeting, which is the name of the upstream padded with spaces.
pub const GREETING_BYTES: usize = 32;

/// Length of the request line, which is the number of the feed in hexadecimal.
pub const REQUEST_LINE_BYTES: usize = 16;

/// Computes the byte of a feed at `offset`, counted from the end of the greeting.
#[must_use]
pub fn feed_byte(feed_number: u64, offset: u64) -> u8 {
    let word = rendezvous_score(offset / 8, feed_number);
    (word >> (8 * (offset % 8))) as u8
}

/// Appends `count` bytes of a feed, starting at `first_offset`, to `output`.
pub fn append_feed_bytes(feed_number: u64, first_offset: u64, count: usize, output: &mut Vec<u8>) {
    output.extend((0..count as u64).map(|index| feed_byte(feed_number, first_offset + index)));
}

/// Encodes the greeting of an upstream, padded or cut to [`GREETING_BYTES`].
#[must_use]
pub fn encode_greeting(upstream: &str) -> Vec<u8> {
    let mut greeting = upstream.as_bytes().to_vec();
    greeting.resize(GREETING_BYTES, b' ');
    greeting
}

/// Encodes the request line that asks for a feed.
#[must_use]
pub fn encode_request_line(feed_number: u64) -> Vec<u8> {
    format!("{feed_number:016x}").into_bytes()
}

/// Parses the feed number from a request line.
///
/// Returns `None` if the line is shorter than [`REQUEST_LINE_BYTES`] or not a hexadecimal number.
#[must_use]
pub fn parse_request_line(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line.get(..REQUEST_LINE_BYTES)?).ok()?;
    u64::from_str_radix(text, 16).ok()
}
