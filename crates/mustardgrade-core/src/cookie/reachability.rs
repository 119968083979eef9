//! Detection of unreachable data centres, from upstreams that stop answering at the same time.
//!
//! With many upstreams, each one gets so few flows that suspecting them individually would take
//! seconds. Several upstreams of a data centre with unanswered flows, and none that answers, show
//! sooner that the network path to it has failed.

use std::collections::BTreeMap;
use std::time::Duration;

use super::packet::FlowEvent;
use super::router::CookieRouter;
use crate::identity::DataCentreId;

/// Minimum number of silent upstreams before new flows avoid their data centre; two may have
/// stopped at the same time by chance.
const MIN_SILENT_TO_AVOID: u32 = 3;

/// `DataCentreReachability` is the inferred state of the network path to one data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct DataCentreReachability {
    /// When any of its upstreams was last known to be alive.
    last_alive: Duration,
    /// Number of upstreams whose earliest unanswered packet was sent after that.
    silent_upstreams: u32,
    /// When the earliest unanswered packet of the silent upstreams was sent.
    silent_since: Duration,
    /// Since when the data centre counts as unreachable.
    unreachable_since: Option<Duration>,
}

/// `ReachabilityTable` holds the reachability of the other data centres.
pub(super) type ReachabilityTable = BTreeMap<DataCentreId, DataCentreReachability>;

impl CookieRouter {
    /// Updates the reachability of each other data centre from the trackers of its upstreams.
    pub(super) fn update_reachability(&mut self, now: Duration) {
        let any_unreachable =
            self.reachability.values().any(|state| state.unreachable_since.is_some());
        let any_unanswered = self.peers.has_unanswered()
            || self.trackers.iter().any(|tracker| tracker.unanswered_since().is_some());
        if !any_unreachable && !any_unanswered {
            return;
        }
        let mut table = std::mem::take(&mut self.reachability);
        self.update_last_alive(&mut table);
        self.count_silent_upstreams(&mut table, now);
        for (data_centre, state) in &mut table {
            match state.unreachable_since {
                None if state.silent_upstreams >= MIN_SILENT_TO_AVOID => {
                    state.unreachable_since = Some(state.silent_since);
                    let (silent_upstreams, silence) =
                        (state.silent_upstreams, now.saturating_sub(state.last_alive));
                    let data_centre = *data_centre;
                    self.counters.data_centre_outages += 1;
                    self.events.push(FlowEvent::DataCentreUnreachable {
                        data_centre,
                        silent_upstreams,
                        silence,
                    });
                }
                Some(unreachable_since) if state.last_alive > unreachable_since => {
                    state.unreachable_since = None;
                    self.clear_data_centre_unanswered(*data_centre, unreachable_since);
                    self.events.push(FlowEvent::DataCentreReachable { data_centre: *data_centre });
                }
                None | Some(_) => {}
            }
            if state.unreachable_since.is_some() {
                self.presume_data_centre_unanswered(*data_centre, state);
            }
        }
        self.reachability = table;
    }

    fn update_last_alive(&self, table: &mut ReachabilityTable) {
        for state in table.values_mut() {
            *state = DataCentreReachability {
                unreachable_since: state.unreachable_since,
                ..DataCentreReachability::default()
            };
        }
        let loads = self.trackers.iter().zip(&self.peer_loads);
        for (view, (tracker, peers)) in self.snapshot.upstreams.iter().zip(loads) {
            if view.is_local {
                continue;
            }
            let state = table.entry(view.data_centre).or_default();
            state.last_alive = state.last_alive.max(tracker.last_alive).max(peers.last_alive);
        }
    }

    fn count_silent_upstreams(&self, table: &mut ReachabilityTable, now: Duration) {
        let loads = self.trackers.iter().zip(&self.peer_loads);
        for (view, (tracker, peers)) in self.snapshot.upstreams.iter().zip(loads) {
            let Some(state) = table.get_mut(&view.data_centre) else { continue };
            if view.is_local || view.is_gone(now) {
                continue;
            }
            let own = tracker.unanswered_since();
            let Some(silent_since) = own.max(peers.latest_unanswered_since) else {
                continue;
            };
            if silent_since > state.last_alive {
                state.silent_upstreams += 1;
                let earliest =
                    if state.silent_upstreams == 1 { silent_since } else { state.silent_since };
                state.silent_since = earliest.min(silent_since);
            }
        }
    }

    /// Presumes unanswered flows at every upstream of an unreachable data centre that has not
    /// answered since.
    fn presume_data_centre_unanswered(
        &mut self,
        data_centre: DataCentreId,
        state: &DataCentreReachability,
    ) {
        let unanswered_flows = self.options.failure_detection.suspect_min_unanswered;
        let Some(unreachable_since) = state.unreachable_since else { return };
        for (view, tracker) in self.snapshot.upstreams.iter().zip(&mut self.trackers) {
            if view.data_centre == data_centre {
                tracker.presume_unanswered(unreachable_since, unanswered_flows);
            }
        }
    }

    /// Discards the unanswered flows recorded since a data centre became unreachable.
    fn clear_data_centre_unanswered(
        &mut self,
        data_centre: DataCentreId,
        unreachable_since: Duration,
    ) {
        for (view, tracker) in self.snapshot.upstreams.iter().zip(&mut self.trackers) {
            if view.data_centre == data_centre {
                tracker.clear_unanswered_since(unreachable_since);
            }
        }
    }
}
