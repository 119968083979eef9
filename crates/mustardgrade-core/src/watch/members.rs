//! The hosts that a host has heard of.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::message::{FleetState, MemberHint, millis};
use crate::identity::{DataCentreId, rendezvous_score};

/// Silence after which a host no longer counts as live; hints take a few rounds to spread.
const LIVE_TIME: Duration = Duration::from_millis(3_500);

/// Silence after which a host is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(60);

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
    pub strength: u16,
    /// The step of its life.
    pub state: FleetState,
    /// Whether it watches the store.
    pub watching: bool,
    /// When it was last heard, by any host.
    pub heard: Duration,
}

impl FleetMember {
    /// Tells whether the host was heard lately.
    #[must_use]
    pub fn is_live(&self, now: Duration) -> bool {
        now.saturating_sub(self.heard) < LIVE_TIME
    }

    fn order(&self) -> (u16, u64) {
        duty_order(self.data_centre, self.address, self.strength)
    }

    fn hint(&self, now: Duration) -> MemberHint {
        MemberHint {
            address: self.address,
            data_centre: self.data_centre,
            incarnation: self.incarnation,
            strength: self.strength,
            state: self.state,
            watching: self.watching,
            heard_ms: millis(now.saturating_sub(self.heard)),
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
    pub fn learn(&mut self, hint: &MemberHint, now: Duration) -> bool {
        let heard = now.saturating_sub(Duration::from_millis(u64::from(hint.heard_ms)));
        let known = self.members.get(&hint.address);
        // The time of hearing decides: the number of a run comes from a clock that may jump.
        if known.is_some_and(|member| member.heard >= heard) {
            return false;
        }
        let fresh = known
            .is_none_or(|member| member.incarnation != hint.incarnation || !member.is_live(now));
        let member = FleetMember {
            address: hint.address,
            data_centre: hint.data_centre,
            incarnation: hint.incarnation,
            strength: hint.strength,
            state: hint.state,
            watching: hint.watching,
            heard,
        };
        let live = member.is_live(now);
        self.members.insert(hint.address, member);
        fresh && live
    }

    /// Forgets hosts that have long been silent.
    pub fn forget(&mut self, now: Duration) {
        self.members.retain(|_, member| now.saturating_sub(member.heard) < FORGET_TIME);
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
    pub fn peers(
        &self,
        data_centre: DataCentreId,
        now: Duration,
    ) -> impl Iterator<Item = &FleetMember> {
        self.live(now).filter(move |member| {
            member.data_centre == data_centre && member.state != FleetState::Leaving
        })
    }

    /// Returns how many live hosts of `me`'s data centre come before `me` in the order of duties.
    #[must_use]
    pub fn rank(&self, me: &MemberHint, now: Duration) -> usize {
        let mine = duty_order(me.data_centre, me.address, me.strength);
        self.peers(me.data_centre, now).filter(|member| member.order() > mine).count()
    }

    /// Tells whether another live host of `me`'s data centre watches the store; with `before`, one
    /// that comes before `me` in the order of duties.
    #[must_use]
    pub fn has_watcher(&self, me: &MemberHint, before: bool, now: Duration) -> bool {
        let mine = duty_order(me.data_centre, me.address, me.strength);
        let mut watchers = self.peers(me.data_centre, now).filter(|member| member.watching);
        watchers.any(|member| !before || member.order() > mine)
    }

    /// Returns hints of watching hosts, and of those at `at`, `at + 1` and so on, around the end.
    #[must_use]
    pub fn hints(&self, at: usize, count: usize, now: Duration) -> Vec<MemberHint> {
        let live: Vec<&FleetMember> = self.live(now).collect();
        let rotated = (0..live.len()).map(|step| live[(at + step) % live.len()]);
        let watching = rotated.clone().filter(|member| member.watching).take(count / 2);
        let others = rotated.filter(|member| !member.watching);
        watching.chain(others).take(count).map(|member| member.hint(now)).collect()
    }
}

/// Returns the place of a host in the order of duties; larger values come first.
fn duty_order(data_centre: DataCentreId, address: Ipv4Addr, strength: u16) -> (u16, u64) {
    (strength, rendezvous_score(data_centre.0, u64::from(u32::from(address))))
}
