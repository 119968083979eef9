//! Division of a host's processor between the thread that routes packets and all others.
//!
//! Small hosts have a fraction of one core, on which only one thread runs at a time.

mod receive_schedule;

pub use receive_schedule::{ReceiveSchedule, ReceiveStep};

#[cfg(test)]
mod tests;
