//! The table of known hosts.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::digest::{HostDigest, HostState};
use crate::flow::{HostRoute, OwnerEligibility};
use crate::identity::{DataCentreId, HostId, HostIncarnation};
use crate::placement::ClusterProgress;

/// Silence after which an unlisted host is forgotten; sooner, and a host that the list does not name
/// yet would be lost in a short cut.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// `MemberOptions` holds the settings of a [`MemberTable`].
#[derive(Debug, Clone, Copy)]
pub struct MemberOptions {
    /// Time between two digests to a peer.
    pub heartbeat: Duration,
    /// Silence after which a host is no longer counted on.
    pub dead_after: Duration,
    /// Silence of all peers after which this host no longer trusts its own tables.
    pub fence: Duration,
}

impl Default for MemberOptions {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(500),
            dead_after: Duration::from_millis(2_000),
            fence: Duration::from_millis(1_200),
        }
    }
}

/// `ListedHost` is an entry of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// The host.
    pub host: HostId,
    /// Its address.
    pub address: Ipv4Addr,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
}

/// `HostMember` is a host as last heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostMember {
    /// Its last digest.
    pub digest: HostDigest,
    /// Local time of that digest.
    pub heard_at: Duration,
}

/// `MemberTable` holds this host's view of the others.
///
/// Silence is counted in the time during which this host itself ran: a paused host that wakes does
/// not take all its peers for dead.
#[derive(Debug)]
pub struct MemberTable {
    me: HostId,
    options: MemberOptions,
    members: BTreeMap<HostId, HostMember>,
    listed: Vec<ListedHost>,
    introduced: Vec<Ipv4Addr>,
    own_data_centre: DataCentreId,
    out: Vec<DataCentreId>,
    active_time: Duration,
    last_tick: Option<Duration>,
    last_heard: Duration,
}

impl MemberTable {
    /// Creates the table of the host `me`, which stands in `data_centre`.
    #[must_use]
    pub fn new(me: HostId, data_centre: DataCentreId, options: MemberOptions) -> Self {
        Self {
            me,
            options,
            members: BTreeMap::new(),
            listed: Vec::new(),
            introduced: Vec::new(),
            own_data_centre: data_centre,
            out: Vec::new(),
            active_time: Duration::ZERO,
            last_tick: None,
            last_heard: Duration::ZERO,
        }
    }

    // Queries.

    /// Returns the other hosts that were heard lately, in order of identity.
    pub fn live(&self) -> impl Iterator<Item = &HostMember> {
        self.members.values().filter(|member| self.is_live(member))
    }

    /// Returns the last digest of a host.
    #[must_use]
    pub fn digest_of(&self, host: HostId) -> Option<&HostDigest> {
        self.members.get(&host).map(|member| &member.digest)
    }

    /// Returns the addresses that digests go to: live hosts, and listed ones not heard yet.
    #[must_use]
    pub fn targets(&self) -> Vec<Ipv4Addr> {
        let running = self.members.values().filter(|member| {
            let digest = &member.digest;
            digest.state != HostState::Stopped && !self.is_out(digest.data_centre)
        });
        let known = running.map(|member| member.digest.address);
        let wanted =
            |listed: &&ListedHost| listed.host != self.me && !self.is_out(listed.data_centre);
        let listed = self.listed.iter().filter(wanted);
        let mut targets: Vec<Ipv4Addr> = known
            .chain(listed.map(|listed| listed.address))
            .chain(self.introduced.iter().copied())
            .collect();
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns the data centres whose hosts are all silent although they should be there.
    #[must_use]
    pub fn cut_off(&self) -> Vec<DataCentreId> {
        let listed = self.listed.iter().filter(|listed| !listed.leaving);
        let mut expected: Vec<DataCentreId> = listed.map(|listed| listed.data_centre).collect();
        expected.sort_unstable();
        expected.dedup();
        expected.retain(|centre| {
            let heard = self.live().any(|member| member.digest.data_centre == *centre);
            *centre != self.own_data_centre && !heard && !self.is_out(*centre)
        });
        expected
    }

    /// Returns the address of one silent host, another one with each number.
    #[must_use]
    pub fn silent_target(&self, number: u64) -> Option<Ipv4Addr> {
        let is_silent = |listed: &&ListedHost| {
            let heard = self.members.get(&listed.host).is_some_and(|member| self.is_live(member));
            listed.host != self.me && !heard && !self.is_out(listed.data_centre)
        };
        let silent: Vec<Ipv4Addr> =
            self.listed.iter().filter(is_silent).map(|listed| listed.address).collect();
        let count = silent.len().max(1) as u64;
        silent.get((number % count) as usize).copied()
    }

    /// Tells whether a host was heard before but has been silent for too long.
    #[must_use]
    pub fn was_silent(&self, host: HostIncarnation) -> bool {
        let member = self.members.get(&host.host);
        member.is_some_and(|member| member.digest.from == host && !self.is_live(member))
    }

    /// Returns the time that is counted for silence.
    #[must_use]
    pub fn active_time(&self) -> Duration {
        self.active_time
    }

    /// Tells whether the host has a peer and has heard none of them for the fence time.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        let peers = self.live().next().is_some();
        peers && self.active_time > self.last_heard + self.options.fence
    }

    /// Returns a hash of the live hosts and their states, `own` included.
    #[must_use]
    pub fn view(&self, own: &HostDigest) -> u64 {
        let own = [own];
        let digests = self.live().map(|member| &member.digest).chain(own);
        let mix = |digest: &HostDigest| {
            let mut bytes = [0_u8; 17];
            bytes[..8].copy_from_slice(&digest.from.host.0.to_le_bytes());
            bytes[8..16].copy_from_slice(&digest.from.incarnation.to_le_bytes());
            bytes[16] = digest.state as u8;
            xxh3_64_with_seed(&bytes, 0)
        };
        // The order of the hosts must not matter, so their hashes are added up.
        digests.map(mix).fold(0, u64::wrapping_add)
    }

    /// Tells whether every live host shows the same view as this one.
    #[must_use]
    pub fn is_converged(&self, view: u64) -> bool {
        self.live().all(|member| member.digest.view == view)
    }

    /// Tells whether every live routing host has at least this rules revision in force.
    #[must_use]
    pub fn rules_echoed(&self, revision: u64) -> bool {
        self.live()
            .filter(|member| member.digest.state != HostState::Joining)
            .all(|member| member.digest.rules_revision >= revision)
    }

    /// Returns what the planner needs to know, `own` included.
    #[must_use]
    pub fn echo_state(&self, own: &HostDigest) -> ClusterProgress {
        let routing = |digest: &&HostDigest| digest.state != HostState::Joining;
        let digests = || self.live().map(|member| &member.digest).chain([own]).filter(routing);
        let missing = self.listed.iter().any(|listed| {
            let heard = self.members.get(&listed.host).is_some_and(|member| self.is_live(member));
            let expected = listed.host != self.me && !listed.leaving;
            expected && !heard && !self.is_out(listed.data_centre)
        });
        ClusterProgress {
            applied_generation: digests().map(|digest| digest.generation).min().unwrap_or_default(),
            settled_generation: digests().map(|digest| digest.settled).min().unwrap_or_default(),
            has_silent_listed_host: missing,
        }
    }

    /// Returns the hosts that traffic may be handed to, `own` included.
    #[must_use]
    pub fn route_members(&self, own: &HostDigest) -> Vec<HostRoute> {
        let digests = self.live().map(|member| &member.digest).chain([own]);
        let mut members: Vec<HostRoute> = digests
            .map(|digest| HostRoute {
                host: digest.from.host,
                data_centre: digest.data_centre,
                address: digest.address,
                eligibility: match digest.state {
                    _ if self.out.contains(&digest.data_centre) => OwnerEligibility::Ineligible,
                    HostState::Serving => OwnerEligibility::Eligible,
                    HostState::Joining => OwnerEligibility::Joining,
                    HostState::Leaving | HostState::Stopped => OwnerEligibility::Ineligible,
                },
            })
            .collect();
        members.sort_by_key(|member| member.host);
        members
    }

    fn is_live(&self, member: &HostMember) -> bool {
        member.digest.state != HostState::Stopped
            && !self.is_out(member.digest.data_centre)
            && self.active_time <= member.heard_at + self.options.dead_after
    }

    /// Tells whether hosts of `data_centre` take no part; a host never counts its own as out.
    fn is_out(&self, data_centre: DataCentreId) -> bool {
        data_centre != self.own_data_centre && self.out.contains(&data_centre)
    }

    // Commands.

    /// Sets the data centres that the rules have taken out.
    pub fn set_out(&mut self, out: Vec<DataCentreId>) {
        self.out = out;
        // They come back as if they were new.
        let own = self.own_data_centre;
        let out = &self.out;
        self.members.retain(|_, member| {
            let centre = member.digest.data_centre;
            centre == own || !out.contains(&centre)
        });
    }

    /// Counts the time since the last call as running time, unless the host was paused.
    pub fn tick(&mut self, now: Duration) {
        let step = self.last_tick.map_or(Duration::ZERO, |last| now.saturating_sub(last));
        // A longer step means that this host did not run; its peers are not to blame for it.
        self.active_time += step.min(self.options.heartbeat);
        self.last_tick = Some(now);
        let oldest = self.active_time.saturating_sub(FORGET_AFTER);
        let listed = &self.listed;
        self.members.retain(|host, member| {
            member.heard_at >= oldest || listed.iter().any(|entry| entry.host == *host)
        });
    }

    /// Takes in a digest; returns whether it is news.
    ///
    /// Digests of earlier incarnations and repeated digests are ignored.
    pub fn receive(&mut self, digest: &HostDigest) -> bool {
        let host = digest.from.host;
        if host == self.me {
            return false;
        }
        let newest = |known: &HostDigest| {
            (known.from.incarnation, known.sequence) < (digest.from.incarnation, digest.sequence)
        };
        if !self.members.get(&host).is_none_or(|known| newest(&known.digest)) {
            return false;
        }
        if self.is_out(digest.data_centre) {
            return false;
        }
        self.last_heard = self.active_time;
        self.members.insert(host, HostMember { digest: *digest, heard_at: self.active_time });
        true
    }

    /// Takes in the addresses of hosts that a peer knows.
    ///
    /// A host that starts while the platform is down finds the others through them.
    pub fn introduce(&mut self, addresses: Vec<Ipv4Addr>) {
        self.introduced = addresses;
    }

    /// Takes in the platform's host list, which is only a hint.
    pub fn set_listed(&mut self, listed: Vec<ListedHost>) {
        self.listed = listed;
    }
}
