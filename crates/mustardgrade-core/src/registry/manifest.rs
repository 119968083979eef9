//! The manifest: routes and services as the operators want them.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::errors::{RegistryError, Result};
use crate::identity::ServiceId;

/// `RetryPolicy` says whether a caller may send a request of a route again.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// The requests are idempotent.
    #[display("idempotent")]
    Idempotent,
    /// A request runs at most once.
    #[display("at-most-once")]
    AtMostOnce,
}

/// `RouteBackend` is one service that a route leads to.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{service}*{weight}")]
pub struct RouteBackend {
    /// The service.
    pub service: ServiceId,
    /// Its share of the new flows, relative to the other backends.
    pub weight: u32,
}

/// `RouteConfig` gives an address its services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteConfig {
    /// Configured name.
    pub name: String,
    /// Address and port that callers use.
    pub address: SocketAddrV4,
    /// Where new flows go.
    pub backends: Vec<RouteBackend>,
    /// Whether requests may be repeated.
    pub retry_policy: RetryPolicy,
    /// Time after which a request is of no use.
    pub request_timeout: Duration,
    /// Latency objective.
    pub latency_objective: Duration,
    /// Urgency; 0 is the most urgent.
    pub priority: u32,
}

/// `ServiceConfig` describes the upstreams of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Configured name.
    pub name: String,
    /// Connections that one upstream holds.
    pub max_connections: u32,
    /// Time that an upstream stays cold after its start.
    pub cold_start_duration: Duration,
    /// Requests a second that a cold upstream bears.
    pub max_cold_requests_per_sec: f64,
}

/// `Manifest` is one version of the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Its version; versions only grow.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteConfig>,
    /// The services.
    pub services: Vec<ServiceConfig>,
    /// Time after which a silent flow may be given up.
    pub idle_timeout: Duration,
}

impl Manifest {
    /// Checks whether every route can be followed; of two with one address the first is.
    ///
    /// # Errors
    ///
    /// Fails if two routes share an address or a route leads nowhere.
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

    /// Returns the plan of a service.
    #[must_use]
    pub fn service(&self, service: ServiceId) -> Option<&ServiceConfig> {
        self.services.iter().find(|config| ServiceId::from_name(&config.name) == service)
    }
}
