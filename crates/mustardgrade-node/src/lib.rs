//! Runtime of an entry host: the sockets, threads and actors around `mustardgrade-core`.
//!
//! A host that places flows by rules runs one control thread, one request thread and one or more
//! traffic threads for flows. A host that routes flows by cookie (see [`cookie_host`]) runs one
//! control thread and one traffic thread. Traffic threads read snapshots that the control thread
//! publishes and never wait for it.

pub mod calls;
pub mod clock;
pub mod control;
pub mod cookie_host;
pub mod host;
pub mod logging;
pub mod metrics;
pub mod requests;
pub mod settings;
pub mod store;
pub mod traffic;
