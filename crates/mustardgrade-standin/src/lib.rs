//! Stand-ins (test doubles) for everything that mustardgrade talks to: platform, fabric, upstreams
//! and callers; simulations in virtual time; the scenario language, and the measuring of scenarios.
//!
//! For testing and measuring only; nothing here is part of the system itself.

pub mod caller;
pub mod fabric;
pub mod feed;
pub mod fleet;
pub mod measure;
pub mod platform;
mod queue;
pub mod scenario;
mod task_loop;
pub mod tcp;
pub mod trial;
pub mod upstream;
pub mod world;
