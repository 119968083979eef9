//! Metrics of a host, served as OpenMetrics text over HTTP.

mod collector;
mod labels;
mod registry;
mod server;
mod service_writes;

pub use labels::{
    AnswerTimeLabels, FlowLabels, RequestLabels, RequestOutcomeLabel, RouteLabels,
    ServiceLoadLabels,
};
pub use registry::{HostMetrics, PublishedCounters, SentByteKind};
pub use server::{metrics_handler, serve_metrics};
pub use service_writes::ServiceWriteCounts;
