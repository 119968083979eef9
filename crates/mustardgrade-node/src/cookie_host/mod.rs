//! A host that places flows by cookie, between the edges of a platform.

mod actor;
mod adapters;
mod admin_pages;
mod answer_times;
mod event_log;
mod flow_log;
mod settings;
mod tasks;
mod threads;
mod traffic_thread;

pub use actor::{RegistryActor, RegistryActorResources, ReloadSettings};
pub use adapters::{
    PacketCodec, PacketError, PlatformAdapters, RegistryStore, StoreCallFuture, UpstreamTarget,
};
pub use admin_pages::render_rules_page;
pub use settings::{COOKIE_HOST_KEYS, CookieHostSettings};
pub(crate) use threads::{CookieHostThreads, LifecycleChannels, start_cookie_threads};

#[cfg(test)]
mod tests;
