//! The content of a feed: a byte stream that both ends can compute.

use mustardgrade_core::identity::rendezvous_score;

/// Bytes of the greeting that names the upstream, padded with blanks.
pub const GREETING_BYTES: usize = 32;

/// Bytes of the request line that names the feed.
pub const REQUEST_LINE_BYTES: usize = 16;

/// Returns the byte of feed `number` at `position` after the greeting.
#[must_use]
pub fn feed_byte(feed_number: u64, offset: u64) -> u8 {
    let word = rendezvous_score(offset / 8, feed_number);
    (word >> (8 * (offset % 8))) as u8
}

/// Appends `count` bytes of feed `number` from `position` on.
pub fn append_feed_bytes(feed_number: u64, first_offset: u64, count: usize, output: &mut Vec<u8>) {
    output.extend((0..count as u64).map(|index| feed_byte(feed_number, first_offset + index)));
}

/// Returns the greeting of an upstream.
#[must_use]
pub fn encode_greeting(upstream: &str) -> Vec<u8> {
    let mut greeting = upstream.as_bytes().to_vec();
    greeting.resize(GREETING_BYTES, b' ');
    greeting
}

/// Returns the request line of feed `number`.
#[must_use]
pub fn encode_request_line(feed_number: u64) -> Vec<u8> {
    format!("{feed_number:016x}").into_bytes()
}

/// Reads a request line.
#[must_use]
pub fn parse_request_line(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line.get(..REQUEST_LINE_BYTES)?).ok()?;
    u64::from_str_radix(text, 16).ok()
}
