//! HTTP server for the metrics and status of a host.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::http::header::CONTENT_TYPE;
use axum::routing::{MethodRouter, get};

use super::registry::HostMetrics;

/// Media type of OpenMetrics text.
const OPENMETRICS_MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Binds `address` and returns a future that serves the metrics at `/metrics` and the JSON text of
/// `status_json` at `/status`.
///
/// # Errors
///
/// Fails if the port cannot be bound.
pub async fn serve_metrics<F>(
    address: SocketAddr,
    metrics: Arc<HostMetrics>,
    status_json: F,
) -> std::io::Result<impl Future<Output = ()>>
where
    F: Fn() -> String + Clone + Send + Sync + 'static,
{
    let listener = tokio::net::TcpListener::bind(address).await?;
    let status_handler = move || {
        let body = status_json();
        async move { ([(CONTENT_TYPE, "application/json")], body) }
    };
    let router = Router::new()
        .route("/metrics", metrics_handler(&metrics))
        .route("/status", get(status_handler));
    Ok(async move {
        if let Err(error) = axum::serve(listener, router).await {
            log::warn!(error:% = error; "metrics server failed");
        }
    })
}

/// Returns the handler that renders the metrics of a host as OpenMetrics text.
pub fn metrics_handler(metrics: &Arc<HostMetrics>) -> MethodRouter {
    let registry = Arc::new(metrics.registry());
    get(move || {
        let registry = Arc::clone(&registry);
        async move {
            let mut text = String::new();
            let encoded = prometheus_client::encoding::text::encode(&mut text, &registry);
            match encoded {
                Ok(()) => ([(CONTENT_TYPE, OPENMETRICS_MEDIA_TYPE)], text),
                Err(error) => ([(CONTENT_TYPE, "text/plain")], error.to_string()),
            }
        }
    })
}
