//! A host's view of the other hosts, maintained by gossip.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::message::{FleetMemberState, FleetMemberSummary, saturating_millis};
use crate::identity::{DataCentreId, rendezvous_score};

/// Silence after which a host no longer counts as live; summaries of a host take several rounds of
/// gossip to spread.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Silence after which a host is removed from the view.
const MEMBER_RETENTION: Duration = Duration::from_secs(60);

/// `FleetMember` is the latest information about another host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetMember {
    /// Address of the host, by which it is identified.
    pub address: Ipv4Addr,
    /// The data centre in which the host is located.
    pub data_centre: DataCentreId,
    /// Number of the host's run, which differs after a restart.
    pub incarnation: u64,
    /// CPU share of the host in thousandths of a core.
    pub cpu_millicores: u16,
    /// Life-cycle state of the host.
    pub state: FleetMemberState,
    /// Whether the host watches the store.
    pub watching: bool,
    /// Time at which any host last heard from it.
    pub last_heard_at: Duration,
}

impl FleetMember {
    /// Returns whether the host was heard recently enough to count as live.
    #[must_use]
    pub fn is_live(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_heard_at) < LIVENESS_TIMEOUT
    }

    fn duty_order(&self) -> (u16, u64) {
        duty_order(self.data_centre, self.address, self.cpu_millicores)
    }

    fn summary(&self, now: Duration) -> FleetMemberSummary {
        FleetMemberSummary {
            address: self.address,
            data_centre: self.data_centre,
            incarnation: self.incarnation,
            cpu_millicores: self.cpu_millicores,
            state: self.state,
            watching: self.watching,
            heard_ago_ms: saturating_millis(now.saturating_sub(self.last_heard_at)),
        }
    }
}

/// `FleetView` holds the other hosts that a host knows of.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    members: BTreeMap<Ipv4Addr, FleetMember>,
}

impl FleetView {
    /// Updates the entry of a host from a summary, unless the entry is at least as recent.
    ///
    /// Returns whether the host is live and was unknown, silent or in another run before.
    pub fn update(&mut self, summary: &FleetMemberSummary, now: Duration) -> bool {
        let last_heard_at =
            now.saturating_sub(Duration::from_millis(u64::from(summary.heard_ago_ms)));
        let known = self.members.get(&summary.address);
        // Recency decides, not the incarnation, which comes from a clock that may jump.
        if known.is_some_and(|member| member.last_heard_at >= last_heard_at) {
            return false;
        }
        let joined = known
            .is_none_or(|member| member.incarnation != summary.incarnation || !member.is_live(now));
        let member = FleetMember {
            address: summary.address,
            data_centre: summary.data_centre,
            incarnation: summary.incarnation,
            cpu_millicores: summary.cpu_millicores,
            state: summary.state,
            watching: summary.watching,
            last_heard_at,
        };
        let live = member.is_live(now);
        self.members.insert(summary.address, member);
        joined && live
    }

    /// Removes hosts that have been silent for too long.
    pub fn remove_expired(&mut self, now: Duration) {
        self.members
            .retain(|_, member| now.saturating_sub(member.last_heard_at) < MEMBER_RETENTION);
    }

    /// Returns all hosts in the view, live or silent.
    pub fn known(&self) -> impl Iterator<Item = &FleetMember> {
        self.members.values()
    }

    /// Returns the live hosts of all data centres.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &FleetMember> {
        self.members.values().filter(move |member| member.is_live(now))
    }

    /// Returns the live hosts of a data centre that are not leaving.
    pub fn active_in(
        &self,
        data_centre: DataCentreId,
        now: Duration,
    ) -> impl Iterator<Item = &FleetMember> {
        self.live(now).filter(move |member| {
            member.data_centre == data_centre && member.state != FleetMemberState::Leaving
        })
    }

    /// Returns the number of active hosts in the data centre of `host` that precede it in duty
    /// order.
    #[must_use]
    pub fn rank(&self, host: &FleetMemberSummary, now: Duration) -> usize {
        let own_order = duty_order(host.data_centre, host.address, host.cpu_millicores);
        self.active_in(host.data_centre, now)
            .filter(|member| member.duty_order() > own_order)
            .count()
    }

    /// Returns whether another active host in the data centre of `host` watches the store; with
    /// `earlier_only`, only hosts that precede `host` in duty order count.
    #[must_use]
    pub fn has_watcher(
        &self,
        host: &FleetMemberSummary,
        earlier_only: bool,
        now: Duration,
    ) -> bool {
        let own_order = duty_order(host.data_centre, host.address, host.cpu_millicores);
        let mut watchers = self.active_in(host.data_centre, now).filter(|member| member.watching);
        watchers.any(|member| !earlier_only || member.duty_order() > own_order)
    }

    /// Returns summaries of live hosts, starting at position `offset` and wrapping around.
    ///
    /// Hosts that watch the store come first and fill at most half of `max_count`.
    #[must_use]
    pub fn summaries(
        &self,
        offset: usize,
        max_count: usize,
        now: Duration,
    ) -> Vec<FleetMemberSummary> {
        let live: Vec<&FleetMember> = self.live(now).collect();
        let rotated = (0..live.len()).map(|step| live[(offset + step) % live.len()]);
        let watching = rotated.clone().filter(|member| member.watching).take(max_count / 2);
        let others = rotated.filter(|member| !member.watching);
        watching.chain(others).take(max_count).map(|member| member.summary(now)).collect()
    }
}

/// Returns the sort key of a host in duty order, the order in which hosts take on the watch; the
/// largest key comes first.
fn duty_order(data_centre: DataCentreId, address: Ipv4Addr, cpu_millicores: u16) -> (u16, u64) {
    (cpu_millicores, rendezvous_score(data_centre.0, u64::from(u32::from(address))))
}
