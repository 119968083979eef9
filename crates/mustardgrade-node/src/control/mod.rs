//! The control thread: the actor that owns the controller, and the tasks that feed it.

mod actor;
mod effects;
mod tasks;

pub use actor::{ControlActor, ControlLinks, HostStatus, StoreRead, WriteFinished};
pub use tasks::{
    spawn_call_server, spawn_digest_reader, spawn_store_watch, spawn_ticker, spawn_transfers,
};
