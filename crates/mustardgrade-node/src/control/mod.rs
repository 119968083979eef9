//! Control thread of a host: the actor that owns the controller, and the tasks that send it inputs.

mod actor;
mod effects;
mod store_repair;
mod tasks;

pub use actor::{ControlActor, ControlResources, HostStatus, StoreRead, StoreWriteFinished};
pub use tasks::{
    spawn_call_server, spawn_digest_receiver, spawn_store_watchers, spawn_ticker,
    spawn_transfer_sender,
};
