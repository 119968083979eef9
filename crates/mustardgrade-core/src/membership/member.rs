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

/// Silence after which a host that the platform does not list is removed; a shorter time would lose
/// a host that is not listed yet during a short partition.
const UNLISTED_HOST_RETENTION: Duration = Duration::from_secs(120);

/// `MemberTableOptions` holds the settings of a [`MemberTable`].
#[derive(Debug, Clone, Copy)]
pub struct MemberTableOptions {
    /// Interval between two digests to a peer.
    pub heartbeat_interval: Duration,
    /// Silence after which a host no longer counts as live.
    pub silence_timeout: Duration,
    /// Silence of all peers after which this host no longer trusts its own tables.
    pub fence_timeout: Duration,
}

impl Default for MemberTableOptions {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            silence_timeout: Duration::from_millis(2_000),
            fence_timeout: Duration::from_millis(1_200),
        }
    }
}

/// `ListedHost` is an entry of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Identity of the host.
    pub host: HostId,
    /// Address of the host.
    pub address: Ipv4Addr,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Whether the platform lists the host as leaving.
    pub leaving: bool,
}

/// `KnownHost` is a host from which a digest has been received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownHost {
    /// Last digest of the host.
    pub digest: HostDigest,
    /// Active time of the member table when the digest was received.
    pub received_at: Duration,
}

/// `MemberTable` holds the local host's view of the other hosts.
///
/// Silence is measured in active time, during which the local host itself was running: a host that
/// resumes after a pause does not regard its peers as failed.
#[derive(Debug)]
pub struct MemberTable {
    local_host: HostId,
    options: MemberTableOptions,
    members: BTreeMap<HostId, KnownHost>,
    listed_hosts: Vec<ListedHost>,
    learned_addresses: Vec<Ipv4Addr>,
    local_data_centre: DataCentreId,
    out_of_service: Vec<DataCentreId>,
    active_time: Duration,
    last_tick_at: Option<Duration>,
    last_received_at: Duration,
}

impl MemberTable {
    /// Creates the table of the host `local_host` in `data_centre`.
    #[must_use]
    pub fn new(local_host: HostId, data_centre: DataCentreId, options: MemberTableOptions) -> Self {
        Self {
            local_host,
            options,
            members: BTreeMap::new(),
            listed_hosts: Vec::new(),
            learned_addresses: Vec::new(),
            local_data_centre: data_centre,
            out_of_service: Vec::new(),
            active_time: Duration::ZERO,
            last_tick_at: None,
            last_received_at: Duration::ZERO,
        }
    }

    // Queries.

    /// Returns the other hosts that are live, ordered by identity: their last digest was received
    /// within the silence timeout, they have not stopped, and their data centre is not excluded.
    pub fn live_members(&self) -> impl Iterator<Item = &KnownHost> {
        self.members.values().filter(|member| self.is_live(member))
    }

    /// Returns the last digest of a host.
    #[must_use]
    pub fn last_digest_of(&self, host: HostId) -> Option<&HostDigest> {
        self.members.get(&host).map(|member| &member.digest)
    }

    /// Returns the addresses to send digests to: known hosts that have not stopped and listed
    /// hosts, both without those of excluded data centres, and all hosts named by a peer.
    #[must_use]
    pub fn digest_targets(&self) -> Vec<Ipv4Addr> {
        let not_stopped = self.members.values().filter(|member| {
            let digest = &member.digest;
            digest.state != HostState::Stopped && !self.is_out_of_service(digest.data_centre)
        });
        let known = not_stopped.map(|member| member.digest.address);
        let is_target = |listed: &&ListedHost| {
            listed.host != self.local_host && !self.is_out_of_service(listed.data_centre)
        };
        let listed = self.listed_hosts.iter().filter(is_target);
        let mut targets: Vec<Ipv4Addr> = known
            .chain(listed.map(|listed| listed.address))
            .chain(self.learned_addresses.iter().copied())
            .collect();
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns the other data centres that have listed hosts but no live host.
    ///
    /// Hosts that are listed as leaving and data centres that are out of service do not count.
    #[must_use]
    pub fn unreachable_data_centres(&self) -> Vec<DataCentreId> {
        let listed = self.listed_hosts.iter().filter(|listed| !listed.leaving);
        let mut data_centres: Vec<DataCentreId> = listed.map(|listed| listed.data_centre).collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        data_centres.retain(|data_centre| {
            let has_live_host =
                self.live_members().any(|member| member.digest.data_centre == *data_centre);
            *data_centre != self.local_data_centre
                && !has_live_host
                && !self.is_out_of_service(*data_centre)
        });
        data_centres
    }

    /// Returns the address of a listed host that is not live; successive probe numbers cycle
    /// through these hosts.
    #[must_use]
    pub fn probe_target(&self, probe_number: u64) -> Option<Ipv4Addr> {
        let is_silent = |listed: &&ListedHost| {
            let is_live = self.members.get(&listed.host).is_some_and(|member| self.is_live(member));
            listed.host != self.local_host
                && !is_live
                && !self.is_out_of_service(listed.data_centre)
        };
        let silent: Vec<Ipv4Addr> =
            self.listed_hosts.iter().filter(is_silent).map(|listed| listed.address).collect();
        let count = silent.len().max(1) as u64;
        silent.get((probe_number % count) as usize).copied()
    }

    /// Returns whether a digest of this incarnation was received before, but the host is not live
    /// now.
    #[must_use]
    pub fn has_timed_out(&self, incarnation: HostIncarnation) -> bool {
        let member = self.members.get(&incarnation.host);
        member.is_some_and(|member| member.digest.sender == incarnation && !self.is_live(member))
    }

    /// Returns the time for which the local host has been running, without pauses.
    #[must_use]
    pub fn active_time(&self) -> Duration {
        self.active_time
    }

    /// Returns whether the host has live peers but received no digest within the fence timeout.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        let has_peers = self.live_members().next().is_some();
        has_peers && self.active_time > self.last_received_at + self.options.fence_timeout
    }

    /// Returns a hash of the live hosts and their states, including the host of `local_digest`.
    #[must_use]
    pub fn view_hash(&self, local_digest: &HostDigest) -> u64 {
        let local_digest = [local_digest];
        let digests = self.live_members().map(|member| &member.digest).chain(local_digest);
        let hash_member = |digest: &HostDigest| {
            let mut bytes = [0_u8; 17];
            bytes[..8].copy_from_slice(&digest.sender.host.0.to_le_bytes());
            bytes[8..16].copy_from_slice(&digest.sender.incarnation.to_le_bytes());
            bytes[16] = digest.state as u8;
            xxh3_64_with_seed(&bytes, 0)
        };
        // Hashes are added, so that the result does not depend on the order of the hosts.
        digests.map(hash_member).fold(0, u64::wrapping_add)
    }

    /// Returns whether every live host reports this view hash.
    #[must_use]
    pub fn is_converged(&self, view_hash: u64) -> bool {
        self.live_members().all(|member| member.digest.view_hash == view_hash)
    }

    /// Returns whether a digest of every live host has been received at `at` or later, in active time.
    #[must_use]
    pub fn has_heard_all_since(&self, at: Duration) -> bool {
        self.live_members().all(|member| member.received_at >= at)
    }

    /// Returns whether every live host that routes traffic has at least this rules revision in
    /// force.
    #[must_use]
    pub fn rules_revision_applied_by_all(&self, revision: u64) -> bool {
        self.live_members()
            .filter(|member| member.digest.state != HostState::Joining)
            .all(|member| member.digest.rules_revision >= revision)
    }

    /// Returns how far the hosts that route traffic have applied the placement, including the host
    /// of `local_digest`, for the planner.
    #[must_use]
    pub fn apply_progress(&self, local_digest: &HostDigest) -> ClusterProgress {
        let is_routing = |digest: &&HostDigest| digest.state != HostState::Joining;
        let digests = || {
            self.live_members()
                .map(|member| &member.digest)
                .chain([local_digest])
                .filter(is_routing)
        };
        let has_silent_listed_host = self.listed_hosts.iter().any(|listed| {
            let is_live = self.members.get(&listed.host).is_some_and(|member| self.is_live(member));
            let is_expected = listed.host != self.local_host && !listed.leaving;
            is_expected && !is_live && !self.is_out_of_service(listed.data_centre)
        });
        ClusterProgress {
            applied_generation: digests().map(|digest| digest.generation).min().unwrap_or_default(),
            settled_generation: digests()
                .map(|digest| digest.settled_generation)
                .min()
                .unwrap_or_default(),
            has_silent_listed_host,
        }
    }

    /// Returns the routing information of the live hosts, including the host of `local_digest`.
    #[must_use]
    pub fn route_members(&self, local_digest: &HostDigest) -> Vec<HostRoute> {
        let digests = self.live_members().map(|member| &member.digest).chain([local_digest]);
        let mut members: Vec<HostRoute> = digests
            .map(|digest| HostRoute {
                host: digest.sender.host,
                data_centre: digest.data_centre,
                address: digest.address,
                eligibility: match digest.state {
                    _ if self.out_of_service.contains(&digest.data_centre) => {
                        OwnerEligibility::Ineligible
                    }
                    HostState::Serving => OwnerEligibility::Eligible,
                    HostState::Joining => OwnerEligibility::Joining,
                    HostState::Leaving | HostState::Stopped => OwnerEligibility::Ineligible,
                },
            })
            .collect();
        members.sort_by_key(|member| member.host);
        members
    }

    fn is_live(&self, member: &KnownHost) -> bool {
        member.digest.state != HostState::Stopped
            && !self.is_out_of_service(member.digest.data_centre)
            && self.active_time <= member.received_at + self.options.silence_timeout
    }

    /// Returns whether the hosts of `data_centre` are excluded; those of the local data centre
    /// never are.
    fn is_out_of_service(&self, data_centre: DataCentreId) -> bool {
        data_centre != self.local_data_centre && self.out_of_service.contains(&data_centre)
    }

    // Commands.

    /// Sets the data centres that the rules have taken out of service, and removes their hosts.
    pub fn set_out_of_service(&mut self, out_of_service: Vec<DataCentreId>) {
        self.out_of_service = out_of_service;
        // When the data centre returns, its hosts count only after a new digest.
        let local_data_centre = self.local_data_centre;
        let out_of_service = &self.out_of_service;
        self.members.retain(|_, member| {
            let data_centre = member.digest.data_centre;
            data_centre == local_data_centre || !out_of_service.contains(&data_centre)
        });
    }

    /// Advances the active time by the time since the last call, and removes hosts that are
    /// unlisted and have been silent for the retention time.
    pub fn tick(&mut self, now: Duration) {
        let elapsed = self.last_tick_at.map_or(Duration::ZERO, |last| now.saturating_sub(last));
        // A longer step means that the local host was paused, which is not silence of its peers.
        self.active_time += elapsed.min(self.options.heartbeat_interval);
        self.last_tick_at = Some(now);
        let oldest_kept = self.active_time.saturating_sub(UNLISTED_HOST_RETENTION);
        let listed_hosts = &self.listed_hosts;
        self.members.retain(|host, member| {
            member.received_at >= oldest_kept
                || listed_hosts.iter().any(|listed| listed.host == *host)
        });
    }

    /// Records a digest; returns whether it was accepted.
    ///
    /// Repeated digests, own digests, digests from data centres that are out of service, and those
    /// of earlier incarnations while the known one is live are ignored.
    pub fn record_digest(&mut self, digest: &HostDigest) -> bool {
        let host = digest.sender.host;
        if host == self.local_host {
            return false;
        }
        if !self.members.get(&host).is_none_or(|known| self.is_superseded(known, digest)) {
            return false;
        }
        if self.is_out_of_service(digest.data_centre) {
            return false;
        }
        self.last_received_at = self.active_time;
        self.members.insert(host, KnownHost { digest: *digest, received_at: self.active_time });
        true
    }

    /// Returns whether a digest is newer than the last one of a host.
    ///
    /// Incarnations come from the host's clock, which may have been set back while it was down, so
    /// that a host which is not live is superseded by any other incarnation.
    fn is_superseded(&self, known: &KnownHost, digest: &HostDigest) -> bool {
        let (known_run, run) = (known.digest.sender.incarnation, digest.sender.incarnation);
        let is_newer = (known_run, known.digest.sequence) < (run, digest.sequence);
        is_newer || (known_run != run && !self.is_live(known))
    }

    /// Sets the addresses of hosts that a peer knows.
    ///
    /// With them, a host that starts while the platform is down finds its peers.
    pub fn set_learned_addresses(&mut self, addresses: Vec<Ipv4Addr>) {
        self.learned_addresses = addresses;
    }

    /// Sets the platform's host list, which is only a hint and does not prove that a host is live.
    pub fn set_listed_hosts(&mut self, listed_hosts: Vec<ListedHost>) {
        self.listed_hosts = listed_hosts;
    }
}
