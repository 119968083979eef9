//! Protection against replayed frames.

/// Words of the window.
const WINDOW_WORDS: usize = 16;

/// Frames that may overtake each other; a smaller window would refuse frames that were only late.
const WINDOW_BITS: u64 = WINDOW_WORDS as u64 * 64;

/// `ReplayWindow` accepts each sequence number of one sender once, in any order within a window
/// (RFC 6479).
#[derive(Debug, Clone, Default)]
pub struct ReplayWindow {
    highest_sequence: u64,
    accepted_bits: [u64; WINDOW_WORDS],
}

impl ReplayWindow {
    /// Accepts a sequence number, unless it was accepted before or is too old to tell.
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

    fn advance_to(&mut self, sequence: u64) {
        if sequence <= self.highest_sequence {
            return;
        }
        let lowest_unseen = self.highest_sequence + 1;
        let clear_span = (sequence - lowest_unseen).min(WINDOW_BITS - 1);
        for newer in (sequence - clear_span)..=sequence {
            let bit_index = newer % WINDOW_BITS;
            self.accepted_bits[(bit_index / 64) as usize] &= !(1 << (bit_index % 64));
        }
        self.highest_sequence = sequence;
    }
}
