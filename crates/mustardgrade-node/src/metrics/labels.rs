//! Labels of the metrics of a host.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};

/// `RequestOutcomeLabel` is the reply that a caller received, as a metric label.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
#[expect(non_camel_case_types, reason = "the names are label values")]
pub enum RequestOutcomeLabel {
    /// The response of the upstream.
    answered,
    /// The request was not executed and will not be.
    not_run,
    /// An idempotent request was refused for lack of capacity.
    busy,
    /// It is not known whether the request was executed.
    unknown,
    /// The caller must repeat the request with a ticket.
    challenged,
    /// The service is unknown or the ticket is not valid.
    invalid,
}

/// `FlowLabels` are the labels of the metrics of flow packets.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FlowLabels {
    /// Customer that the service belongs to; the derive names the label after the field.
    pub tenant: String,
    /// Class of the service.
    pub class: String,
}

/// `AnswerTimeLabels` are the labels of the answer times of flows that are routed by cookie.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerTimeLabels {
    /// Name of the route, which stands for one class of requests of a customer.
    pub route: String,
    /// What was answered: the opening of a flow or a request on it.
    pub stage: String,
}

/// `RouteLabels` are the labels of metrics of a route of flows that are placed by cookie.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabels {
    /// Name of the route.
    pub route: String,
}

/// `ServiceLoadLabels` are the labels of the estimated load of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLoadLabels {
    /// Name of the service.
    pub service: String,
}

/// `RequestLabels` are the labels of request metrics.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Customer that the service belongs to; the derive names the label after the field.
    pub tenant: String,
    /// Class of the service.
    pub class: String,
    /// Reply that the caller received.
    pub outcome: RequestOutcomeLabel,
}
