//! Whether this host reaches a data centre, told from upstreams there that fall silent together.
//!
//! With many upstreams each one gets so few flows that it would take seconds to suspect them one by
//! one. Several of them without an answer, and none with one, show sooner that the way is cut.

use std::collections::BTreeMap;
use std::time::Duration;

use super::packet::FlowEvent;
use super::router::CookieRouter;
use crate::identity::DataCentreId;

/// Upstreams that fall silent together before new flows avoid their data centre: two may have ended
/// at once.
const LOST_UPSTREAMS: u32 = 3;

/// Upstreams that fall silent together, and are half of all, before open flows of the others are given
/// up. Wrong resets break flows, wrong placing does not.
const SILENT_UPSTREAMS: u32 = 6;

/// `CentreReach` is what is inferred of the way to one data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct CentreReach {
    /// Last sign of life of any of its upstreams.
    alive: Duration,
    /// Upstreams whose first unanswered flow is younger than that.
    silent: u32,
    /// Upstreams that are not known to be gone.
    upstreams: u32,
    /// The oldest of those flows.
    since: Duration,
    /// Since when the data centre is taken for cut off.
    lost: Option<Duration>,
}

/// `ReachTable` holds the other data centres.
pub(super) type ReachTable = BTreeMap<DataCentreId, CentreReach>;

impl CookieRouter {
    /// Concludes from the upstreams of each other data centre whether it is cut off.
    pub(super) fn follow_reach(&mut self, now: Duration) {
        let lost = self.reach.values().any(|reach| reach.lost.is_some());
        let silent =
            self.peers.suspects() || self.tracks.iter().any(|t| t.silent_since().is_some());
        if !lost && !silent {
            return;
        }
        let mut table = std::mem::take(&mut self.reach);
        self.look_for_life(&mut table);
        self.look_for_silence(&mut table, now);
        for (data_centre, reach) in &mut table {
            match reach.lost {
                None if reach.silent >= LOST_UPSTREAMS => {
                    reach.lost = Some(reach.since);
                    let (silent, age) = (reach.silent, now.saturating_sub(reach.alive));
                    let data_centre = *data_centre;
                    self.counters.centres_lost += 1;
                    self.events.push(FlowEvent::CentreLost { data_centre, silent, age });
                }
                Some(since) if reach.alive > since => {
                    reach.lost = None;
                    self.trust_again(*data_centre, since);
                    self.events.push(FlowEvent::CentreFound { data_centre: *data_centre });
                }
                None | Some(_) => {}
            }
            if reach.lost.is_some() {
                self.presume_silent(*data_centre, reach);
            }
        }
        self.reach = table;
    }

    fn look_for_life(&self, table: &mut ReachTable) {
        for reach in table.values_mut() {
            *reach = CentreReach { lost: reach.lost, ..CentreReach::default() };
        }
        for (view, track) in self.snapshot.upstreams.iter().zip(&self.tracks) {
            if view.local {
                continue;
            }
            let peers = self.peers.get(track.cookie);
            let reach = table.entry(view.data_centre).or_default();
            reach.alive = reach.alive.max(track.alive).max(peers.alive);
        }
    }

    fn look_for_silence(&self, table: &mut ReachTable, now: Duration) {
        for (view, track) in self.snapshot.upstreams.iter().zip(&self.tracks) {
            let Some(reach) = table.get_mut(&view.data_centre) else { continue };
            if view.local || view.is_gone(now) {
                continue;
            }
            reach.upstreams += 1;
            let own = track.silent_since();
            let peers = self.peers.get(track.cookie).silent_since;
            let Some(since) = own.into_iter().chain(peers).max() else { continue };
            if since > reach.alive {
                reach.silent += 1;
                let first = if reach.silent == 1 { since } else { reach.since };
                reach.since = first.min(since);
            }
        }
    }

    /// Takes every upstream of a data centre for silent that has not shown the opposite.
    fn presume_silent(&mut self, data_centre: DataCentreId, reach: &CentreReach) {
        let options = &self.options.track;
        let most = reach.silent >= SILENT_UPSTREAMS && reach.silent * 2 >= reach.upstreams;
        let flows = match most {
            true => options.silent_flows,
            false => options.suspect_after,
        };
        let Some(since) = reach.lost else { return };
        for (view, track) in self.snapshot.upstreams.iter().zip(&mut self.tracks) {
            if view.data_centre == data_centre {
                track.presume_silent(since, flows);
            }
        }
    }

    /// Ends what was concluded of the upstreams of a data centre since the way there was cut.
    fn trust_again(&mut self, data_centre: DataCentreId, since: Duration) {
        for (view, track) in self.snapshot.upstreams.iter().zip(&mut self.tracks) {
            if view.data_centre == data_centre {
                track.trust_again(since);
            }
        }
    }
}
