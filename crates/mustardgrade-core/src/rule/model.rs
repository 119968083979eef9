//! Data model of the operator rules.

use std::net::{Ipv4Addr, SocketAddrV4};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::identity::{DataCentreId, ServiceId, UpstreamId};

/// `RuleComment` is the comment of a rule: who requested it, and why.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RuleComment(pub String);

/// `DataCentreState` says whether a data centre is in service.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DataCentreState {
    /// The data centre serves traffic.
    #[display("in")]
    In,
    /// The data centre receives no packets.
    #[display("out")]
    Out,
}

/// `DataCentreRule` takes a data centre into or out of service.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[display("data-centre {name} {state}  # {comment}")]
pub struct DataCentreRule {
    /// Configured name.
    pub name: String,
    /// Whether the data centre is in service.
    pub state: DataCentreState,
    /// Who requested the rule, and why.
    pub comment: RuleComment,
    /// Line number in the rules file.
    pub line: usize,
}

/// `ServiceClass` is the kind of traffic that a service carries.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceClass {
    /// Long-lived TCP flows.
    #[display("flow")]
    Flow,
    /// CoAP requests over UDP.
    #[display("request")]
    Request,
}

/// `ServiceRule` defines a service and its address.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[display("service {name} {address} class={class} tenant={customer}  # {comment}")]
pub struct ServiceRule {
    /// Configured name.
    pub name: String,
    /// Address and port that callers use.
    pub address: SocketAddrV4,
    /// Kind of traffic that the service carries.
    pub class: ServiceClass,
    /// Customer to whom its metrics and fair shares are attributed (`tenant` in the rules file).
    #[serde(rename = "tenant")]
    pub customer: String,
    /// Who requested the rule, and why.
    pub comment: RuleComment,
    /// Line number in the rules file.
    pub line: usize,
}

impl ServiceRule {
    /// Returns the identity of the service.
    #[must_use]
    pub fn id(&self) -> ServiceId {
        ServiceId::from_name(&self.name)
    }
}

/// `UpstreamState` says whether an upstream accepts new work.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// The upstream accepts new work.
    #[display("serving")]
    Serving,
    /// The upstream keeps its current work and accepts no new work.
    #[display("draining")]
    Draining,
    /// The upstream is declared gone, and its current work is abandoned.
    #[display("gone")]
    Gone,
}

/// `UpstreamRule` assigns an upstream to a service.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[display(
    "upstream {name} service={service} at={address} data-centre={data_centre} slots={slots} \
     state={state}  # {comment}"
)]
pub struct UpstreamRule {
    /// Configured name.
    pub name: String,
    /// Name of the service that the upstream serves.
    pub service: String,
    /// Address of the upstream.
    pub address: Ipv4Addr,
    /// Name of the data centre of the upstream.
    pub data_centre: String,
    /// Number of requests that the upstream serves concurrently once it is warm.
    pub slots: u16,
    /// Whether the upstream accepts new work.
    pub state: UpstreamState,
    /// Who requested the rule, and why.
    pub comment: RuleComment,
    /// Line number in the rules file.
    pub line: usize,
}

impl UpstreamRule {
    /// Returns the identity of the upstream.
    #[must_use]
    pub fn id(&self) -> UpstreamId {
        UpstreamId::from_name(&self.name)
    }
}

/// `RuleSet` is the content of a rules file.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleSet {
    /// Data centres, in the order of the file.
    pub data_centres: Vec<DataCentreRule>,
    /// Services, in the order of the file.
    pub services: Vec<ServiceRule>,
    /// Upstreams, in the order of the file.
    pub upstreams: Vec<UpstreamRule>,
}

impl RuleSet {
    /// Returns the service that callers reach at `address`.
    #[must_use]
    pub fn service_at(&self, address: SocketAddrV4) -> Option<&ServiceRule> {
        self.services.iter().find(|service| service.address == address)
    }

    /// Returns the upstreams of the service called `name`.
    pub fn upstreams_of<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a UpstreamRule> {
        self.upstreams.iter().filter(move |upstream| upstream.service == name)
    }

    /// Returns whether the data centre called `name` is in service.
    #[must_use]
    pub fn is_in_service(&self, name: &str) -> bool {
        self.data_centres
            .iter()
            .any(|data_centre| data_centre.name == name && data_centre.state == DataCentreState::In)
    }

    /// Returns the data centres that the rules take out of service.
    #[must_use]
    pub fn out_of_service_data_centres(&self) -> Vec<DataCentreId> {
        let out_of_service =
            self.data_centres.iter().filter(|rule| rule.state == DataCentreState::Out);
        out_of_service.map(|rule| DataCentreId::from_name(&rule.name)).collect()
    }

    /// Returns whether `upstream` may receive new work: it is serving and its data centre is in
    /// service.
    #[must_use]
    pub fn accepts_new_work(&self, upstream: &UpstreamRule) -> bool {
        upstream.state == UpstreamState::Serving && self.is_in_service(&upstream.data_centre)
    }

    /// Formats the rules as text that [`super::parse_rules`] accepts.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for data_centre in &self.data_centres {
            text.push_str(&format!("{data_centre}\n"));
        }
        for service in &self.services {
            text.push_str(&format!("{service}\n"));
        }
        for upstream in &self.upstreams {
            text.push_str(&format!("{upstream}\n"));
        }
        text
    }
}
