//! Placement of openings across the backends of a route while one of them lacks capacity.

mod allowance;
mod evidence;
mod measure;
mod selector;
mod service;

pub(super) use selector::{BackendSelector, SpilloverLog};
