//! Methods that assign buckets to weighted upstreams.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::table::UNASSIGNED;
use crate::identity::{UpstreamId, rendezvous_score};

/// `AssignMethod` selects the algorithm that assigns buckets to upstreams.
#[derive(Debug, Display, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AssignMethod {
    /// Reassigns only as many buckets as the change of the weights requires.
    #[default]
    #[display("bounded")]
    Bounded,
    /// Weighted rendezvous hashing of each bucket (Thaler and Ravishankar, 1998).
    #[display("rendezvous")]
    Rendezvous,
    /// Table population by permutations as in Maglev (Eisenbud et al., NSDI 2016).
    #[display("maglev")]
    Maglev,
}

/// `UpstreamWeight` is the relative share of buckets that an upstream is assigned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamWeight {
    /// Identity of the upstream.
    pub upstream: UpstreamId,
    /// Weight relative to the other upstreams; with 0 the upstream is assigned no bucket.
    pub weight: u32,
}

/// Assigns each bucket to an upstream and returns the indexes into `weights` by bucket.
///
/// `previous` holds the earlier assignment, [`UNASSIGNED`] where there was none, and determines the
/// number of buckets. Only [`AssignMethod::Bounded`] reads its values. If all weights are 0, every
/// bucket is [`UNASSIGNED`].
#[must_use]
pub fn assign_buckets(
    method: AssignMethod,
    previous: &[u16],
    weights: &[UpstreamWeight],
) -> Vec<u16> {
    if weights.iter().all(|weight| weight.weight == 0) {
        return vec![UNASSIGNED; previous.len()];
    }
    match method {
        AssignMethod::Bounded => assign_bounded(previous, weights),
        AssignMethod::Rendezvous => assign_rendezvous(previous.len(), weights),
        AssignMethod::Maglev => assign_maglev(previous.len(), weights),
    }
}

/// Counts the buckets that differ between two assignments of the same length.
#[must_use]
pub fn count_reassigned_buckets(before: &[u16], after: &[u16]) -> usize {
    before.iter().zip(after).filter(|(old, new)| old != new).count()
}

fn assign_bounded(previous: &[u16], weights: &[UpstreamWeight]) -> Vec<u16> {
    let target_counts = target_bucket_counts(previous.len(), weights);
    let mut remaining_counts = target_counts.clone();
    let mut assigned = vec![UNASSIGNED; previous.len()];
    // Each upstream keeps its buckets up to its target count. The buckets that have to move are
    // chosen by hash order, so that repeated changes do not always move the same ones.
    let mut hash_order: Vec<usize> = (0..previous.len()).collect();
    hash_order.sort_by_key(|bucket| rendezvous_score(*bucket as u64, u64::from(previous[*bucket])));
    for bucket in &hash_order {
        let previous_index = usize::from(previous[*bucket]);
        if previous_index < remaining_counts.len() && remaining_counts[previous_index] > 0 {
            remaining_counts[previous_index] -= 1;
            assigned[*bucket] = previous[*bucket];
        }
    }
    let unassigned = hash_order.into_iter().filter(|bucket| assigned[*bucket] == UNASSIGNED);
    for bucket in unassigned.collect::<Vec<_>>() {
        let index = least_filled_upstream(&remaining_counts, &target_counts, weights, bucket);
        remaining_counts[index] -= 1;
        assigned[bucket] = index as u16;
    }
    assigned
}

/// Returns the index of the upstream that lacks the largest share of its target count.
fn least_filled_upstream(
    remaining_counts: &[usize],
    target_counts: &[usize],
    weights: &[UpstreamWeight],
    bucket: usize,
) -> usize {
    (0..remaining_counts.len())
        .filter(|index| remaining_counts[*index] > 0)
        .max_by_key(|index| {
            let share = remaining_counts[*index] * 1_000_000 / target_counts[*index].max(1);
            (share, rendezvous_score(bucket as u64, weights[*index].upstream.0))
        })
        .unwrap_or_default()
}

/// Divides `bucket_count` buckets in proportion to the weights, by the largest remainder method.
fn target_bucket_counts(bucket_count: usize, weights: &[UpstreamWeight]) -> Vec<usize> {
    let total_weight: u64 = weights.iter().map(|weight| u64::from(weight.weight)).sum();
    let weighted_count = |weight: &UpstreamWeight| bucket_count as u64 * u64::from(weight.weight);
    let mut target_counts: Vec<usize> =
        weights.iter().map(|weight| (weighted_count(weight) / total_weight) as usize).collect();
    let mut remainder_order: Vec<usize> = (0..weights.len()).collect();
    remainder_order.sort_by_key(|index| {
        (
            std::cmp::Reverse(weighted_count(&weights[*index]) % total_weight),
            weights[*index].upstream,
        )
    });
    let remainder = bucket_count - target_counts.iter().sum::<usize>();
    for index in remainder_order.into_iter().take(remainder) {
        target_counts[index] += 1;
    }
    target_counts
}

fn assign_rendezvous(bucket_count: usize, weights: &[UpstreamWeight]) -> Vec<u16> {
    (0..bucket_count)
        .map(|bucket| {
            let best = (0..weights.len()).max_by(|left, right| {
                let left_score = weighted_score(bucket, &weights[*left]);
                let right_score = weighted_score(bucket, &weights[*right]);
                left_score.total_cmp(&right_score)
            });
            best.unwrap_or_default() as u16
        })
        .collect()
}

/// Returns the score of an upstream for a bucket in weighted rendezvous hashing.
fn weighted_score(bucket: usize, weight: &UpstreamWeight) -> f64 {
    let hash = rendezvous_score(bucket as u64, weight.upstream.0);
    // The upper 53 bits fit a double exactly; adding one half keeps the value inside (0, 1).
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -f64::from(weight.weight) / uniform.ln()
}

fn assign_maglev(bucket_count: usize, weights: &[UpstreamWeight]) -> Vec<u16> {
    let mut assigned = vec![UNASSIGNED; bucket_count];
    let mut probe_counts = vec![0_usize; weights.len()];
    let mut credits = vec![0_u64; weights.len()];
    let max_weight = weights.iter().map(|weight| u64::from(weight.weight)).max().unwrap_or(1);
    let mut assigned_count = 0;
    while assigned_count < bucket_count {
        for (index, weight) in weights.iter().enumerate() {
            // An upstream claims its next bucket each time its credit reaches the largest weight.
            credits[index] += u64::from(weight.weight);
            if credits[index] < max_weight || assigned_count == bucket_count {
                continue;
            }
            credits[index] -= max_weight;
            let bucket =
                next_unassigned_bucket(&assigned, weight.upstream, &mut probe_counts[index]);
            assigned[bucket] = index as u16;
            assigned_count += 1;
        }
    }
    assigned
}

/// Advances in the permutation of an upstream to the next unassigned bucket and returns it.
fn next_unassigned_bucket(
    assigned: &[u16],
    upstream: UpstreamId,
    probe_count: &mut usize,
) -> usize {
    let bucket_count = assigned.len();
    let offset = rendezvous_score(0, upstream.0) as usize % bucket_count;
    // An odd skip is coprime to the length, a power of two, so the permutation covers all buckets.
    let skip = (rendezvous_score(1, upstream.0) as usize % bucket_count) | 1;
    loop {
        let bucket = (offset + *probe_count * skip) % bucket_count;
        *probe_count += 1;
        if assigned[bucket] == UNASSIGNED {
            return bucket;
        }
    }
}
