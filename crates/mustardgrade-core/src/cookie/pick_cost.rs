//! Cost of a new flow at each upstream.

use super::admission::AdmissionDecision;
use super::load_limit::admits;
use super::picker::{LOAD_UNIT, PickCandidate, UpstreamPicker};
use super::upstream_load::FlowSample;

/// Granularity of load while a slot is free; upstreams within one step are ordered by hash.
const LOAD_GRANULARITY: u64 = LOAD_UNIT / 2;

/// Open flows that an upstream may have without extra cost, in percent of its share of all open
/// flows by slots.
const OPEN_FLOWS_ALLOWANCE_PERCENT: u64 = 120;

/// Cost of each open flow beyond that allowance on an upstream with one slot, inversely
/// proportional to the slots; low, since most open flows are idle.
const EXCESS_FLOW_COST: u64 = 128;

/// Extra cost of an upstream in another data centre, where a flow breaks if the network between the
/// data centres fails.
const REMOTE_COST: u64 = 768;

/// `PlacementTotals` are sums over the healthy candidates, by which open flows are shared.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlacementTotals {
    open_flows: u64,
    capacity: u64,
}

impl PlacementTotals {
    #[inline]
    pub(super) fn of(candidates: &[PickCandidate]) -> Self {
        let healthy = || candidates.iter().filter(|candidate| candidate.is_healthy());
        Self {
            open_flows: healthy().map(|candidate| candidate.open_flows).sum(),
            capacity: healthy().map(|candidate| candidate.capacity).sum(),
        }
    }

    /// Returns the cost of a new flow at a candidate, in [`LOAD_UNIT`] for each request per slot.
    #[inline]
    pub(super) fn cost(&self, candidate: &PickCandidate) -> u64 {
        let load = candidate.load;
        let expected_open = (self.open_flows * candidate.capacity * OPEN_FLOWS_ALLOWANCE_PERCENT
            / 100)
            .checked_div(self.capacity);
        let excess_flows =
            candidate.open_flows.saturating_sub(expected_open.unwrap_or_default() + 1);
        let rounded_load =
            if load < LOAD_UNIT { load / LOAD_GRANULARITY * LOAD_GRANULARITY } else { load };
        let distance_cost = if candidate.is_local { 0 } else { REMOTE_COST };
        rounded_load + excess_flows * EXCESS_FLOW_COST / candidate.slots + distance_cost
    }
}

impl UpstreamPicker<'_> {
    /// Returns the warm, unsuspected upstream with the lowest cost for a new flow, among those that
    /// their slow start limits now or among the others.
    ///
    /// Upstreams of this data centre are preferred while any of them has capacity. Upstreams of
    /// similar load are ordered by hash; otherwise a crashed upstream, which has nothing in flight,
    /// would look best and attract all new flows. If load decides on the opening and the flow's
    /// sample has no room, all upstreams are considered.
    #[inline]
    pub(super) fn least_cost<'c>(
        &self,
        candidates: &'c [PickCandidate],
        fingerprint: u64,
        priority: u32,
        is_limited: bool,
    ) -> Option<&'c PickCandidate> {
        let is_sampled = self.follows_reports(candidates);
        let best = self.least_cost_of(candidates, fingerprint, is_limited, is_sampled);
        let has_room = |best: &PickCandidate| admits(best.load, priority, fingerprint);
        let is_by_load = self.admission == AdmissionDecision::ByLoad;
        match is_sampled && is_by_load && !best.is_some_and(has_room) {
            true => self.least_cost_of(candidates, fingerprint, is_limited, false),
            false => best,
        }
    }

    #[inline]
    fn least_cost_of<'c>(
        &self,
        candidates: &'c [PickCandidate],
        fingerprint: u64,
        is_limited: bool,
        is_sampled: bool,
    ) -> Option<&'c PickCandidate> {
        let totals = PlacementTotals::of(candidates);
        let healthy = candidates.iter().filter(|candidate| candidate.is_healthy());
        let eligible = healthy.filter(|candidate| candidate.is_limited == is_limited);
        let cost = |candidate: &PickCandidate| {
            let score = self.score(candidate.index, fingerprint);
            (candidate.rank(), totals.cost(candidate), std::cmp::Reverse(score))
        };
        match is_sampled {
            true => self.sampled(eligible, fingerprint).min_by_key(|candidate| cost(candidate)),
            false => eligible.min_by_key(|candidate| cost(candidate)),
        }
    }

    /// Returns whether the candidates' load is modelled and partly known from other hosts' reports.
    fn follows_reports(&self, candidates: &[PickCandidate]) -> bool {
        let mut indices = candidates.iter().map(|candidate| candidate.index);
        let is_modelled = |index: &usize| self.load_model.is_modelled(*index);
        candidates.first().is_some_and(|candidate| is_modelled(&candidate.index))
            && indices.any(|index| self.peers[index].active_hosts > 0)
    }

    /// Returns the flow's sample of the upstreams of the best rank, local and remote ones apart.
    fn sampled<'c, I: Iterator<Item = &'c PickCandidate> + Clone>(
        &self,
        eligible: I,
        fingerprint: u64,
    ) -> impl Iterator<Item = &'c PickCandidate> + use<'c, I> {
        let best_rank = eligible.clone().map(PickCandidate::rank).min();
        let (mut local, mut remote) = (FlowSample::new(), FlowSample::new());
        for candidate in eligible.filter(|candidate| Some(candidate.rank()) == best_rank) {
            let sample = if candidate.is_local { &mut local } else { &mut remote };
            sample.add(candidate, self.score(candidate.index, fingerprint));
        }
        local.into_candidates().chain(remote.into_candidates())
    }
}
