//! Metrics of a host, in OpenMetrics text over HTTP.

mod registry;
mod server;

pub use registry::{
    AnswerLabels, ByteKind, CounterCell, HostMetrics, RequestLabels, RequestWord, TrafficLabels,
};
pub use server::{metrics_page, serve_metrics};
