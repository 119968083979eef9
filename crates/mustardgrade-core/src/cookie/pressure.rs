//! How much of the room at a data centre's upstreams is in use, seen from one host.

use std::time::Duration;

use super::router::CookieRouter;

/// Share of the slots in use from which on hosts tell each other their load.
const PRESSED_USE: f64 = 1.1;

/// Use of the slots that is followed at once, as after a power loss, if no chance explains it.
const RUSH_USE: f64 = 2.0;

/// Deviations from the usual work of a host that chance explains.
const RUSH_DEVIATIONS: f64 = 3.0;

/// Weight of the newest look at the usual work of a host.
const USUAL_GAIN: f64 = 0.02;

/// Weight of the newest look at the pressure in a rush.
const RUSH_GAIN: f64 = 0.6;

/// Weight of the newest look at the pressure; one host's share of the work is a noisy sample.
const PRESSURE_GAIN: f64 = 0.1;

/// Most that all hosts are taken to have in hand for each unit of a host's own work, by the number of
/// hosts in its data centre.
const MOST_FACTOR: f64 = 4.0;

/// `WorkShares` remembers the work that a host usually has in hand, and which part of all that is.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WorkShares {
    own: f64,
    all: f64,
    usual: f64,
}

impl WorkShares {
    fn learn(&mut self, own: f64, all: f64) {
        self.own += (own - self.own) * PRESSURE_GAIN;
        self.all += (all - self.all) * PRESSURE_GAIN;
    }

    /// Takes in the work in hand now; returns whether it is more than chance explains.
    fn stands_out(&mut self, own: f64) -> bool {
        let most = self.usual + RUSH_DEVIATIONS * self.usual.sqrt() + 1.0;
        self.usual += (own - self.usual) * USUAL_GAIN;
        own > most
    }

    /// Returns the work of all hosts for each unit of the host's own; `hosts` while that is unknown.
    fn factor(&self, hosts: f64) -> f64 {
        match self.own > 0.0 {
            true => (self.all / self.own).clamp(1.0, hosts * MOST_FACTOR),
            false => hosts,
        }
    }
}

impl CookieRouter {
    /// Tells whether the upstreams of this data centre have little room left.
    pub(super) fn is_pressed(&self) -> bool {
        self.pressure >= PRESSED_USE
    }

    /// Follows how much of the room in this data centre is in use.
    ///
    /// What all hosts have in hand is known while they share reports. At other times the host's own
    /// work stands for it, multiplied by what it was last seen to be a part of.
    pub(super) fn follow_pressure(&mut self, now: Duration) {
        let hosts = self.snapshot.local_hosts.max(1) as f64;
        let known = self.peers.whole_reports();
        // With more hosts than send reports here, those that do are a sample.
        let sample = (hosts / (known + 1) as f64).max(1.0);
        // Sums of whole numbers are the same in whatever order the services come.
        let (mut most, mut own_sum, mut seen_sum) = (0.0, 0_u32, 0_u32);
        for positions in self.snapshot.by_service.values() {
            let (own, peers, slots) = self.work_at(positions, now);
            let all = match known {
                0 => f64::from(own) * self.shares.factor(hosts),
                _ => f64::from(own + peers) * sample,
            };
            own_sum += own;
            seen_sum += own + peers;
            most = f64::max(most, all / f64::from(slots.max(1)));
        }
        if known > 0 {
            self.shares.learn(f64::from(own_sum), f64::from(seen_sum) * sample);
        }
        let rush = self.shares.stands_out(f64::from(own_sum)) && most >= RUSH_USE;
        let gain = if rush { RUSH_GAIN } else { PRESSURE_GAIN };
        self.pressure += (most - self.pressure) * gain;
    }

    /// Returns the work in hand at a service's upstreams in this data centre, that of this host and
    /// that of the others, and the slots there.
    fn work_at(&self, positions: &[usize], now: Duration) -> (u32, u32, u32) {
        let local = positions.iter().copied().filter(|at| {
            let view = &self.snapshot.upstreams[*at];
            view.local && view.takes_flows(now) && !view.is_cold(now)
        });
        local.fold((0, 0, 0), |(own, peers, slots), at| {
            let track = &self.tracks[at];
            let others = self.peers.get(track.cookie).work;
            let room = u32::from(self.snapshot.upstreams[at].slots);
            (own + track.work(), peers + others, slots + room)
        })
    }
}
