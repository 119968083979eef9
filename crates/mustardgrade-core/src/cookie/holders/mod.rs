//! The upstream that holds a flow, if two may have answered its opening.
//!
//! A host learns the holder from the caller's packets. Of a flow whose opening may have reached two
//! upstreams, it tells the other hosts of its data centre, to which the fabric may move the flow.

mod announcements;
mod flow_holder;
mod peer_holders;
mod router;

pub(super) use announcements::HolderAnnouncements;
pub use flow_holder::FlowHolder;
pub use peer_holders::PeerHolders;
