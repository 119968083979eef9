//! Protection against replayed frames.

/// Words of the window.
const WINDOW_WORDS: usize = 16;

/// Frames that may overtake each other; a smaller window would refuse frames that were only late.
const WINDOW_BITS: u64 = WINDOW_WORDS as u64 * 64;

/// `ReplayWindow` accepts each sequence number of one sender once, in any order within a window
/// (RFC 6479).
#[derive(Debug, Clone, Default)]
pub struct ReplayWindow {
    highest: u64,
    seen: [u64; WINDOW_WORDS],
}

impl ReplayWindow {
    /// Accepts a sequence number, unless it was accepted before or is too old to tell.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence + WINDOW_BITS <= self.highest {
            return false;
        }
        self.slide_to(sequence);
        let bit = sequence % WINDOW_BITS;
        let mask = 1 << (bit % 64);
        let word = &mut self.seen[(bit / 64) as usize];
        let fresh = *word & mask == 0;
        *word |= mask;
        fresh
    }

    fn slide_to(&mut self, sequence: u64) {
        if sequence <= self.highest {
            return;
        }
        let first = self.highest + 1;
        let cleared = (sequence - first).min(WINDOW_BITS - 1);
        for passed in (sequence - cleared)..=sequence {
            let bit = passed % WINDOW_BITS;
            self.seen[(bit / 64) as usize] &= !(1 << (bit % 64));
        }
        self.highest = sequence;
    }
}
