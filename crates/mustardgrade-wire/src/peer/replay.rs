//! Detection of replayed frames.

/// Number of 64-bit words in the bitmap of a window.
const WINDOW_WORDS: usize = 16;

/// Width of the window in sequence numbers; a smaller window would reject frames that are merely
/// delayed.
const WINDOW_BITS: u64 = WINDOW_WORDS as u64 * 64;

/// `ReplayWindow` accepts each sequence number of one channel once, in any order within a sliding
/// window (RFC 6479).
#[derive(Debug, Clone, Default)]
pub struct ReplayWindow {
    highest_sequence: u64,
    accepted_bits: [u64; WINDOW_WORDS],
}

impl ReplayWindow {
    /// Returns whether a sequence number is new, and marks it as accepted.
    ///
    /// Numbers below the window are rejected, since it is not known whether they were accepted.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence + WINDOW_BITS <= self.highest_sequence {
            return false;
        }
        self.advance_to(sequence);
        let bit_index = sequence % WINDOW_BITS;
        let mask = 1 << (bit_index % 64);
        let window_word = &mut self.accepted_bits[(bit_index / 64) as usize];
        let is_new = *window_word & mask == 0;
        *window_word |= mask;
        is_new
    }

    /// Moves the upper end of the window to `sequence` and clears the bits of the added numbers.
    fn advance_to(&mut self, sequence: u64) {
        if sequence <= self.highest_sequence {
            return;
        }
        let first_newer = self.highest_sequence + 1;
        let clear_span = (sequence - first_newer).min(WINDOW_BITS - 1);
        for newer in (sequence - clear_span)..=sequence {
            let bit_index = newer % WINDOW_BITS;
            self.accepted_bits[(bit_index / 64) as usize] &= !(1 << (bit_index % 64));
        }
        self.highest_sequence = sequence;
    }
}
