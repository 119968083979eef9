//! What a host tells the others, and when.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IteratorRandom;

use super::controller::WatchController;
use super::events::{WatchEvent, WatchOutput};
use super::message::{
    ChangeBatch, FleetDigest, FleetMemberState, FleetMemberSummary, FleetMessage, saturating_millis,
};
use crate::cookie::LoadReport;
use crate::identity::DataCentreId;

/// Time between two introductions of a host that knows nothing yet.
const STARTING_INTRODUCTION_INTERVAL: Duration = Duration::from_millis(100);

/// Time before a takeover at which a host asks others whether it has only missed a confirmation.
const PROBE_LEAD_TIME: Duration = Duration::from_millis(350);

/// Hosts that are asked so.
const PROBE_FANOUT: usize = 3;

/// Time between two introductions to the configured peers of a host that hears nobody.
const ALONE_INTRODUCTION_INTERVAL: Duration = Duration::from_millis(1_000);

/// Hosts named in a digest; digests stay below 400 bytes.
const MAX_DIGEST_MEMBERS: usize = 6;

/// Hosts that a change or a confirmation is sent to at once; gossip does the rest.
const BROADCAST_FANOUT: usize = 24;

/// Hosts that a change is passed on to in a data centre of more than [`BROADCAST_FANOUT`] hosts.
const FORWARD_FANOUT: usize = 3;

/// Hosts of each other data centre that a change is sent to at once.
const RELAYS_PER_DATA_CENTRE: usize = 1;

/// Hosts of a data centre of which one, besides the first, has to have little room left before all
/// tell their loads.
const NEAR_CAPACITY_DIVISOR: usize = 4;

/// `BroadcastScope` says how far a change is sent at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BroadcastScope {
    /// To the own data centre and to a relay in each other one.
    AllDataCentres,
    /// To the own data centre.
    LocalDataCentre,
    /// To a few hosts of a data centre that is too large for the first sender.
    LocalSample,
}

impl WatchController {
    /// Introduces the host to its configured peers while it hears nobody.
    pub(super) fn introduce_to_seed_hosts(
        &mut self,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        let alone = self.fleet.live(now).next().is_none();
        let starting = self.state == FleetMemberState::Starting;
        if now < self.next_introduction_at || !(alone || starting) {
            return;
        }
        let interval =
            if starting { STARTING_INTRODUCTION_INTERVAL } else { ALONE_INTRODUCTION_INTERVAL };
        self.next_introduction_at = now + interval;
        let mut digest = self.build_digest(now);
        digest.wants_reply = true;
        let own_address = self.options.address;
        for to in self.options.seed_hosts.iter().copied().filter(|seed| *seed != own_address) {
            outputs.push(WatchOutput::Send { to, message: FleetMessage::Digest(digest.clone()) });
        }
    }

    /// Asks some hosts for a digest before the store is called in the watchers' place: a call to the
    /// store is dear, and a digest that was lost or is slow to spread is no reason for one.
    pub(super) fn probe_before_takeover(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let age = now.saturating_sub(self.confirmed_at.unwrap_or(self.started_at));
        let rank = self.fleet.rank(&self.own_summary(), now);
        let probe_age = self.options.schedule.takeover_age(rank).saturating_sub(PROBE_LEAD_TIME);
        if self.state != FleetMemberState::Ready
            || rank == 0
            || age < probe_age
            || now < self.next_probe_at
        {
            return;
        }
        self.next_probe_at = now + PROBE_LEAD_TIME;
        let mut digest = self.build_digest(now);
        digest.wants_reply = true;
        let live_addresses = self.fleet.live(now).map(|member| member.address);
        for to in live_addresses.sample(&mut self.rng, PROBE_FANOUT) {
            outputs.push(WatchOutput::Send { to, message: FleetMessage::Digest(digest.clone()) });
        }
    }

    /// Tells the other hosts what this one has inferred of upstreams, while that matters.
    pub(super) fn share_load_report(
        &mut self,
        report: LoadReport,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        self.update_isolation(report.stranded, now, outputs);
        let (near_capacity, suspects_upstream) = (report.pressed, report.suspects());
        // One host that has little room may only have drawn more than its share: until more of them
        // say so, it tells no more than that.
        let local_hosts = self.fleet.active_in(self.options.data_centre, now).count() + 1;
        let share_all = self.peer_loads.near_capacity_count() + usize::from(near_capacity)
            > local_hosts / NEAR_CAPACITY_DIVISOR;
        let report = match suspects_upstream || share_all {
            true => report,
            // What another host takes for silent may answer this one.
            false => report.only(&self.peer_loads.suspected_upstreams()),
        };
        let sharing = near_capacity || suspects_upstream || !report.entries.is_empty();
        if sharing != self.sharing_load {
            self.sharing_load = sharing;
            outputs.push(WatchOutput::Event(WatchEvent::LoadSharingChanged {
                sharing,
                near_capacity,
                suspects_upstream,
            }));
        }
        if !sharing {
            return;
        }
        let ready_hosts =
            self.fleet.live(now).filter(|member| member.state == FleetMemberState::Ready);
        let own_data_centre = self.options.data_centre;
        let small_fleet = self.fleet.live(now).count() <= BROADCAST_FANOUT;
        let targets: Vec<Ipv4Addr> = ready_hosts
            .filter(|member| small_fleet || member.data_centre == own_data_centre)
            .map(|member| member.address)
            .sample(&mut self.rng, BROADCAST_FANOUT);
        for to in targets {
            let message = FleetMessage::Load(self.options.address, report.clone());
            outputs.push(WatchOutput::Send { to, message });
        }
    }

    pub(super) fn own_summary(&self) -> FleetMemberSummary {
        FleetMemberSummary {
            address: self.options.address,
            data_centre: self.options.data_centre,
            incarnation: self.options.incarnation,
            cpu_millicores: self.options.cpu_millicores,
            state: self.state,
            watching: self.watching,
            heard_ago_ms: 0,
        }
    }

    pub(super) fn build_digest(&mut self, now: Duration) -> FleetDigest {
        self.summary_offset = self.summary_offset.wrapping_add(MAX_DIGEST_MEMBERS);
        FleetDigest {
            sender: self.own_summary(),
            revision: self.registry.revision(),
            confirmation_age_ms: self
                .confirmed_at
                .map(|at| saturating_millis(now.saturating_sub(at))),
            wants_reply: false,
            members: self.fleet.summaries(self.summary_offset, MAX_DIGEST_MEMBERS, now),
        }
    }

    /// Sends a digest to one host of the own data centre, one of any, and one that has fallen silent:
    /// the end of a cut shows by an answer.
    pub(super) fn send_digests(&mut self, now: Duration, outputs: &mut Vec<WatchOutput>) {
        let message = FleetMessage::Digest(self.build_digest(now));
        let local = self.fleet.active_in(self.options.data_centre, now).choose(&mut self.rng);
        let local = local.map(|member| member.address);
        let any = self.fleet.live(now).choose(&mut self.rng).map(|member| member.address);
        let silent = self.fleet.known().filter(|member| !member.is_live(now)).choose(&mut self.rng);
        let silent = silent.map(|member| member.address);
        for to in [local, any.filter(|any| Some(*any) != local), silent].into_iter().flatten() {
            outputs.push(WatchOutput::Send { to, message: message.clone() });
        }
    }

    /// Sends a digest, with changes if there are any, to many hosts at once.
    pub(super) fn broadcast(
        &mut self,
        batch: Option<ChangeBatch>,
        scope: BroadcastScope,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        let digest = self.build_digest(now);
        let message = match batch {
            Some(batch) => FleetMessage::Changes(digest, batch),
            None => FleetMessage::Digest(digest),
        };
        let mut targets: Vec<Ipv4Addr> = self
            .fleet
            .active_in(self.options.data_centre, now)
            .map(|member| member.address)
            .sample(&mut self.rng, BROADCAST_FANOUT);
        if scope == BroadcastScope::LocalSample && targets.len() < BROADCAST_FANOUT {
            return;
        }
        if scope == BroadcastScope::LocalSample {
            targets.truncate(FORWARD_FANOUT);
        }
        let mut remote_hosts: HashMap<DataCentreId, Vec<Ipv4Addr>> = HashMap::new();
        for member in self.fleet.live(now).filter(|_| scope == BroadcastScope::AllDataCentres) {
            if member.data_centre != self.options.data_centre {
                remote_hosts.entry(member.data_centre).or_default().push(member.address);
            }
        }
        let mut remote_hosts: Vec<_> = remote_hosts.into_iter().collect();
        remote_hosts.sort_unstable();
        for (_, addresses) in remote_hosts {
            targets.extend(addresses.into_iter().sample(&mut self.rng, RELAYS_PER_DATA_CENTRE));
        }
        for to in targets {
            outputs.push(WatchOutput::Send { to, message: message.clone() });
        }
    }
}
