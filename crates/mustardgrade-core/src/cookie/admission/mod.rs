//! Admission control of services whose upstreams cannot serve all requests in time.
//!
//! Openings are refused at once, those of the least urgent routes first; within one priority the
//! capacity is divided fairly among the callers. See `docs/design/admission.md`.

mod caller_shares;
mod controller;
mod demand;
mod mode;
mod route_demand;
mod route_shares;
mod router;
mod scope;
mod service;
mod work_estimate;

pub(super) use controller::AdmissionController;
pub use mode::AdmissionMode;
pub(super) use service::AdmissionDecision;

#[cfg(test)]
mod tests;
