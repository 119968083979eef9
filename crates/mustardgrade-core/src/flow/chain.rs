//! Owner and replica of a bucket.

use crate::identity::{DataCentreId, HostId, ServiceId, rendezvous_score};
use crate::placement::BucketIndex;

use super::snapshot::{OwnerRole, RouteMember};

/// `OwnerChain` names the hosts that keep the records of one bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerChain {
    /// First host in rendezvous order: it decides.
    pub owner: HostId,
    /// Second host in rendezvous order: it keeps the copy.
    pub replica: Option<HostId>,
}

impl OwnerChain {
    /// Returns the member of the chain that a record goes to after `me`.
    #[must_use]
    pub fn next_after(&self, me: HostId) -> Option<HostId> {
        match me == self.owner {
            true => self.replica,
            false => Some(self.owner),
        }
    }

    /// Returns the members of the chain, owner first.
    pub fn hosts(&self) -> impl Iterator<Item = HostId> {
        [Some(self.owner), self.replica].into_iter().flatten()
    }

    /// Tells whether `host` keeps records of the bucket.
    #[must_use]
    pub fn contains(&self, host: HostId) -> bool {
        self.owner == host || self.replica == Some(host)
    }
}

/// Computes the chain of a bucket over the hosts of `data_centre`, or over all hosts if that data
/// centre has none.
///
/// Keeping the chain in the data centre of the bucket's upstream lets flows go on whose ends stand
/// on one side of a cut.
#[must_use]
pub fn owner_chain(
    service: ServiceId,
    bucket: BucketIndex,
    data_centre: Option<DataCentreId>,
    members: &[RouteMember],
) -> Option<OwnerChain> {
    let key = service.0 ^ u64::from(bucket.0).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let eligible = |member: &&RouteMember| member.role == OwnerRole::Eligible;
    let local =
        members.iter().filter(eligible).filter(|member| Some(member.data_centre) == data_centre);
    best_two(key, local).or_else(|| best_two(key, members.iter().filter(eligible)))
}

fn best_two<'a>(key: u64, members: impl Iterator<Item = &'a RouteMember>) -> Option<OwnerChain> {
    let mut best: Option<(u64, HostId)> = None;
    let mut second: Option<(u64, HostId)> = None;
    for member in members {
        let candidate = Some((rendezvous_score(key, member.host.0), member.host));
        if candidate > best {
            second = best;
            best = candidate;
        } else if candidate > second {
            second = candidate;
        }
    }
    let (_, owner) = best?;
    Some(OwnerChain { owner, replica: second.map(|(_, host)| host) })
}
