//! The manifest: routes and services as configured by the operators.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::errors::{RegistryError, Result};
use crate::identity::ServiceId;

/// `RetryPolicy` says whether requests of a route may be retried.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// Requests are idempotent and may be retried.
    #[display("idempotent")]
    Idempotent,
    /// A request must run at most once and may not be retried.
    #[display("at-most-once")]
    AtMostOnce,
}

/// `RouteBackend` is one of the services that receive the new flows of a route.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{service}*{weight}")]
pub struct RouteBackend {
    /// The service that receives the flows.
    pub service: ServiceId,
    /// Relative share of the new flows; 0 excludes the service.
    pub weight: u32,
}

/// `RouteConfig` maps an address that callers use to the services behind it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteConfig {
    /// Configured name, which is shown to operators.
    pub name: String,
    /// Address and port that callers connect to.
    pub address: SocketAddrV4,
    /// Services that new flows are distributed over, by weight.
    pub backends: Vec<RouteBackend>,
    /// Whether requests of the route may be retried.
    pub retry_policy: RetryPolicy,
    /// Time after which callers have no more use for an answer.
    pub request_timeout: Duration,
    /// Target for the latency of answers.
    pub latency_objective: Duration,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
}

/// `ServiceConfig` holds the limits of the upstreams of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Configured name; [`ServiceId::from_name`] derives the id from it.
    pub name: String,
    /// Maximum number of connections of one upstream.
    pub max_connections: u32,
    /// Time after its start during which an upstream is cold.
    pub cold_start_duration: Duration,
    /// Maximum request rate of a cold upstream, in requests per second.
    pub max_cold_requests_per_sec: f64,
}

/// `Manifest` is one version of the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Version number, which never decreases.
    pub version: u64,
    /// Routes; of several with the same address the first is in force.
    pub routes: Vec<RouteConfig>,
    /// Services that the routes refer to.
    pub services: Vec<ServiceConfig>,
    /// Time without packets after which hosts may remove a flow from their tables.
    pub idle_timeout: Duration,
}

impl Manifest {
    /// Checks that every route has a backend that gets flows, and an address of its own.
    ///
    /// # Errors
    ///
    /// Fails if two routes share an address or a route has no backend with a non-zero weight.
    pub fn validate(&self) -> Result<()> {
        let mut first_by_address: HashMap<SocketAddrV4, &str> = HashMap::new();
        for route in &self.routes {
            if route.backends.iter().all(|backend| backend.weight == 0) {
                return Err(RegistryError::NoBackend { route: route.name.clone() });
            }
            if let Some(first) = first_by_address.insert(route.address, &route.name) {
                return Err(RegistryError::SharedAddress {
                    first: first.to_owned(),
                    second: route.name.clone(),
                    address: route.address,
                });
            }
        }
        Ok(())
    }

    /// Returns the configuration of a service, if the manifest has one.
    #[must_use]
    pub fn service(&self, service: ServiceId) -> Option<&ServiceConfig> {
        self.services.iter().find(|config| ServiceId::from_name(&config.name) == service)
    }
}
