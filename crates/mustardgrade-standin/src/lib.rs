//! Stand-ins for everything around mustardgrade: platform, fabric, upstreams and callers; the
//! scenario language; and the measuring tool.
//!
//! They exist to try and to measure the system and are no part of it.

pub mod caller;
pub mod fabric;
pub mod feed;
pub mod fleet;
pub mod measure;
pub mod platform;
mod queue;
pub mod scenario;
pub mod tcp;
pub mod trial;
pub mod upstream;
pub mod world;
