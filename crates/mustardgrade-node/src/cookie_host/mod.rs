//! Host that routes flows by cookie, without per-flow state shared between hosts.
//!
//! One traffic thread routes packets with a
//! [`CookieRouter`](mustardgrade_core::cookie::CookieRouter), and one control thread replicates the
//! registry with a [`WatchController`](mustardgrade_core::watch::WatchController). A platform
//! supplies the codec of its packets and the client of its store as [`PlatformAdapters`].

mod actor;
mod adapters;
mod admin_pages;
mod answer_times;
mod event_log;
mod explain_page;
mod explanation_slot;
mod flow_log;
mod service_loads;
mod settings;
mod shared_state;
mod tasks;
mod threads;
mod traffic_thread;

pub use actor::{RegistryActor, RegistryActorResources, ReloadSettings};
pub use adapters::{
    PacketCodec, PacketError, PlatformAdapters, RegistryStore, StoreCallFuture, StoreWriteFuture,
    UpstreamTarget,
};
pub use admin_pages::render_rules_page;
pub use settings::{COOKIE_HOST_KEYS, CookieHostSettings};
pub(crate) use threads::{CookieHostThreads, LifecycleChannels, start_cookie_threads};

#[cfg(test)]
mod tests;
