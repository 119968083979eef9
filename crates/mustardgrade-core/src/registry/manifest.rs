//! The manifest: routes and services as the operators want them.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::errors::{RegistryError, Result};
use crate::identity::ServiceId;

/// `RepeatPolicy` says whether a caller may send a request of a route again.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatPolicy {
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

/// `RoutePlan` gives an address its services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePlan {
    /// Configured name.
    pub name: String,
    /// Address and port that callers use.
    pub address: SocketAddrV4,
    /// Where new flows go.
    pub backends: Vec<RouteBackend>,
    /// Whether requests may be repeated.
    pub repeat: RepeatPolicy,
    /// Time after which a request is of no use.
    pub timeout: Duration,
    /// Latency objective.
    pub objective: Duration,
    /// Urgency; 0 is the most urgent.
    pub priority: u32,
}

/// `ServicePlan` describes the upstreams of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// Configured name.
    pub name: String,
    /// Connections that one upstream holds.
    pub connections: u32,
    /// Time that an upstream stays cold after its start.
    pub cold_time: Duration,
    /// Requests a second that a cold upstream bears.
    pub cold_rate: f64,
}

/// `Manifest` is one version of the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Its version; versions only grow.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RoutePlan>,
    /// The services.
    pub services: Vec<ServicePlan>,
    /// Time after which a silent flow may be given up.
    pub idle_timeout: Duration,
}

impl Manifest {
    /// Checks whether every route can be followed; of two with one address the first is.
    ///
    /// # Errors
    ///
    /// Fails if two routes share an address or a route leads nowhere.
    pub fn check(&self) -> Result<()> {
        let mut seen: HashMap<SocketAddrV4, &str> = HashMap::new();
        for route in &self.routes {
            if route.backends.iter().all(|backend| backend.weight == 0) {
                return Err(RegistryError::NoBackend { route: route.name.clone() });
            }
            if let Some(first) = seen.insert(route.address, &route.name) {
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
    pub fn service(&self, service: ServiceId) -> Option<&ServicePlan> {
        self.services.iter().find(|plan| ServiceId::from_name(&plan.name) == service)
    }
}
