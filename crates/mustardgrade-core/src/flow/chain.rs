//! Owner chain of a bucket: the owner and the replica, chosen by rendezvous hashing.

use crate::identity::{DataCentreId, HostId, ServiceId, rendezvous_score};
use crate::placement::BucketIndex;

use super::snapshot::{HostRoute, OwnerEligibility};

/// `OwnerChain` holds the one or two hosts that keep the records of a guarded bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerChain {
    /// First host in rendezvous order; it determines the upstream of each flow.
    pub owner: HostId,
    /// Second host in rendezvous order, which keeps a copy; `None` if only one host is eligible.
    pub replica: Option<HostId>,
}

impl OwnerChain {
    /// Returns the member of the chain that `host` sends its records to: the replica for the owner,
    /// the owner for any other host.
    #[must_use]
    pub fn other_member(&self, host: HostId) -> Option<HostId> {
        match host == self.owner {
            true => self.replica,
            false => Some(self.owner),
        }
    }

    /// Returns the hosts of the chain, owner first.
    pub fn hosts(&self) -> impl Iterator<Item = HostId> {
        [Some(self.owner), self.replica].into_iter().flatten()
    }

    /// Returns whether `host` is the owner or the replica.
    #[must_use]
    pub fn contains(&self, host: HostId) -> bool {
        self.owner == host || self.replica == Some(host)
    }
}

/// Computes the owner chain of a bucket from the eligible hosts of `data_centre`, or from all
/// eligible hosts if that data centre has none.
///
/// `data_centre` is that of the upstream that the bucket moves from, or stays on. In a network
/// partition, flows whose caller and upstream are on the same side then find their owner chain on
/// that side and continue.
#[must_use]
pub fn owner_chain(
    service: ServiceId,
    bucket: BucketIndex,
    data_centre: Option<DataCentreId>,
    members: &[HostRoute],
) -> Option<OwnerChain> {
    // Multiplying by the 64-bit golden ratio spreads consecutive bucket indexes over all keys.
    let bucket_key = service.0 ^ u64::from(bucket.0).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let is_eligible = |member: &&HostRoute| member.eligibility == OwnerEligibility::Eligible;
    let local_hosts =
        members.iter().filter(is_eligible).filter(|member| Some(member.data_centre) == data_centre);
    top_two_by_score(bucket_key, local_hosts)
        .or_else(|| top_two_by_score(bucket_key, members.iter().filter(is_eligible)))
}

/// Returns the two hosts with the highest rendezvous scores, or `None` without hosts.
fn top_two_by_score<'a>(
    bucket_key: u64,
    members: impl Iterator<Item = &'a HostRoute>,
) -> Option<OwnerChain> {
    let mut best: Option<(u64, HostId)> = None;
    let mut runner_up: Option<(u64, HostId)> = None;
    for member in members {
        let candidate = Some((rendezvous_score(bucket_key, member.host.0), member.host));
        if candidate > best {
            runner_up = best;
            best = candidate;
        } else if candidate > runner_up {
            runner_up = candidate;
        }
    }
    let (_, owner) = best?;
    Some(OwnerChain { owner, replica: runner_up.map(|(_, host)| host) })
}
