//! The rules as data.

use std::net::{Ipv4Addr, SocketAddrV4};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::identity::{DataCentreId, ServiceId, UpstreamId};

/// `RuleComment` is the comment of a rule: who asked for it, and why.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RuleComment(pub String);

/// `DataCentreState` says whether a data centre takes part.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DataCentreState {
    /// The data centre serves.
    #[display("in")]
    In,
    /// The data centre receives no packets.
    #[display("out")]
    Out,
}

/// `DataCentreRule` puts a data centre in or out.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[display("data-centre {name} {state}  # {comment}")]
pub struct DataCentreRule {
    /// Configured name.
    pub name: String,
    /// Whether it takes part.
    pub state: DataCentreState,
    /// Who asked.
    pub comment: RuleComment,
    /// Line in the rules file.
    pub line: usize,
}

/// `ServiceClass` says what traffic a service carries.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceClass {
    /// Long TCP flows.
    #[display("flow")]
    Flow,
    /// CoAP requests over UDP.
    #[display("request")]
    Request,
}

/// `ServiceRule` gives a service its address.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[display("service {name} {address} class={class} tenant={tenant}  # {comment}")]
pub struct ServiceRule {
    /// Configured name.
    pub name: String,
    /// Address and port that callers use.
    pub address: SocketAddrV4,
    /// What traffic it carries.
    pub class: ServiceClass,
    /// The tenant that its metrics and fair shares are counted under.
    pub tenant: String,
    /// Who asked.
    pub comment: RuleComment,
    /// Line in the rules file.
    pub line: usize,
}

impl ServiceRule {
    /// Returns the identity of the service.
    #[must_use]
    pub fn id(&self) -> ServiceId {
        ServiceId::from_name(&self.name)
    }
}

/// `UpstreamState` says whether an upstream takes new work.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// The upstream takes new work.
    #[display("serving")]
    Serving,
    /// The upstream keeps what it has and takes nothing new.
    #[display("draining")]
    Draining,
    /// The upstream is declared gone: what it had is given up.
    #[display("gone")]
    Gone,
}

/// `UpstreamRule` gives a service one upstream.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[display(
    "upstream {name} service={service} at={address} data-centre={data_centre} slots={slots} \
     state={state}  # {comment}"
)]
pub struct UpstreamRule {
    /// Configured name.
    pub name: String,
    /// Name of the service that it serves.
    pub service: String,
    /// Address of the upstream.
    pub address: Ipv4Addr,
    /// Name of the data centre that it stands in.
    pub data_centre: String,
    /// Number of requests that it serves at a time when warm.
    pub slots: u16,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Who asked.
    pub comment: RuleComment,
    /// Line in the rules file.
    pub line: usize,
}

impl UpstreamRule {
    /// Returns the identity of the upstream.
    #[must_use]
    pub fn id(&self) -> UpstreamId {
        UpstreamId::from_name(&self.name)
    }
}

/// `RuleSet` is a whole rules file.
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

    /// Tells whether the data centre called `name` takes part.
    #[must_use]
    pub fn is_in_service(&self, name: &str) -> bool {
        self.data_centres
            .iter()
            .any(|data_centre| data_centre.name == name && data_centre.state == DataCentreState::In)
    }

    /// Returns the data centres that have been taken out.
    #[must_use]
    pub fn out_of_service_data_centres(&self) -> Vec<DataCentreId> {
        let out_of_service =
            self.data_centres.iter().filter(|rule| rule.state == DataCentreState::Out);
        out_of_service.map(|rule| DataCentreId::from_name(&rule.name)).collect()
    }

    /// Tells whether `upstream` may receive new work.
    #[must_use]
    pub fn takes_new_work(&self, upstream: &UpstreamRule) -> bool {
        upstream.state == UpstreamState::Serving && self.is_in_service(&upstream.data_centre)
    }

    /// Writes the rules back as the text that [`super::parse_rules`] reads.
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
