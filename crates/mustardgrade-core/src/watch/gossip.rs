//! What a host tells the others, and when.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IteratorRandom;

use super::controller::WatchController;
use super::events::{WatchNote, WatchOutput};
use super::message::{FleetDigest, FleetMessage, FleetState, MemberHint, StateBatch, millis};
use crate::cookie::LoadReport;
use crate::identity::DataCentreId;

/// Time between two introductions of a host that knows nothing yet.
const INTRODUCE_INTERVAL: Duration = Duration::from_millis(100);

/// Time before a takeover at which a host asks others whether it has only missed a confirmation.
const PULL_LEAD: Duration = Duration::from_millis(350);

/// Hosts that are asked so.
const PULLS: usize = 3;

/// Time between two introductions to the configured peers of a host that hears nobody.
const SEEK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Hosts named in a digest; digests stay below 400 bytes.
const HINTS: usize = 6;

/// Hosts that a change or a confirmation is sent to at once; gossip does the rest.
const FANOUT: usize = 24;

/// Hosts that a change is passed on to in a data centre of more than [`FANOUT`] hosts.
const RUMOUR_FANOUT: usize = 3;

/// Hosts of each other data centre that a change is sent to at once.
const RELAYS: usize = 1;

/// Hosts of a data centre of which one, besides the first, has to have little room left before all
/// tell their loads.
const HOSTS_PER_PRESSED: usize = 4;

/// `SpreadReach` says how far a change is sent at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SpreadReach {
    /// To the own data centre and to a relay in each other one.
    All,
    /// To the own data centre.
    DataCentre,
    /// To a few hosts of a data centre that is too large for the first sender.
    Few,
}

impl WatchController {
    /// Introduces the host to its configured peers while it hears nobody.
    pub(super) fn seek(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let alone = self.view.live(now).next().is_none();
        let starting = self.state == FleetState::Starting;
        if now < self.next_seek || !(alone || starting) {
            return;
        }
        let pause = if starting { INTRODUCE_INTERVAL } else { SEEK_INTERVAL };
        self.next_seek = now + pause;
        let mut digest = self.digest(now);
        digest.introduce = true;
        let me = self.options.address;
        for to in self.options.seeds.iter().copied().filter(|seed| *seed != me) {
            outputs.push(WatchOutput::Send { to, message: FleetMessage::Digest(digest.clone()) });
        }
    }

    /// Asks some hosts for a digest before the store is called in the watchers' place: a call to the
    /// store is dear, and a digest that was lost or is slow to spread is no reason for one.
    pub(super) fn pull(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let age = now.saturating_sub(self.confirmed.unwrap_or(self.started));
        let rank = self.view.rank(&self.me(), now);
        let due = self.options.schedule.takeover_age(rank).saturating_sub(PULL_LEAD);
        if self.state != FleetState::Ready || rank == 0 || age < due || now < self.next_pull {
            return;
        }
        self.next_pull = now + PULL_LEAD;
        let mut digest = self.digest(now);
        digest.introduce = true;
        let live = self.view.live(now).map(|member| member.address);
        for to in live.sample(&mut self.rng, PULLS) {
            outputs.push(WatchOutput::Send { to, message: FleetMessage::Digest(digest.clone()) });
        }
    }

    /// Tells the other hosts what this one has inferred of upstreams, while that matters.
    pub(super) fn report_load(
        &mut self,
        report: LoadReport,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        self.follow_isolation(report.all_suspected, now, outputs);
        let (pressed, suspects) = (report.saturated, report.has_unanswered());
        // One host that has little room may only have drawn more than its share: until more of them
        // say so, it tells no more than that.
        let local = self.view.peers(self.options.data_centre, now).count() + 1;
        let wide = self.loads.pressed() + usize::from(pressed) > local / HOSTS_PER_PRESSED;
        let report = match suspects || wide {
            true => report,
            // What another host takes for silent may answer this one.
            false => report.restricted_to(&self.loads.suspected()),
        };
        let sharing = pressed || suspects || !report.entries.is_empty();
        if sharing != self.sharing {
            self.sharing = sharing;
            outputs.push(WatchOutput::Note(WatchNote::Sharing { sharing, pressed, suspects }));
        }
        if !sharing {
            return;
        }
        let live = self.view.live(now).filter(|member| member.state == FleetState::Ready);
        let near = self.options.data_centre;
        let small = self.view.live(now).count() <= FANOUT;
        let targets: Vec<Ipv4Addr> = live
            .filter(|member| small || member.data_centre == near)
            .map(|member| member.address)
            .sample(&mut self.rng, FANOUT);
        for to in targets {
            let message = FleetMessage::Load(self.options.address, report.clone());
            outputs.push(WatchOutput::Send { to, message });
        }
    }

    pub(super) fn me(&self) -> MemberHint {
        MemberHint {
            address: self.options.address,
            data_centre: self.options.data_centre,
            incarnation: self.options.incarnation,
            strength: self.options.strength,
            state: self.state,
            watching: self.watching,
            heard_ms: 0,
        }
    }

    pub(super) fn digest(&mut self, now: Duration) -> FleetDigest {
        self.hint_at = self.hint_at.wrapping_add(HINTS);
        FleetDigest {
            sender: self.me(),
            revision: self.book.revision(),
            confirmed_ms: self.confirmed.map(|at| millis(now.saturating_sub(at))),
            introduce: false,
            members: self.view.hints(self.hint_at, HINTS, now),
        }
    }

    /// Sends a digest to one host of the own data centre, one of any, and one that has fallen silent:
    /// the end of a cut shows by an answer.
    pub(super) fn gossip(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let message = FleetMessage::Digest(self.digest(now));
        let near = self.view.peers(self.options.data_centre, now).choose(&mut self.rng);
        let near = near.map(|member| member.address);
        let far = self.view.live(now).choose(&mut self.rng).map(|member| member.address);
        let lost = self.view.known().filter(|member| !member.is_live(now)).choose(&mut self.rng);
        let lost = lost.map(|member| member.address);
        for to in [near, far.filter(|far| Some(*far) != near), lost].into_iter().flatten() {
            outputs.push(WatchOutput::Send { to, message: message.clone() });
        }
    }

    /// Sends a digest, with changes if there are any, to many hosts at once.
    pub(super) fn spread(
        &mut self,
        batch: Option<StateBatch>,
        reach: SpreadReach,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        let digest = self.digest(now);
        let message = match batch {
            Some(batch) => FleetMessage::Changes(digest, batch),
            None => FleetMessage::Digest(digest),
        };
        let mut targets: Vec<Ipv4Addr> = self
            .view
            .peers(self.options.data_centre, now)
            .map(|member| member.address)
            .sample(&mut self.rng, FANOUT);
        if reach == SpreadReach::Few && targets.len() < FANOUT {
            return;
        }
        if reach == SpreadReach::Few {
            targets.truncate(RUMOUR_FANOUT);
        }
        let mut far: HashMap<DataCentreId, Vec<Ipv4Addr>> = HashMap::new();
        for member in self.view.live(now).filter(|_| reach == SpreadReach::All) {
            if member.data_centre != self.options.data_centre {
                far.entry(member.data_centre).or_default().push(member.address);
            }
        }
        let mut far: Vec<_> = far.into_iter().collect();
        far.sort_unstable();
        for (_, addresses) in far {
            targets.extend(addresses.into_iter().sample(&mut self.rng, RELAYS));
        }
        for to in targets {
            outputs.push(WatchOutput::Send { to, message: message.clone() });
        }
    }
}
