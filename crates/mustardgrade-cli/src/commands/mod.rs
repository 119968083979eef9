//! Subcommands.

mod trial;

pub use trial::{TryCommand, run_try};

/// Exit code of an input that cannot be used.
pub const EXIT_INPUT: u8 = 2;

/// Exit code of something that could not be carried out.
pub const EXIT_FAILED: u8 = 3;
