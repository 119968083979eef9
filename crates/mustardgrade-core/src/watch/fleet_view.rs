//! The hosts that a host has heard of.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::message::{FleetMemberState, FleetMemberSummary, saturating_millis};
use crate::identity::{DataCentreId, rendezvous_score};

/// Silence after which a host no longer counts as live; hints take a few rounds to spread.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Silence after which a host is forgotten.
const MEMBER_RETENTION: Duration = Duration::from_secs(60);

/// `FleetMember` is what a host knows of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetMember {
    /// Its address.
    pub address: Ipv4Addr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Number of its run.
    pub incarnation: u64,
    /// Its strength.
    pub cpu_millicores: u16,
    /// The step of its life.
    pub state: FleetMemberState,
    /// Whether it watches the store.
    pub watching: bool,
    /// When it was last heard, by any host.
    pub last_heard_at: Duration,
}

impl FleetMember {
    /// Tells whether the host was heard lately.
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

/// `FleetView` holds the hosts that a host has heard of.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    members: BTreeMap<Ipv4Addr, FleetMember>,
}

impl FleetView {
    /// Takes in what a digest says of a host; returns whether the host or its run is new.
    pub fn update(&mut self, summary: &FleetMemberSummary, now: Duration) -> bool {
        let last_heard_at =
            now.saturating_sub(Duration::from_millis(u64::from(summary.heard_ago_ms)));
        let known = self.members.get(&summary.address);
        // The time of hearing decides: the number of a run comes from a clock that may jump.
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

    /// Forgets hosts that have long been silent.
    pub fn remove_expired(&mut self, now: Duration) {
        self.members
            .retain(|_, member| now.saturating_sub(member.last_heard_at) < MEMBER_RETENTION);
    }

    /// Returns every host that was heard within the last minute.
    pub fn known(&self) -> impl Iterator<Item = &FleetMember> {
        self.members.values()
    }

    /// Returns the live hosts.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &FleetMember> {
        self.members.values().filter(move |member| member.is_live(now))
    }

    /// Returns the live hosts of a data centre that keep serving.
    pub fn active_in(
        &self,
        data_centre: DataCentreId,
        now: Duration,
    ) -> impl Iterator<Item = &FleetMember> {
        self.live(now).filter(move |member| {
            member.data_centre == data_centre && member.state != FleetMemberState::Leaving
        })
    }

    /// Returns how many live hosts of `me`'s data centre come before `me` in the order of duties.
    #[must_use]
    pub fn rank(&self, host: &FleetMemberSummary, now: Duration) -> usize {
        let own_order = duty_order(host.data_centre, host.address, host.cpu_millicores);
        self.active_in(host.data_centre, now)
            .filter(|member| member.duty_order() > own_order)
            .count()
    }

    /// Tells whether another live host of `me`'s data centre watches the store; with `before`, one
    /// that comes before `me` in the order of duties.
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

    /// Returns hints of watching hosts, and of those at `at`, `at + 1` and so on, around the end.
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

/// Returns the place of a host in the order of duties; larger values come first.
fn duty_order(data_centre: DataCentreId, address: Ipv4Addr, cpu_millicores: u16) -> (u16, u64) {
    (cpu_millicores, rendezvous_score(data_centre.0, u64::from(u32::from(address))))
}
