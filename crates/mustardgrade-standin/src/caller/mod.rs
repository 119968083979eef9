//! Stand-ins for callers, which generate load and check the answers: feeds over TCP, and requests
//! over CoAP.

mod flows;
mod requests;

pub use flows::{FlowCallerSettings, FlowCallers, FlowReport, start_flow_callers};
pub use requests::{
    RequestCallerSettings, RequestCallers, RequestReport, caller_group_address,
    start_request_callers,
};
