//! Routing by cookie: the upstream of an open flow is named in the packet by a value that both ends
//! send back, so that any host routes it without state (Cheetah, NSDI 2020).

mod counters;
mod load;
mod memo;
mod observe;
mod packet;
mod picker;
mod pressure;
mod reach;
mod router;
mod snapshot;
mod token;
mod track;

pub use counters::{CookieCounters, DiscardCause, ResetCause};
pub use load::{LoadEntry, LoadReport, PeerLoad, PeerLoads};
pub use memo::{FlowMemo, FlowStage, MemoTable};
pub use packet::{AnswerStage, CookiePacket, CookieVerdict, FlowEvent};
pub use router::{CookieOptions, CookieRouter, FabricKind};
pub use snapshot::{
    CookieRoute, CookieSnapshot, SnapshotScope, UpstreamView, build_cookie_snapshot,
};
pub use token::FlowCookie;
pub use track::{TrackOptions, UpstreamTrack};

#[cfg(test)]
mod tests;
