//! Limit of the load from which new flows are refused, where admission control does not decide.

use super::picker::LOAD_UNIT;

/// Load below which new flows of any priority are admitted; a request then waits for little more
/// than one other per slot.
const ADMIT_ALL_LOAD: u64 = LOAD_UNIT * 9 / 4;

/// Load from which no new flow of the lowest priority is admitted, since its request would miss the
/// latency objective.
pub(super) const REFUSE_ALL_LOAD: u64 = LOAD_UNIT * 7 / 2;

/// Amount by which both limits rise per priority step, so that the least urgent flows are refused
/// first.
const PRIORITY_LOAD_STEP: u64 = LOAD_UNIT / 4;

/// Least urgent priority; larger priority values are treated as this one.
const LOWEST_PRIORITY: u32 = 3;

/// Returns whether an upstream with this load can take another flow of `priority`.
///
/// Between the two limits the share of admitted flows, which are selected by hash, falls linearly
/// with the load. Hosts learn of each other's load with a delay, so with a single threshold they
/// would all admit and then all refuse at the same time.
pub(super) fn admits(load: u64, priority: u32, fingerprint: u64) -> bool {
    let priority_margin =
        u64::from(LOWEST_PRIORITY - priority.min(LOWEST_PRIORITY)) * PRIORITY_LOAD_STEP;
    let (admit_all, refuse_all) =
        (ADMIT_ALL_LOAD + priority_margin, REFUSE_ALL_LOAD + priority_margin);
    let hash_offset = (fingerprint >> 32) % (refuse_all - admit_all);
    load < admit_all || (load < refuse_all && load + hash_offset < refuse_all)
}
