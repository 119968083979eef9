//! Gossip between hosts: digests, changes and load reports.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IteratorRandom;

use super::controller::WatchController;
use super::events::{WatchEvent, WatchOutput};
use super::fleet_view::FleetMember;
use super::message::{
    ChangeBatch, FleetDigest, FleetMemberState, FleetMemberSummary, FleetMessage, saturating_millis,
};
use crate::cookie::{FlowCookie, FlowHolder, LoadReport};
use crate::identity::DataCentreId;
use crate::registry::EndedRun;

/// Interval between introductions to the seed hosts while the host is starting.
const STARTING_INTRODUCTION_INTERVAL: Duration = Duration::from_millis(100);

/// Time before a takeover of the watch at which a host probes others for a confirmation that it may
/// have missed; also the interval between such probes.
const PROBE_LEAD_TIME: Duration = Duration::from_millis(350);

/// Number of hosts probed at once before a takeover.
const PROBE_FANOUT: usize = 3;

/// Interval between introductions to the seed hosts while no other host is live.
const ALONE_INTRODUCTION_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum number of other hosts in a digest, which keeps digests below 400 bytes.
const MAX_DIGEST_MEMBERS: usize = 6;

/// Maximum number of local hosts that a change or confirmation is sent to at once; forwarding and
/// regular digests reach the others. Also the limit for the receivers of a load report.
const BROADCAST_FANOUT: usize = 24;

/// Number of hosts that a change is forwarded to in a data centre with at least
/// [`BROADCAST_FANOUT`] other hosts, where a broadcast may not reach all of them.
const FORWARD_FANOUT: usize = 3;

/// Number of hosts in each remote data centre that a change is sent to; they forward it.
const RELAYS_PER_DATA_CENTRE: usize = 1;

/// Divisor of the number of local hosts: once more hosts than the quotient report saturation, all
/// share their full load reports.
const SATURATED_HOSTS_DIVISOR: usize = 4;

/// `BroadcastScope` selects the hosts that receive a broadcast.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BroadcastScope {
    /// Hosts of the own data centre and a relay in each remote one.
    AllDataCentres,
    /// Hosts of the own data centre.
    LocalDataCentre,
    /// A few hosts of the own data centre, if it is too large for a broadcast to reach all of them.
    LocalSample,
}

impl WatchController {
    /// Sends digests to the seed hosts, and asks for theirs, while the host is starting or no other
    /// host is live.
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

    /// Requests digests from some hosts shortly before this host would take over the watch.
    ///
    /// Store calls are expensive, and a confirmation that was merely lost or delayed must not
    /// cause one.
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

    /// Sends this host's load report to other hosts while upstreams are saturated or leave flows
    /// unanswered.
    pub(super) fn share_load_report(
        &mut self,
        report: LoadReport,
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        self.update_isolation(report.all_suspected, now, outputs);
        self.share_holders(&report.holders, now, outputs);
        let (saturated, has_unanswered) = (report.saturated, report.has_unanswered());
        // A single host may see saturation just because it has more than its share of the load.
        // Until more hosts do, it reports only that, and the upstreams that leave flows of other
        // hosts unanswered.
        let local_hosts = self.fleet.active_in(self.options.data_centre, now).count() + 1;
        let share_all = self.peer_loads.saturated_host_count() + usize::from(saturated)
            > local_hosts / SATURATED_HOSTS_DIVISOR;
        let live_runs = self.runs_alive_despite_proof(&report, now);
        let report = match has_unanswered || share_all {
            true => report,
            // An upstream that is silent towards another host may be answering this one.
            false => {
                let mut cookies = self.peer_loads.upstreams_with_unanswered();
                cookies.extend(&live_runs);
                report.restricted_to(&cookies)
            }
        };
        let has_evidence = report.has_evidence();
        let sharing = saturated || has_evidence || !report.entries.is_empty();
        if sharing != self.sharing_load {
            self.sharing_load = sharing;
            outputs.push(WatchOutput::Event(WatchEvent::LoadSharingChanged {
                sharing,
                saturated,
                has_unanswered,
            }));
        }
        if !sharing {
            return;
        }
        let ready_hosts =
            self.fleet.live(now).filter(|member| member.state == FleetMemberState::Ready);
        let own_data_centre = self.options.data_centre;
        let small_fleet = self.fleet.live(now).count() <= BROADCAST_FANOUT;
        let (local, remote): (Vec<&FleetMember>, Vec<&FleetMember>) =
            ready_hosts.partition(|member| small_fleet || member.data_centre == own_data_centre);
        let addresses =
            |members: &[&FleetMember]| members.iter().map(|member| member.address).collect();
        let (local, remote): (Vec<Ipv4Addr>, Vec<Ipv4Addr>) =
            (addresses(&local), addresses(&remote));
        let mut targets = local.into_iter().sample(&mut self.rng, BROADCAST_FANOUT);
        if !live_runs.is_empty() {
            // Hosts of all data centres may reset flows of the run.
            targets.extend(remote.into_iter().sample(&mut self.rng, BROADCAST_FANOUT));
        }
        for to in targets {
            let message = FleetMessage::Load(self.options.address, report.clone());
            outputs.push(WatchOutput::Send { to, message });
        }
    }

    /// Tells hosts of the data centre which upstreams hold some flows, which may move to them.
    fn share_holders(
        &mut self,
        holders: &[FlowHolder],
        now: Duration,
        outputs: &mut Vec<WatchOutput>,
    ) {
        if holders.is_empty() {
            return;
        }
        let local = self.fleet.active_in(self.options.data_centre, now);
        let addresses = local.map(|member| member.address);
        for to in addresses.sample(&mut self.rng, BROADCAST_FANOUT) {
            let message = FleetMessage::Holders(holders.to_vec());
            outputs.push(WatchOutput::Send { to, message });
        }
    }

    /// Returns the runs of a report that have shown that they are alive after the registry's proof
    /// that they have ended.
    fn runs_alive_despite_proof(&self, report: &LoadReport, now: Duration) -> Vec<FlowCookie> {
        let is_alive = |run: &EndedRun| {
            let cookie = FlowCookie::derive(run.registration.tag, run.registration.incarnation);
            let entry = report.entries.iter().find(|entry| entry.cookie == cookie)?;
            let alive_age = Duration::from_millis(u64::from(entry.alive_age_ms));
            let is_alive = entry.alive_age_ms != u16::MAX
                && now.saturating_sub(alive_age) >= run.successor_learned_at;
            is_alive.then_some(cookie)
        };
        self.registry.ended_runs().iter().filter_map(is_alive).collect()
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
            position: self.registry.position(),
            manifest_version: self.registry.manifest_version(),
            confirmation_age_ms: self
                .confirmed_at
                .map(|at| saturating_millis(now.saturating_sub(at))),
            wants_reply: false,
            members: self.fleet.summaries(self.summary_offset, MAX_DIGEST_MEMBERS, now),
        }
    }

    /// Sends a digest to a random local host, a random live host of any data centre, and a random
    /// silent one, whose answer shows that a partition has ended.
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

    /// Sends a digest, with a batch of changes if there is one, to the hosts in `scope`.
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
