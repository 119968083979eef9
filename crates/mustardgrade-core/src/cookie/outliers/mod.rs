//! Detection of upstreams that fail a part of their requests although they answer others.
//!
//! A host observes the outcome of a request only where it is certain of it. The failed share of an
//! upstream is compared with that of the same routes at the other upstreams of its service and data
//! centre; the evidence of the hosts of a data centre is pooled through their load reports.

mod baseline;
mod detector;
mod ejection;
mod evidence;
mod limits;
mod mode;
mod observation;
mod placement;
mod pool;
mod request_watch;
mod upstream;
mod window;

pub use detector::OutlierCounters;
pub(super) use detector::OutlierDetector;
pub use mode::OutlierMode;
pub use pool::{OutcomeEntry, OutcomeTable, PooledOutcomes};
pub use request_watch::{RequestWatch, WatchStage};
